//! The limits on connections and on the memory that callers make the process hold. Both come from the memory plan, which
//! the configuration sets at start and again on SIGHUP. Cached responses of dependencies are limited by the configuration.
use crate::connection_account::ConnectionAccount;
use crate::memory_budget::MemoryBudget;
use crate::memory_plan::{MemoryPlan, SocketBuffers};
use crate::unverified_quota::UnverifiedQuota;
use async_channel::{Receiver, Sender};
use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;

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
    open_connections: Cell<usize>,
    memory: Rc<MemoryBudget>,
    unverified_quota: Rc<UnverifiedQuota>,
    /// Signals that a connection was released or the limits were changed.
    released: (Sender<()>, Receiver<()>),
    read_buffer: RefCell<Vec<u8>>,
}

impl ResourceLimits {
    /// Creates limits according to a plan.
    pub fn new(plan: MemoryPlan) -> Rc<Self> {
        Rc::new(ResourceLimits {
            open_connections: Cell::new(0),
            memory: MemoryBudget::new(plan),
            unverified_quota: UnverifiedQuota::new(),
            released: async_channel::bounded(1),
            read_buffer: RefCell::new(vec![0; READ_BUFFER_BYTES]),
        })
    }

    /// Changes the plan. What already exceeds it is not revoked, but released as usual.
    pub fn set_plan(&self, plan: MemoryPlan) {
        self.memory.set_plan(plan);
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
        self.open_connections.get() >= self.max_connections()
    }

    fn max_connections(&self) -> usize {
        self.memory.plan().max_connections
    }

    /// Sizes of a connection's buffers in the kernel.
    pub fn socket_buffers(&self) -> SocketBuffers {
        self.memory.plan().socket_buffers
    }

    /// Waits until the number of connections is below the limit.
    pub async fn wait_for_capacity(&self) {
        while self.is_full() {
            let _ = self.released.1.recv().await;
        }
    }

    /// The number of open connections, and how many should stay open.
    pub fn connections(&self) -> ConnectionCount {
        let target = (self.max_connections() as f64 * EVICTION_THRESHOLD) as usize;
        ConnectionCount {
            open: self.open_connections.get(),
            target: target.max(1),
        }
    }

    /// The owner of the memory that callers make the process hold.
    pub fn memory(&self) -> &Rc<MemoryBudget> {
        &self.memory
    }

    /// The account of a new connection.
    pub fn open_account(&self) -> Rc<ConnectionAccount> {
        ConnectionAccount::new(self.memory.open_account(), self.unverified_quota.clone())
    }

    /// Reads at most `max_bytes` into the shared buffer and passes the bytes to `consume` before anything else can be read.
    pub fn read(
        &self,
        max_bytes: usize,
        read: impl FnOnce(&mut [u8]) -> io::Result<usize>,
        consume: impl FnOnce(&[u8]),
    ) -> io::Result<usize> {
        let mut buffer = self.read_buffer.borrow_mut();
        let length = buffer.len().min(max_bytes);
        let count = read(&mut buffer[..length])?;
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
