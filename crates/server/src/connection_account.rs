//! What the reader of a connection, its writer and the dispatcher share about it: its memory, and whether the engine
//! knows its client.
use crate::memory_budget::{MemoryAccount, MemoryCharge};
use crate::protocol::sidecar::Request;
use crate::unverified_quota::{UnverifiedQuota, UnverifiedSlot};
use std::cell::Cell;
use std::rc::Rc;

/// Size of a request in the tables of dispatcher, admission controller and executor, beside its key and body.
const REQUEST_BYTES: usize = 1_024;
/// Size of the largest result that the protocol allows, with its head. It is reserved when a request is read, so that
/// there is always memory for the answer.
const RESULT_BYTES: usize = 4_096 + 256;

/// The account of one connection.
#[derive(Debug)]
pub struct ConnectionAccount {
    memory: Rc<MemoryAccount>,
    quota: Rc<UnverifiedQuota>,
    is_verified: Cell<bool>,
}

impl ConnectionAccount {
    /// Creates the account of a new connection, whose client is not known.
    pub fn new(memory: Rc<MemoryAccount>, quota: Rc<UnverifiedQuota>) -> Rc<Self> {
        memory.set_known(false);
        Rc::new(ConnectionAccount {
            memory,
            quota,
            is_verified: Cell::new(false),
        })
    }

    /// The memory that is held for the connection.
    pub fn memory(&self) -> &Rc<MemoryAccount> {
        &self.memory
    }

    /// Sets whether the client is known: the engine has recognized a request of it, and none was invalid since.
    pub fn set_verified(&self, is_verified: bool) {
        self.is_verified.set(is_verified);
        self.memory.set_known(is_verified);
    }

    /// Asks whether a request may be passed on: at once if the client is known, else within the quota of unknown ones.
    pub async fn request_turn(&self) -> Turn {
        if self.is_verified.get() {
            return Turn::Known;
        }
        match self.quota.acquire().await {
            Some(slot) => Turn::Unverified(slot),
            None => Turn::Refused,
        }
    }

    /// Waits before a request is refused that no sidecar sends, unless the client is known: within the quota not at all,
    /// beyond it as long as a request waits for a slot. So unknown clients at full speed are refused at a bounded rate.
    /// A known client is not slowed down: requests that it sends late would count as read late by the server.
    pub async fn wait_to_refuse(&self) {
        drop(self.request_turn().await);
    }

    /// Reserves the memory that a request and its answer need; `None` if there is not enough.
    pub fn reserve(&self, request: &Request) -> Option<MemoryCharge> {
        let key_bytes = request.idempotency_key.as_ref().map_or(0, |key| key.len());
        let bytes = REQUEST_BYTES + RESULT_BYTES + key_bytes + request.body.len();
        self.memory.try_charge(bytes)
    }

    /// The memory of an encoded answer. Memory for the largest result of the protocol was reserved with the request; a
    /// larger one needs more, and there may be none.
    pub fn charge_answer(&self, bytes: usize) -> Option<MemoryCharge> {
        match bytes <= RESULT_BYTES {
            true => Some(self.memory.charge(bytes)),
            false => self.memory.try_charge(bytes),
        }
    }
}

/// Whether a request may be passed on.
#[derive(Debug)]
pub enum Turn {
    /// The client is known.
    Known,
    /// The client is not known; the request uses this slot.
    Unverified(UnverifiedSlot),
    /// Too many clients that are not known send requests.
    Refused,
}

/// What a request holds until it is answered and its run has ended.
#[derive(Debug)]
pub struct RequestReservation {
    /// Its memory.
    pub memory: MemoryCharge,
    /// Its slot, if its client was not known when it was read.
    pub slot: Option<UnverifiedSlot>,
}
