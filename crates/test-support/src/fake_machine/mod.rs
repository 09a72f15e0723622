//! A fake engine on a machine that is simulated in real time: its runs share a number of cores, it can start cold, and
//! it records its load. The body of a request gives the work of its run, in microseconds on one core at full speed.
mod config;
mod cores;
mod link;

pub use config::{CallResults, MachineConfig, NoticeStyle, StartKind, StartedRun};
pub use cores::call_result;

use cores::Cores;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// How often the runs on the cores are advanced.
const STEP_INTERVAL: Duration = Duration::from_millis(2);

/// A machine whose engine accepts links from the server.
#[derive(Debug)]
pub struct FakeMachine {
    addr: SocketAddr,
    shared: Arc<Shared>,
}

/// State that the machine's threads share.
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
    /// Starts a machine on a free port of the loopback interface.
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
                std::thread::sleep(STEP_INTERVAL);
                stepping.cores().advance(Instant::now());
            }
        });
        Ok(FakeMachine { addr, shared })
    }

    /// Accepts links on one more address, and returns it.
    pub fn listen_again(&self) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let addr = listener.local_addr()?;
        listener.set_nonblocking(true)?;
        let accepting = self.shared.clone();
        std::thread::spawn(move || link::accept_links(&listener, &accepting));
        Ok(addr)
    }

    /// The address to which the server connects.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Restarts the machine now: its runs and its link end, and its records start anew.
    pub fn restart(&self, start: StartKind) {
        self.shared.cores().restart(start, Instant::now());
    }

    /// Sets whether runs make no progress from now on. Commands are read and answered in either case.
    pub fn set_hung(&self, is_hung: bool) {
        self.shared.cores().set_hung(is_hung);
    }

    /// Sets the size of the result of each run that ends from now on, in bytes.
    pub fn set_result_bytes(&self, bytes: usize) {
        self.shared.cores().set_result_bytes(bytes);
    }

    /// From now on, requests with this id and higher ones are not recognized: their runs are refused.
    pub fn set_first_unknown_id(&self, id: u64) {
        self.shared.cores().set_first_unknown_id(id);
    }

    /// Breaks the current link as a network failure does: nothing more is sent or executed on it.
    pub fn break_link(&self) {
        self.shared.cores().break_link();
    }

    /// Breaks the current link after this time, in which commands that the server sends are lost.
    pub fn break_link_losing(&self, window: Duration) {
        self.shared.cores().break_link_at(Instant::now() + window);
    }

    /// The call results that runs were given since the machine's last start.
    pub fn call_results(&self) -> CallResults {
        self.shared.cores().call_results()
    }

    /// The runs that were started since the machine's last start, oldest first.
    pub fn started_runs(&self) -> Vec<StartedRun> {
        self.shared.cores().started_runs().to_vec()
    }

    /// The largest mean number of runs on the cores over any `window` since the last start, as a fraction of the number
    /// that the machine survives at the end of that window.
    pub fn peak_load(&self, window: Duration) -> f64 {
        self.shared.cores().peak_load(window)
    }
}

impl Drop for FakeMachine {
    fn drop(&mut self) {
        self.shared.is_stopped.store(true, Ordering::Relaxed);
    }
}
