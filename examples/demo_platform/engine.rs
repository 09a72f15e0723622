//! A fake engine: each run makes one call, and its result is the request's body followed by the call's response.
use cottondyke_test_support::fakes::FakeEngine;
use std::collections::BTreeMap;
use std::io::{self, BufReader};
use std::net::TcpListener;

pub(crate) const ADDRESS: &str = "127.0.0.1:7300";

pub(crate) fn listen() -> io::Result<TcpListener> {
    TcpListener::bind(ADDRESS)
}

/// Serves connections from the server, one after another.
pub(crate) fn serve(listener: &TcpListener) -> io::Result<()> {
    for stream in listener.incoming() {
        let connection = FakeEngine(BufReader::new(stream?));
        if let Err(error) = serve_connection(connection) {
            println!("engine: connection ended: {error}");
        }
    }
    Ok(())
}

fn serve_connection(mut connection: FakeEngine) -> io::Result<()> {
    connection.0.get_ref().set_read_timeout(None)?;
    // The engine's messages are numbered in sequence.
    let mut number = 0;
    let mut bodies: BTreeMap<String, Vec<u8>> = BTreeMap::new();
    loop {
        let (words, body) = match connection.receive_command() {
            Err(error) if error.kind() == io::ErrorKind::TimedOut => continue,
            command => command?,
        };
        let word = |index: usize| words.get(index).map_or("", String::as_str);
        let run = word(1);
        number += 1;
        match word(0) {
            "ATTACH" => connection.send_line("HELLO running 0")?,
            "RUN" => {
                println!("engine: runs {run} of {}", word(2));
                bodies.insert(run.to_string(), body);
                let line = format!("NEED {number} {run}");
                connection.send_line_with_body(&line, b"stock of everything")?;
            }
            "FEED" => {
                let mut result = bodies.remove(run).unwrap_or_default();
                result.extend(b" - ");
                result.extend(body);
                let line = format!("DONE {number} {run} fine 1.0");
                connection.send_line_with_body(&line, &result)?;
            }
            "HALT" => {
                let line = format!("DONE {number} {run} broken_off 1.0");
                connection.send_line_with_body(&line, b"")?;
            }
            "SKIP" => {
                let line = format!("DONE {number} {run} fine 1.0");
                connection.send_line_with_body(&line, b"without the call")?;
            }
            "TEST" => connection.send_line(&format!("TESTED {run} fine"))?,
            _ => {}
        }
    }
}
