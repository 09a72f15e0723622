//! A cache of complete responses, to be served stale when their dependency does not answer. Its size in bytes is
//! bounded; the oldest responses are evicted first.
use cottondyke_types::{TenantId, Time};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

/// Bytes counted for an entry in addition to its request body and response.
const ENTRY_OVERHEAD: usize = 160;
/// The eviction order is compacted once its superseded items exceed the number of entries by more than this.
const MAX_EXTRA_SUPERSEDED: usize = 16;

/// Identifies a cached response. Tenants never see each other's responses.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CacheKey {
    /// The dependency's name.
    pub dependency: Rc<str>,
    /// The tenant that asked.
    pub tenant: Option<TenantId>,
    /// The body of the request.
    pub request_body: Rc<[u8]>,
}

/// A response found in the cache.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CachedResponse {
    /// How long ago it was cached.
    pub age: Time,
    /// The response.
    pub body: Rc<[u8]>,
}

#[derive(Debug)]
struct Entry {
    stored_at: Time,
    sequence: u64,
    body: Rc<[u8]>,
}

/// A bounded cache of earlier responses.
#[derive(Debug, Default)]
pub struct StaleCache {
    entries: BTreeMap<CacheKey, Entry>,
    /// Sequence numbers and keys in the order of insertion. Items of entries that have been replaced are superseded:
    /// eviction skips them.
    eviction_order: VecDeque<(u64, CacheKey)>,
    last_sequence: u64,
    bytes: usize,
    capacity: usize,
}

fn entry_bytes(key: &CacheKey, body: &[u8]) -> usize {
    key.request_body.len() + body.len() + ENTRY_OVERHEAD
}

impl StaleCache {
    /// Changes the capacity in bytes and evicts entries that exceed it.
    pub fn set_capacity(&mut self, capacity: usize) {
        self.capacity = capacity;
        self.evict();
    }

    /// Caches a response, replacing an earlier one with the same key. A response larger than the capacity is not
    /// cached.
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
        self.compact_eviction_order();
        self.evict();
    }

    /// Drops the superseded items from the eviction order once there are too many of them.
    fn compact_eviction_order(&mut self) {
        if self.eviction_order.len() > 2 * self.entries.len() + MAX_EXTRA_SUPERSEDED {
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

    /// The response with this key, if it is no older than `max_age`.
    pub fn get(&self, now: Time, key: &CacheKey, max_age: Time) -> Option<CachedResponse> {
        let entry = self.entries.get(key)?;
        let age = now - entry.stored_at;
        (age <= max_age).then(|| CachedResponse {
            age,
            body: entry.body.clone(),
        })
    }

    /// Size of all entries in bytes, as counted on insertion and eviction.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Size of all entries in bytes, recomputed from the entries.
    pub fn recount_bytes(&self) -> usize {
        self.entries
            .iter()
            .map(|(key, entry)| entry_bytes(key, &entry.body))
            .sum()
    }
}
