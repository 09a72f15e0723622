//! The engine's side of the links from the server: executes commands on the cores, and sends notices about their runs.
use super::{Shared, STEP_INTERVAL};
use crate::fakes::{EngineCommand, FakeEngine};
use std::io::{self, BufReader};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Instant;

/// A request's body gives the work of its run in microseconds.
const MICROS_PER_SECOND: f64 = 1e6;

/// Accepts links until the machine is stopped, and serves each on threads of its own.
pub(super) fn accept_links(listener: &TcpListener, shared: &Arc<Shared>) {
    while !shared.is_stopped() {
        match listener.accept() {
            Ok((stream, _)) => {
                let shared = shared.clone();
                std::thread::spawn(move || serve(stream, &shared));
            }
            Err(_) => std::thread::sleep(STEP_INTERVAL),
        }
    }
}

/// Serves one link, from its `ATTACH` to its end.
fn serve(stream: TcpStream, shared: &Arc<Shared>) -> io::Result<()> {
    stream.set_nonblocking(false)?;
    stream.set_nodelay(true)?;
    let mut writer = FakeEngine(BufReader::new(stream.try_clone()?));
    let mut reader = FakeEngine(BufReader::new(stream));
    reader.receive_any_command()?;
    let (link, hello) = {
        let mut cores = shared.cores();
        (cores.open_link(), cores.hello_line(Instant::now()))
    };
    writer.send_line(&hello)?;
    let reader_shared = shared.clone();
    let reader_replies = FakeEngine(BufReader::new(writer.0.get_ref().try_clone()?));
    std::thread::spawn(move || read_commands(reader, reader_replies, link, &reader_shared));
    while !shared.is_stopped() && shared.cores().is_link_open(link) {
        let notices = shared.cores().take_notices();
        if !notices.is_empty() {
            io::Write::write_all(writer.0.get_mut(), notices.concat().as_bytes())?;
        }
        std::thread::sleep(STEP_INTERVAL);
    }
    writer.0.get_ref().shutdown(std::net::Shutdown::Both)
}

fn read_commands(
    mut reader: FakeEngine,
    mut replies: FakeEngine,
    link: u64,
    shared: &Shared,
) -> io::Result<()> {
    loop {
        let command = reader.receive_any_command()?;
        if !shared.cores().is_link_open(link) {
            return Ok(());
        }
        if let Some(reply) = execute(&command, shared) {
            replies.send_line(&reply)?;
        }
    }
}

/// Executes a command on the cores, and returns the reply line if it has one.
fn execute((words, body): &EngineCommand, shared: &Shared) -> Option<String> {
    let mut cores = shared.cores();
    match words[0].as_str() {
        "RUN" => {
            let micros: f64 = String::from_utf8_lossy(body).parse().unwrap_or(0.0);
            cores.start_run(&words[1], micros / MICROS_PER_SECOND, Instant::now());
            None
        }
        "HALT" => {
            cores.cancel_run(&words[1]);
            None
        }
        "FEED" | "SKIP" => {
            cores.resume_run(&words[1]);
            None
        }
        "STAT" => Some(format!("STATS {} {}", words[1], cores.gauges())),
        "TEST" => Some(format!("TESTED {} fine", words[1])),
        _ => None,
    }
}
