//! A small replicated state machine without I/O, on top of the Raft implementation of the crate `raft` (its `RawNode`).
//!
//! [`Replica`] is one member of the group. It has no socket, disk or clock of its own: it is driven by ticks, messages
//! from other replicas and proposals, and returns [`Effect`]s. The data that must be on disk before a message may be
//! sent forms one [`StorageOperation`], and the message is held back until the caller reports the operation as stored.
//! [`sqlite`] implements such a storage.
//!
//! The id of a replica is generated with its store and lost with it: a replica that lost its disk returns under a new
//! id, so it never votes twice in one term. It joins as a learner, and replaces the previous voter with its name once
//! it has caught up. [`Bootstrap`] forms the initial group.
//!
//! ```
//! use cottondyke_consensus::{Effect, PersistedState, Replica, ReplicaId, RestoreError, StateMachine};
//! use std::collections::BTreeMap;
//!
//! /// The sum of the bytes of all commands.
//! struct Sum(u64);
//!
//! impl StateMachine for Sum {
//!     fn apply(&mut self, command: &[u8]) {
//!         self.0 += command.iter().map(|byte| u64::from(*byte)).sum::<u64>();
//!     }
//!     fn snapshot(&self) -> Vec<u8> {
//!         self.0.to_be_bytes().to_vec()
//!     }
//!     fn restore(&mut self, bytes: &[u8]) -> Result<(), RestoreError> {
//!         let bytes = bytes.try_into().map_err(|_| RestoreError)?;
//!         self.0 = u64::from_be_bytes(bytes);
//!         Ok(())
//!     }
//! }
//!
//! /// Performs each storage operation immediately; there is no other replica to send messages to.
//! fn perform(replica: &mut Replica<Sum>, disk: &mut PersistedState, effects: Vec<Effect>) {
//!     for effect in effects {
//!         if let Effect::Store(operation) = effect {
//!             let number = operation.number;
//!             disk.apply(operation);
//!             let more = replica.handle_stored(number);
//!             perform(replica, disk, more);
//!         }
//!     }
//! }
//!
//! let id = ReplicaId(1);
//! let members = BTreeMap::from([(id, "only".to_string())]);
//! let mut disk = PersistedState::new(id);
//! disk.apply(Replica::bootstrap_operation(&members, &Sum(0)));
//! let mut replica = Replica::open(&disk, Sum(0), 7)?;
//! while !replica.is_leader() {
//!     let effects = replica.tick();
//!     perform(&mut replica, &mut disk, effects);
//! }
//! let effects = replica.propose(vec![2, 3]).expect("the leader accepts proposals");
//! perform(&mut replica, &mut disk, effects);
//! assert_eq!(replica.state.0, 5);
//! # Ok::<(), cottondyke_consensus::OpenError>(())
//! ```

mod bootstrap;
mod log;
mod replica;
pub mod sqlite;
mod state_machine;
mod storage;

pub use bootstrap::{Bootstrap, BootstrapProbe};
pub use replica::{Effect, OpenError, ProposalRejected, Replica, ELECTION_TICKS};
pub use state_machine::{RestoreError, StateMachine};
pub use storage::{EncodedEntry, EncodedSnapshot, PersistedState, StorageOperation};

use serde::{Deserialize, Serialize};

/// The id of one replica's store, never 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ReplicaId(pub u64);
