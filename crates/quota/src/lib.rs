//! Budgets that belong to a whole fleet, decided without I/O, clock or randomness of its own. `Table` is what is
//! agreed (it changes by `Command`s of the registry alone), `Granter` is the leader's part beside it, `Shares` that
//! of each member, `divide` says who should have how much.
//!
//! What is promised: the units that all members use together never pass the whole. A member uses no more than its
//! share, and none once its lease is over, counted on its own clock from before it asked. The table lowers a share
//! only where its holder said that it holds no more, or where the lease and the longest that a unit can linger are
//! over on the leader's clock, with `DRIFT` between the two clocks.
mod divide;
mod granter;
mod shares;
mod table;

pub use divide::{divide, Claim};
pub use granter::{Granter, Holdback};
pub use shares::{Shares, Usage};
pub use table::{Command, Epoch, Holder, Refused, Share, Table, Whole};

use cottondyke_types::Time;
use serde::{Deserialize, Serialize};

/// Part by which the clock of the leader and that of a holder may run apart over a lease.
pub const DRIFT: f64 = 0.02;
/// Budgets, and holders of one: past these nothing more is taken in.
pub const MOST_BUDGETS: usize = 256;
pub const MOST_HOLDERS: usize = 2_048;

/// What all members must be told alike.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Terms {
    /// How long a share may be used after the asking that brought it.
    pub lease: Time,
    /// How long one unit is held back of a share whose lease ran out: a process that was stopped between its look
    /// at the lease and its sending makes that one call when it wakes.
    pub slip: Time,
    pub defences: Defences,
}

/// What can be switched off to show what it is for. All on, but in trials.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Defences {
    /// Holders stop when their lease is over.
    pub lease: bool,
    /// What a holder says counts only under the epoch that its share has.
    pub fence: bool,
    /// A share is kept back after its lease for as long as its units can linger.
    pub linger: bool,
    /// Shares follow need and value; without, all are alike.
    pub need: bool,
}

impl Default for Defences {
    fn default() -> Self {
        Defences {
            lease: true,
            fence: true,
            linger: true,
            need: true,
        }
    }
}

/// Numbers the askings of one member.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Nonce(pub u64);

/// What a member says of one budget.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Want {
    pub budget: String,
    /// Units that it could use, those it holds among them.
    pub need: u32,
    /// What a unit is worth to it.
    pub weight: f64,
    /// From now on it holds no more than this under the epoch beside it.
    pub holds: u32,
    pub epoch: Epoch,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Ask {
    pub holder: Holder,
    pub nonce: Nonce,
    /// A life of the same name that is known to be over: its process ended before this one began.
    pub former: Option<u64>,
    pub wants: Vec<Want>,
}

/// One share as the leader tells it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Told {
    pub budget: String,
    pub epoch: Epoch,
    /// What may be used under this epoch; never raised under the same one.
    pub amount: u32,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Reply {
    pub holder: Holder,
    /// The asking that this answers, from which the lease counts.
    pub nonce: Nonce,
    pub told: Vec<Told>,
}
