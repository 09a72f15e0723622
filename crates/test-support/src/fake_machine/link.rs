//! The engine's side of the links from the server: executes commands on the cores, and sends notices about their runs.
use super::{Shared, STEP_INTERVAL};
use crate::fakes::{EngineCommand, FakeEngine};
use std::io::{self, BufReader, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

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

/// The writing end of a link, which notices and replies share.
type LinkWriter = Arc<Mutex<FakeEngine>>;

fn lock(writer: &LinkWriter) -> MutexGuard<'_, FakeEngine> {
    writer.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Serves one link, from its `ATTACH` to its end.
fn serve(stream: TcpStream, shared: &Arc<Shared>) -> io::Result<()> {
    stream.set_nonblocking(false)?;
    stream.set_nodelay(true)?;
    let writer = Arc::new(Mutex::new(FakeEngine(BufReader::new(stream.try_clone()?))));
    let mut reader = FakeEngine(BufReader::new(stream.try_clone()?));
    let (words, _) = reader.receive_any_command()?;
    let last_read: usize = words[1].parse().map_err(io::Error::other)?;
    let (link, hello) = {
        let mut cores = shared.cores();
        (cores.open_link(), cores.hello_line(Instant::now()))
    };
    lock(&writer).send_line(&hello)?;
    let (reader_shared, replies) = (shared.clone(), writer.clone());
    std::thread::spawn(move || read_commands(reader, &replies, link, &reader_shared));
    let result = write_notices(&writer, link, last_read, shared);
    let _ = stream.shutdown(Shutdown::Both);
    result
}

/// Writes notices after number `last_written`, until the link is broken or replaced.
fn write_notices(
    writer: &LinkWriter,
    link: u64,
    mut last_written: usize,
    shared: &Shared,
) -> io::Result<()> {
    let style = shared.cores().notice_style();
    while !shared.is_stopped() {
        let notices = {
            let cores = shared.cores();
            if !cores.is_link_open(link) {
                break;
            }
            cores.notices_after(last_written)
        };
        let mut text = String::new();
        for notice in notices {
            last_written += 1;
            text.push_str(&notice);
            if style.repeat_one_in > 0 && last_written.is_multiple_of(style.repeat_one_in) {
                text.push_str(&notice);
            }
        }
        if !text.is_empty() {
            write_in_pieces(writer, text.as_bytes(), style.pause)?;
        }
        std::thread::sleep(STEP_INTERVAL);
    }
    Ok(())
}

/// Writes notices in two pieces, with a pause between them.
fn write_in_pieces(writer: &LinkWriter, notices: &[u8], pause: Duration) -> io::Result<()> {
    let (first, second) = notices.split_at(notices.len() / 2);
    let mut writer = lock(writer);
    let stream = writer.0.get_mut();
    stream.write_all(first)?;
    std::thread::sleep(pause);
    stream.write_all(second)
}

fn read_commands(
    mut reader: FakeEngine,
    replies: &LinkWriter,
    link: u64,
    shared: &Shared,
) -> io::Result<()> {
    loop {
        let command = reader.receive_any_command()?;
        let executes = {
            let cores = shared.cores();
            if !cores.is_link_open(link) {
                return Ok(());
            }
            cores.executes_commands()
        };
        if let Some(reply) = executes.then(|| execute(&command, shared)).flatten() {
            lock(replies).send_line(&reply)?;
        }
    }
}

/// Executes a command on the cores, and returns the reply line if it has one.
fn execute((words, body): &EngineCommand, shared: &Shared) -> Option<String> {
    let mut cores = shared.cores();
    match words[0].as_str() {
        "RUN" if !cores.recognizes(&words[1]) => Some(format!("NO RUN {}", words[1])),
        "RUN" => {
            let micros: f64 = String::from_utf8_lossy(body).parse().unwrap_or(0.0);
            cores.start_run(&words[1], micros / MICROS_PER_SECOND, Instant::now());
            None
        }
        "HALT" => {
            cores.cancel_run(&words[1]);
            None
        }
        "FEED" => {
            cores.give_call_result(&words[1], &String::from_utf8_lossy(body));
            None
        }
        "SKIP" => {
            cores.skip_call(&words[1], words[2].parse().unwrap_or(0));
            None
        }
        "STAT" => Some(format!("STATS {} {}", words[1], cores.gauges())),
        "TEST" => Some(format!("TESTED {} fine", words[1])),
        _ => None,
    }
}
