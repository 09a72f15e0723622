//! The engine's end of the links: commands that act on the cores, and notices of what happened there.
use super::{Shared, STEP};
use crate::fakes::{EngineCommand, FakeEngine};
use std::io::{self, BufReader};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Instant;

/// Microseconds in a second, of the work that a body names.
const MICROS: f64 = 1e6;

/// Takes links until the machine is stopped, each in threads of its own.
pub(super) fn accept_links(listener: &TcpListener, shared: &Arc<Shared>) {
    while !shared.is_stopped() {
        match listener.accept() {
            Ok((stream, _)) => {
                let shared = shared.clone();
                std::thread::spawn(move || serve(stream, &shared));
            }
            Err(_) => std::thread::sleep(STEP),
        }
    }
}

/// One link, from `ATTACH` to its end.
fn serve(stream: TcpStream, shared: &Arc<Shared>) -> io::Result<()> {
    stream.set_nonblocking(false)?;
    stream.set_nodelay(true)?;
    let mut writer = FakeEngine(BufReader::new(stream.try_clone()?));
    let mut reader = FakeEngine(BufReader::new(stream));
    reader.command()?;
    let (link, hello) = {
        let mut cores = shared.cores();
        (cores.open_link(), cores.hello(Instant::now()))
    };
    writer.send_line(&hello)?;
    let reading = shared.clone();
    let answers = FakeEngine(BufReader::new(writer.0.get_ref().try_clone()?));
    std::thread::spawn(move || read_commands(reader, answers, link, &reading));
    while !shared.is_stopped() && shared.cores().is_link_open(link) {
        let notices = shared.cores().take_notices();
        if !notices.is_empty() {
            io::Write::write_all(writer.0.get_mut(), notices.concat().as_bytes())?;
        }
        std::thread::sleep(STEP);
    }
    writer.0.get_ref().shutdown(std::net::Shutdown::Both)
}

fn read_commands(
    mut reader: FakeEngine,
    mut answers: FakeEngine,
    link: u64,
    shared: &Shared,
) -> io::Result<()> {
    loop {
        let command = reader.command()?;
        if !shared.cores().is_link_open(link) {
            return Ok(());
        }
        if let Some(answer) = carry_out(&command, shared) {
            answers.send_line(&answer)?;
        }
    }
}

fn carry_out((words, body): &EngineCommand, shared: &Shared) -> Option<String> {
    let mut cores = shared.cores();
    match words[0].as_str() {
        "RUN" => {
            let micros: f64 = String::from_utf8_lossy(body).parse().unwrap_or(0.0);
            cores.run(&words[1], micros / MICROS, Instant::now());
            None
        }
        "HALT" => {
            cores.halt(&words[1]);
            None
        }
        "FEED" | "SKIP" => {
            cores.resume(&words[1]);
            None
        }
        "STAT" => Some(format!("STATS {} {}", words[1], cores.gauges())),
        "TEST" => Some(format!("TESTED {} fine", words[1])),
        _ => None,
    }
}
