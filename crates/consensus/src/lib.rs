//! The small table that a fleet agrees on. `Keeper` is one replica of it: raft (the crate's `RawNode`) with no
//! socket, disk or clock of its own. It takes ticks, words of the other keepers and proposals, and gives `Effect`s;
//! what must be on disk before a word goes out is one `Write`, and the word waits for it. `sqlite` is the disk.
//!
//! A keeper's number is made with its store and dies with it: one that lost its disk comes back under another, so
//! it never votes twice in one term. It joins as a learner, and takes its own former place once it has caught up.
mod founding;
mod keeper;
mod log;
pub mod sqlite;
mod write;

pub use founding::{Founding, Seek};
pub use keeper::{Effect, Keeper, Rejected, State, ELECTION_TICKS};
pub use write::{Saved, Write};

use serde::{Deserialize, Serialize};

/// The number of one keeper's store, never 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeeperId(pub u64);
