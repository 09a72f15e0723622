//! The small table that a fleet agrees on. `Replica` is one replica of it: raft (the crate's `RawNode`) with no
//! socket, disk or clock of its own. It takes ticks, words of the other keepers and proposals, and gives `Effect`s;
//! what must be on disk before a word goes out is one `StorageOperation`, and the word waits for it. `sqlite` is the disk.
//!
//! A keeper's number is made with its store and dies with it: one that lost its disk comes back under another, so
//! it never votes twice in one term. It joins as a learner, and takes its own former place once it has caught up.
#![expect(
    missing_docs,
    unreachable_pub,
    clippy::too_many_lines,
    reason = "not yet read through; see docs/ROADMAP.md"
)]

mod bootstrap;
mod log;
mod replica;
pub mod sqlite;
mod storage;

pub use bootstrap::{Bootstrap, BootstrapProbe};
pub use replica::{Effect, ProposalRejected, Replica, StateMachine, ELECTION_TICKS};
pub use storage::{PersistedState, StorageOperation};

use serde::{Deserialize, Serialize};

/// The number of one keeper's store, never 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ReplicaId(pub u64);
