//! The in-memory Raft log, which the crate `raft` reads through its `Storage` trait. Everything that raft asks to be
//! stored is visible here immediately; [`Replica`](crate::Replica) tracks whether it is on disk yet.
use crate::storage::PersistedState;
use protobuf::Message as _;
use raft::eraftpb::{ConfState, Entry, HardState, Snapshot};
use raft::{Error, GetEntriesContext, RaftState, Result, Storage, StorageError};

/// The snapshot, the entries that follow it, and the hard state.
#[derive(Debug, Default)]
pub(crate) struct RaftLog {
    pub(crate) hard_state: HardState,
    pub(crate) configuration: ConfState,
    /// Its data is the state as of its index.
    pub(crate) snapshot: Snapshot,
    /// Consecutive entries that start at the index after the snapshot's.
    entries: Vec<Entry>,
}

impl RaftLog {
    /// Decodes the persisted snapshot, entries and hard state.
    pub(crate) fn restore(persisted: &PersistedState) -> Result<Self> {
        let mut log = RaftLog::default();
        if let Some(bytes) = &persisted.hard_state {
            log.hard_state = HardState::parse_from_bytes(bytes).map_err(decode_error)?;
        }
        if let Some(snapshot) = &persisted.snapshot {
            log.snapshot = Snapshot::parse_from_bytes(&snapshot.bytes).map_err(decode_error)?;
            log.configuration = log.snapshot.get_metadata().get_conf_state().clone();
        }
        for bytes in persisted.entries.values() {
            let entry = Entry::parse_from_bytes(bytes).map_err(decode_error)?;
            log.entries.push(entry);
        }
        Ok(log)
    }

    /// The number of entries after the snapshot.
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// The index of the snapshot, or 0 if there is none.
    pub(crate) fn snapshot_index(&self) -> u64 {
        self.snapshot.get_metadata().index
    }

    /// Appends consecutive entries, which replace all existing entries from the index of the first one onwards.
    pub(crate) fn append(&mut self, entries: &[Entry]) {
        let Some(first) = entries.first() else { return };
        let retained = first.index.saturating_sub(self.snapshot_index() + 1) as usize;
        self.entries.truncate(retained);
        self.entries.extend_from_slice(entries);
    }

    /// Installs a snapshot that the leader sent or that this replica made, and removes the entries that it covers.
    pub(crate) fn install_snapshot(&mut self, snapshot: Snapshot) {
        let metadata = snapshot.get_metadata();
        let covered = metadata.index.saturating_sub(self.snapshot_index()) as usize;
        self.entries.drain(..covered.min(self.entries.len()));
        self.hard_state.commit = self.hard_state.commit.max(metadata.index);
        self.hard_state.term = self.hard_state.term.max(metadata.term);
        self.configuration = metadata.get_conf_state().clone();
        self.snapshot = snapshot;
    }

    /// The position in `entries` of an index after the snapshot's.
    fn position(&self, index: u64) -> usize {
        (index - self.snapshot_index() - 1) as usize
    }
}

fn decode_error(source: impl std::error::Error + Send + Sync + 'static) -> Error {
    Error::Store(StorageError::Other(Box::new(source)))
}

impl Storage for RaftLog {
    fn initial_state(&self) -> Result<RaftState> {
        Ok(RaftState::new(
            self.hard_state.clone(),
            self.configuration.clone(),
        ))
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        _: GetEntriesContext,
    ) -> Result<Vec<Entry>> {
        if low <= self.snapshot_index() {
            return Err(Error::Store(StorageError::Compacted));
        }
        let start = self.position(low).min(self.entries.len());
        let end = self.position(high).min(self.entries.len());
        let mut remaining_bytes = max_size.into().unwrap_or(u64::MAX);
        let mut selected = Vec::new();
        for entry in &self.entries[start..end] {
            let size = u64::from(entry.compute_size());
            // The trait requires at least one entry, whatever its size.
            if !selected.is_empty() && size > remaining_bytes {
                break;
            }
            remaining_bytes = remaining_bytes.saturating_sub(size);
            selected.push(entry.clone());
        }
        Ok(selected)
    }

    fn term(&self, index: u64) -> Result<u64> {
        if index == self.snapshot_index() {
            return Ok(self.snapshot.get_metadata().term);
        }
        if index < self.snapshot_index() {
            return Err(Error::Store(StorageError::Compacted));
        }
        let entry = self.entries.get(self.position(index));
        entry
            .map(|entry| entry.term)
            .ok_or(Error::Store(StorageError::Unavailable))
    }

    fn first_index(&self) -> Result<u64> {
        Ok(self.snapshot_index() + 1)
    }

    fn last_index(&self) -> Result<u64> {
        Ok(self.snapshot_index() + self.entries.len() as u64)
    }

    fn snapshot(&self, request_index: u64, _: u64) -> Result<Snapshot> {
        if self.snapshot_index() < request_index {
            return Err(Error::Store(StorageError::SnapshotTemporarilyUnavailable));
        }
        Ok(self.snapshot.clone())
    }
}
