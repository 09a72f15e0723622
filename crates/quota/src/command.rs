//! Commands that change the replicated table, and the reasons for which one is rejected.
//!
//! The order of variants and fields is the format of the replicated log (postcard) and must not change.

use crate::{Epoch, Holder};
use serde::{Deserialize, Serialize};

/// A change to the replicated table. Changes to a quota are compare-and-set operations: they carry the epoch of the
/// quota on which they are based, and are rejected if the quota has another epoch by then.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Allows quotas to be granted: no lease from before this table was bootstrapped is in force any longer.
    Open,
    /// Creates or resizes a budget. While a reduced budget is over-allocated, none of its quotas is enlarged.
    SetBudget {
        /// The budget's name.
        budget: String,
        /// Units that all members together may use.
        units: u32,
        /// See [`Budget::expiry_grace`](crate::Budget::expiry_grace), in tenths of a millisecond.
        #[serde(rename = "post_cancel_grace")]
        expiry_grace: i64,
    },
    /// Grants a holder more units; rejected if they are not free.
    RaiseQuota {
        /// The budget's name.
        budget: String,
        /// Whose quota is raised.
        holder: Holder,
        /// The quota's new size in units. If it is below the current size, the size stays and only the epoch changes.
        amount: u32,
        /// The epoch of the quota before the change; `None` if the holder has no quota.
        expected_epoch: Option<Epoch>,
    },
    /// Reclaims units that the holder reported to retain no longer.
    LowerQuota {
        /// The budget's name.
        budget: String,
        /// Whose quota is lowered.
        holder: Holder,
        /// The quota's new size in units. If it is above the current size, nothing changes.
        amount: u32,
        /// The current epoch of the quota, which stays the same.
        expected_epoch: Epoch,
    },
    /// Reclaims a quota whose units, except for quarantined ones, can no longer be in use: its lease expired, or its
    /// holder's process ended.
    FenceHolder {
        /// The budget's name.
        budget: String,
        /// Whose quota is reclaimed.
        holder: Holder,
        /// Units that stay quarantined; with 0 the quota is removed.
        quarantined: u32,
        /// The epoch of the quota before the change.
        expected_epoch: Epoch,
    },
}

/// Why a command was rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CommandRejected {
    /// The table has no budget of this name.
    #[error("unknown budget {budget}")]
    UnknownBudget {
        /// The name in the command.
        budget: String,
    },
    /// Leases from before this table was bootstrapped may still be in force.
    #[error("quotas are not granted before the table is opened")]
    NotOpen,
    /// The quota has another epoch than the one on which the command is based.
    #[error("stale epoch: expected {expected:?}, found {found:?}")]
    StaleEpoch {
        /// The epoch in the command; `None` if it expects no quota.
        expected: Option<Epoch>,
        /// The quota's current epoch; `None` if the holder has no quota.
        found: Option<Epoch>,
    },
    /// The raise needs more units than the budget has free.
    #[error("budget exceeded: {needed} more units needed, {free} free")]
    BudgetExceeded {
        /// Units by which the quota would grow.
        needed: u32,
        /// Units of the budget that are neither granted nor quarantined.
        free: u32,
    },
    /// The table already holds the maximum number of entries of this kind.
    #[error("table full: at most {limit} entries")]
    TableFull {
        /// The limit that was reached.
        limit: usize,
    },
}
