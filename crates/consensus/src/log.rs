//! The log in memory, as raft reads it. What raft was told to be stored stands here at once; whether it is on disk
//! is the keeper's matter.
use crate::storage::PersistedState;
use protobuf::Message as _;
use raft::eraftpb::{ConfState, Entry, HardState, Snapshot};
use raft::{Error, GetEntriesContext, RaftState, Result, Storage, StorageError};

#[derive(Debug, Default)]
pub struct Log {
    pub hard: HardState,
    pub conf: ConfState,
    /// Its data is the state at its index.
    pub snapshot: Snapshot,
    entries: Vec<Entry>,
}

fn broken(what: impl std::error::Error + Send + Sync + 'static) -> Error {
    Error::Store(StorageError::Other(Box::new(what)))
}

impl Log {
    pub fn restored(saved: &PersistedState) -> Result<Self> {
        let mut log = Log::default();
        if let Some(hard) = &saved.hard_state {
            log.hard = HardState::parse_from_bytes(hard).map_err(broken)?;
        }
        if let Some((_, bytes)) = &saved.snapshot {
            log.snapshot = Snapshot::parse_from_bytes(bytes).map_err(broken)?;
            log.conf = log.snapshot.get_metadata().get_conf_state().clone();
        }
        for bytes in saved.entries.values() {
            log.entries
                .push(Entry::parse_from_bytes(bytes).map_err(broken)?);
        }
        Ok(log)
    }

    fn base(&self) -> u64 {
        self.snapshot.get_metadata().index
    }

    pub fn append(&mut self, entries: &[Entry]) {
        let Some(first) = entries.first() else { return };
        let keep = first.index.saturating_sub(self.base() + 1) as usize;
        self.entries.truncate(keep);
        self.entries.extend_from_slice(entries);
    }

    /// A snapshot came from the leader, or was made of what is applied: entries up to it go.
    pub fn install(&mut self, snapshot: Snapshot) {
        let gone = snapshot.get_metadata().index.saturating_sub(self.base()) as usize;
        self.entries.drain(..gone.min(self.entries.len()));
        let meta = snapshot.get_metadata();
        self.hard.commit = self.hard.commit.max(meta.index);
        self.hard.term = self.hard.term.max(meta.term);
        self.conf = meta.get_conf_state().clone();
        self.snapshot = snapshot;
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }
}

impl Storage for Log {
    fn initial_state(&self) -> Result<RaftState> {
        Ok(RaftState::new(self.hard.clone(), self.conf.clone()))
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        _: GetEntriesContext,
    ) -> Result<Vec<Entry>> {
        if low <= self.base() {
            return Err(Error::Store(StorageError::Compacted));
        }
        let at = |index: u64| ((index - self.base() - 1) as usize).min(self.entries.len());
        let mut left = max_size.into().unwrap_or(u64::MAX);
        let mut first = true;
        let fits = |entry: &&Entry| {
            let size = u64::from(entry.compute_size());
            let fits = std::mem::take(&mut first) || size <= left;
            left = left.saturating_sub(size);
            fits
        };
        Ok(self.entries[at(low)..at(high)]
            .iter()
            .take_while(fits)
            .cloned()
            .collect())
    }

    fn term(&self, index: u64) -> Result<u64> {
        if index == self.base() {
            return Ok(self.snapshot.get_metadata().term);
        }
        if index < self.base() {
            return Err(Error::Store(StorageError::Compacted));
        }
        let entry = self.entries.get((index - self.base() - 1) as usize);
        entry
            .map(|e| e.term)
            .ok_or(Error::Store(StorageError::Unavailable))
    }

    fn first_index(&self) -> Result<u64> {
        Ok(self.base() + 1)
    }

    fn last_index(&self) -> Result<u64> {
        Ok(self.base() + self.entries.len() as u64)
    }

    fn snapshot(&self, request: u64, _: u64) -> Result<Snapshot> {
        if self.base() < request {
            return Err(Error::Store(StorageError::SnapshotTemporarilyUnavailable));
        }
        Ok(self.snapshot.clone())
    }
}
