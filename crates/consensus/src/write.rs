//! What a keeper has on disk, and what is written there in one step.
use crate::KeeperId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// One step on disk: whole or not at all. Writes are carried out in the order of their numbers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Write {
    pub number: u64,
    /// Term, vote and what is known to be committed.
    pub hard: Option<Vec<u8>>,
    /// Replaces the snapshot, and all entries up to its index.
    pub snapshot: Option<(u64, Vec<u8>)>,
    /// Entries by index: they replace all that stand from the first of them on.
    pub entries: Vec<(u64, Vec<u8>)>,
    /// The founding set, written once.
    pub founders: Option<BTreeMap<KeeperId, String>>,
}

impl Write {
    pub fn is_empty(&self) -> bool {
        *self
            == Write {
                number: self.number,
                ..Write::default()
            }
    }
}

/// All that a disk holds of a keeper.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Saved {
    pub id: KeeperId,
    pub hard: Option<Vec<u8>>,
    pub snapshot: Option<(u64, Vec<u8>)>,
    pub entries: BTreeMap<u64, Vec<u8>>,
    pub founders: Option<BTreeMap<KeeperId, String>>,
}

impl Saved {
    pub fn new(id: KeeperId) -> Self {
        Saved {
            id,
            hard: None,
            snapshot: None,
            entries: BTreeMap::new(),
            founders: None,
        }
    }

    /// Carries a write out in memory.
    pub fn apply(&mut self, write: Write) {
        if let Some(hard) = write.hard {
            self.hard = Some(hard);
        }
        if let Some((index, bytes)) = write.snapshot {
            self.entries = self.entries.split_off(&(index + 1));
            self.snapshot = Some((index, bytes));
        }
        if let Some((first, _)) = write.entries.first() {
            self.entries.split_off(first);
            self.entries.extend(write.entries);
        }
        if write.founders.is_some() {
            self.founders = write.founders;
        }
    }
}
