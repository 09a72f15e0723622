//! Stand-ins for everything that surrounds the server: engine, records service, control plane and sidecars, as the
//! protocol page describes them. Only the standard library is used. Every address is on 127.0.0.1.
#![allow(dead_code)]

pub mod config;
pub mod engine;
pub mod server;
pub mod services;
pub mod sidecar;

use std::collections::HashMap;
use std::fmt::Display;
use std::fs::File;
use std::io::{self, Write};
use std::net::{TcpListener, TcpStream};
use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Exit codes of a case.
pub const RULE_HELD: i32 = 0;
pub const RULE_BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

/// Locks a mutex; a panic of another thread does not matter here.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The wall clock, in milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}

pub fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// A listener on a free port of 127.0.0.1.
pub fn listen() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a free port on 127.0.0.1")
}

/// Whether the disruption is to be left out (`TROUBLE=0`).
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// `record.txt`: one line for each event, with the seconds since the start of the test.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(folder: &Path) -> io::Result<Self> {
        Ok(Record {
            start: Instant::now(),
            file: Arc::new(Mutex::new(File::create(folder.join("record.txt"))?)),
        })
    }

    pub fn line(&self, text: impl Display) {
        let seconds = self.start.elapsed().as_secs_f64();
        let _ = writeln!(lock(&self.file), "{seconds:9.4} {text}");
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: impl Display) {
        println!("{text}");
        self.line(text);
    }
}

/// One request (one try) and everything that was seen of it.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub class: String,
    pub key: Option<String>,
    pub body: String,
    /// When its last byte was written.
    pub sent: Option<Instant>,
    /// Code, body and time of each answer.
    pub answers: Vec<(u8, String, Instant)>,
    /// When the engine began to run it.
    pub runs: Vec<Instant>,
    /// The results that the engine made for it.
    pub results: Vec<String>,
    /// The bodies of the calls that the records service executed for it.
    pub calls: Vec<String>,
    /// Replies that the engine was given for another call than the one they answer: expected, given.
    pub wrong_replies: Vec<(String, String)>,
    /// Whether its connection broke on the sidecar's side, which excuses a missing answer.
    pub excused: bool,
}

/// All requests by their id. Sidecars, engine and records service share it.
#[derive(Clone, Default)]
pub struct World(Arc<Mutex<HashMap<String, Request>>>);

impl World {
    pub fn requests(&self) -> MutexGuard<'_, HashMap<String, Request>> {
        lock(&self.0)
    }

    /// Changes a request; nothing happens if the id is unknown.
    pub fn update(&self, id: &str, change: impl FnOnce(&mut Request)) -> bool {
        self.requests().get_mut(id).map(change).is_some()
    }

    pub fn is_answered(&self, id: &str) -> bool {
        self.requests()
            .get(id)
            .is_some_and(|request| !request.answers.is_empty())
    }
}

/// A generator of pseudo-random numbers (xorshift), so that a case is the same in each run.
pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    /// A number from `low` to under `high`.
    pub fn between(&mut self, low: u64, high: u64) -> u64 {
        low + self.next() % (high - low)
    }
}

/// Calls `serve` on a thread of its own for each accepted connection, until the process ends.
pub fn accept_forever(listener: TcpListener, serve: impl Fn(TcpStream) + Send + Sync + 'static) {
    let serve = Arc::new(serve);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            let serve = serve.clone();
            std::thread::spawn(move || serve(stream));
        }
    });
}
