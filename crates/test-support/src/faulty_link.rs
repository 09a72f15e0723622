//! A TCP proxy between two processes that can partition, stall or delay each direction of its connections, and reset
//! them. Bytes that were stalled arrive late; bytes that were dropped by a partition never arrive.
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// Maximum size of a read.
const READ_BUFFER_BYTES: usize = 16_384;
/// How often a direction checks for a change of its state.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// How long bytes are collected for a late delivery.
const COLLECT_DURATION: Duration = Duration::from_millis(700);
/// Timeout of connecting to the target, and of a write.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// How a link treats the bytes of one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkState {
    /// Forwards them.
    #[default]
    Open,
    /// Leaves them unread, and forwards them once the direction is open again.
    Stalled,
    /// Drops them; connections that lost bytes are reset once the direction is open again.
    Partitioned,
    /// Forwards each read this much later.
    Delayed(Duration),
}

/// The direction of bytes on a connection, as an index into [`State::directions`].
#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    /// From the client, which opened the connection.
    Outbound = 0,
    /// Back to the client.
    Inbound = 1,
}

/// Identifies a connection of the link.
#[derive(Clone, Copy)]
struct ConnectionId {
    /// Its number in the order of acceptance, from 1.
    number: u64,
    /// How many resets the link had when it was accepted.
    resets: u64,
}

/// A late delivery: the clients' sides of all connections up to `last_connection` are closed, and the bytes that the
/// clients sent are delivered after `delay`.
#[derive(Clone, Copy, Default)]
struct LateDelivery {
    last_connection: u64,
    delay: Duration,
}

#[derive(Default)]
struct State {
    target: Option<SocketAddr>,
    directions: [LinkState; 2],
    /// Resets so far; connections that were accepted before the last of them are closed.
    resets: u64,
    /// Connections accepted so far.
    accepted: u64,
    late_delivery: LateDelivery,
}

struct Shared {
    state: Mutex<State>,
    stopped: AtomicBool,
}

/// The current instructions for one direction of a connection.
struct Instructions {
    link: LinkState,
    is_reset: bool,
    /// The delay of the bytes that were sent, if the connection is closed for a late delivery.
    late_delivery: Option<Duration>,
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn instructions(&self, direction: Direction, connection: ConnectionId) -> Instructions {
        let state = self.state();
        let late = state.late_delivery;
        let is_late = connection.number <= late.last_connection;
        Instructions {
            link: state.directions[direction as usize],
            is_reset: state.resets != connection.resets,
            late_delivery: is_late.then_some(late.delay),
        }
    }

    fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Relaxed)
    }

    fn is_partitioned(&self) -> bool {
        self.state().directions.contains(&LinkState::Partitioned)
    }
}

/// A running link; it stops when it is dropped.
///
/// ```
/// use cottondyke_test_support::faulty_link::{FaultyLink, LinkState};
/// use std::io::{Read, Write};
/// use std::net::{TcpListener, TcpStream};
///
/// let server = TcpListener::bind("127.0.0.1:0")?;
/// let link = FaultyLink::start()?;
/// link.set_target(Some(server.local_addr()?));
/// link.set_directions(LinkState::Stalled, LinkState::Open);
/// let mut client = TcpStream::connect(link.addr)?;
/// client.write_all(b"hello")?;
/// let (mut connection, _) = server.accept()?;
/// link.set_directions(LinkState::Open, LinkState::Open);
/// let mut received = [0; 5];
/// connection.read_exact(&mut received)?;
/// assert_eq!(&received, b"hello");
/// # Ok::<(), std::io::Error>(())
/// ```
pub struct FaultyLink {
    /// The address to which clients connect.
    pub addr: SocketAddr,
    shared: Arc<Shared>,
}

impl FaultyLink {
    /// Starts one on a free port of the loopback interface; until it has a target it closes accepted connections.
    pub fn start() -> io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        let addr = listener.local_addr()?;
        let shared = Arc::new(Shared {
            state: Mutex::default(),
            stopped: AtomicBool::new(false),
        });
        let serving = shared.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                if serving.is_stopped() {
                    return;
                }
                let shared = serving.clone();
                // Every wait of a connection has a timeout and checks whether the link was stopped, so all threads end.
                let _ = spawn_thread(move || forward_connection(&shared, client));
            }
        });
        Ok(FaultyLink { addr, shared })
    }

    /// Sets the target of new connections; open connections keep theirs.
    pub fn set_target(&self, target: Option<SocketAddr>) {
        self.shared.state().target = target;
    }

    /// Sets the states of both directions: from the clients to the target, and back.
    pub fn set_directions(&self, outbound: LinkState, inbound: LinkState) {
        self.shared.state().directions = [outbound, inbound];
    }

    /// Closes the clients' sides of all open connections, and delivers the bytes in transit on them after a delay, so
    /// that they arrive after messages that were sent later.
    pub fn deliver_late(&self, delay: Duration) {
        let mut state = self.shared.state();
        state.late_delivery = LateDelivery {
            last_connection: state.accepted,
            delay,
        };
    }

    /// Closes all connections that are open.
    pub fn reset_connections(&self) {
        self.shared.state().resets += 1;
    }
}

impl Drop for FaultyLink {
    fn drop(&mut self) {
        self.shared.stopped.store(true, Ordering::Relaxed);
        let _ = TcpStream::connect(self.addr);
    }
}

fn spawn_thread(work: impl FnOnce() + Send + 'static) -> io::Result<thread::JoinHandle<()>> {
    thread::Builder::new()
        .stack_size(crate::threads::THREAD_STACK_BYTES)
        .spawn(work)
}

/// Connects a client with the target and forwards both directions until the connection ends.
fn forward_connection(shared: &Arc<Shared>, client: TcpStream) {
    let (target, connection) = {
        let mut state = shared.state();
        state.accepted += 1;
        let connection = ConnectionId {
            number: state.accepted,
            resets: state.resets,
        };
        (state.target, connection)
    };
    let Some(target) = target else { return };
    // A partition in either direction prevents connecting to the target.
    let deadline = Instant::now() + CONNECT_TIMEOUT;
    while shared.is_partitioned() {
        if Instant::now() > deadline || shared.is_stopped() {
            return;
        }
        thread::sleep(POLL_INTERVAL);
    }
    let Ok(server) = TcpStream::connect_timeout(&target, CONNECT_TIMEOUT) else {
        return;
    };
    let (Ok(client_writer), Ok(server_reader)) = (client.try_clone(), server.try_clone()) else {
        return;
    };
    let inbound_shared = shared.clone();
    let inbound = spawn_thread(move || {
        let direction = Direction::Inbound;
        forward(
            &inbound_shared,
            direction,
            server_reader,
            client_writer,
            connection,
        );
    });
    forward(shared, Direction::Outbound, client, server, connection);
    if let Ok(inbound) = inbound {
        let _ = inbound.join();
    }
}

/// Forwards one direction until either end closes or the link resets it, then closes both.
fn forward(
    shared: &Shared,
    direction: Direction,
    mut from: TcpStream,
    mut to: TcpStream,
    connection: ConnectionId,
) {
    let _ = from.set_read_timeout(Some(POLL_INTERVAL));
    let _ = from.set_nodelay(true);
    let _ = to.set_write_timeout(Some(CONNECT_TIMEOUT));
    let mut buffer = vec![0; READ_BUFFER_BYTES];
    let mut has_lost_bytes = false;
    loop {
        let instructions = shared.instructions(direction, connection);
        if let Some(delay) = instructions.late_delivery {
            if direction == Direction::Outbound {
                deliver_after_delay(shared, &mut from, &mut to, delay);
                break;
            }
            // The inbound direction ends with the outbound one.
            thread::sleep(POLL_INTERVAL);
            if shared.is_stopped() || to.peek(&mut [0]).is_ok_and(|count| count == 0) {
                break;
            }
            continue;
        }
        let is_open_after_loss = has_lost_bytes && instructions.link != LinkState::Partitioned;
        if instructions.is_reset || shared.is_stopped() || is_open_after_loss {
            break;
        }
        if instructions.link == LinkState::Stalled {
            // Bytes stay in the kernel's buffers, as with a peer that does not read.
            thread::sleep(POLL_INTERVAL);
            continue;
        }
        match forward_read(instructions.link, &mut from, &mut to, &mut buffer) {
            Forwarded::Nothing | Forwarded::Delivered => {}
            Forwarded::Dropped => has_lost_bytes = true,
            Forwarded::Closed => break,
        }
    }
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}

/// The outcome of one read.
enum Forwarded {
    /// No bytes arrived before the read timeout.
    Nothing,
    Delivered,
    Dropped,
    /// One of the two connections is closed.
    Closed,
}

/// Reads once, and delivers or drops the bytes.
fn forward_read(
    link: LinkState,
    from: &mut TcpStream,
    to: &mut TcpStream,
    buffer: &mut [u8],
) -> Forwarded {
    match from.read(buffer) {
        Ok(0) => Forwarded::Closed,
        Ok(_) if link == LinkState::Partitioned => Forwarded::Dropped,
        Ok(count) => {
            if let LinkState::Delayed(delay) = link {
                thread::sleep(delay);
            }
            match to.write_all(&buffer[..count]) {
                Ok(()) => Forwarded::Delivered,
                Err(_) => Forwarded::Closed,
            }
        }
        Err(e)
            if matches!(
                e.kind(),
                io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
            ) =>
        {
            Forwarded::Nothing
        }
        Err(_) => Forwarded::Closed,
    }
}

/// Collects bytes for [`COLLECT_DURATION`], closes the sender's connection, and delivers the bytes once the delay has
/// passed.
fn deliver_after_delay(shared: &Shared, from: &mut TcpStream, to: &mut TcpStream, delay: Duration) {
    let start = Instant::now();
    let (mut collected, mut buffer) = (Vec::new(), vec![0; READ_BUFFER_BYTES]);
    while start.elapsed() < COLLECT_DURATION {
        match from.read(&mut buffer) {
            Ok(0) => break,
            Ok(count) => collected.extend_from_slice(&buffer[..count]),
            Err(_) => {}
        }
    }
    let _ = from.shutdown(Shutdown::Both);
    while start.elapsed() < delay && !shared.is_stopped() {
        thread::sleep(POLL_INTERVAL);
    }
    let _ = to.write_all(&collected);
}
