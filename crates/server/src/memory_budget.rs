//! The memory that callers make the process hold: incomplete frames, decoded requests, answers that are not written, and
//! what is retained for duplicates. All of it is counted in one total against the memory limit of the configuration.
//!
//! The total is divided by dynamic thresholds (Choudhury and Hahne, "Dynamic Queue Length Thresholds for Shared-Memory
//! Packet Switches", 1998): an account may grow while it holds no more than what is free. So few accounts may use most
//! of the memory, many accounts that take all they can get equal parts, and a new account always finds some free.
use std::cell::Cell;
use std::rc::Rc;

/// The counted bytes may take the memory limit divided by this. The rest is for the program, for the fixed part of
/// connections and for what the allocator adds.
const LIMIT_DIVISOR: usize = 2;
/// What each account may hold however little is free, in bytes: one request of the usual size.
const MIN_ACCOUNT_BYTES: usize = 8_192;

/// The owner of the total.
#[derive(Debug)]
pub struct MemoryBudget {
    limit_bytes: Cell<usize>,
    held_bytes: Cell<usize>,
}

impl MemoryBudget {
    /// Creates a budget for a process with this memory limit, in bytes.
    pub fn new(memory_bytes: usize) -> Rc<Self> {
        Rc::new(MemoryBudget {
            limit_bytes: Cell::new(memory_bytes / LIMIT_DIVISOR),
            held_bytes: Cell::new(0),
        })
    }

    /// Changes the memory limit of the process, in bytes. What already exceeds it is not revoked, but released as usual.
    pub fn set_memory(&self, memory_bytes: usize) {
        self.limit_bytes.set(memory_bytes / LIMIT_DIVISOR);
    }

    /// The bytes that all accounts hold.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes.get()
    }

    /// Opens an account that holds nothing.
    pub fn open_account(self: &Rc<Self>) -> Rc<MemoryAccount> {
        Rc::new(MemoryAccount {
            budget: self.clone(),
            held_bytes: Cell::new(0),
        })
    }
}

/// The bytes that are held for one connection, or for duplicates.
#[derive(Debug)]
pub struct MemoryAccount {
    budget: Rc<MemoryBudget>,
    held_bytes: Cell<usize>,
}

impl MemoryAccount {
    /// Whether the account may hold `bytes` more.
    fn may_add(&self, bytes: usize) -> bool {
        bytes <= self.max_added_bytes()
    }

    /// The most bytes that the account may hold in addition: so many that it holds no more than is then left free.
    pub fn max_added_bytes(&self) -> usize {
        let held = self.held_bytes.get();
        let free = self
            .budget
            .limit_bytes
            .get()
            .saturating_sub(self.budget.held_bytes.get());
        let shared = free.saturating_sub(held) / 2;
        shared.max(MIN_ACCOUNT_BYTES.saturating_sub(held))
    }

    /// The most bytes that the account may hold now.
    pub fn max_bytes(&self) -> usize {
        let held_by_others = self.budget.held_bytes.get() - self.held_bytes.get();
        let limit = self.budget.limit_bytes.get();
        limit.saturating_sub(held_by_others) / 2
    }

    /// Adds bytes to the account if it may hold them.
    pub fn try_charge(self: &Rc<Self>, bytes: usize) -> Option<MemoryCharge> {
        self.may_add(bytes).then(|| self.charge(bytes))
    }

    /// Adds bytes to the account, even if they exceed what it may hold.
    pub fn charge(self: &Rc<Self>, bytes: usize) -> MemoryCharge {
        let mut charge = MemoryCharge {
            account: self.clone(),
            bytes: 0,
        };
        charge.set(bytes);
        charge
    }
}

/// Bytes of an account, released on drop.
#[derive(Debug)]
pub struct MemoryCharge {
    account: Rc<MemoryAccount>,
    bytes: usize,
}

impl MemoryCharge {
    /// The account that holds the bytes.
    pub fn account(&self) -> &MemoryAccount {
        &self.account
    }

    /// Replaces the amount, even if it exceeds what the account may hold.
    pub fn set(&mut self, bytes: usize) {
        let account = &self.account;
        let replace = |total: &Cell<usize>| total.set(total.get() - self.bytes + bytes);
        replace(&account.held_bytes);
        replace(&account.budget.held_bytes);
        self.bytes = bytes;
    }

    /// Replaces the amount and returns true if the account may hold it; fewer bytes are always granted.
    pub fn try_set(&mut self, bytes: usize) -> bool {
        let is_granted = match bytes.checked_sub(self.bytes) {
            Some(added) if added > 0 => self.account.may_add(added),
            _ => true,
        };
        if is_granted {
            self.set(bytes);
        }
        is_granted
    }
}

impl Drop for MemoryCharge {
    fn drop(&mut self) {
        self.set(0);
    }
}
