//! The budgets of descriptors and memory. All that takes either asks here; the configuration sets both, anew on
//! SIGHUP.
use async_channel::{Receiver, Sender};
use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;

/// Parts of the memory that frames which came in part, and results kept for repeats, may take.
const PARTS: usize = 8;
const RESULTS: usize = 8;
/// Past this part of the connections the least useful ones go, so that a rush finds room while they do.
const SOFT_PART: f64 = 0.85;
/// Bytes read at once, by any connection: they are decoded before the next one reads.
const READ: usize = 32_768;

pub struct ResourceLimits {
    connections: Cell<usize>,
    memory: Cell<usize>,
    taken: Cell<usize>,
    parts: Cell<usize>,
    given_back: (Sender<()>, Receiver<()>),
    bytes: RefCell<Vec<u8>>,
}

impl ResourceLimits {
    pub fn new(connections: usize, memory: usize) -> Rc<Self> {
        Rc::new(ResourceLimits {
            connections: Cell::new(connections),
            memory: Cell::new(memory),
            taken: Cell::new(0),
            parts: Cell::new(0),
            given_back: async_channel::bounded(1),
            bytes: RefCell::new(vec![0; READ]),
        })
    }

    pub fn set(&self, connections: usize, memory: usize) {
        self.connections.set(connections);
        self.memory.set(memory);
        let _ = self.given_back.0.try_send(());
    }

    pub fn permit(self: &Rc<Self>) -> Option<ConnectionPermit> {
        (!self.full()).then(|| {
            self.taken.set(self.taken.get() + 1);
            ConnectionPermit(self.clone())
        })
    }

    pub fn full(&self) -> bool {
        self.taken.get() >= self.connections.get()
    }

    /// Waits until there is a place.
    pub async fn free(&self) {
        while self.full() {
            let _ = self.given_back.1.recv().await;
        }
    }

    /// How many connections there are, and how many should stay.
    pub fn connections(&self) -> (usize, usize) {
        let most = self.connections.get();
        (
            self.taken.get(),
            ((most as f64 * SOFT_PART) as usize).max(1),
        )
    }

    pub fn part(self: &Rc<Self>) -> BufferReservation {
        BufferReservation(self.clone(), 0)
    }

    /// What results kept for repeats may take, in bytes.
    pub fn results(&self) -> usize {
        self.memory.get() / RESULTS
    }

    /// Hands what `read` brings to `take`, before anything else can be read.
    pub fn read(
        &self,
        read: impl FnOnce(&mut [u8]) -> io::Result<usize>,
        take: impl FnOnce(&[u8]),
    ) -> io::Result<usize> {
        let mut bytes = self.bytes.borrow_mut();
        let count = read(&mut bytes)?;
        take(&bytes[..count]);
        Ok(count)
    }
}

/// One connection's descriptor, given back at its end.
pub struct ConnectionPermit(Rc<ResourceLimits>);

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.0.taken.set(self.0.taken.get() - 1);
        let _ = self.0.given_back.0.try_send(());
    }
}

/// What a connection's frame in part takes, given back at its end.
pub struct BufferReservation(Rc<ResourceLimits>, usize);

impl BufferReservation {
    /// Takes `size` in place of what was taken; false where there is no room.
    pub fn set(&mut self, size: usize) -> bool {
        let BufferReservation(room, taken) = self;
        room.parts.set(room.parts.get() - *taken + size);
        *taken = size;
        size == 0 || room.parts.get() <= room.memory.get() / PARTS
    }
}

impl Drop for BufferReservation {
    fn drop(&mut self) {
        self.set(0);
    }
}
