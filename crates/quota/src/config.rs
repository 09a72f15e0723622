//! Settings of the lease protocol, which all members must have alike, and the bounds of its state.

use cottondyke_types::Time;

/// Fraction of a lease by which the clock of the leader and that of a holder may drift apart while the lease runs.
pub const MAX_CLOCK_DRIFT: f64 = 0.02;

/// Budgets in the replicated table, and in use at one member; further ones are rejected.
pub const MAX_BUDGETS: usize = 256;

/// Holders of one budget in the replicated table; further ones are rejected.
pub const MAX_HOLDERS: usize = 2_048;

/// A point in time before any that occurs, far enough from overflow that durations can be added to it.
pub(crate) const DISTANT_PAST: Time = Time(i64::MIN / 4);

/// Durations of the lease protocol. Every member and the leader must run with the same ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseConfig {
    /// How long a quota may be used after the request whose answer granted it was made.
    pub lease_duration: Time,
    /// How long one unit of a quota stays quarantined after its lease expired: a process that was suspended between
    /// checking its lease and sending a call sends that one call when it resumes.
    pub max_process_pause: Time,
    /// Which safeguards are on.
    pub safeguards: Safeguards,
}

/// Parts of the protocol that trials can switch off to show what they guard against. All are on by default.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Safeguards {
    /// Holders stop using a quota when their lease has expired.
    pub lease: bool,
    /// What a holder states to retain counts only under the current epoch of its quota.
    pub fence: bool,
    /// After its lease expired, a quota is reclaimed only once its units cannot be in use any longer.
    pub post_cancel_grace: bool,
    /// Quotas follow need and weight; without, all members get equal ones.
    pub demand: bool,
}

impl Default for Safeguards {
    fn default() -> Self {
        Safeguards {
            lease: true,
            fence: true,
            post_cancel_grace: true,
            demand: true,
        }
    }
}

/// A budget as the operator's file declares it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BudgetSpec {
    /// The budget's name.
    pub name: String,
    /// Units that all members together may use.
    pub units: u32,
    /// How long a unit may stay in use after its holder's lease has expired.
    pub post_cancel_grace: Time,
}
