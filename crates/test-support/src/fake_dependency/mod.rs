//! A dependency of pages: an HTTP/1.1 service with a limited concurrency, which slows down past it and fails as a
//! test tells it to. It counts calls in flight, also those whose callers went away.

mod connection;
mod counting;

use counting::State;
use std::collections::BTreeMap;
use std::fmt;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::Duration;

/// Connections that are served at a time.
const MAX_CONNECTIONS: usize = 256;

/// What a dependency does wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    None,
    /// Accepts calls and answers none.
    Hang,
    /// Takes this many times its usual latency.
    Slow(u32),
    /// Resets connections, half of them in the middle of a response's body.
    Reset,
    /// Responds this long after the call arrived, whatever its usual latency.
    FixedLatency(Duration),
    /// Responds with bodies of the wrong length, of 3 GB, noise, and errors.
    Corrupt,
    /// Responds at once with an error.
    Fail,
    /// Has a lower concurrency limit: past this many calls in flight, latency grows with the square of the excess.
    Overloaded(u64),
    /// Every call in this many takes ten times its usual latency.
    LatencyOutliers(u32),
}

/// The text that reports show, which outlives the names of the variants.
impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::None => f.write_str("None"),
            Fault::Hang => f.write_str("Hang"),
            Fault::Slow(factor) => write!(f, "Slow({factor})"),
            Fault::Reset => f.write_str("Reset"),
            Fault::FixedLatency(latency) => write!(f, "Late({latency:?})"),
            Fault::Corrupt => f.write_str("Corrupt"),
            Fault::Fail => f.write_str("Fail"),
            Fault::Overloaded(limit) => write!(f, "Weak({limit})"),
            Fault::LatencyOutliers(interval) => write!(f, "Straggle({interval})"),
        }
    }
}

/// What a dependency counted since it started.
#[derive(Clone, Debug, Default)]
pub struct CallCounts {
    /// Calls that arrived.
    pub calls: u64,
    /// Calls in flight now.
    pub in_flight: u64,
    /// Most calls in flight at one time, those whose callers went away among them for as long as they go on.
    pub max_in_flight: u64,
    /// Calls of a request that had called before: retries and hedges.
    pub extra: u64,
    /// Calls that were answered in full.
    pub successes: u64,
    /// Most calls that arrived in any second.
    pub max_per_second: usize,
    /// Seconds that calls were in flight, summed by the first four digits of their requests' ids.
    pub in_flight_seconds: BTreeMap<String, f64>,
}

/// How a dependency behaves without a fault.
#[derive(Clone, Copy, Debug)]
pub struct FakeDependencyConfig {
    /// Mean latency of a call, which is drawn from half of it to one and a half.
    pub mean_latency: Duration,
    /// Past this many calls in flight latency grows in proportion (the knee of its throughput curve).
    pub concurrency_limit: u64,
    /// How long a call goes on at most once its caller went away.
    pub post_cancel_duration: Duration,
    /// Seed of the latencies.
    pub seed: u64,
}

/// What the connections' threads share.
struct Shared {
    config: FakeDependencyConfig,
    state: Mutex<State>,
    stopped: AtomicBool,
    next_call: AtomicU64,
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

/// A running dependency; it stops when it is dropped.
///
/// ```
/// use cottondyke_test_support::fake_dependency::{FakeDependency, FakeDependencyConfig, Fault};
/// use std::io::{Read, Write};
/// use std::net::TcpStream;
/// use std::time::Duration;
///
/// let dependency = FakeDependency::start(FakeDependencyConfig {
///     mean_latency: Duration::from_millis(1),
///     concurrency_limit: 8,
///     post_cancel_duration: Duration::ZERO,
///     seed: 1,
/// })?;
/// dependency.set_fault(Fault::Fail);
/// let mut stream = TcpStream::connect(dependency.addr)?;
/// stream.write_all(b"GET / HTTP/1.1\r\nReq-Id: 0001a\r\n\r\n")?;
/// let mut status = [0; 12];
/// stream.read_exact(&mut status)?;
/// assert_eq!(&status, b"HTTP/1.1 500");
/// assert_eq!(dependency.counts().calls, 1);
/// # Ok::<(), std::io::Error>(())
/// ```
pub struct FakeDependency {
    /// Where it listens.
    pub addr: SocketAddr,
    shared: Arc<Shared>,
}

impl FakeDependency {
    /// Starts one on a free port of the loopback interface.
    pub fn start(config: FakeDependencyConfig) -> io::Result<Self> {
        Self::start_at(([127, 0, 0, 1], 0).into(), config)
    }

    /// Starts one at an address.
    pub fn start_at(addr: SocketAddr, config: FakeDependencyConfig) -> io::Result<Self> {
        let listener = TcpListener::bind(addr)?;
        let addr = listener.local_addr()?;
        let shared = Arc::new(Shared {
            config,
            state: Mutex::new(State::new(config.seed)),
            stopped: AtomicBool::new(false),
            next_call: AtomicU64::new(0),
        });
        let listener = Arc::new(listener);
        for _ in 0..MAX_CONNECTIONS {
            let (shared, listener) = (shared.clone(), listener.clone());
            thread::Builder::new()
                .stack_size(crate::THREAD_STACK_BYTES)
                .spawn(move || accept_connections(&shared, &listener))?;
        }
        Ok(FakeDependency { addr, shared })
    }

    /// Sets what it does wrong from now on; calls in flight go on as they began.
    pub fn set_fault(&self, fault: Fault) {
        self.shared.state().fault = fault;
    }

    /// What it counted so far.
    pub fn counts(&self) -> CallCounts {
        self.shared.state().counts.clone()
    }
}

impl Drop for FakeDependency {
    fn drop(&mut self) {
        self.shared.stopped.store(true, Ordering::Relaxed);
        let _ = TcpStream::connect(self.addr);
    }
}

/// Serves one connection after another on a thread of the pool.
///
/// The pool stands ready: where one thread accepted all connections and started another for each, on busy cores calls
/// were counted up to 0.8 s after they had arrived.
fn accept_connections(shared: &Shared, listener: &TcpListener) {
    for stream in listener.incoming().flatten() {
        if shared.stopped.load(Ordering::Relaxed) {
            // Unblocks the next thread; those that serve have a limit to every wait, so every thread ends.
            let _ = listener.local_addr().and_then(TcpStream::connect);
            return;
        }
        // A connection that fails is over; the next one is not affected.
        let _ = connection::serve(shared, stream);
    }
}
