//! Clients that misbehave, each in one way, until they are told to stop. A client whose connection ends opens a new one.
use crate::rig::*;
use cottondyke_test_support::fakes::*;
use fastrand::Rng;
use std::collections::VecDeque;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// The first id that hostile clients use; the machine recognizes only lower ones, unless told otherwise.
pub(crate) const FIRST_HOSTILE_ID: u64 = 1 << 62;
/// Requests that a client sends at once.
const BATCH: u32 = 32;
/// Size of a request that is written slowly or only half.
const LARGE_FRAME_BYTES: usize = 262_000;
const PIECE_BYTES: usize = 8_192;
const READ_BYTES: usize = 16_384;
/// Fields of a head with very many short fields; the protocol counts them in one byte.
const MAX_FIELDS: usize = 255;
/// Length of a long key; the protocol allows 65,535.
const KEY_BYTES: usize = 60_000;
/// Threads that the clients of one kind share, so that they leave cores to the server.
const THREADS: u64 = 2;
/// How long a thread waits while none of its clients can write.
const IDLE_DELAY: Duration = Duration::from_millis(1);

/// How a client misbehaves.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Kind {
    /// Writes a large request in pieces, with pauses.
    WritesSlowly,
    /// Writes a part of a large request slowly, closes the connection and comes back.
    WritesPart,
    /// Writes half of a large request and waits.
    StopsHalfWay,
    /// Sends requests whose heads have as many fields as the protocol allows, at full speed.
    ManyFields,
    /// Sends heads with as many fields, none of which a request needs, at full speed.
    NoKnownFields,
    /// Sends as many requests with long keys as may be open, again and again.
    LongKeys,
    /// Sends requests and reads their answers very slowly.
    ReadsSlowly,
    /// Sends small requests, each with a new key, at full speed.
    NewKeys,
    /// Sends requests that cannot be run, under names that are always new, at full speed.
    Unsound,
    /// Sends sound requests, closes with their answers unread, and connects again.
    LeavesAnswersUnread,
}

/// Every kind.
pub(crate) const ALL_KINDS: [Kind; 10] = [
    Kind::WritesSlowly,
    Kind::WritesPart,
    Kind::StopsHalfWay,
    Kind::ManyFields,
    Kind::NoKnownFields,
    Kind::LongKeys,
    Kind::ReadsSlowly,
    Kind::NewKeys,
    Kind::Unsound,
    Kind::LeavesAnswersUnread,
];

/// Running clients; dropping them stops them.
pub(crate) struct Attack {
    is_stopped: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Attack {
    /// Starts `count` clients of a kind.
    pub(crate) fn start(addr: SocketAddr, kind: Kind, count: u64, seed: u64) -> Self {
        let is_stopped = Arc::new(AtomicBool::new(false));
        let threads = (0..THREADS.min(count)).map(|thread| {
            let numbers = (0..count).filter(|number| number % THREADS == thread);
            let clients = numbers.map(|number| Client::new(addr, kind, seed ^ (number << 32)));
            let (clients, is_stopped) = (clients.collect(), is_stopped.clone());
            std::thread::spawn(move || run(clients, &is_stopped))
        });
        Attack {
            threads: threads.collect(),
            is_stopped,
        }
    }
}

impl Drop for Attack {
    fn drop(&mut self) {
        self.is_stopped.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

/// Lets each client in turn do what it can without waiting.
fn run(mut clients: Vec<Client>, is_stopped: &AtomicBool) {
    while !is_stopped.load(Ordering::Relaxed) {
        let mut has_written = false;
        for client in &mut clients {
            match client.step() {
                Ok(wrote) => has_written |= wrote,
                // The next step opens a new connection.
                Err(_) => client.connection = None,
            }
        }
        if !has_written {
            std::thread::sleep(IDLE_DELAY);
        }
    }
}

/// Makes ids unique among all hostile clients of the test process.
static NEXT_ID: AtomicU64 = AtomicU64::new(FIRST_HOSTILE_ID);

struct Client {
    addr: SocketAddr,
    kind: Kind,
    random: Rng,
    connection: Option<Connection>,
}

/// The state of a client's connection.
struct Connection {
    stream: TcpStream,
    /// Bytes that are not written yet.
    pending: VecDeque<u8>,
    next_stream: u32,
    batches: u32,
    paused_until: Instant,
}

impl Client {
    fn new(addr: SocketAddr, kind: Kind, seed: u64) -> Self {
        Client {
            addr,
            kind,
            random: Rng::with_seed(seed),
            connection: None,
        }
    }

    /// Connects, or reads and writes what can be read and written now. Returns whether anything was written.
    fn step(&mut self) -> io::Result<bool> {
        let Some(mut connection) = self.connection.take() else {
            self.connection = Some(Connection::open(self.addr)?);
            return Ok(true);
        };
        if Instant::now() < connection.paused_until {
            self.connection = Some(connection);
            return Ok(false);
        }
        if self.closes_after(&connection) {
            return Ok(false);
        }
        match self.kind {
            Kind::ReadsSlowly => read_some(&connection.stream, 1)?,
            Kind::LeavesAnswersUnread => {}
            _ => read_some(&connection.stream, READ_BYTES)?,
        }
        if connection.pending.is_empty() && self.has_more(&connection) {
            connection.pending = self.next_batch(&mut connection).into();
        }
        let has_written = connection.write()?;
        let is_batch_written = connection.pending.is_empty();
        connection.paused_until = Instant::now() + self.pause(is_batch_written);
        self.connection = Some(connection);
        Ok(has_written)
    }

    /// Whether the client closes the connection now. The next step opens a new one.
    fn closes_after(&self, connection: &Connection) -> bool {
        let has_sent = connection.batches > 0;
        match self.kind {
            Kind::LeavesAnswersUnread => has_sent,
            Kind::WritesPart => has_sent && connection.pending.is_empty(),
            _ => false,
        }
    }

    fn has_more(&self, connection: &Connection) -> bool {
        let sends_once = matches!(
            self.kind,
            Kind::WritesSlowly | Kind::WritesPart | Kind::StopsHalfWay
        );
        !sends_once || connection.batches == 0
    }

    /// How long the client waits after each step.
    fn pause(&mut self, is_batch_written: bool) -> Duration {
        let millis = match self.kind {
            Kind::WritesSlowly | Kind::WritesPart => self.random.u64(5..40),
            Kind::LeavesAnswersUnread => self.random.u64(0..30),
            Kind::ReadsSlowly => 2,
            Kind::LongKeys if is_batch_written => self.random.u64(50..150),
            _ => 0,
        };
        Duration::from_millis(millis)
    }

    /// The bytes to write next.
    fn next_batch(&mut self, connection: &mut Connection) -> Vec<u8> {
        connection.batches += 1;
        let large = || encode_frame(1, 1, &encode_payload(&[], &[b'x'; LARGE_FRAME_BYTES]));
        match self.kind {
            Kind::WritesSlowly => large(),
            Kind::WritesPart => {
                let part = self.random.usize(LARGE_FRAME_BYTES / 8..LARGE_FRAME_BYTES);
                large()[..part].to_vec()
            }
            Kind::StopsHalfWay => large()[..LARGE_FRAME_BYTES / 2].to_vec(),
            _ => {
                let first = connection.next_stream;
                connection.next_stream += BATCH;
                let streams = first..first + BATCH;
                streams.flat_map(|stream| self.request(stream)).collect()
            }
        }
    }

    fn request(&mut self, stream: u32) -> Vec<u8> {
        let number = NEXT_ID.fetch_add(1, Ordering::Relaxed);
        let (id, at) = (id(number), unix_ms().to_string());
        let long_key = || format!("{number:016x}{}", "k".repeat(KEY_BYTES - 16));
        let (class, key) = match self.kind {
            Kind::LongKeys => (KEYED.to_string(), long_key()),
            Kind::NewKeys => (KEYED.to_string(), id.clone()),
            Kind::Unsound => (id.clone(), id.clone()),
            _ => (IDEMPOTENT.to_string(), id.clone()),
        };
        let mut fields = vec![
            ("class", class.as_str()),
            ("id", id.as_str()),
            ("at", at.as_str()),
            ("from", "9"),
            ("kb", "1.0"),
            ("once", key.as_str()),
        ];
        match self.kind {
            Kind::ManyFields => fields.resize(MAX_FIELDS, ("x", "y")),
            Kind::NoKnownFields => fields = vec![("x", "y"); MAX_FIELDS],
            _ => {}
        }
        encode_frame(1, stream, &encode_payload(&fields, b"1000"))
    }
}

impl Connection {
    fn open(addr: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(addr)?;
        stream.set_nonblocking(true)?;
        Ok(Connection {
            stream,
            pending: VecDeque::new(),
            next_stream: 1,
            batches: 0,
            paused_until: Instant::now(),
        })
    }

    /// Writes one piece of what is pending, as far as that is possible now.
    fn write(&mut self) -> io::Result<bool> {
        let pending = self.pending.as_slices().0;
        let piece = &pending[..pending.len().min(PIECE_BYTES)];
        if piece.is_empty() {
            return Ok(false);
        }
        match (&self.stream).write(piece) {
            Ok(count) => {
                self.pending.drain(..count);
                Ok(true)
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => Ok(false),
            Err(error) => Err(error),
        }
    }
}

/// Reads what has arrived, at most `max` bytes; fails at the end of the connection.
fn read_some(mut stream: &TcpStream, max: usize) -> io::Result<()> {
    match stream.read(&mut [0; READ_BYTES][..max]) {
        Ok(0) => Err(ErrorKind::UnexpectedEof.into()),
        Ok(_) => Ok(()),
        Err(error) if error.kind() == ErrorKind::WouldBlock => Ok(()),
        Err(error) => Err(error),
    }
}
