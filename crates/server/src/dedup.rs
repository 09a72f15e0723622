//! Deduplication of requests: the table behind idempotency keys and shared responses. Whether an attempt falls into a
//! dedup window depends on when it reached the machine, however late it is taken from its socket. So an entry outlives
//! its window by a grace period, in which only attempts that arrived within the window still find it.
//!
//! A *read request* is a request to an idempotent handler. Its entry is kept until it ends, and its response is shared
//! for a time to live. Any other request with an entry is a keyed request, which must not run again in its dedup
//! window.
use crate::protocol::sidecar::RunOutput;
use cottondyke_types::{HandlerId, RequestId, TenantId, Time};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Memory of an entry, beside its key and result.
const ENTRY_BYTES: usize = 256;

/// What a request and its duplicates have in common.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct IdempotencyKey {
    /// The handler.
    pub handler: HandlerId,
    /// The tenant; `None` where requests of different tenants share a response.
    pub tenant: Option<TenantId>,
    /// The key that the client sent.
    pub key: Rc<str>,
}

/// Whether the request of an entry has ended, and how.
#[derive(Clone, Debug, PartialEq)]
pub enum DedupOutcome {
    /// It is in flight.
    InFlight,
    /// It completed; `None` once its result is no longer retained.
    Completed(Option<Rc<RunOutput>>),
    /// It failed.
    Failed,
}

/// How long an entry can be found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DedupWindow {
    /// Attempts that reached the machine before this are duplicates. `None` for a read request that has not completed.
    pub until: Option<Time>,
    /// How long after `until` the entry is retained, for attempts that arrived in time and are taken from the socket
    /// late.
    pub grace: Time,
}

/// Limits on the results that are retained for duplicates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetentionLimits {
    /// How long the response to a read request is shared with duplicates.
    pub read_ttl: Time,
    /// Size of all retained results, in bytes. Past it the oldest are dropped, and their duplicates fail.
    pub max_bytes: usize,
}

#[derive(Debug)]
struct DedupEntry {
    key: IdempotencyKey,
    window: DedupWindow,
    outcome: DedupOutcome,
}

impl DedupEntry {
    /// The memory of the entry and its key, in bytes.
    fn size(&self) -> usize {
        entry_size(&self.key)
    }
}

/// The memory of an entry with this key, without its result, in bytes.
pub fn entry_size(key: &IdempotencyKey) -> usize {
    ENTRY_BYTES + key.key.len()
}

/// The deduplication entries, by request and by key.
///
/// ```
/// use cottondyke::dedup::{DedupTable, DedupWindow, IdempotencyKey};
/// use cottondyke_types::{HandlerId, RequestId, Time};
/// let key = IdempotencyKey { handler: HandlerId(0), tenant: None, key: "order-1".into() };
/// let window = DedupWindow { until: Some(Time(100)), grace: Time(50) };
/// let mut table = DedupTable::default();
/// table.insert(RequestId(1), key.clone(), window);
/// assert_eq!(table.find_original(Time(99), Time(99), &key), Some(RequestId(1)));
/// assert_eq!(table.find_original(Time(120), Time(99), &key), Some(RequestId(1)), "read late");
/// assert_eq!(table.find_original(Time(120), Time(110), &key), None, "arrived late");
/// ```
#[derive(Debug, Default)]
pub struct DedupTable {
    by_key: BTreeMap<IdempotencyKey, RequestId>,
    entries: BTreeMap<RequestId, DedupEntry>,
    expirations: BTreeSet<(Time, RequestId)>,
    retained_bytes: usize,
    /// Memory of the entries and their keys, without results.
    entry_bytes: usize,
}

impl DedupTable {
    /// The memory that the table takes, in bytes.
    pub fn held_bytes(&self) -> usize {
        self.entry_bytes + self.retained_bytes
    }

    /// The request of which an attempt with this key that reached the machine at `arrived` is a duplicate.
    pub fn find_original(
        &mut self,
        now: Time,
        arrived: Time,
        key: &IdempotencyKey,
    ) -> Option<RequestId> {
        self.expire(now);
        let id = self.by_key.get(key)?;
        let entry = self.entries.get(id)?;
        let is_within = entry.window.until.is_none_or(|until| arrived < until);
        is_within.then_some(*id)
    }

    /// Inserts a request. If an older request has the key, the key moves to this one and the older entry is removed.
    pub fn insert(&mut self, id: RequestId, key: IdempotencyKey, window: DedupWindow) {
        let outcome = match self.entries.get(&id) {
            Some(entry) => entry.outcome.clone(),
            None => DedupOutcome::InFlight,
        };
        if let Some(older) = self.by_key.insert(key.clone(), id) {
            self.remove(older);
        }
        if let DedupOutcome::Completed(Some(result)) = &outcome {
            self.retained_bytes += result.size();
        }
        let entry = DedupEntry {
            key,
            window,
            outcome,
        };
        self.entry_bytes += entry.size();
        if let Some(replaced) = self.entries.insert(id, entry) {
            self.entry_bytes -= replaced.size();
        }
        if let Some(until) = window.until {
            self.expirations.insert((until + window.grace, id));
        }
    }

    /// Removes a request with its key: the next request with that key is a first attempt.
    pub fn release(&mut self, id: RequestId) {
        if let Some(entry) = self.remove(id) {
            self.by_key.remove(&entry.key);
        }
    }

    fn remove(&mut self, id: RequestId) -> Option<DedupEntry> {
        let entry = self.entries.remove(&id)?;
        self.entry_bytes -= entry.size();
        if let DedupOutcome::Completed(Some(result)) = &entry.outcome {
            self.retained_bytes -= result.size();
        }
        if let Some(until) = entry.window.until {
            self.expirations.remove(&(until + entry.window.grace, id));
        }
        Some(entry)
    }

    /// Records how a request ended: with a result, or `None` if it failed. The entry of a read request is kept
    /// for `limits.read_ttl` if it completed, and removed otherwise.
    pub fn record_outcome(
        &mut self,
        now: Time,
        id: RequestId,
        result: Option<Rc<RunOutput>>,
        limits: RetentionLimits,
    ) {
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        let is_read = entry.window.until.is_none();
        let is_completed = result.is_some();
        self.retained_bytes += result.as_ref().map_or(0, |result| result.size());
        entry.outcome = match result {
            Some(result) => DedupOutcome::Completed(Some(result)),
            None => DedupOutcome::Failed,
        };
        if is_read && is_completed && limits.read_ttl > Time(0) {
            let until = now + limits.read_ttl;
            entry.window.until = Some(until);
            self.expirations.insert((until + entry.window.grace, id));
        } else if is_read {
            self.release(id);
        }
        self.drop_oldest_results(limits.max_bytes);
    }

    fn drop_oldest_results(&mut self, max_bytes: usize) {
        let mut oldest = self.entries.values_mut();
        while self.retained_bytes > max_bytes {
            let Some(entry) = oldest.next() else {
                break;
            };
            if let DedupOutcome::Completed(result) = &mut entry.outcome {
                self.retained_bytes -= result.take().map_or(0, |result| result.size());
            }
        }
    }

    /// The outcome of a request; `None` if it is not in the table.
    pub fn outcome(&self, id: RequestId) -> Option<&DedupOutcome> {
        self.entries.get(&id).map(|entry| &entry.outcome)
    }

    /// Whether a request is in the table.
    pub fn contains(&self, id: RequestId) -> bool {
        self.entries.contains_key(&id)
    }

    /// Removes the entries that can no longer be found.
    pub fn expire(&mut self, now: Time) {
        while let Some((until, id)) = self.expirations.first().copied() {
            if until > now {
                break;
            }
            self.release(id);
        }
    }
}
