//! Identifiers shared by requests, commands and the replicated table.

use serde::{Deserialize, Serialize};

/// Fencing token of a quota. Every raise and every fencing of a quota assigns a new, larger epoch, so that a demand or
/// a command that refers to an earlier state of the quota is recognised as stale.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Epoch(pub u64);

/// One incarnation of a cluster member. Two processes that run under the same name, one after the other or by mistake
/// at the same time, are two holders.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Holder {
    /// The member's name.
    pub name: String,
    /// A number that differs for each process started under this name.
    pub incarnation: u64,
}
