//! Case 6: bad clients send requests with long keys; the server needs more than its memory. See `claim.txt`.
#[path = "../support/mod.rs"]
mod support;

use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use support::*;

/// The page's range is 32 to 192 MB.
const MEMORY_MB: u32 = 64;
const BAD_CLIENTS: u64 = 30;
/// Requests that a bad client sends at once, on one connection; the protocol allows 32 open ones.
const AT_ONCE: u64 = 32;
/// The length of a key; the format allows 65,535.
const KEY_BYTES: usize = 60_000;
const LOAD: Duration = Duration::from_secs(20);
/// The bad clients send in this part of the load.
const BAD_FROM: Duration = Duration::from_secs(4);
const BAD_UNTIL: Duration = Duration::from_secs(14);
const CLIENT_TIMEOUT_MS: u64 = 4_000;
const SLACK_MS: u64 = 60 + 50;

fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

fn main() {
    main_of(run);
}

fn run(folder: &Path) -> io::Result<i32> {
    let record = Record::create(folder)?;
    let files = TemporaryFolder::create()?;
    let (engine, engine_addr) = Engine::start(&record, 20)?;
    let listen = free_address()?;
    let class = |name, effect| Class { name, effect, aim_ms: 1_300, deadline_ms: CLIENT_TIMEOUT_MS as u32, window_ms: 25_125 };
    let config = Config {
        listen,
        engine: engine_addr,
        control: start_control_plane()?,
        memory_mb: MEMORY_MB,
        sockets: 512,
        cores: 2,
        classes: vec![class("search", "repeatable"), class("booking", "by_key")],
    };
    let path = files.write("config.json", &config.text())?;
    let mut server = Server::start(folder, Some(&path), "")?;
    server.wait_until_up(listen)?;
    sleep_ms(500);
    let start = Instant::now();
    if has_trouble() {
        for number in 0..BAD_CLIENTS {
            let record = record.clone();
            std::thread::spawn(move || bad_client(number, listen, start, &record));
        }
    }
    let sidecar = {
        let (engine, record) = (engine.clone(), record.clone());
        std::thread::spawn(move || sidecar(listen, &engine, &record))
    };
    // The platform: it kills a server that needs more than its memory. Files are not counted here.
    let mut highest = 0;
    let mut killed = false;
    let mut ended = false;
    while start.elapsed() < LOAD + Duration::from_secs(5) && !killed && !ended {
        let kb = anonymous_kb(server.id()).unwrap_or(0);
        highest = highest.max(kb);
        if kb > u64::from(MEMORY_MB) * 1024 {
            record.say(format!("the server holds {kb} KB of anonymous memory, over {MEMORY_MB} MB: the platform kills it"));
            server.kill();
            killed = true;
        }
        ended = !killed && !server.is_running();
        sleep_ms(2);
    }
    let counts = sidecar.join().map_err(|_| io::Error::other("the sidecar failed"))??;
    let (runs, refused) = engine.counts();
    record.say(format!(
        "memory at most {} MB of {MEMORY_MB}; killed {killed}, ended by itself {ended}; the sidecar's requests: sent {}, \
         answered {}, open at the end {}, late {}; runs {runs}, commands for unknown requests {refused}",
        highest / 1024, counts.sent, counts.answered, counts.open, counts.late
    ));
    Ok(if killed || ended || counts.open > 0 { RULE_BROKEN } else { RULE_HELD })
}

struct Counts {
    sent: usize,
    answered: usize,
    open: usize,
    late: usize,
}

/// The usual sidecar: 50 requests a second on one connection, until the load is over or the connection ends.
fn sidecar(listen: SocketAddr, engine: &Engine, record: &Record) -> io::Result<Counts> {
    let mut stream = TcpStream::connect(listen)?;
    stream.set_nodelay(true)?;
    let open: Arc<Mutex<HashMap<u32, Instant>>> = Arc::default();
    let (answered, late, ended) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)), Arc::new(AtomicBool::new(false)));
    let reader = {
        let (mut stream, open, record) = (stream.try_clone()?, open.clone(), record.clone());
        let (answered, late, ended) = (answered.clone(), late.clone(), ended.clone());
        std::thread::spawn(move || {
            while let Ok(frame) = read_frame(&mut stream) {
                if frame.kind != 2 || frame.stream == 0 {
                    record.line(format!("sidecar: frame of type {} on stream {}", frame.kind, frame.stream));
                    continue;
                }
                let sent = lock(&open).remove(&frame.stream);
                record.line(format!("sidecar: stream {} answered with code {}", frame.stream, frame.code));
                answered.fetch_add(1, Ordering::SeqCst);
                if sent.is_some_and(|at| at.elapsed() > Duration::from_millis(CLIENT_TIMEOUT_MS + SLACK_MS)) {
                    late.fetch_add(1, Ordering::SeqCst);
                }
            }
            ended.store(true, Ordering::SeqCst);
        })
    };
    let start = Instant::now();
    let mut sent = 0;
    while start.elapsed() < LOAD && !ended.load(Ordering::SeqCst) {
        sleep_ms(20);
        if lock(&open).len() >= 32 {
            continue;
        }
        sent += 1;
        let id = format!("{:016x}", sent);
        engine.expect(&id);
        let at = unix_ms().to_string();
        let fields = [("class", "search"), ("id", &id), ("at", &at), ("from", "1"), ("kb", "20.0"), ("cost", "20.00")];
        lock(&open).insert(sent as u32, Instant::now());
        record.line(format!("sidecar: sends {id}"));
        if stream.write_all(&request_frame(sent as u32, &fields, b"query")).is_err() {
            lock(&open).remove(&(sent as u32));
            sent -= 1;
            break;
        }
    }
    let end = Instant::now() + Duration::from_millis(CLIENT_TIMEOUT_MS + SLACK_MS);
    while Instant::now() < end && !lock(&open).is_empty() && !ended.load(Ordering::SeqCst) {
        sleep_ms(10);
    }
    let _ = stream.shutdown(std::net::Shutdown::Both);
    let _ = reader.join();
    let open = lock(&open).len();
    Ok(Counts { sent, answered: answered.load(Ordering::SeqCst), open, late: late.load(Ordering::SeqCst) })
}

/// Sends requests at once that the engine does not know, with long keys, reads what comes back, and does so again.
fn bad_client(number: u64, listen: SocketAddr, start: Instant, record: &Record) {
    std::thread::sleep(BAD_FROM);
    let mut round = 0;
    while start.elapsed() < BAD_UNTIL {
        round += 1;
        let result = bad_round(number, round, listen);
        record.line(format!("bad client {number}: round {round} sent {AT_ONCE} requests: {result:?}"));
        if result.is_err() {
            sleep_ms(20);
        }
    }
}

/// Returns how many answers came back.
fn bad_round(number: u64, round: u64, listen: SocketAddr) -> io::Result<usize> {
    let mut stream = TcpStream::connect(listen)?;
    stream.set_read_timeout(Some(Duration::from_secs(3)))?;
    let mut bytes = Vec::new();
    for index in 0..AT_ONCE {
        let unique = (number << 40) + (round << 8) + index;
        let (id, at) = (format!("{:016x}", (1 << 63) + unique), unix_ms().to_string());
        let key = format!("{unique:016x}{}", "k".repeat(KEY_BYTES - 16));
        let fields = [("class", "booking"), ("id", &id), ("at", &at), ("from", "9"), ("kb", "1.0"), ("cost", "1.00"), ("once", &key)];
        bytes.extend(request_frame(index as u32 + 1, &fields, b"x"));
    }
    let mut writer = stream.try_clone()?;
    let writing = std::thread::spawn(move || writer.write_all(&bytes));
    let mut answers = 0;
    let mut head = [0; 9];
    while answers < AT_ONCE as usize {
        stream.read_exact(&mut head)?;
        let length = u32::from_be_bytes([head[0], head[1], head[2], head[3]]) as usize;
        let mut payload = vec![0; length.saturating_sub(5)];
        stream.read_exact(&mut payload)?;
        answers += usize::from(head[4] == 2);
    }
    let _ = writing.join();
    Ok(answers)
}
