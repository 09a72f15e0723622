//! A dependency of pages: an HTTP/1.1 service that answers from a limited number of workers, slows down past them,
//! and fails as it is told to. It counts calls that it holds, also those whose callers went away.
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// Connections that are served at a time.
const CONNECTIONS: usize = 256;
/// A connection on which nothing is asked for this long is closed.
const IDLE: Duration = Duration::from_secs(60);

/// What it does wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    None,
    /// Takes calls and answers none.
    Hang,
    /// Takes this many times its usual time.
    Slow(u32),
    /// Resets connections, half of them in the middle of a reply's body.
    Reset,
    /// Answers this long after the call came, whatever its usual time.
    Late(Duration),
    /// Answers with bodies of the wrong length, of 3 GB, noise, and errors.
    Corrupt,
    /// Answers at once with an error.
    Fail,
    /// Survives fewer calls than usual: past this many, each takes longer by the square of how far.
    Weak(u64),
    /// Every call in this many takes ten times its usual time.
    Straggle(u32),
}

/// What it has counted.
#[derive(Clone, Debug, Default)]
pub struct CallCounts {
    pub calls: u64,
    pub in_flight: u64,
    /// Most calls held at one time, those whose callers went away among them for as long as they go on.
    pub max_in_flight: u64,
    /// Calls of a req that had called before.
    pub extra: u64,
    pub successes: u64,
    /// Most calls that came in any second.
    pub max_per_second: usize,
    /// Seconds that calls were held, added up, by the first four digits of their reqs' ids.
    pub held_s: std::collections::BTreeMap<String, f64>,
}

/// How it behaves when nothing is wrong.
#[derive(Clone, Copy, Debug)]
pub struct FakeDependencyConfig {
    /// The usual time of a call, drawn from half of it to one and a half.
    pub time: Duration,
    /// Calls past this many slow each other down.
    pub knee: u64,
    /// How long a call goes on whose caller went away, at the most.
    pub linger: Duration,
    pub seed: u64,
}

struct State {
    fault: Fault,
    counts: CallCounts,
    /// Calls of each req.
    seen: std::collections::HashMap<String, u32>,
    /// When the calls of the last second came.
    came: std::collections::VecDeque<Instant>,
    random: fastrand::Rng,
}

struct Inner {
    shape: FakeDependencyConfig,
    state: Mutex<State>,
    over: AtomicBool,
    number: AtomicU64,
}

impl Inner {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

/// A running stand-in; it ends when it is dropped.
pub struct FakeDependency {
    pub addr: SocketAddr,
    inner: Arc<Inner>,
}

impl FakeDependency {
    pub fn start(shape: FakeDependencyConfig) -> io::Result<Self> {
        Self::start_at(([127, 0, 0, 1], 0).into(), shape)
    }

    pub fn start_at(addr: SocketAddr, shape: FakeDependencyConfig) -> io::Result<Self> {
        let listener = TcpListener::bind(addr)?;
        let addr = listener.local_addr()?;
        let random = fastrand::Rng::with_seed(shape.seed);
        let state = State {
            fault: Fault::None,
            counts: CallCounts::default(),
            seen: Default::default(),
            came: Default::default(),
            random,
        };
        let inner = Arc::new(Inner {
            shape,
            state: Mutex::new(state),
            over: AtomicBool::new(false),
            number: AtomicU64::new(0),
        });
        let listener = Arc::new(listener);
        for _ in 0..CONNECTIONS {
            let (inner, listener) = (inner.clone(), listener.clone());
            thread::Builder::new()
                .stack_size(128 << 10)
                .spawn(move || accept(&inner, &listener))?;
        }
        Ok(FakeDependency { addr, inner })
    }

    pub fn set(&self, fault: Fault) {
        self.inner.state().fault = fault;
    }

    pub fn counts(&self) -> CallCounts {
        self.inner.state().counts.clone()
    }
}

impl Drop for FakeDependency {
    fn drop(&mut self) {
        self.inner.over.store(true, Ordering::Relaxed);
        let _ = TcpStream::connect(self.addr);
    }
}

/// Threads that wait for connections stand ready: where one thread took them all and began another for each, on busy
/// cores calls were counted up to 0.8 s after they had come.
fn accept(inner: &Inner, listener: &TcpListener) {
    for stream in listener.incoming().flatten() {
        if inner.over.load(Ordering::Relaxed) {
            // Wakes the next; every wait of those that serve has a limit, so every thread ends.
            let _ = listener.local_addr().and_then(TcpStream::connect);
            return;
        }
        let _ = serve(inner, stream);
    }
}

struct Asked {
    req: String,
    body: Vec<u8>,
}

fn asked(reader: &mut BufReader<TcpStream>) -> io::Result<Asked> {
    let (mut req, mut length, mut first) = (String::new(), 0, true);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() && !first {
            break;
        }
        first = false;
        if let Some(id) = line.strip_prefix("Req-Id: ") {
            req = id.to_string();
        }
        if let Some(size) = line.strip_prefix("Content-Length: ") {
            length = size.parse().map_err(io::Error::other)?;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(Asked { req, body })
}

/// Waits for a span; false if the caller went away meanwhile, or the stand-in is over.
fn stays(inner: &Inner, stream: &TcpStream, span: Duration) -> bool {
    let until = Instant::now() + span;
    loop {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() || inner.over.load(Ordering::Relaxed) {
            return left.is_zero();
        }
        // The end of the connection, or bytes that nobody asked for, end the wait early.
        if stream
            .set_read_timeout(Some(left.min(Duration::from_millis(500))))
            .is_err()
        {
            return false;
        }
        match stream.peek(&mut [0]) {
            Err(e)
                if matches!(
                    e.kind(),
                    io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
                ) => {}
            _ => return false,
        }
    }
}

/// Counts a call as held until it is dropped.
struct Held<'a>(&'a Inner, String, Instant);

impl Drop for Held<'_> {
    fn drop(&mut self) {
        let mut state = self.0.state();
        state.counts.in_flight -= 1;
        *state
            .counts
            .held_s
            .entry(std::mem::take(&mut self.1))
            .or_default() += self.2.elapsed().as_secs_f64();
    }
}

fn serve(inner: &Inner, stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    loop {
        reader.get_ref().set_read_timeout(Some(IDLE))?;
        let asked = asked(&mut reader)?;
        let number = inner.number.fetch_add(1, Ordering::Relaxed);
        let of = asked.req.get(..4).unwrap_or_default().to_string();
        let (fault, held, draw) = {
            let mut state = inner.state();
            let state = &mut *state;
            let now = Instant::now();
            state.came.push_back(now);
            while state
                .came
                .front()
                .is_some_and(|at| now - *at >= Duration::from_secs(1))
            {
                state.came.pop_front();
            }
            state.counts.max_per_second = state.counts.max_per_second.max(state.came.len());
            state.counts.calls += 1;
            state.counts.in_flight += 1;
            state.counts.max_in_flight = state.counts.max_in_flight.max(state.counts.in_flight);
            let calls = state.seen.entry(asked.req).or_default();
            *calls += 1;
            state.counts.extra += u64::from(*calls > 1);
            (state.fault, state.counts.in_flight, state.random.f64())
        };
        let held_now = Held(inner, of, Instant::now());
        let crowd = (held as f64 / inner.shape.knee as f64).max(1.0);
        let usual = inner.shape.time.mul_f64((0.5 + draw) * crowd);
        let time = match fault {
            Fault::Hang => Duration::from_secs(30),
            Fault::Slow(times) => usual * times,
            Fault::Weak(knee) => usual.mul_f64((held as f64 / knee as f64).max(1.0).powi(2)),
            Fault::Late(time) => time,
            Fault::Fail | Fault::Reset => Duration::from_micros(200),
            Fault::Straggle(each) if number.is_multiple_of(u64::from(each)) => usual * 10,
            _ => usual,
        };
        // A call goes on after its caller left, for as long as this one is built to.
        if !stays(inner, &writer, time) {
            thread::sleep(inner.shape.linger.mul_f64(0.8).min(time));
            return Ok(());
        }
        drop(held_now);
        let body = format!("{{\"of\":{},\"number\":{number}}}", asked.body.len());
        match fault {
            Fault::Reset => {
                if number.is_multiple_of(2) {
                    write!(
                        writer,
                        "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf of"
                    )?;
                }
                // With bytes of the next request unread a close is a reset; without, it is an early end.
                return writer.shutdown(Shutdown::Both);
            }
            Fault::Fail => write!(writer, "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")?,
            Fault::Corrupt => {
                match number % 5 {
                    0 => write!(
                        writer,
                        "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n{body}"
                    )?,
                    1 => write!(
                        writer,
                        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
                        body.len() - 3
                    )?,
                    2 => write!(writer, "\u{1}\u{2} noise \r\n\r\n")?,
                    3 => write!(
                        writer,
                        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n{{\"ha\""
                    )?,
                    _ => write!(
                        writer,
                        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
                        body.len() + 9
                    )?,
                }
                return writer.shutdown(Shutdown::Write);
            }
            _ => {
                write!(
                    writer,
                    "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
                    body.len()
                )?;
                inner.state().counts.successes += 1;
            }
        }
    }
}
