//! Serving while nobody reads the log.
use crate::rig::*;
use cottondyke_test_support::fakes::*;
use serde_json::json;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::process::{Child, ChildStderr};
use std::time::{Duration, Instant};

/// The debug lines of so many requests exceed the capacity of a pipe many times over.
const REQUESTS: u32 = 1_500;

struct UnreadServer {
    child: Child,
    stderr: ChildStderr,
    path: std::path::PathBuf,
}

impl Drop for UnreadServer {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.path);
    }
}

/// Starts a server whose log is not read.
fn start_unread(conf: &serde_json::Value) -> UnreadServer {
    let path = temporary_file(&conf.to_string());
    let args = [
        "serve",
        "--log",
        "debug",
        "--config",
        path.to_str().unwrap(),
    ];
    let mut child = server_command(&args).spawn().unwrap();
    let stderr = child.stderr.take().unwrap();
    UnreadServer {
        child,
        stderr,
        path,
    }
}

fn connect(addr: SocketAddr) -> FakeSidecar {
    let until = Instant::now() + IO_TIMEOUT;
    loop {
        match FakeSidecar::connect(addr) {
            Ok(sidecar) => return sidecar,
            Err(error) => assert!(Instant::now() < until, "{error}"),
        }
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Guards against a log that is not read: the server blocked at its next log line, and all its connections with it.
#[test]
fn answers_while_nobody_reads_its_log() {
    let (mut conf, [engine, _records, _control]) = config_with_fakes();
    let free = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = free.local_addr().unwrap();
    drop(free);
    conf["listen"] = json!(addr.to_string());
    let mut server = start_unread(&conf);
    let mut sidecar = connect(addr);
    let mut link = Rig::accept_engine_on(&engine, 0);
    while check_health(&mut sidecar) != 1 {}
    for number in 1..=REQUESTS {
        send_request(&mut sidecar, number, KEYED, &[], b"");
        execute_next_run(&mut link, number.into(), b"");
        assert_eq!(sidecar.receive().unwrap().code, 1);
    }
    // Once the log is read again, it reports that lines were dropped.
    let lines = BufReader::new(&mut server.stderr).lines();
    let report = lines
        .map_while(Result::ok)
        .find(|line| line.contains("log lines were dropped"));
    assert!(report.is_some());
}
