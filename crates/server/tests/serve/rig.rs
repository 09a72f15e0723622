//! The real binary on loopback, with fakes whose ports the system picks.
use cottondyke_test_support::fakes::*;
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Read};
use std::net::{SocketAddr, TcpListener};
use std::ops::{Deref, DerefMut};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::time::{Duration, Instant};

static NEXT: AtomicU64 = AtomicU64::new(1);

pub(crate) const READ: &str = "greet"; // replayable, its call can be skipped
pub(crate) const BUY: &str = "order"; // uniqued
pub(crate) const PAY: &str = "pay"; // non-replayable
pub(crate) const BRIEF: &str = "brief"; // replayable, a client timeout of 600 ms

pub(crate) fn settings() -> Value {
    let mut conf: Value =
        serde_json::from_str(include_str!("../../../../examples/config.json")).unwrap();
    let class = |name: &str, effect: &str, timeout: f64| {
        json!({ "name": name, "effect": effect, "credit": 1.0, "late_value": 0.2, "aim_ms": timeout / 2.0,
            "deadline_ms": timeout, "dedup_window_ms": 2500.0 })
    };
    let classes = conf["settings"]["classes"].as_array_mut().unwrap();
    classes.extend([
        class(PAY, "once", 2_000.0),
        class(BRIEF, "repeatable", 600.0),
    ]);
    conf
}

/// Settings with fakes for engine, records service and control plane, on ports that the system picks.
pub(crate) fn with_peers() -> (Value, [TcpListener; 3]) {
    let mut conf = settings();
    conf["listen"] = json!("127.0.0.1:0");
    let peers = ["engine", "records", "control"].map(|key| {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        conf[key] = json!(listener.local_addr().unwrap().to_string());
        listener
    });
    (conf, peers)
}

/// A configuration in a file of its own.
pub(crate) fn temporary_file(conf: &str) -> PathBuf {
    let name = format!(
        "cottondyke-{}-{}.json",
        std::process::id(),
        NEXT.fetch_add(1, Ordering::Relaxed)
    );
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, conf).unwrap();
    path
}

pub(crate) fn program(words: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_cottondyke"));
    command
        .args(words)
        .env_remove("GW_CONFIG")
        .stderr(Stdio::piped())
        .stdout(Stdio::piped());
    command
}

/// The program with a file of its own, both of which end with it.
pub(crate) struct Process {
    option: &'static str,
    path: PathBuf,
    child: Child,
    log: Receiver<String>,
}

impl Process {
    pub(crate) fn start(option: &'static str, path: PathBuf) -> Self {
        let (child, log) = spawned(option, &path);
        Process {
            option,
            path,
            child,
            log,
        }
    }

    /// Where it listens, once it serves.
    pub(crate) fn listen_addr(&self) -> SocketAddr {
        self.wait_for_log("listen=")
            .split_once("listen=")
            .unwrap()
            .1
            .trim()
            .parse()
            .unwrap()
    }

    pub(crate) fn path(&self) -> &Path {
        &self.path
    }

    pub(crate) fn signal(&self, name: &str) {
        assert!(Command::new("kill")
            .args([name, &self.child.id().to_string()])
            .status()
            .unwrap()
            .success());
    }

    /// Replaces the file and has it read again.
    pub(crate) fn reload(&self, text: &str, logged: &str) {
        std::fs::write(&self.path, text).unwrap();
        self.signal("-HUP");
        self.wait_for_log(logged);
    }

    /// Kills the program and starts it again with the file as it is then.
    pub(crate) fn restart(&mut self, text: &str) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
        std::fs::write(&self.path, text).unwrap();
        (self.child, self.log) = spawned(self.option, &self.path);
    }

    /// How many descriptors the program holds.
    pub(crate) fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id()))
            .unwrap()
            .count()
    }

    /// For how many descriptors the kernel has room without enlarging the program's table.
    pub(crate) fn descriptor_slots(&self) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let size = status.lines().find_map(|line| line.strip_prefix("FDSize:"));
        size.unwrap().trim().parse().unwrap()
    }

    /// How the program ended, and how long that took.
    pub(crate) fn wait_for_exit(&mut self) -> (ExitStatus, Duration) {
        let start = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return (status, start.elapsed());
            }
            assert!(start.elapsed() < IO_TIMEOUT, "the server does not end");
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    /// The next line of its log with these words.
    pub(crate) fn wait_for_log(&self, words: &str) -> String {
        let until = Instant::now() + IO_TIMEOUT;
        loop {
            let left = until.saturating_duration_since(Instant::now());
            let line = self.log.recv_timeout(left).expect(words);
            if line.contains(words) {
                return line;
            }
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.path);
    }
}

/// The program with this file, and what it logs.
fn spawned(option: &str, path: &Path) -> (Child, Receiver<String>) {
    let mut child = program(&["serve", option, path.to_str().unwrap()])
        .spawn()
        .unwrap();
    let (lines, log) = channel();
    let stderr = BufReader::new(child.stderr.take().unwrap());
    std::thread::spawn(move || {
        stderr
            .lines()
            .map_while(Result::ok)
            .all(|line| lines.send(line).is_ok())
    });
    (child, log)
}

/// The program on its own, with a script.
pub(crate) struct Alone {
    process: Process,
    pub addr: SocketAddr,
}

impl Alone {
    pub(crate) fn start(script: &str) -> Self {
        let process = Process::start("--operator", temporary_file(script));
        Alone {
            addr: process.listen_addr(),
            process,
        }
    }
}

pub(crate) struct Rig {
    process: Process,
    pub conf: Value,
    pub addr: SocketAddr,
    pub engine: TcpListener,
    pub records: TcpListener,
    pub control: TcpListener,
}

/// What holds a process is used as one.
macro_rules! process {
    ($of:ty) => {
        impl Deref for $of {
            type Target = Process;
            fn deref(&self) -> &Process {
                &self.process
            }
        }
        impl DerefMut for $of {
            fn deref_mut(&mut self) -> &mut Process {
                &mut self.process
            }
        }
    };
}

process!(Alone);
process!(Rig);

impl Rig {
    pub(crate) fn start() -> Self {
        Self::with(|_| {})
    }

    pub(crate) fn with(change: impl FnOnce(&mut Value)) -> Self {
        let (mut conf, [engine, records, control]) = with_peers();
        change(&mut conf);
        let process = Process::start("--config", temporary_file(&conf.to_string()));
        Rig {
            addr: process.listen_addr(),
            process,
            conf,
            engine,
            records,
            control,
        }
    }

    /// A link past its hello and the question that fences it off from the link before.
    pub(crate) fn link(&self, last: u64) -> FakeEngine {
        Self::hello(&self.engine, last)
    }

    pub(crate) fn hello(engine: &TcpListener, last: u64) -> FakeEngine {
        let mut link = FakeEngine::accept(engine).unwrap();
        assert_eq!(link.command().unwrap().0, ["ATTACH", &last.to_string()]);
        link.send_line("HELLO running 5.0").unwrap();
        let (words, _) = link.command().unwrap();
        assert_eq!(words[0], "STAT", "the fence comes first");
        link.send_line(&format!("STATS {} 0.5 1 0.1 3", words[1]))
            .unwrap();
        link
    }

    /// Both, once the server has seen the engine.
    pub(crate) fn ready(&self) -> (FakeEngine, FakeSidecar) {
        let (link, mut sidecar) = (self.link(0), self.sidecar());
        while check_health(&mut sidecar) != 1 {}
        (link, sidecar)
    }

    pub(crate) fn sidecar(&self) -> FakeSidecar {
        FakeSidecar::connect(self.addr).unwrap()
    }

    /// Kills the program and starts it again under its address.
    pub(crate) fn restart_at_same_address(&mut self) {
        self.conf["listen"] = json!(self.addr.to_string());
        let text = self.conf.to_string();
        self.restart(&text);
        self.listen_addr();
    }
}

/// The code that a health check hears.
pub(crate) fn check_health(sidecar: &mut FakeSidecar) -> u8 {
    sidecar.send(4, 0, &[("deep", "1")], b"").unwrap();
    let heard = sidecar.receive().unwrap();
    assert_eq!(heard.kind, 5);
    heard.code
}

/// An id that differs for each number.
pub(crate) fn id(number: u64) -> String {
    format!("{number:016x}")
}

/// Sends a request whose stream and id are `number`.
pub(crate) fn send_request(
    sidecar: &mut FakeSidecar,
    number: u32,
    class: &str,
    more: &[(&str, &str)],
    body: &[u8],
) {
    let (id, at) = (id(number.into()), unix_ms().to_string());
    let mut fields = vec![
        ("class", class),
        ("id", &id),
        ("at", &at),
        ("from", "1"),
        ("kb", "10.0"),
    ];
    fields.extend(more);
    sidecar.send(1, number, &fields, body).unwrap();
}

/// The engine's side of a run that is told to start now.
pub(crate) fn expect_start(link: &mut FakeEngine) -> String {
    let (words, _) = link.receive_command().unwrap();
    assert_eq!(words[0], "RUN", "{words:?}");
    words[1].clone()
}

/// The engine's side of a whole run: told to start, done with this result.
pub(crate) fn run_through(link: &mut FakeEngine, notice: u64, result: &[u8]) {
    let run = expect_start(link);
    link.send_line_with_body(&format!("DONE {notice} {run} fine 1"), result)
        .unwrap();
}

/// What the program says of a configuration, and its exit code.
pub(crate) fn run_to_exit(words: &[&str]) -> (Option<i32>, String) {
    let mut child = program(words).spawn().unwrap();
    let status = child.wait().unwrap();
    let mut text = String::new();
    child
        .stderr
        .take()
        .unwrap()
        .read_to_string(&mut text)
        .unwrap();
    (status.code(), text)
}

/// The next request is served: what is still said of runs before it is passed over.
pub(crate) fn expect_served(
    link: &mut FakeEngine,
    sidecar: &mut FakeSidecar,
    number: u32,
    class: &str,
    more: &[(&str, &str)],
) {
    send_request(sidecar, number, class, more, b"");
    let next = std::iter::repeat_with(|| link.receive_command().unwrap().0)
        .find(|words| words[0] != "HALT")
        .unwrap();
    assert_eq!(next[..2], ["RUN".to_string(), id(number.into())]);
    complete_run(link, sidecar, number);
}

/// The run of a request ends, and its result is heard.
pub(crate) fn complete_run(link: &mut FakeEngine, sidecar: &mut FakeSidecar, number: u32) {
    let result = format!("result {number}");
    link.send_line_with_body(
        &format!("DONE {number} {} fine 1", id(number.into())),
        result.as_bytes(),
    )
    .unwrap();
    let heard = sidecar.receive().unwrap();
    assert_eq!(
        (heard.stream, heard.code, heard.body),
        (number, 1, result.into_bytes())
    );
}
