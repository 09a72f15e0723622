//! Starts the server's binary on loopback, with fakes on ports that the system picks.
pub(crate) use crate::process::*;
use cottondyke_test_support::fakes::*;
use serde_json::{json, Value};
use std::net::{SocketAddr, TcpListener};
use std::ops::{Deref, DerefMut};

// Handlers, named by their idempotency or client timeout.
pub(crate) const IDEMPOTENT: &str = "greet"; // its call can be skipped
pub(crate) const KEYED: &str = "order";
pub(crate) const NON_IDEMPOTENT: &str = "pay";
pub(crate) const SHORT_TIMEOUT: &str = "brief"; // idempotent, a client timeout of 600 ms

/// The example configuration with the handlers `NON_IDEMPOTENT` and `SHORT_TIMEOUT` added.
pub(crate) fn example_config() -> Value {
    let mut conf: Value =
        serde_json::from_str(include_str!("../../../../examples/config.json")).unwrap();
    let handler = |name: &str, effect: &str, timeout: f64| {
        json!({ "name": name, "effect": effect, "credit": 1.0, "late_value": 0.2, "aim_ms": timeout / 2.0,
            "deadline_ms": timeout, "dedup_window_ms": 2500.0 })
    };
    let classes = conf["settings"]["classes"].as_array_mut().unwrap();
    classes.extend([
        handler(NON_IDEMPOTENT, "once", 2_000.0),
        handler(SHORT_TIMEOUT, "repeatable", 600.0),
    ]);
    conf
}

/// A configuration with fakes for engine, records service and control plane, on ports that the system picks.
pub(crate) fn config_with_fakes() -> (Value, [TcpListener; 3]) {
    let mut conf = example_config();
    conf["listen"] = json!("127.0.0.1:0");
    let listeners = ["engine", "records", "control"].map(|key| {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        conf[key] = json!(listener.local_addr().unwrap().to_string());
        listener
    });
    (conf, listeners)
}

/// A running server without an engine, configured by an operator's script.
pub(crate) struct StandaloneServer {
    process: Process,
    pub addr: SocketAddr,
}

impl StandaloneServer {
    pub(crate) fn start(script: &str) -> Self {
        let process = Process::start("--operator", temporary_file(script));
        StandaloneServer {
            addr: process.listen_addr(),
            process,
        }
    }
}

/// A running server with listeners in the place of its engine, records service and control plane.
pub(crate) struct Rig {
    process: Process,
    pub conf: Value,
    pub addr: SocketAddr,
    pub engine: TcpListener,
    pub records: TcpListener,
    pub control: TcpListener,
}

/// Lets a type with a field `process` be used as its [`Process`].
macro_rules! deref_to_process {
    ($type:ty) => {
        impl Deref for $type {
            type Target = Process;
            fn deref(&self) -> &Process {
                &self.process
            }
        }
        impl DerefMut for $type {
            fn deref_mut(&mut self) -> &mut Process {
                &mut self.process
            }
        }
    };
}

deref_to_process!(StandaloneServer);
deref_to_process!(Rig);

impl Rig {
    pub(crate) fn start() -> Self {
        Self::with(|_| {})
    }

    /// Starts a server after `change` was applied to its configuration.
    pub(crate) fn with(change: impl FnOnce(&mut Value)) -> Self {
        Self::with_environment(change, Environment::new())
    }

    /// Like [`Rig::with`], with these environment variables added.
    pub(crate) fn with_environment(
        change: impl FnOnce(&mut Value),
        environment: Environment,
    ) -> Self {
        let (mut conf, [engine, records, control]) = config_with_fakes();
        change(&mut conf);
        let file = temporary_file(&conf.to_string());
        let process = Process::start_in("--config", file, environment);
        Rig {
            addr: process.listen_addr(),
            process,
            conf,
            engine,
            records,
            control,
        }
    }

    /// Accepts the server's engine connection as [`Rig::accept_engine_on`] does.
    pub(crate) fn accept_engine(&self, last: u64) -> FakeEngine {
        Self::accept_engine_on(&self.engine, last)
    }

    /// Accepts an engine connection, which must ask for the messages after number `last`, and completes the handshake:
    /// the engine's hello, then the load query whose answer shows that all messages of earlier connections were read.
    pub(crate) fn accept_engine_on(engine: &TcpListener, last: u64) -> FakeEngine {
        let mut link = FakeEngine::accept(engine).unwrap();
        assert_eq!(
            link.receive_any_command().unwrap().0,
            ["ATTACH", &last.to_string()]
        );
        link.send_line("HELLO running 5.0").unwrap();
        let (words, _) = link.receive_any_command().unwrap();
        assert_eq!(
            words[0], "STAT",
            "the first command is the load query of the handshake"
        );
        link.send_line(&format!("STATS {} 0.5 1 0.1 3", words[1]))
            .unwrap();
        link
    }

    /// Connects a fake engine and a fake sidecar, and waits until the server reports that it is healthy.
    pub(crate) fn connect_engine_and_sidecar(&self) -> (FakeEngine, FakeSidecar) {
        let (link, mut sidecar) = (self.accept_engine(0), self.connect_sidecar());
        while check_health(&mut sidecar) != 1 {}
        (link, sidecar)
    }

    pub(crate) fn connect_sidecar(&self) -> FakeSidecar {
        FakeSidecar::connect(self.addr).unwrap()
    }

    /// Kills the process and starts it again with the same listen address.
    pub(crate) fn restart_at_same_address(&mut self) {
        self.conf["listen"] = json!(self.addr.to_string());
        let text = self.conf.to_string();
        self.restart(&text);
        self.listen_addr();
    }
}

/// Performs a deep health check and returns the result code.
pub(crate) fn check_health(sidecar: &mut FakeSidecar) -> u8 {
    sidecar.send(4, 0, &[("deep", "1")], b"").unwrap();
    let status = sidecar.receive().unwrap();
    assert_eq!(status.kind, 5);
    status.code
}

/// The request id for a number.
pub(crate) fn id(number: u64) -> String {
    format!("{number:016x}")
}

/// Sends a request whose stream and id are derived from `number`, with `more` fields added.
pub(crate) fn send_request(
    sidecar: &mut FakeSidecar,
    number: u32,
    class: &str,
    more: &[(&str, &str)],
    body: &[u8],
) {
    try_send_request(sidecar, number, class, more, body).unwrap();
}

/// Like [`send_request`]; fails if the connection has ended.
pub(crate) fn try_send_request(
    sidecar: &mut FakeSidecar,
    number: u32,
    class: &str,
    more: &[(&str, &str)],
    body: &[u8],
) -> std::io::Result<()> {
    let (id, at) = (id(number.into()), unix_ms().to_string());
    let mut fields = vec![
        ("class", class),
        ("id", &id),
        ("at", &at),
        ("from", "1"),
        ("kb", "10.0"),
    ];
    fields.extend(more);
    sidecar.send(1, number, &fields, body)
}

/// Takes the engine's next command, which must start a run, and returns the run's id.
pub(crate) fn expect_start(link: &mut FakeEngine) -> String {
    let (words, _) = link.receive_command().unwrap();
    assert_eq!(words[0], "RUN", "{words:?}");
    words[1].clone()
}

/// Acts as the engine for one run: expects its start and sends its result as message `message`.
pub(crate) fn execute_next_run(link: &mut FakeEngine, message: u64, result: &[u8]) {
    let run = expect_start(link);
    link.send_line_with_body(&format!("DONE {message} {run} fine 1"), result)
        .unwrap();
}

/// Checks that the next request is served, ignoring cancellations of earlier runs.
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

/// Completes the run of a request and checks that the sidecar receives the result.
pub(crate) fn complete_run(link: &mut FakeEngine, sidecar: &mut FakeSidecar, number: u32) {
    let result = format!("result {number}");
    link.send_line_with_body(
        &format!("DONE {number} {} fine 1", id(number.into())),
        result.as_bytes(),
    )
    .unwrap();
    let response = sidecar.receive().unwrap();
    assert_eq!(
        (response.stream, response.code, response.body),
        (number, 1, result.into_bytes())
    );
}
