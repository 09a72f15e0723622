//! What a member and the leader send each other to request and grant leases.
//!
//! The order of the fields is the wire format (postcard) and must not change.

use crate::{Epoch, Holder};
use serde::{Deserialize, Serialize};

/// Numbers the lease requests of one holder, in ascending order from 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Nonce(pub u64);

/// What a member states and needs of one budget.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// The budget's name.
    pub budget: String,
    /// Units that the member could use, including those in use.
    pub needed: u32,
    /// Value of one unit to this member, relative to the others.
    pub weight: f64,
    /// Units that the member keeps: from now on it uses no more than these under `epoch`.
    pub retained: u32,
    /// The epoch of the member's quota to which `retained` refers.
    pub epoch: Epoch,
}

/// Asks the leader for a new lease on the quotas of all budgets that the member uses.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Who asks.
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
    /// Units that may be used under this epoch. Under one epoch it only falls.
    pub amount: u32,
}

/// Answers a lease request, or notifies a holder of a quota that changed since.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseResponse {
    /// To whom it is sent.
    pub holder: Holder,
    /// The request that is answered; the lease counts from when that was made.
    pub nonce: Nonce,
    /// The quotas that are granted: all that were asked for in an answer, only the changed ones in a notification.
    pub granted: Vec<GrantedQuota>,
}
