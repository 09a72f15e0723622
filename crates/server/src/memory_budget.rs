//! The memory that callers make the process hold: incomplete frames, decoded requests, answers that are not written, and
//! what is retained for duplicates. All of it is counted against the part of the memory limit that is left for callers
//! (`memory_plan`).
//!
//! Each account has a small part of its own. What accounts hold beyond that is counted in one total, which is divided by
//! dynamic thresholds (Choudhury and Hahne, "Dynamic Queue Length Thresholds for Shared-Memory Packet Switches", 1998): an
//! account may grow while it holds no more of it than what is free, or a part of that for clients that the engine does
//! not know. So few accounts may use most of the memory, many accounts that take all they can get equal parts, and a new
//! account always finds some free.
use crate::memory_plan::{MemoryPlan, MIN_ACCOUNT_BYTES};
use std::cell::Cell;
use std::rc::Rc;

/// An account of a client that the engine does not know may hold what is free divided by this.
const UNKNOWN_CLIENT_DIVISOR: usize = 16;
/// Callers get no more memory than they have had once less than the memory limit divided by this is left of it.
const RESIDENT_MARGIN_DIVISOR: usize = 16;

/// The owner of the total.
#[derive(Debug)]
pub struct MemoryBudget {
    plan: Cell<MemoryPlan>,
    /// What all accounts hold.
    held_bytes: Cell<usize>,
    /// What accounts hold beyond the part of their own.
    shared_bytes: Cell<usize>,
    /// The largest `shared_bytes` so far: the allocator can provide as much again without more resident memory.
    peak_shared_bytes: Cell<usize>,
    /// The largest `shared_bytes` that the resident memory allows.
    max_shared_bytes: Cell<usize>,
}

impl MemoryBudget {
    /// Creates a budget in which nothing is held.
    pub fn new(plan: MemoryPlan) -> Rc<Self> {
        Rc::new(MemoryBudget {
            plan: Cell::new(plan),
            held_bytes: Cell::new(0),
            shared_bytes: Cell::new(0),
            peak_shared_bytes: Cell::new(0),
            max_shared_bytes: Cell::new(usize::MAX),
        })
    }

    /// Changes the plan. What already exceeds it is not revoked, but released as usual.
    pub fn set_plan(&self, plan: MemoryPlan) {
        self.plan.set(plan);
        self.max_shared_bytes.set(usize::MAX);
    }

    /// The plan in force.
    pub fn plan(&self) -> MemoryPlan {
        self.plan.get()
    }

    /// The bytes that all accounts hold.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes.get()
    }

    /// Compares the resident memory of the process with its limit. Memory that the budget does not count leaves less for
    /// callers, but no less than they have had.
    pub fn observe_resident(&self, resident_bytes: usize) {
        let limit = self.plan.get().limit_bytes;
        let room = (limit - limit / RESIDENT_MARGIN_DIVISOR).saturating_sub(resident_bytes);
        let max = self.peak_shared_bytes.get().saturating_add(room);
        self.max_shared_bytes.set(max);
    }

    /// Opens an account that holds nothing.
    pub fn open_account(self: &Rc<Self>) -> Rc<MemoryAccount> {
        Rc::new(MemoryAccount {
            budget: self.clone(),
            held_bytes: Cell::new(0),
            free_divisor: Cell::new(1),
        })
    }

    /// What accounts may hold together beyond the parts of their own.
    fn shared_limit(&self) -> usize {
        let planned = self.plan.get().shared_bytes;
        planned.min(self.max_shared_bytes.get())
    }

    /// Records that an account holds `new` bytes in place of `old`.
    fn replace(&self, old: usize, new: usize) {
        self.held_bytes.set(self.held_bytes.get() - old + new);
        let shared = self.shared_bytes.get() - shared_part(old) + shared_part(new);
        self.shared_bytes.set(shared);
        let peak = self.peak_shared_bytes.get().max(shared);
        self.peak_shared_bytes.set(peak);
    }
}

/// What an account that holds `bytes` takes beyond the part of its own.
fn shared_part(bytes: usize) -> usize {
    bytes.saturating_sub(MIN_ACCOUNT_BYTES)
}

/// The bytes that are held for one connection, or for duplicates.
#[derive(Debug)]
pub struct MemoryAccount {
    budget: Rc<MemoryBudget>,
    held_bytes: Cell<usize>,
    /// The account may hold what is free divided by this.
    free_divisor: Cell<usize>,
}

impl MemoryAccount {
    /// Sets whether the account is that of a client that the engine knows, or of no client. It is so when opened.
    pub fn set_known(&self, is_known: bool) {
        let divisor = if is_known { 1 } else { UNKNOWN_CLIENT_DIVISOR };
        self.free_divisor.set(divisor);
    }

    /// Whether the account may hold `bytes` more.
    fn may_add(&self, bytes: usize) -> bool {
        bytes <= self.max_added_bytes()
    }

    /// The most bytes that the account may hold in addition: the part of its own, and so many that it holds no more of
    /// the rest than is then left free, or than its part of that.
    pub fn max_added_bytes(&self) -> usize {
        let held = self.held_bytes.get();
        let budget = &self.budget;
        let free = budget
            .shared_limit()
            .saturating_sub(budget.shared_bytes.get());
        let divisor = self.free_divisor.get();
        let shared = free.saturating_sub(divisor * shared_part(held)) / (divisor + 1);
        shared + MIN_ACCOUNT_BYTES.saturating_sub(held)
    }

    /// The most bytes that the account may hold now.
    pub fn max_bytes(&self) -> usize {
        let budget = &self.budget;
        let held_by_others = budget.shared_bytes.get() - shared_part(self.held_bytes.get());
        let free = budget.shared_limit().saturating_sub(held_by_others);
        let shared = free / (self.free_divisor.get() + 1);
        MIN_ACCOUNT_BYTES + shared
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
        let old = account.held_bytes.get();
        let new = old - self.bytes + bytes;
        account.held_bytes.set(new);
        account.budget.replace(old, new);
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
