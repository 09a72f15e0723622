//! What a keeper has on disk, and what is written there in one step.
use crate::ReplicaId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// One step on disk: whole or not at all. Writes are carried out in the order of their numbers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StorageOperation {
    pub number: u64,
    /// Term, vote and what is known to be committed.
    pub hard_state: Option<Vec<u8>>,
    /// Replaces the snapshot, and all entries up to its index.
    pub snapshot: Option<(u64, Vec<u8>)>,
    /// Entries by index: they replace all that stand from the first of them on.
    pub entries: Vec<(u64, Vec<u8>)>,
    /// The founding set, written once.
    pub bootstrap_members: Option<BTreeMap<ReplicaId, String>>,
}

impl StorageOperation {
    pub fn is_empty(&self) -> bool {
        *self
            == StorageOperation {
                number: self.number,
                ..StorageOperation::default()
            }
    }
}

/// All that a disk holds of a keeper.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PersistedState {
    pub id: ReplicaId,
    pub hard_state: Option<Vec<u8>>,
    pub snapshot: Option<(u64, Vec<u8>)>,
    pub entries: BTreeMap<u64, Vec<u8>>,
    pub bootstrap_members: Option<BTreeMap<ReplicaId, String>>,
}

impl PersistedState {
    pub fn new(id: ReplicaId) -> Self {
        PersistedState {
            id,
            hard_state: None,
            snapshot: None,
            entries: BTreeMap::new(),
            bootstrap_members: None,
        }
    }

    /// Carries a write out in memory.
    pub fn apply(&mut self, write: StorageOperation) {
        if let Some(hard) = write.hard_state {
            self.hard_state = Some(hard);
        }
        if let Some((index, bytes)) = write.snapshot {
            self.entries = self.entries.split_off(&(index + 1));
            self.snapshot = Some((index, bytes));
        }
        if let Some((first, _)) = write.entries.first() {
            self.entries.split_off(first);
            self.entries.extend(write.entries);
        }
        if write.bootstrap_members.is_some() {
            self.bootstrap_members = write.bootstrap_members;
        }
    }
}
