//! A link between two processes: a port that passes on what comes to another, and by command cuts, stalls, slows or
//! breaks, each direction by itself. Bytes that were held by a stall come late; those held by a cut never do.
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

const READ: usize = 16_384;
/// How often a direction looks at what it is to do.
const LOOK: Duration = Duration::from_millis(10);
/// For how long words are gathered that will come late.
const GATHER: Duration = Duration::from_millis(700);
const CONNECT: Duration = Duration::from_secs(1);

/// What a direction does with bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Direction {
    #[default]
    Open,
    /// Takes them and passes them on once it is open again.
    Stalled,
    /// Takes none; connections that bytes were lost of break once it is open again.
    Cut,
    /// Passes each on this much later.
    Slow(Duration),
}

#[derive(Default)]
struct State {
    to: Option<SocketAddr>,
    /// From who dialled, and back to it.
    ways: [Direction; 2],
    /// Connections from before this many breaks are gone.
    breaks: u64,
    opened: u64,
    /// Connections up to this one close on their dialler, and what it had sent comes this much later.
    late: (u64, Duration),
}

struct Inner {
    state: Mutex<State>,
    over: AtomicBool,
}

impl Inner {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

/// A running link; it ends when it is dropped.
pub struct FaultyLink {
    /// Where to dial.
    pub addr: SocketAddr,
    inner: Arc<Inner>,
}

impl FaultyLink {
    /// Leads nowhere until it is told.
    pub fn start() -> io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        let addr = listener.local_addr()?;
        let inner = Arc::new(Inner {
            state: Mutex::default(),
            over: AtomicBool::new(false),
        });
        let serving = inner.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if serving.over.load(Ordering::Relaxed) {
                    return;
                }
                let inner = serving.clone();
                // Each wait below has a limit and looks whether the link is over.
                let _ = thread::Builder::new()
                    .stack_size(128 << 10)
                    .spawn(move || carry(&inner, stream));
            }
        });
        Ok(FaultyLink { addr, inner })
    }

    /// Where it leads from now on; what is open stays.
    pub fn set_target(&self, to: Option<SocketAddr>) {
        self.inner.state().to = to;
    }

    pub fn set(&self, forth: Direction, back: Direction) {
        self.inner.state().ways = [forth, back];
    }

    /// What is on its way now comes this much later, on connections that their diallers see closed: so it comes after
    /// words that were sent later.
    pub fn delay(&self, span: Duration) {
        let mut state = self.inner.state();
        state.late = (state.opened, span);
    }

    /// Breaks all that is open.
    pub fn reset_connections(&self) {
        self.inner.state().breaks += 1;
    }
}

impl Drop for FaultyLink {
    fn drop(&mut self) {
        self.inner.over.store(true, Ordering::Relaxed);
        let _ = TcpStream::connect(self.addr);
    }
}

fn carry(inner: &Arc<Inner>, from: TcpStream) {
    let (to, breaks, number) = {
        let mut state = inner.state();
        state.opened += 1;
        (state.to, state.breaks, state.opened)
    };
    let Some(to) = to else { return };
    // Nobody comes through a cut, in whichever direction it is.
    let open = |inner: &Inner| !inner.state().ways.contains(&Direction::Cut);
    let until = Instant::now() + CONNECT;
    while !open(inner) {
        if Instant::now() > until || inner.over.load(Ordering::Relaxed) {
            return;
        }
        thread::sleep(LOOK);
    }
    let Ok(to) = TcpStream::connect_timeout(&to, CONNECT) else {
        return;
    };
    let (Ok(from2), Ok(to2)) = (from.try_clone(), to.try_clone()) else {
        return;
    };
    let of = inner.clone();
    let back = thread::Builder::new()
        .stack_size(128 << 10)
        .spawn(move || pump(&of, 1, to2, from2, (breaks, number)));
    pump(inner, 0, from, to, (breaks, number));
    if let Ok(back) = back {
        let _ = back.join();
    }
}

/// Passes bytes on in one direction until either end closes, or the link breaks.
fn pump(
    inner: &Inner,
    way: usize,
    mut from: TcpStream,
    mut to: TcpStream,
    (breaks, number): (u64, u64),
) {
    let _ = from.set_read_timeout(Some(LOOK));
    let _ = from.set_nodelay(true);
    let _ = to.set_write_timeout(Some(CONNECT));
    let mut bytes = vec![0; READ];
    let mut lost = false;
    loop {
        let (does, broken, late) = {
            let state = inner.state();
            let late = state.late;
            (
                state.ways[way],
                state.breaks != breaks,
                (number <= late.0).then_some(late.1),
            )
        };
        if let Some(span) = late {
            if way == 0 {
                hold_back(inner, &mut from, &mut to, span);
                break;
            }
            // The other direction ends with it.
            thread::sleep(LOOK);
            if inner.over.load(Ordering::Relaxed) || to.peek(&mut [0]).is_ok_and(|count| count == 0)
            {
                break;
            }
            continue;
        }
        if broken || inner.over.load(Ordering::Relaxed) || lost && does != Direction::Cut {
            break;
        }
        if does == Direction::Stalled {
            // What comes waits in the system's buffers, as it would before a peer that reads nothing.
            thread::sleep(LOOK);
            continue;
        }
        match from.read(&mut bytes) {
            Ok(0) => break,
            Ok(_) if does == Direction::Cut => lost = true,
            Ok(count) => {
                if let Direction::Slow(span) = does {
                    thread::sleep(span);
                }
                if to.write_all(&bytes[..count]).is_err() {
                    break;
                }
            }
            Err(e)
                if matches!(
                    e.kind(),
                    io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
                ) => {}
            Err(_) => break,
        }
    }
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}

/// Takes what comes for a while, closes on who sent it, and passes it on when its time has come.
fn hold_back(inner: &Inner, from: &mut TcpStream, to: &mut TcpStream, span: Duration) {
    let start = Instant::now();
    let (mut kept, mut bytes) = (Vec::new(), vec![0; READ]);
    while start.elapsed() < GATHER {
        match from.read(&mut bytes) {
            Ok(0) => break,
            Ok(count) => kept.extend_from_slice(&bytes[..count]),
            Err(_) => {}
        }
    }
    let _ = from.shutdown(Shutdown::Both);
    while start.elapsed() < span && !inner.over.load(Ordering::Relaxed) {
        thread::sleep(LOOK);
    }
    let _ = to.write_all(&kept);
}
