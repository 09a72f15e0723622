//! Stand-ins of the second review: the platform's files, an engine, a control plane, the frames of a sidecar, and the
//! server itself as a process. Standard library only.
#![allow(dead_code)]
use std::collections::HashSet;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const RULE_HELD: i32 = 0;
pub const RULE_BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

pub fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

pub fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis())
}

/// Runs a case and ends the program with its exit code.
pub fn main_of(run: impl Fn(&Path) -> io::Result<i32>) {
    let folder = std::env::args().nth(1).expect("the folder of the case");
    let code = run(Path::new(&folder)).unwrap_or_else(|error| {
        eprintln!("the case could not run: {error}");
        COULD_NOT_RUN
    });
    std::process::exit(code);
}

/// The file `record.txt` of a case: what was sent, answered and run, with the milliseconds since the start.
#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<File>)>);

impl Record {
    pub fn create(folder: &Path) -> io::Result<Self> {
        let file = File::create(folder.join("record.txt"))?;
        Ok(Record(Arc::new((Instant::now(), Mutex::new(file)))))
    }

    pub fn line(&self, text: impl std::fmt::Display) {
        let ms = self.0 .0.elapsed().as_millis();
        let _ = writeln!(lock(&self.0 .1), "{ms:>6} {text}");
    }

    /// Writes a line, and prints it.
    pub fn say(&self, text: impl std::fmt::Display) {
        println!("{text}");
        self.line(text);
    }
}

/// A folder for the server's files, removed at the end.
pub struct TemporaryFolder(PathBuf);

impl TemporaryFolder {
    pub fn create() -> io::Result<Self> {
        let name = format!("review-{}-{}", std::process::id(), unix_ms());
        let path = std::env::temp_dir().join(name);
        fs::create_dir(&path)?;
        Ok(TemporaryFolder(path))
    }

    pub fn write(&self, name: &str, text: &str) -> io::Result<String> {
        let path = self.0.join(name);
        fs::write(&path, text)?;
        Ok(path.display().to_string())
    }
}

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// An address that no socket has at this moment.
pub fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

/// Listens on a free port and serves each connection on a thread of its own.
pub fn listen(serve: impl Fn(TcpStream) -> io::Result<()> + Send + Sync + 'static) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let addr = listener.local_addr()?;
    let serve = Arc::new(serve);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            let serve = serve.clone();
            std::thread::spawn(move || serve(stream));
        }
    });
    Ok(addr)
}

/// The server, started with the command `run` of the deploy file.
pub struct Server(Child);

impl Server {
    /// `config` is the platform's file for `GW_CONFIG`, `arguments` are added to the command.
    pub fn start(folder: &Path, config: Option<&str>, arguments: &str) -> io::Result<Self> {
        let deploy = fs::read_to_string("deploy/balancer.toml")?;
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = "));
        let run = run.ok_or_else(|| io::Error::other("no run in the deploy file"))?;
        let run = run.trim().trim_matches('"');
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(format!("{run} {arguments}"));
        command.env_remove("GW_CONFIG");
        if let Some(config) = config {
            command.env("GW_CONFIG", config);
        }
        command.stdin(Stdio::null()).stdout(Stdio::null());
        command.stderr(File::create(folder.join("server.log"))?);
        let child = command.spawn()?;
        if let Ok(path) = std::env::var("REVIEW_PIDS") {
            fs::write(path, format!("{}\n", child.id()))?;
        }
        Ok(Server(child))
    }

    /// Waits until the server accepts connections.
    pub fn wait_until_up(&mut self, listen: SocketAddr) -> io::Result<()> {
        for _ in 0..300 {
            if !self.is_running() {
                return Err(io::Error::other("the server ended at its start"));
            }
            if TcpStream::connect(listen).is_ok() {
                return Ok(());
            }
            sleep_ms(50);
        }
        Err(io::Error::other("the server did not come up"))
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.0.try_wait(), Ok(None))
    }

    pub fn id(&self) -> u32 {
        self.0.id()
    }

    /// Ends the process as SIGKILL does.
    pub fn kill(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The anonymous memory of a process that is in use, in KB; files, its program among them, are not counted.
pub fn anonymous_kb(pid: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"))?;
    line.split_whitespace().next()?.parse().ok()
}

/// A class of requests in the settings.
pub struct Class {
    pub name: &'static str,
    pub effect: &'static str,
    pub aim_ms: u32,
    pub deadline_ms: u32,
    pub window_ms: u32,
}

/// The parts of the platform's file that differ between the cases.
pub struct Config {
    pub listen: SocketAddr,
    pub engine: SocketAddr,
    pub control: SocketAddr,
    pub memory_mb: u32,
    pub sockets: u32,
    pub cores: u32,
    pub classes: Vec<Class>,
}

impl Config {
    pub fn text(&self) -> String {
        let class = |c: &Class| {
            format!(
                r#"{{"name": "{}", "effect": "{}", "credit": 1.0, "late_value": 0.0, "aim_ms": {}.0, "deadline_ms": {}.0, "dedup_window_ms": {}.0}}"#,
                c.name, c.effect, c.aim_ms, c.deadline_ms, c.window_ms
            )
        };
        let classes: Vec<String> = self.classes.iter().map(class).collect();
        let none: Vec<&str> = self.classes.iter().map(|_| "false").collect();
        let zero: Vec<&str> = self.classes.iter().map(|_| "0.0").collect();
        format!(
            r#"{{
  "name": "n1", "listen": "{}", "engine": "{}", "control": "{}", "records": "{}",
  "seed": "8c1f30d27a5be964", "stop_ms": 3200,
  "limits": {{"cores": 1.0, "memory_mb": {}, "sockets": {}}},
  "settings": {{
    "blend": {{"whole": 0.6, "worst_class": 0.2, "worst_window": 0.2}},
    "classes": [{}], "client_habits": {{"marks_retry": true}}, "customers": [], "family": "server",
    "family_info": {{
      "advert": "none", "below": "common", "blowup": 4.0, "calls_over_ms": 5000.0, "cancel_seen": false,
      "class_calls": [{}], "class_skip_worth": [{}], "cold": false, "dep_share": 6.0, "fresh_ms": 0.0,
      "heeded_ms": 1000.0, "idle_ms": 30000.0, "kb_per_key": 1.0, "linger_ms": 200.0, "list_follows": false,
      "mem_limit_kb": 60768.0, "n_cores": {}, "own_stats": ["cpu_busy", "runnable", "mem_used", "sockets"],
      "passes_deadline": false, "preemption": "drop", "real_checks": true, "upstreams": 3
    }},
    "fees": {{"late_fail": 0.05, "waste": 0.03}}, "group_size": 12, "my_number": 3,
    "obligations": {{
      "answer_slack_ms": 60.0, "drain_grace_ms": 2000.0, "fall_ms": 3000.0, "overload_factor": 5.0,
      "start_capacity": 0.2, "warm_within_ms": 17000.0
    }},
    "over_share_worth": 0.1, "policy_limits": {{"max_retry_after_ms": 1000.0, "retry_after": true}},
    "report": {{"names": [], "via": "none"}}, "resolution_ms": 2.0, "tier": 0, "tiers": ["front"],
    "worth_by": "work", "zone": 0, "zones": ["one"]
  }}
}}
"#,
            self.listen,
            self.engine,
            self.control,
            free_address().unwrap_or(self.engine),
            self.memory_mb,
            self.sockets,
            classes.join(", "),
            none.join(", "),
            zero.join(", "),
            self.cores,
        )
    }
}

/// An engine without calls: each run of a request that a sidecar has sent takes the same time. A run of any other
/// request is not carried out.
#[derive(Clone)]
pub struct Engine {
    known: Arc<Mutex<HashSet<String>>>,
    state: Arc<Mutex<EngineState>>,
    record: Record,
    run_ms: u64,
}

#[derive(Default)]
struct EngineState {
    link: Option<TcpStream>,
    notices: Vec<String>,
    running: usize,
    runs: usize,
    refused: usize,
}

impl Engine {
    pub fn start(record: &Record, run_ms: u64) -> io::Result<(Self, SocketAddr)> {
        let engine = Engine {
            known: Arc::default(),
            state: Arc::default(),
            record: record.clone(),
            run_ms,
        };
        let served = engine.clone();
        let addr = listen(move |stream| served.serve(stream))?;
        Ok((engine, addr))
    }

    /// A sidecar sends the request with this id.
    pub fn expect(&self, id: &str) {
        lock(&self.known).insert(id.to_string());
    }

    /// The runs that began, and the commands to run requests that no sidecar sent.
    pub fn counts(&self) -> (usize, usize) {
        let state = lock(&self.state);
        (state.runs, state.refused)
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        let mut reader = BufReader::new(stream.try_clone()?);
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Ok(());
            }
            let words: Vec<&str> = line.split_whitespace().collect();
            let id = words.get(1).copied().unwrap_or_default().to_string();
            match words.first().copied().unwrap_or_default() {
                "ATTACH" => {
                    let mut state = lock(&self.state);
                    state.link = Some(stream.try_clone()?);
                    self.send(&mut state, "HELLO running 100000\r\n");
                    let after: usize = id.parse().unwrap_or(0);
                    for notice in state.notices.iter().skip(after).cloned().collect::<Vec<_>>() {
                        self.send(&mut state, &notice);
                    }
                }
                "STAT" => {
                    let mut state = lock(&self.state);
                    let busy = (state.running as f64 / 6.0).min(1.0);
                    let text = format!("STATS {id} {busy:.2} {} 0.1 3\r\n", state.running);
                    self.send(&mut state, &text);
                }
                "TEST" => self.send(&mut lock(&self.state), &format!("TESTED {id} fine\r\n")),
                "RUN" => {
                    let length: usize = words[3].parse().unwrap_or(0);
                    let mut body = vec![0; length + 2];
                    reader.read_exact(&mut body)?;
                    self.run(id);
                }
                _ => {}
            }
        }
    }

    fn run(&self, id: String) {
        let is_known = lock(&self.known).contains(&id);
        let mut state = lock(&self.state);
        if !is_known {
            state.refused += 1;
            return self.send(&mut state, &format!("NO RUN {id}\r\n"));
        }
        state.runs += 1;
        state.running += 1;
        drop(state);
        self.record.line(format!("engine: runs {id}"));
        let engine = self.clone();
        std::thread::spawn(move || {
            sleep_ms(engine.run_ms);
            let mut state = lock(&engine.state);
            state.running -= 1;
            let number = state.notices.len() + 1;
            let notice = format!("DONE {number} {id} fine {} 16\r\n{id}\r\n", engine.run_ms);
            state.notices.push(notice.clone());
            engine.send(&mut state, &notice);
        });
    }

    fn send(&self, state: &mut EngineState, text: &str) {
        if let Some(link) = &mut state.link {
            let _ = link.write_all(text.as_bytes());
        }
    }
}

/// A control plane that answers each report.
pub fn start_control_plane() -> io::Result<SocketAddr> {
    listen(|stream| {
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while read_http(&mut reader)?.is_some() {
            writer.write_all(b"HTTP/1.1 204 No Content\r\n\r\n")?;
        }
        Ok(())
    })
}

/// Reads an HTTP request and returns its body; `None` at the end of the connection.
pub fn read_http(reader: &mut impl BufRead) -> io::Result<Option<Vec<u8>>> {
    let mut length = 0;
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let text = line.trim();
        if text.is_empty() {
            break;
        }
        if let Some(value) = text.to_ascii_lowercase().strip_prefix("content-length:") {
            length = value.trim().parse().unwrap_or(0);
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(Some(body))
}

/// A frame with a request.
pub fn request_frame(stream: u32, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut payload = vec![fields.len() as u8];
    for (name, value) in fields {
        payload.push(name.len() as u8);
        payload.extend(name.as_bytes());
        payload.extend((value.len() as u16).to_be_bytes());
        payload.extend(value.as_bytes());
    }
    payload.extend(body);
    let mut frame = (payload.len() as u32 + 5).to_be_bytes().to_vec();
    frame.push(1);
    frame.extend(stream.to_be_bytes());
    frame.extend(payload);
    frame
}

/// A frame from the server.
pub struct Frame {
    pub kind: u8,
    pub stream: u32,
    pub code: u8,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

/// Reads a frame; an error at the end of the connection.
pub fn read_frame(reader: &mut impl Read) -> io::Result<Frame> {
    let mut head = [0; 9];
    reader.read_exact(&mut head)?;
    let length = u32::from_be_bytes([head[0], head[1], head[2], head[3]]) as usize;
    let mut payload = vec![0; length.saturating_sub(5)];
    reader.read_exact(&mut payload)?;
    let mut rest = payload.get(2..).unwrap_or_default();
    let mut fields = Vec::new();
    for _ in 0..payload.get(1).copied().unwrap_or(0) {
        let (name, after) = rest.split_at(1 + usize::from(rest[0]));
        let size = usize::from(u16::from_be_bytes([after[0], after[1]]));
        let (value, after) = after.split_at(2 + size);
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
        fields.push((text(&name[1..]), text(&value[2..])));
        rest = after;
    }
    Ok(Frame {
        kind: head[4],
        stream: u32::from_be_bytes([head[5], head[6], head[7], head[8]]),
        code: payload.first().copied().unwrap_or(0),
        fields,
        body: rest.to_vec(),
    })
}
