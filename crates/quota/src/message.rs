//! Messages between a member and the leader to request and grant leases.
//!
//! The order of the fields is the wire format (postcard) and must not change.

use crate::{Epoch, Holder};
use serde::{Deserialize, Serialize};

/// Sequence number of a holder's lease requests, starting at 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Nonce(pub u64);

/// A member's demand for one budget: what it needs and what it retains.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// The budget's name.
    pub budget: String,
    /// Units that the member could use, including those in use.
    pub needed: u32,
    /// Value of one unit to this member, relative to the other members.
    pub weight: f64,
    /// Units that the member retains: from now on it uses at most this many under `epoch`.
    pub retained: u32,
    /// The epoch of the member's quota to which `retained` refers.
    pub epoch: Epoch,
}

/// Asks the leader for a new lease on the quotas of all budgets that the member uses.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// The requesting holder.
    pub holder: Holder,
    /// The number of this request.
    pub nonce: Nonce,
    /// An earlier incarnation of the same name whose process is known to have ended before this one started.
    pub previous_incarnation: Option<u64>,
    /// One entry for each budget that the member uses.
    pub demands: Vec<Demand>,
}

/// The quota of one budget as the leader grants it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GrantedQuota {
    /// The budget's name.
    pub budget: String,
    /// The epoch under which `amount` holds.
    pub epoch: Epoch,
    /// Units that may be used under this epoch. The amount never increases within an epoch.
    pub amount: u32,
}

/// Answers a lease request, or notifies a holder of quotas that changed since its last answer or notification.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseResponse {
    /// The recipient.
    pub holder: Holder,
    /// The request that is answered, or in a notification the last answered one; the lease counts from when that
    /// request was made.
    pub nonce: Nonce,
    /// The granted quotas: in an answer those of all requested budgets, in a notification only the changed ones.
    pub granted: Vec<GrantedQuota>,
}
