//! Budgets that belong to a whole fleet, decided without I/O, clock or randomness of its own. `QuotaTable` is what is
//! agreed (it changes by `Command`s of the registry alone), `LeaseManager` is the leader's part beside it, `LeaseHolder` that
//! of each member, `allocate` says who should have how much.
//!
//! What is promised: the units that all members use together never pass the whole. A member uses no more than its
//! share, and none once its lease is over, counted on its own clock from before it asked. The table lowers a share
//! only where its holder said that it holds no more, or where the lease and the longest that a unit can linger are
//! over on the leader's clock, with `MAX_CLOCK_DRIFT` between the two clocks.
#![expect(
    missing_docs,
    clippy::too_many_lines,
    reason = "not yet read through; see docs/ROADMAP.md"
)]

mod allocate;
mod lease_holder;
mod lease_manager;
mod table;

pub use allocate::{allocate, Claim};
pub use lease_holder::{LeaseHolder, Usage};
pub use lease_manager::{LeaseManager, QuarantinedQuota};
pub use table::{Budget, Command, CommandRejected, Epoch, Holder, Quota, QuotaTable};

use cottondyke_types::Time;
use serde::{Deserialize, Serialize};

/// Part by which the clock of the leader and that of a holder may run apart over a lease.
pub const MAX_CLOCK_DRIFT: f64 = 0.02;
/// Budgets, and holders of one: past these nothing more is taken in.
pub const MAX_BUDGETS: usize = 256;
pub const MAX_HOLDERS: usize = 2_048;

/// What all members must be told alike.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseConfig {
    /// How long a share may be used after the asking that brought it.
    pub lease_duration: Time,
    /// How long one unit is held back of a share whose lease ran out: a process that was stopped between its look
    /// at the lease and its sending makes that one call when it wakes.
    pub max_process_pause: Time,
    pub safeguards: Safeguards,
}

/// What can be switched off to show what it is for. All on, but in trials.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Safeguards {
    /// Holders stop when their lease is over.
    pub lease: bool,
    /// What a holder says counts only under the epoch that its share has.
    pub fence: bool,
    /// A share is kept back after its lease for as long as its units can linger.
    pub post_cancel_grace: bool,
    /// Shares follow need and value; without, all are alike.
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
    pub name: String,
    /// What all members may use together.
    pub units: u32,
    /// How long a unit may stay in use after its holder's lease has ended.
    pub post_cancel_grace: Time,
}

/// Numbers the askings of one member.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Nonce(pub u64);

/// What a member says of one budget.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    pub budget: String,
    /// Units that it could use, those it holds among them.
    pub needed: u32,
    /// What a unit is worth to it.
    pub weight: f64,
    /// From now on it holds no more than this under the epoch beside it.
    pub retained: u32,
    pub epoch: Epoch,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseRequest {
    pub holder: Holder,
    pub nonce: Nonce,
    /// A life of the same name that is known to be over: its process ended before this one began.
    pub previous_incarnation: Option<u64>,
    pub demands: Vec<Demand>,
}

/// One share as the leader tells it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GrantedQuota {
    pub budget: String,
    pub epoch: Epoch,
    /// What may be used under this epoch; never raised under the same one.
    pub amount: u32,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseResponse {
    pub holder: Holder,
    /// The asking that this answers, from which the lease counts.
    pub nonce: Nonce,
    pub granted: Vec<GrantedQuota>,
}
