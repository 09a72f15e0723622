//! The engine of one machine in real time: cores that its runs share, a cold start, and a record of what was put on
//! them. Each run takes the work that its request's body names, in microseconds on one core at full speed.
mod cores;
mod link;

pub use cores::{BegunRun, MachineConfig, StartKind};

use cores::Cores;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// How often the cores move on.
const STEP: Duration = Duration::from_millis(2);

/// A machine that takes the engine's end of the server's links.
#[derive(Debug)]
pub struct FakeMachine {
    addr: SocketAddr,
    shared: Arc<Shared>,
}

/// What the machine's threads share.
#[derive(Debug)]
struct Shared {
    cores: Mutex<Cores>,
    is_stopped: AtomicBool,
}

impl Shared {
    fn cores(&self) -> MutexGuard<'_, Cores> {
        self.cores.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn is_stopped(&self) -> bool {
        self.is_stopped.load(Ordering::Relaxed)
    }
}

impl FakeMachine {
    /// A machine that has just started.
    pub fn start(config: MachineConfig, start: StartKind) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let addr = listener.local_addr()?;
        listener.set_nonblocking(true)?;
        let shared = Arc::new(Shared {
            cores: Mutex::new(Cores::new(config, start, Instant::now())),
            is_stopped: AtomicBool::new(false),
        });
        let accepting = shared.clone();
        std::thread::spawn(move || link::accept_links(&listener, &accepting));
        let stepping = shared.clone();
        std::thread::spawn(move || {
            while !stepping.is_stopped() {
                std::thread::sleep(STEP);
                stepping.cores().advance(Instant::now());
            }
        });
        Ok(FakeMachine { addr, shared })
    }

    /// Where the server connects.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// The machine went down with all that ran on it and starts anew, now.
    pub fn restart(&self, start: StartKind) {
        self.shared.cores().restart(start, Instant::now());
    }

    /// From now on runs make no progress (`true`), or do again (`false`); commands are read and answered.
    pub fn set_hung(&self, is_hung: bool) {
        self.shared.cores().set_hung(is_hung);
    }

    /// Ends the link, as a network does: nothing more comes or goes on it.
    pub fn break_link(&self) {
        self.shared.cores().break_link();
    }

    /// The runs that were begun since the last start, in their order.
    pub fn begun(&self) -> Vec<BegunRun> {
        self.shared.cores().begun().to_vec()
    }

    /// The largest mean number of runs on the cores over any `window` since the last start, as a part of what the machine
    /// survived at that moment.
    pub fn peak_crowding(&self, window: Duration) -> f64 {
        self.shared.cores().peak_crowding(window)
    }
}

impl Drop for FakeMachine {
    fn drop(&mut self) {
        self.shared.is_stopped.store(true, Ordering::Relaxed);
    }
}
