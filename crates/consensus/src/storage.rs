//! The state that a replica has on disk, and the operations that change it.
use crate::ReplicaId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A snapshot in its stored form. It is serialized as the pair of its fields, in this order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EncodedSnapshot {
    /// The index of the last log entry that the snapshot covers.
    pub index: u64,
    /// The encoded `eraftpb::Snapshot`.
    pub bytes: Vec<u8>,
}

/// A log entry in its stored form.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EncodedEntry {
    /// The index of the entry in the log.
    pub index: u64,
    /// The encoded `eraftpb::Entry`.
    pub bytes: Vec<u8>,
}

/// One atomic change of the stored state. Operations are applied in the order of their numbers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StorageOperation {
    /// The number to call [`Replica::handle_stored`](crate::Replica::handle_stored) with once the operation is on disk.
    pub number: u64,
    /// The encoded `eraftpb::HardState`: term, vote and commit index.
    pub hard_state: Option<Vec<u8>>,
    /// A snapshot that replaces the stored one and all entries up to its index.
    pub snapshot: Option<EncodedSnapshot>,
    /// Consecutive entries that replace all stored entries from the index of the first one onwards.
    pub entries: Vec<EncodedEntry>,
    /// The initial members of the group, stored once.
    pub bootstrap_members: Option<BTreeMap<ReplicaId, String>>,
}

impl StorageOperation {
    /// Whether there is nothing to store.
    pub fn is_empty(&self) -> bool {
        *self
            == StorageOperation {
                number: self.number,
                ..StorageOperation::default()
            }
    }
}

/// Everything that a replica has on disk. The order of the fields is part of the serialized form.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PersistedState {
    /// The id of the store, generated when it was created.
    pub id: ReplicaId,
    /// The encoded `eraftpb::HardState`, if one was stored.
    pub hard_state: Option<Vec<u8>>,
    /// The latest snapshot, if one was stored.
    pub snapshot: Option<EncodedSnapshot>,
    /// Encoded entries after the snapshot, by index.
    pub entries: BTreeMap<u64, Vec<u8>>,
    /// The initial members of the group, if this replica was one of them.
    pub bootstrap_members: Option<BTreeMap<ReplicaId, String>>,
}

impl PersistedState {
    /// A new store that holds only its id.
    pub fn new(id: ReplicaId) -> Self {
        PersistedState {
            id,
            hard_state: None,
            snapshot: None,
            entries: BTreeMap::new(),
            bootstrap_members: None,
        }
    }

    /// Applies an operation in memory, with the same result as the storage on disk.
    pub fn apply(&mut self, operation: StorageOperation) {
        if let Some(hard_state) = operation.hard_state {
            self.hard_state = Some(hard_state);
        }
        if let Some(snapshot) = operation.snapshot {
            self.entries = self.entries.split_off(&(snapshot.index + 1));
            self.snapshot = Some(snapshot);
        }
        if let Some(first) = operation.entries.first() {
            self.entries.split_off(&first.index);
            let entries = operation.entries.into_iter();
            self.entries
                .extend(entries.map(|entry| (entry.index, entry.bytes)));
        }
        if operation.bootstrap_members.is_some() {
            self.bootstrap_members = operation.bootstrap_members;
        }
    }
}
