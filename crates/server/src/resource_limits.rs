//! The budgets of descriptors and memory. All that takes either asks here; the configuration sets both, again on
//! SIGHUP.
use async_channel::{Receiver, Sender};
use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;

/// The memory is divided by these: the portions that incomplete frames, and results retained for repeats, may take.
const FRAME_BUFFER_DIVISOR: usize = 8;
const RETAINED_RESULTS_DIVISOR: usize = 8;
/// Past this fraction of the connections the least useful ones go, so that a rush finds places while they do.
const EVICTION_THRESHOLD: f64 = 0.85;
/// Bytes read at once, by any connection: they are decoded before the next one reads.
const READ_BUFFER_BYTES: usize = 32_768;

/// How many connections stand, and how many may.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionCount {
    /// Connections that stand, closing ones among them.
    pub open: usize,
    /// Past this number the least useful ones go.
    pub target: usize,
}

/// What of descriptors and memory is taken.
pub struct ResourceLimits {
    max_connections: Cell<usize>,
    memory_bytes: Cell<usize>,
    open_connections: Cell<usize>,
    frame_bytes: Cell<usize>,
    /// Tells that a connection was given back, or the limit raised.
    released: (Sender<()>, Receiver<()>),
    read_buffer: RefCell<Vec<u8>>,
}

impl ResourceLimits {
    /// Limits for so many connections and so many bytes of memory.
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

    /// Changes both limits; what is taken past them is given back in its time.
    pub fn set(&self, connections: usize, memory: usize) {
        self.max_connections.set(connections);
        self.memory_bytes.set(memory);
        self.notify_released();
    }

    /// A place for one connection, if there is one.
    pub fn acquire_connection(self: &Rc<Self>) -> Option<ConnectionPermit> {
        if self.is_full() {
            return None;
        }
        self.open_connections.set(self.open_connections.get() + 1);
        Some(ConnectionPermit(self.clone()))
    }

    /// Whether no further connection has a place.
    pub fn is_full(&self) -> bool {
        self.open_connections.get() >= self.max_connections.get()
    }

    /// Waits until there is a place for a connection.
    pub async fn wait_for_capacity(&self) {
        while self.is_full() {
            let _ = self.released.1.recv().await;
        }
    }

    /// How many connections there are, and how many should stay.
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

    /// What results retained for repeats may take, in bytes.
    pub fn max_retained_bytes(&self) -> usize {
        self.memory_bytes.get() / RETAINED_RESULTS_DIVISOR
    }

    /// Hands what `read` brings to `consume`, before anything else can be read.
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

/// One connection's descriptor, given back on drop.
pub struct ConnectionPermit(Rc<ResourceLimits>);

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        let open = &self.0.open_connections;
        open.set(open.get() - 1);
        self.0.notify_released();
    }
}

/// The memory that a connection's incomplete frame takes, given back on drop.
pub struct BufferReservation {
    limits: Rc<ResourceLimits>,
    bytes: usize,
}

impl BufferReservation {
    /// Takes `bytes` in place of what was taken; false where that is past the limit.
    pub fn resize(&mut self, bytes: usize) -> bool {
        let taken = &self.limits.frame_bytes;
        taken.set(taken.get() - self.bytes + bytes);
        self.bytes = bytes;
        bytes == 0 || taken.get() <= self.limits.memory_bytes.get() / FRAME_BUFFER_DIVISOR
    }
}

impl Drop for BufferReservation {
    fn drop(&mut self) {
        self.resize(0);
    }
}
