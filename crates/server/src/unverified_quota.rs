//! Limits the requests of clients that the engine does not know. Anyone can send requests at full speed; a sidecar is
//! known as soon as the engine has recognized one of its requests. Beyond the limit a request waits for a short time
//! and is then refused; meanwhile nothing more is read from its connection.
use async_channel::{Receiver, Sender};
use async_io::Timer;
use async_lock::Mutex;
use futures_lite::{future, FutureExt};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Number of slots; each unanswered request of an unknown client uses one.
pub const SLOTS: usize = 128;
/// Longest time that a request uses a slot, so that new sidecars are admitted while the server is slow to answer.
const MAX_USE: Duration = Duration::from_millis(50);
/// Time until the slot of a request that was answered without a result can be used again. It bounds the work that
/// clients cause which send again as soon as they are refused.
const REFUSED_DELAY: Duration = Duration::from_millis(40);
/// Longest time that a request waits for a slot.
const MAX_WAIT: Duration = MAX_USE;

/// A place for one request.
#[derive(Clone, Copy, Debug)]
struct Slot {
    /// When it can be used again.
    usable_at: Instant,
    /// The number of its last use.
    last_use: u64,
}

/// The slots for requests of unknown clients.
#[derive(Debug)]
pub struct UnverifiedQuota {
    slots: RefCell<Vec<Slot>>,
    /// Held by the connection that waits for the next slot, so that the others wait in order.
    turn: Mutex<()>,
    /// Signals that a slot can be used earlier than before.
    released: (Sender<()>, Receiver<()>),
}

impl UnverifiedQuota {
    /// Creates a quota whose slots are all free.
    pub fn new() -> Rc<Self> {
        let free = Slot {
            usable_at: Instant::now(),
            last_use: 0,
        };
        Rc::new(UnverifiedQuota {
            slots: RefCell::new(vec![free; SLOTS]),
            turn: Mutex::new(()),
            released: async_channel::bounded(1),
        })
    }

    /// Waits for a slot; `None` if there was none in time.
    pub async fn acquire(self: &Rc<Self>) -> Option<UnverifiedSlot> {
        let timeout = async {
            Timer::after(MAX_WAIT).await;
            None
        };
        let acquiring = async { Some(self.wait_for_slot().await) };
        acquiring.or(timeout).await
    }

    async fn wait_for_slot(self: &Rc<Self>) -> UnverifiedSlot {
        // The mutex is not fair: without this, a connection that has just had its turn would take the next one too.
        future::yield_now().await;
        let _turn = self.turn.lock().await;
        loop {
            let usable_at = match self.try_acquire(Instant::now()) {
                Ok(slot) => return slot,
                Err(usable_at) => usable_at,
            };
            let timeout = async {
                Timer::at(usable_at).await;
            };
            let released = async {
                let _ = self.released.1.recv().await;
            };
            timeout.or(released).await;
        }
    }

    /// Takes the slot that can be used first, or returns when it can be used.
    fn try_acquire(self: &Rc<Self>, now: Instant) -> Result<UnverifiedSlot, Instant> {
        let mut slots = self.slots.borrow_mut();
        let first = slots.iter_mut().enumerate();
        let Some((index, slot)) = first.min_by_key(|(_, slot)| slot.usable_at) else {
            return Err(now + MAX_USE);
        };
        if slot.usable_at > now {
            return Err(slot.usable_at);
        }
        slot.usable_at = now + MAX_USE;
        slot.last_use += 1;
        Ok(UnverifiedSlot {
            quota: self.clone(),
            index,
            number: slot.last_use,
        })
    }
}

/// A slot in use, released on drop like that of a request that was answered without a result.
#[derive(Debug)]
pub struct UnverifiedSlot {
    quota: Rc<UnverifiedQuota>,
    index: usize,
    /// The number of this use of the slot.
    number: u64,
}

impl UnverifiedSlot {
    /// Releases the slot of a request that was answered with a result: it can be used again at once.
    pub fn release_completed(self) {
        self.make_usable(Instant::now());
    }

    /// Makes the slot usable at this time, unless it was usable earlier and is used again.
    fn make_usable(&self, at: Instant) {
        let mut slots = self.quota.slots.borrow_mut();
        let slot = &mut slots[self.index];
        if slot.last_use == self.number && at < slot.usable_at {
            slot.usable_at = at;
            let _ = self.quota.released.0.try_send(());
        }
    }
}

impl Drop for UnverifiedSlot {
    fn drop(&mut self) {
        self.make_usable(Instant::now() + REFUSED_DELAY);
    }
}
