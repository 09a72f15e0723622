//! Complete answers that are cached for the time when their dependency does not answer, bounded in bytes; the oldest are
//! evicted first.
use cottondyke_types::{TenantId, Time};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

/// Bytes that an entry takes beside its key and body.
const ENTRY_OVERHEAD: usize = 160;
/// Superseded places that the order of eviction may hold before it is compacted, beside as many as there are entries.
const MAX_EXTRA_ORDER: usize = 16;

/// What an answer belongs to. Tenants never see each other's answers.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CacheKey {
    /// The dependency's name.
    pub dependency: Rc<str>,
    /// The tenant that asked.
    pub tenant: Option<TenantId>,
    /// The body of the request.
    pub request_body: Rc<[u8]>,
}

/// An answer found in the cache.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CachedAnswer {
    /// How long ago it was cached.
    pub age: Time,
    /// The answer.
    pub body: Rc<[u8]>,
}

#[derive(Debug)]
struct Entry {
    stored_at: Time,
    sequence: u64,
    body: Rc<[u8]>,
}

/// The cache of earlier answers.
#[derive(Debug, Default)]
pub struct StaleCache {
    entries: BTreeMap<CacheKey, Entry>,
    /// Sequence numbers and keys in the order of insertion; an entry that was replaced since is skipped.
    eviction_order: VecDeque<(u64, CacheKey)>,
    last_sequence: u64,
    bytes: usize,
    capacity: usize,
}

fn entry_bytes(key: &CacheKey, body: &[u8]) -> usize {
    key.request_body.len() + body.len() + ENTRY_OVERHEAD
}

impl StaleCache {
    /// Changes the capacity in bytes, evicting what exceeds it.
    pub fn set_capacity(&mut self, capacity: usize) {
        self.capacity = capacity;
        self.evict();
    }

    /// Caches an answer, in place of an earlier one of the same key. One larger than the capacity is not cached.
    pub fn insert(&mut self, now: Time, key: CacheKey, body: Rc<[u8]>) {
        let bytes = entry_bytes(&key, &body);
        if bytes > self.capacity {
            return;
        }
        self.last_sequence += 1;
        self.bytes += bytes;
        self.eviction_order
            .push_back((self.last_sequence, key.clone()));
        let entry = Entry {
            stored_at: now,
            sequence: self.last_sequence,
            body,
        };
        if let Some(replaced) = self.entries.insert(key.clone(), entry) {
            self.bytes -= entry_bytes(&key, &replaced.body);
        }
        self.compact_order();
        self.evict();
    }

    /// Replaced entries leave their places in the order behind.
    fn compact_order(&mut self) {
        if self.eviction_order.len() > 2 * self.entries.len() + MAX_EXTRA_ORDER {
            let entries = &self.entries;
            self.eviction_order.retain(|(sequence, key)| {
                entries
                    .get(key)
                    .is_some_and(|entry| entry.sequence == *sequence)
            });
        }
    }

    fn evict(&mut self) {
        while self.bytes > self.capacity {
            let Some((sequence, key)) = self.eviction_order.pop_front() else {
                break;
            };
            let is_current = |entry: &Entry| entry.sequence == sequence;
            if self.entries.get(&key).is_some_and(is_current) {
                if let Some(evicted) = self.entries.remove(&key) {
                    self.bytes -= entry_bytes(&key, &evicted.body);
                }
            }
        }
    }

    /// The answer of this key, where it is no older than `max_age`.
    pub fn get(&self, now: Time, key: &CacheKey, max_age: Time) -> Option<CachedAnswer> {
        let entry = self.entries.get(key)?;
        let age = now - entry.stored_at;
        (age <= max_age).then(|| CachedAnswer {
            age,
            body: entry.body.clone(),
        })
    }

    /// Bytes that the entries take, as counted on insertion and eviction.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Bytes that the entries take, counted anew.
    pub fn recount_bytes(&self) -> usize {
        self.entries
            .iter()
            .map(|(key, entry)| entry_bytes(key, &entry.body))
            .sum()
    }
}
