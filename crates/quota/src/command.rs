//! The commands that change the replicated table, and why one is rejected.
//!
//! The order of variants and fields is the format of the replicated log (postcard) and must not change.

use crate::{Epoch, Holder};
use serde::{Deserialize, Serialize};

/// A change of the replicated table. Those of a quota are compare-and-set: they name the epoch of the quota that they
/// were made from, and are rejected where another change came first.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// No lease that was granted before this table was bootstrapped is in force any longer: quotas may be granted.
    Open,
    /// Creates or resizes a budget. While a smaller budget is over-allocated, no quota of it is raised.
    SetBudget {
        /// The budget's name.
        budget: String,
        /// Units that all members together may use.
        units: u32,
        /// See [`Budget::post_cancel_grace`](crate::Budget::post_cancel_grace), in tenths of a millisecond.
        post_cancel_grace: i64,
    },
    /// Grants a holder more units; rejected where these are not free.
    RaiseQuota {
        /// The budget's name.
        budget: String,
        /// Whose quota is raised.
        holder: Holder,
        /// The quota's new size in units; a smaller one than it has changes its epoch only.
        amount: u32,
        /// The epoch of the quota before; `None` where the holder has none.
        expected_epoch: Option<Epoch>,
    },
    /// Takes back units that the holder stated not to use any more.
    LowerQuota {
        /// The budget's name.
        budget: String,
        /// Whose quota is lowered.
        holder: Holder,
        /// The quota's new size in units; a larger one than it has changes nothing.
        amount: u32,
        /// The epoch of the quota before, which it keeps.
        expected_epoch: Epoch,
    },
    /// Takes back a quota whose lease expired, and whose units cannot be in use any longer.
    FenceHolder {
        /// The budget's name.
        budget: String,
        /// Whose quota is taken back.
        holder: Holder,
        /// Units that stay quarantined; with none the quota is removed.
        quarantined: u32,
        /// The epoch of the quota before.
        expected_epoch: Epoch,
    },
}

/// Why a command changed nothing.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CommandRejected {
    /// The table has no budget of this name.
    #[error("unknown budget {budget}")]
    UnknownBudget {
        /// The name that the command bears.
        budget: String,
    },
    /// Leases from before this table was bootstrapped may be in force still.
    #[error("quotas are not granted before the table is opened")]
    NotOpen,
    /// The command was made from another state of the quota than the one it met.
    #[error("stale epoch: expected {expected:?}, found {found:?}")]
    StaleEpoch {
        /// The epoch that the command names; `None` for no quota.
        expected: Option<Epoch>,
        /// The epoch of the quota as it is; `None` for no quota.
        found: Option<Epoch>,
    },
    /// The raise needs more units than the budget has free.
    #[error("budget exceeded: {needed} more units needed, {free} free")]
    BudgetExceeded {
        /// Units by which the quota would grow.
        needed: u32,
        /// Units of the budget that nobody holds.
        free: u32,
    },
    /// The table holds as many entries of this kind as it may.
    #[error("table full: at most {limit} entries")]
    TableFull {
        /// The bound that was reached.
        limit: usize,
    },
}
