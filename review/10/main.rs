//! Case 10: a sidecar whose workers number their streams in ranges of their own. See `claim.txt`.
#[path = "../support/mod.rs"]
mod support;

use std::collections::HashMap;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use support::*;

const LOAD: Duration = Duration::from_secs(30);
/// In each interval every worker of the sidecar sends one request, on the connection that they share.
const INTERVAL_MS: u64 = 80;
/// Each worker numbers its streams in a range of its own.
const WORKERS: u32 = 16;
const RANGE: u32 = 1 << 24;
/// The protocol allows 32.
const MAX_OPEN: usize = 32;
const CLIENT_TIMEOUT_MS: u64 = 4_500;
const SLACK_MS: u64 = 60 + 50;
/// Of a thousand requests, so many may be lost before the rule is broken.
const TOLERATED_IN_1000: usize = 3;

fn has_ranges() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

fn main() {
    main_of(run);
}

/// The stream of the request with this number on its connection, 1 up.
fn stream_of(number: u32) -> u32 {
    if has_ranges() {
        (number - 1) % WORKERS * RANGE + (number - 1) / WORKERS + 1
    } else {
        number
    }
}

fn run(folder: &Path) -> io::Result<i32> {
    let record = Record::create(folder)?;
    let files = TemporaryFolder::create()?;
    let (engine, engine_addr) = Engine::start(&record, 20)?;
    let listen = free_address()?;
    let config = Config {
        listen,
        engine: engine_addr,
        control: start_control_plane()?,
        memory_mb: 192,
        sockets: 1_024,
        cores: 6,
        classes: vec![Class { name: "browse", effect: "repeatable", aim_ms: 1_800, deadline_ms: CLIENT_TIMEOUT_MS as u32, window_ms: 5_000 }],
    };
    let path = files.write("config.json", &config.text())?;
    let mut server = Server::start(folder, Some(&path), "")?;
    server.wait_until_up(listen)?;
    sleep_ms(500);
    let code = send_requests(listen, &engine, &record)?;
    if !server.is_running() {
        record.say("the server ended");
        return Ok(RULE_BROKEN);
    }
    Ok(code)
}

/// A connection, its open streams, and whether it has ended.
struct Connection {
    stream: TcpStream,
    sent: u32,
    open: Arc<Mutex<HashMap<u32, Instant>>>,
    ended: Arc<AtomicBool>,
}

#[derive(Default)]
struct Totals {
    answered: usize,
    late: usize,
    errors: usize,
}

fn open_connection(listen: SocketAddr, totals: &Arc<Mutex<Totals>>, record: &Record) -> io::Result<Connection> {
    let stream = TcpStream::connect(listen)?;
    stream.set_nodelay(true)?;
    let connection = Connection { stream: stream.try_clone()?, sent: 0, open: Arc::default(), ended: Arc::default() };
    let (open, ended, totals, record) = (connection.open.clone(), connection.ended.clone(), totals.clone(), record.clone());
    std::thread::spawn(move || {
        let mut stream = stream;
        while let Ok(frame) = read_frame(&mut stream) {
            let body = String::from_utf8_lossy(&frame.body).into_owned();
            if frame.kind != 2 || frame.stream == 0 {
                record.line(format!("sidecar: frame of type {} on stream {}: {body:?}", frame.kind, frame.stream));
                lock(&totals).errors += usize::from(frame.kind == 2);
                continue;
            }
            let sent = lock(&open).remove(&frame.stream);
            record.line(format!("sidecar: stream {} answered with code {}", frame.stream, frame.code));
            let mut totals = lock(&totals);
            totals.answered += 1;
            let limit = Duration::from_millis(CLIENT_TIMEOUT_MS + SLACK_MS);
            totals.late += usize::from(sent.is_some_and(|at| at.elapsed() > limit));
        }
        record.line("sidecar: the connection ended");
        ended.store(true, Ordering::SeqCst);
    });
    Ok(connection)
}

fn send_requests(listen: SocketAddr, engine: &Engine, record: &Record) -> io::Result<i32> {
    let totals: Arc<Mutex<Totals>> = Arc::default();
    let mut connection = open_connection(listen, &totals, record)?;
    let mut lost = 0;
    let mut sent = 0u32;
    let end = Instant::now() + LOAD;
    while Instant::now() < end {
        if sent % WORKERS == 0 {
            sleep_ms(INTERVAL_MS);
        }
        if connection.ended.load(Ordering::SeqCst) {
            lost += count_lost(&connection, record);
            connection = open_connection(listen, &totals, record)?;
        }
        if lock(&connection.open).len() >= MAX_OPEN {
            sleep_ms(1);
            continue;
        }
        let stream = stream_of(connection.sent + 1);
        let id = format!("{:016x}", sent + 1);
        engine.expect(&id);
        let at = unix_ms().to_string();
        let fields = [("class", "browse"), ("id", &id), ("at", &at), ("from", "1"), ("kb", "20.0"), ("cost", "20.00")];
        lock(&connection.open).insert(stream, Instant::now());
        let written = connection.stream.write_all(&request_frame(stream, &fields, b"page"));
        record.line(format!("sidecar: sent {id} on stream {stream}: {written:?}"));
        if written.is_err() {
            lock(&connection.open).remove(&stream);
            connection.ended.store(true, Ordering::SeqCst);
            continue;
        }
        connection.sent += 1;
        sent += 1;
    }
    let end = Instant::now() + Duration::from_millis(CLIENT_TIMEOUT_MS + SLACK_MS);
    while Instant::now() < end && !lock(&connection.open).is_empty() {
        sleep_ms(10);
    }
    lost += count_lost(&connection, record);
    let totals = lock(&totals);
    record.say(format!(
        "requests {sent}, answered {}, late {}, never answered {lost}, errors on stream 0 {}",
        totals.answered, totals.late, totals.errors
    ));
    let is_broken = lost * 1_000 > TOLERATED_IN_1000 * sent as usize;
    Ok(if is_broken { RULE_BROKEN } else { RULE_HELD })
}

/// The requests whose connection ended, or whose time was over, with no answer.
fn count_lost(connection: &Connection, record: &Record) -> usize {
    let open = lock(&connection.open);
    for (stream, at) in open.iter() {
        record.line(format!("judge: stream {stream}, sent {} ms ago, was never answered", at.elapsed().as_millis()));
    }
    open.len()
}
