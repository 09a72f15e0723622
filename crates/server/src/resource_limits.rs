//! The limits on connections, and on the memory for incomplete frames and retained results. The configuration sets the
//! number of connections and the memory of the whole program, and sets both again on SIGHUP. Cached responses and
//! requests are limited elsewhere: by the configuration and by the admission controller.
use async_channel::{Receiver, Sender};
use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;

/// Incomplete frames, and results retained for repeated requests, may each take the memory limit divided by these.
const FRAME_BUFFER_DIVISOR: usize = 8;
const RETAINED_RESULTS_DIVISOR: usize = 8;
/// Above this fraction of the connection limit the least useful connections are evicted, so that a burst of new ones
/// still finds free slots while the evicted ones close. The least useful are those on which nothing was ever sent or
/// received, except very new ones; then those idle for the longest time.
const EVICTION_THRESHOLD: f64 = 0.85;
/// Size of the read buffer that all connections share: what one reads is decoded before the next one reads.
const READ_BUFFER_BYTES: usize = 32_768;

/// The number of open connections, and the number above which connections are evicted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionCount {
    /// Open connections, including those that are closing.
    pub open: usize,
    /// Above this number the least useful connections are evicted.
    pub target: usize,
}

/// The limits, and how much of each is in use.
pub struct ResourceLimits {
    max_connections: Cell<usize>,
    memory_bytes: Cell<usize>,
    open_connections: Cell<usize>,
    frame_bytes: Cell<usize>,
    /// Signals that a connection was released or the limits were changed.
    released: (Sender<()>, Receiver<()>),
    read_buffer: RefCell<Vec<u8>>,
}

impl ResourceLimits {
    /// Creates limits of this many connections and this many bytes of memory.
    pub fn new(connections: usize, memory: usize) -> Rc<Self> {
        Rc::new(ResourceLimits {
            max_connections: Cell::new(connections),
            memory_bytes: Cell::new(memory),
            open_connections: Cell::new(0),
            frame_bytes: Cell::new(0),
            released: async_channel::bounded(1),
            read_buffer: RefCell::new(vec![0; READ_BUFFER_BYTES]),
        })
    }

    /// Changes both limits. What already exceeds them is not revoked, but released as usual.
    pub fn set(&self, connections: usize, memory: usize) {
        self.max_connections.set(connections);
        self.memory_bytes.set(memory);
        self.notify_released();
    }

    /// Reserves one connection; `None` at the limit.
    pub fn acquire_connection(self: &Rc<Self>) -> Option<ConnectionPermit> {
        if self.is_full() {
            return None;
        }
        self.open_connections.set(self.open_connections.get() + 1);
        Some(ConnectionPermit(self.clone()))
    }

    /// Whether the connection limit is reached.
    pub fn is_full(&self) -> bool {
        self.open_connections.get() >= self.max_connections.get()
    }

    /// Waits until the number of connections is below the limit.
    pub async fn wait_for_capacity(&self) {
        while self.is_full() {
            let _ = self.released.1.recv().await;
        }
    }

    /// The number of open connections, and how many should stay open.
    pub fn connections(&self) -> ConnectionCount {
        let target = (self.max_connections.get() as f64 * EVICTION_THRESHOLD) as usize;
        ConnectionCount {
            open: self.open_connections.get(),
            target: target.max(1),
        }
    }

    /// An empty reservation for the incomplete frame of a connection.
    pub fn reserve_buffer(self: &Rc<Self>) -> BufferReservation {
        BufferReservation {
            limits: self.clone(),
            bytes: 0,
        }
    }

    /// The most memory that results retained for repeated requests may take, in bytes.
    pub fn max_retained_bytes(&self) -> usize {
        self.memory_bytes.get() / RETAINED_RESULTS_DIVISOR
    }

    /// Reads into the shared buffer and passes the bytes to `consume` before anything else can be read.
    pub fn read(
        &self,
        read: impl FnOnce(&mut [u8]) -> io::Result<usize>,
        consume: impl FnOnce(&[u8]),
    ) -> io::Result<usize> {
        let mut buffer = self.read_buffer.borrow_mut();
        let count = read(&mut buffer)?;
        consume(&buffer[..count]);
        Ok(count)
    }

    fn notify_released(&self) {
        let _ = self.released.0.try_send(());
    }
}

/// The reservation of one connection, released on drop.
pub struct ConnectionPermit(Rc<ResourceLimits>);

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        let open = &self.0.open_connections;
        open.set(open.get() - 1);
        self.0.notify_released();
    }
}

/// The memory that a connection's incomplete frame takes, released on drop.
pub struct BufferReservation {
    limits: Rc<ResourceLimits>,
    bytes: usize,
}

impl BufferReservation {
    /// Reserves `bytes` instead of the previous amount, even beyond the limit. Returns whether all reservations
    /// together are within it; always true for 0 bytes.
    pub fn resize(&mut self, bytes: usize) -> bool {
        let reserved = &self.limits.frame_bytes;
        reserved.set(reserved.get() - self.bytes + bytes);
        self.bytes = bytes;
        bytes == 0 || reserved.get() <= self.limits.memory_bytes.get() / FRAME_BUFFER_DIVISOR
    }
}

impl Drop for BufferReservation {
    fn drop(&mut self) {
        self.resize(0);
    }
}
