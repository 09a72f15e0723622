//! Serving while nobody takes what is logged.
use crate::rig::*;
use cottondyke_test_support::fakes::*;
use serde_json::json;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::process::{Child, ChildStderr};
use std::time::{Duration, Instant};

/// Requests whose debug lines are many times what a pipe holds.
const REQUESTS: u32 = 1_500;

struct Unread {
    child: Child,
    stderr: ChildStderr,
    path: std::path::PathBuf,
}

impl Drop for Unread {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.path);
    }
}

/// A server at `addr` whose log is not read.
fn start_unread(conf: &serde_json::Value) -> Unread {
    let path = temporary_file(&conf.to_string());
    let words = [
        "serve",
        "--log",
        "debug",
        "--config",
        path.to_str().unwrap(),
    ];
    let mut child = program(&words).spawn().unwrap();
    let stderr = child.stderr.take().unwrap();
    Unread {
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

/// Guards every request against a log that is not taken: the server stood still at its next line, with all its connections.
#[test]
fn answers_while_nobody_reads_its_log() {
    let (mut conf, [engine, _records, _control]) = with_peers();
    let free = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = free.local_addr().unwrap();
    drop(free);
    conf["listen"] = json!(addr.to_string());
    let mut server = start_unread(&conf);
    let mut sidecar = connect(addr);
    let mut link = Rig::hello(&engine, 0);
    while check_health(&mut sidecar) != 1 {}
    for number in 1..=REQUESTS {
        send_request(&mut sidecar, number, BUY, &[], b"");
        run_through(&mut link, number.into(), b"");
        assert_eq!(sidecar.receive().unwrap().code, 1);
    }
    // Once it is read again, it tells what is missing.
    let lines = BufReader::new(&mut server.stderr).lines();
    let told = lines
        .map_while(Result::ok)
        .find(|line| line.contains("log lines were dropped"));
    assert!(told.is_some());
}
