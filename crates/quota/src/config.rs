//! Settings of the lease protocol, which must be the same on all members, and limits on the size of its state.

use cottondyke_types::Time;

/// Maximum drift between the leader's clock and a holder's clock during a lease, as a fraction of the lease duration.
pub const MAX_CLOCK_DRIFT: f64 = 0.02;

/// Maximum number of budgets in the replicated table, which rejects further ones, and at one member, which ignores
/// further ones.
pub const MAX_BUDGETS: usize = 256;

/// Maximum number of holders of one budget in the replicated table; further ones are rejected.
pub const MAX_HOLDERS: usize = 2_048;

/// Earlier than any point in time that occurs; far enough from overflow that durations can be added to it.
pub(crate) const DISTANT_PAST: Time = Time(i64::MIN / 4);

/// Parameters of the lease protocol. The leader and all members must use the same durations.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseConfig {
    /// How long a quota may be used, counted from when the request was made whose answer granted it.
    pub lease_duration: Time,
    /// How long one unit of a fenced quota stays quarantined, counted from when the leader proposed the fencing: a
    /// process that was suspended between checking its lease and sending a call sends that one call when it resumes.
    pub max_process_pause: Time,
    /// Which safeguards are enabled.
    pub safeguards: Safeguards,
}

/// Parts of the protocol that tests and experiments can disable to show what they guard against. All are enabled by
/// default.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Safeguards {
    /// Holders stop using a quota when their lease has expired.
    pub lease: bool,
    /// The units that a holder reports to retain count only under the current epoch of its quota.
    pub fence: bool,
    /// After its lease expired, a quota is reclaimed only once its units can no longer be in use.
    pub expiry_grace: bool,
    /// Quotas follow need and weight; if disabled, all members get equal quotas.
    pub demand: bool,
}

impl Default for Safeguards {
    fn default() -> Self {
        Safeguards {
            lease: true,
            fence: true,
            expiry_grace: true,
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
    pub expiry_grace: Time,
}
