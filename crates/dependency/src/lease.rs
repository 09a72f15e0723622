//! Leased quotas, which may change or expire at any moment, and the send timestamps by which calls are counted against
//! a rate.
use cottondyke_types::Time;
use std::cell::Cell;

/// How long a call counts against a rate after it was sent: one second, plus an allowance for variation in network
/// delay between calls.
pub const RATE_WINDOW: Time = Time(12_500);

/// A leased quota, which may change or expire at any moment. Its owner sets it with [`renew`](Self::renew); the gate
/// reads it before each call.
#[derive(Debug)]
pub struct LeasedQuota {
    units: Cell<usize>,
    expires_at: Cell<Time>,
    /// Incremented when an expired lease is renewed: other instances may have held its units in the meantime.
    term: Cell<u32>,
}

impl Default for LeasedQuota {
    fn default() -> Self {
        LeasedQuota {
            units: Cell::new(0),
            expires_at: Cell::new(Time(i64::MIN)),
            term: Cell::new(0),
        }
    }
}

impl LeasedQuota {
    /// Sets the number of units and the time at which the lease expires.
    pub fn renew(&self, now: Time, units: usize, expires_at: Time) {
        if self.expires_at.get() <= now && expires_at > now {
            self.term.set(self.term.get().wrapping_add(1));
        }
        self.units.set(units);
        self.expires_at.set(expires_at);
    }

    /// The units in force at `now`: 0 once the lease has expired.
    pub fn units(&self, now: Time) -> usize {
        if self.is_valid(now) {
            self.units.get()
        } else {
            0
        }
    }

    pub(crate) fn is_valid(&self, now: Time) -> bool {
        now < self.expires_at.get()
    }

    pub(crate) fn term(&self) -> u32 {
        self.term.get()
    }
}

/// Compares identity: two handles are equal if they are the same lease, whatever its units are.
impl PartialEq for LeasedQuota {
    fn eq(&self, other: &LeasedQuota) -> bool {
        std::ptr::eq(self, other)
    }
}

/// The terms of the two leases of a dependency; 0 where there is no lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTerms {
    /// Term of the lease on concurrent calls.
    pub calls: u32,
    /// Term of the lease on the call rate.
    pub rate: u32,
}

/// When a call was sent. An issued call counts against the rate until its first byte is sent, however long that takes:
/// connecting may be slow, and the process may be suspended.
#[derive(Debug)]
pub struct SendTimestamp {
    sent_at: Cell<Time>,
    terms: LeaseTerms,
}

impl SendTimestamp {
    /// Creates the timestamp of a call that was issued under these lease terms and not sent yet.
    pub fn new(terms: LeaseTerms) -> Self {
        SendTimestamp {
            sent_at: Cell::new(Time::MAX),
            terms,
        }
    }

    /// Records that the first byte of the call is sent now.
    pub fn record_send(&self, now: Time) {
        self.sent_at.set(now);
    }

    /// Records that the call has ended; a call that was never sent no longer counts against the rate.
    pub fn finish(&self) {
        if self.sent_at.get() == Time::MAX {
            self.sent_at.set(Time(i64::MIN / 4));
        }
    }

    /// The time until which the call counts against the rate.
    pub fn counted_until(&self) -> Time {
        self.sent_at.get() + RATE_WINDOW
    }

    /// The lease terms under which the call was issued.
    pub fn terms(&self) -> LeaseTerms {
        self.terms
    }
}

/// Compares identity: two timestamps are equal if they belong to the same call.
impl PartialEq for SendTimestamp {
    fn eq(&self, other: &SendTimestamp) -> bool {
        std::ptr::eq(self, other)
    }
}
