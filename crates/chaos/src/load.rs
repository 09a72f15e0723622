//! An open-loop load generator: requests are sent when they are due, regardless of outstanding answers, and latency is
//! measured from the due time.
use cottondyke_test_support::fakes::{
    encode_frame, encode_payload, unix_ms, FakeSidecar, ReceivedFrame,
};
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

static NEXT_REQUEST_NUMBER: AtomicU64 = AtomicU64::new(1);

/// Frame types of the server's protocol.
const REQUEST_FRAME: u8 = 1;
const ANSWER_FRAME: u8 = 2;
/// Code of the answer to a request that completed successfully.
const DONE_CODE: u8 = 1;

/// An answer and its arrival time.
#[derive(Clone, Debug)]
pub(crate) struct Answer {
    pub(crate) received_at: Instant,
    pub(crate) frame: ReceivedFrame,
}

impl Answer {
    pub(crate) fn is_done(&self) -> bool {
        self.frame.code == DONE_CODE
    }
}

/// A request that was sent, with its answers.
#[derive(Clone, Debug)]
pub(crate) struct SentRequest {
    /// When the request was due to be sent.
    pub(crate) due: Instant,
    pub(crate) body_bytes: usize,
    /// Final answers to the request; more than one is a server error.
    pub(crate) answers: Vec<Answer>,
}

impl SentRequest {
    /// Returns the first answer and its latency, measured from the due time of the request.
    pub(crate) fn first_answer(&self) -> Option<(&Answer, Duration)> {
        let answer = self.answers.first()?;
        Some((
            answer,
            answer.received_at.saturating_duration_since(self.due),
        ))
    }
}

/// The interval in which requests are sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TimeWindow {
    pub(crate) start: Instant,
    pub(crate) end: Instant,
}

/// Configuration of a [`LoadGenerator`].
#[derive(Clone, Debug)]
pub(crate) struct LoadConfig {
    pub(crate) handler: &'static str,
    /// Requests per second, over all connections.
    pub(crate) rate: f64,
    pub(crate) connections: u64,
    /// Number of different request bodies. Requests with the same body share cache entries.
    pub(crate) distinct_bodies: u64,
    /// First four hexadecimal digits of each request id.
    pub(crate) tag: u64,
    pub(crate) seed: u64,
    pub(crate) window: TimeWindow,
    /// How long to wait for answers after the end of the window.
    pub(crate) answer_timeout: Duration,
}

/// Sends requests to one node over several connections.
pub(crate) struct LoadGenerator {
    connections: Vec<JoinHandle<Vec<SentRequest>>>,
}

impl LoadGenerator {
    /// Starts one thread per connection; the rate is divided among them. Connections open when the window begins.
    pub(crate) fn start(addr: SocketAddr, config: &LoadConfig) -> Self {
        let start_connection = |connection: u64| {
            let config = LoadConfig {
                rate: config.rate / config.connections as f64,
                seed: config.seed ^ connection << 48,
                ..config.clone()
            };
            std::thread::spawn(move || run_connection(addr, &config))
        };
        LoadGenerator {
            connections: (0..config.connections).map(start_connection).collect(),
        }
    }

    /// Waits until the answer timeout has passed, and returns all requests that were sent.
    pub(crate) fn join(self) -> Vec<SentRequest> {
        self.connections
            .into_iter()
            .filter_map(|connection| connection.join().ok())
            .flatten()
            .collect()
    }
}

fn run_connection(addr: SocketAddr, config: &LoadConfig) -> Vec<SentRequest> {
    let window = config.window;
    // Connect only when the window begins: the server closes idle connections.
    sleep_until(window.start);
    let connected = FakeSidecar::connect(addr).and_then(|sidecar| {
        let remaining = window.end.saturating_duration_since(Instant::now());
        let read_timeout = remaining + config.answer_timeout;
        sidecar.0.set_read_timeout(Some(read_timeout))?;
        let writer = sidecar.0.try_clone()?;
        Ok((sidecar, writer))
    });
    let Ok((reader, mut writer)) = connected else {
        return Vec::new();
    };
    let answers = std::thread::spawn(move || receive_answers(reader));
    let mut sent = send_requests(&mut writer, config);
    // The last answers arrive within a client timeout of the end of the window.
    sleep_until(window.end + config.answer_timeout);
    let _ = writer.shutdown(Shutdown::Both);
    for answer in answers.join().unwrap_or_default() {
        if let Some(request) = sent.get_mut(answer.frame.stream as usize - 1) {
            request.answers.push(answer);
        }
    }
    sent
}

/// Receives answers until the connection closes.
fn receive_answers(mut reader: FakeSidecar) -> Vec<Answer> {
    let mut answers = Vec::new();
    while let Ok(frame) = reader.receive() {
        if frame.kind == ANSWER_FRAME && frame.stream > 0 {
            let received_at = Instant::now();
            answers.push(Answer { received_at, frame });
        }
    }
    answers
}

/// Sends requests with exponentially distributed intervals; stream numbers start at 1.
fn send_requests(writer: &mut TcpStream, config: &LoadConfig) -> Vec<SentRequest> {
    let mut random = fastrand::Rng::with_seed(config.seed);
    let mut sent = Vec::new();
    let mut due = config.window.start;
    loop {
        due += Duration::from_secs_f64(-(1.0 - random.f64()).ln() / config.rate);
        if due >= config.window.end {
            return sent;
        }
        sleep_until(due);
        let body = format!("{:08}", random.u64(0..config.distinct_bodies));
        let number = NEXT_REQUEST_NUMBER.fetch_add(1, Ordering::Relaxed);
        let id = format!("{:04x}{number:012x}", config.tag);
        let sent_at = unix_ms().to_string();
        let fields = [
            ("class", config.handler),
            ("id", &id),
            ("at", &sent_at),
            ("from", "1"),
            ("kb", "4.0"),
        ];
        sent.push(SentRequest {
            due,
            body_bytes: body.len(),
            answers: Vec::new(),
        });
        let payload = encode_payload(&fields, body.as_bytes());
        let bytes = encode_frame(REQUEST_FRAME, sent.len() as u32, &payload);
        if writer.write_all(&bytes).is_err() {
            return sent;
        }
    }
}

fn sleep_until(at: Instant) {
    std::thread::sleep(at.saturating_duration_since(Instant::now()));
}
