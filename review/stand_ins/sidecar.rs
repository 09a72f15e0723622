//! A sidecar: connections over which it sends requests, and reads the answers.
use super::{lock, unix_ms, Record, Request, World};
use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Instant;

const REQUEST: u8 = 1;
const ANSWER: u8 = 2;
const HEALTH_CHECK: u8 = 4;
const HEALTH_ANSWER: u8 = 5;
const GO_AWAY: u8 = 6;
/// Requests that may be open on one connection.
pub const MAX_OPEN: usize = 32;

fn encode(kind: u8, stream: u32, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut payload = vec![fields.len() as u8];
    for (name, value) in fields {
        payload.push(name.len() as u8);
        payload.extend(name.as_bytes());
        payload.extend((value.len() as u16).to_be_bytes());
        payload.extend(value.as_bytes());
    }
    payload.extend(body);
    let mut frame = (payload.len() as u32 + 5).to_be_bytes().to_vec();
    frame.push(kind);
    frame.extend(stream.to_be_bytes());
    frame.extend(payload);
    frame
}

/// State that a connection shares with the thread that reads it.
#[derive(Default)]
struct Shared {
    ids: Mutex<HashMap<u32, String>>,
    open: AtomicUsize,
    go_away: AtomicBool,
    closed: AtomicBool,
    health: Mutex<Option<u8>>,
}

/// One connection of a sidecar.
pub struct Connection {
    stream: TcpStream,
    number: u64,
    next_stream: u32,
    shared: Arc<Shared>,
    world: World,
    record: Record,
}

/// What a new request contains.
pub struct NewRequest<'a> {
    pub id: &'a str,
    pub class: &'a str,
    pub key: Option<&'a str>,
    pub body: &'a str,
    pub is_retry: bool,
}

impl Connection {
    pub fn open(addr: &str, number: u64, world: &World, record: &Record) -> io::Result<Self> {
        let stream = TcpStream::connect(addr)?;
        stream.set_nodelay(true)?;
        let connection = Connection {
            stream: stream.try_clone()?,
            number,
            next_stream: 1,
            shared: Arc::default(),
            world: world.clone(),
            record: record.clone(),
        };
        let (shared, world) = (connection.shared.clone(), world.clone());
        let record = record.clone();
        std::thread::spawn(move || {
            let end = read_frames(stream, &shared, &world, &record);
            record.line(format!("sidecar {number}: connection ended: {end:?}"));
            shared.closed.store(true, Ordering::SeqCst);
        });
        Ok(connection)
    }

    /// Whether a new request may be sent here.
    pub fn is_usable(&self) -> bool {
        let shared = &self.shared;
        let is_open = !shared.closed.load(Ordering::SeqCst);
        is_open && !shared.go_away.load(Ordering::SeqCst) && self.open_requests() < MAX_OPEN
    }

    pub fn is_closed(&self) -> bool {
        self.shared.closed.load(Ordering::SeqCst)
    }

    pub fn open_requests(&self) -> usize {
        self.shared.open.load(Ordering::SeqCst)
    }

    /// Sends a request whose last byte is written when this returns.
    pub fn send(&mut self, new: &NewRequest) -> io::Result<()> {
        let stream = self.next_stream;
        self.next_stream += 1;
        let (at, from) = (unix_ms().to_string(), self.number.to_string());
        let mut fields = vec![
            ("class", new.class),
            ("id", new.id),
            ("at", &at),
            ("from", &from),
            ("kb", "20.0"),
        ];
        if let Some(key) = new.key {
            fields.push(("once", key));
        }
        if new.is_retry {
            fields.push(("retry", "1"));
        }
        let frame = encode(REQUEST, stream, &fields, new.body.as_bytes());
        lock(&self.shared.ids).insert(stream, new.id.to_string());
        self.shared.open.fetch_add(1, Ordering::SeqCst);
        let request = Request {
            class: new.class.to_string(),
            key: new.key.map(String::from),
            body: new.body.to_string(),
            ..Request::default()
        };
        self.world.requests().insert(new.id.to_string(), request);
        let written = self.stream.write_all(&frame);
        self.record.line(format!(
            "sidecar {}: sent {} class {} key {:?} body {:?}: {written:?}",
            self.number, new.id, new.class, new.key, new.body
        ));
        let now = Instant::now();
        if written.is_ok() {
            self.world
                .update(new.id, |request| request.sent = Some(now));
        }
        written
    }

    /// Asks for the health; `None` if no answer has arrived after a second.
    pub fn check_health(&mut self, deep: bool) -> Option<u8> {
        let fields: &[(&str, &str)] = if deep { &[("deep", "1")] } else { &[] };
        *lock(&self.shared.health) = None;
        let frame = encode(HEALTH_CHECK, 0, fields, b"");
        self.stream.write_all(&frame).ok()?;
        for _ in 0..500 {
            if let Some(code) = lock(&self.shared.health).take() {
                return Some(code);
            }
            super::sleep_ms(2);
        }
        None
    }

    /// Closes the connection as a sidecar does once everything on it is answered.
    pub fn close(&self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

fn read_frames(
    mut stream: TcpStream,
    shared: &Shared,
    world: &World,
    record: &Record,
) -> io::Result<()> {
    loop {
        let mut head = [0; 9];
        stream.read_exact(&mut head)?;
        let length = u32::from_be_bytes([head[0], head[1], head[2], head[3]]) as usize;
        let number = u32::from_be_bytes([head[5], head[6], head[7], head[8]]);
        let mut payload = vec![0; length.saturating_sub(5)];
        stream.read_exact(&mut payload)?;
        let code = payload.first().copied().unwrap_or(0);
        match head[4] {
            ANSWER if number > 0 => {
                let (fields, body) = decode(&payload);
                let body = String::from_utf8_lossy(&body).into_owned();
                let id = lock(&shared.ids).get(&number).cloned().unwrap_or_default();
                record.line(format!("answer: {id} code {code} {fields:?} body {body:?}"));
                let now = Instant::now();
                world.update(&id, |request| request.answers.push((code, body, now)));
                shared.open.fetch_sub(1, Ordering::SeqCst);
            }
            HEALTH_ANSWER => *lock(&shared.health) = Some(code),
            GO_AWAY => {
                record.line("sidecar: told to send no new request on a connection");
                shared.go_away.store(true, Ordering::SeqCst);
            }
            kind => record.line(format!("sidecar: frame of type {kind} on stream {number}")),
        }
    }
}

/// The fields and the body of an answer.
fn decode(payload: &[u8]) -> (Vec<(String, String)>, Vec<u8>) {
    let mut fields = Vec::new();
    let mut position = 2;
    let text = |from: usize, size: usize| {
        let bytes = payload.get(from..from + size).unwrap_or_default();
        String::from_utf8_lossy(bytes).into_owned()
    };
    for _ in 0..payload.get(1).copied().unwrap_or(0) {
        let size = usize::from(payload[position]);
        let name = text(position + 1, size);
        position += 1 + size;
        let size = u16::from_be_bytes([payload[position], payload[position + 1]]);
        fields.push((name, text(position + 2, usize::from(size))));
        position += 2 + usize::from(size);
    }
    (fields, payload[position.min(payload.len())..].to_vec())
}
