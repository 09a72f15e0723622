//! The ids of requests whose runs have ended. The sidecars' protocol gives each attempt a new id, so a request with such
//! an id is a copy, and must not run.
use crate::protocol::WireId;
use cottondyke_types::Time;
use std::collections::{BTreeSet, VecDeque};

/// Memory of one id in both collections.
const ID_BYTES: usize = 64;

/// Ids, each remembered for the same time.
#[derive(Debug, Default)]
pub struct RecentIds {
    ids: BTreeSet<WireId>,
    /// When each id is forgotten, ascending.
    expirations: VecDeque<(Time, WireId)>,
}

impl RecentIds {
    /// Remembers an id until `until`, which is not before that of an earlier call.
    pub fn insert(&mut self, id: WireId, until: Time) {
        if self.ids.insert(id) {
            self.expirations.push_back((until, id));
        }
    }

    /// Whether an id is remembered.
    pub fn contains(&self, id: WireId) -> bool {
        self.ids.contains(&id)
    }

    /// Forgets the ids whose time is over, and the oldest ones beyond `max_bytes`.
    pub fn expire(&mut self, now: Time, max_bytes: usize) {
        while let Some((until, id)) = self.expirations.front().copied() {
            if until > now && self.held_bytes() <= max_bytes {
                break;
            }
            self.expirations.pop_front();
            self.ids.remove(&id);
        }
    }

    /// The memory that the ids take, in bytes.
    pub fn held_bytes(&self) -> usize {
        self.ids.len() * ID_BYTES
    }
}
