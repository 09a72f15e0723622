//! Which requests repeat which: the table behind idempotency keys and shared responses. What an attempt repeats goes by
//! the time at which it reached the machine, however late it is read: so an entry outlives its dedup window by a tail,
//! in which only attempts that came within the window still find it.
use crate::protocol::sidecar::RunOutput;
use cottondyke_types::{HandlerId, RequestId, TenantId, Time};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// What repeats have in common.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct IdempotencyKey {
    /// Their handler.
    pub handler: HandlerId,
    /// Their tenant, where that counts.
    pub tenant: Option<TenantId>,
    /// What the client sent.
    pub key: Box<str>,
}

/// How the request of an entry ended.
#[derive(Clone, Debug, PartialEq)]
pub enum DedupOutcome {
    /// It is in flight.
    InFlight,
    /// It was completed; none where its result is retained no longer.
    Completed(Option<Rc<RunOutput>>),
    /// It failed.
    Failed,
}

/// How long an entry is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DedupWindow {
    /// What reached the machine before this repeats it; none for a read, whose end is set once it was completed.
    pub until: Option<Time>,
    /// How long after that the entry is retained, for what is read late.
    pub tail: Time,
}

/// How long results are retained, and how many of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetentionLimits {
    /// How long the response of a read is handed to others.
    pub read_ttl: Time,
    /// Bytes of all retained results; past that the oldest go, and their repeats fail.
    pub max_bytes: usize,
}

#[derive(Debug)]
struct DedupEntry {
    key: IdempotencyKey,
    window: DedupWindow,
    outcome: DedupOutcome,
}

/// The table, by request and by key.
///
/// ```
/// use cottondyke::dedup::{DedupTable, DedupWindow, IdempotencyKey};
/// use cottondyke_types::{HandlerId, RequestId, Time};
/// let key = IdempotencyKey { handler: HandlerId(0), tenant: None, key: "order-1".into() };
/// let window = DedupWindow { until: Some(Time(100)), tail: Time(50) };
/// let mut table = DedupTable::default();
/// table.insert(RequestId(1), key.clone(), window);
/// assert_eq!(table.find_original(Time(99), Time(99), &key), Some(RequestId(1)));
/// assert_eq!(table.find_original(Time(120), Time(99), &key), Some(RequestId(1)), "read late");
/// assert_eq!(table.find_original(Time(120), Time(110), &key), None, "came late");
/// ```
#[derive(Debug, Default)]
pub struct DedupTable {
    by_key: BTreeMap<IdempotencyKey, RequestId>,
    entries: BTreeMap<RequestId, DedupEntry>,
    expirations: BTreeSet<(Time, RequestId)>,
    retained_bytes: usize,
}

impl DedupTable {
    /// The request that one with this key, which reached the machine at `arrived`, repeats.
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

    /// Enters a request. The key moves here from an older request.
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
        self.entries.insert(id, entry);
        if let Some(until) = window.until {
            self.expirations.insert((until + window.tail, id));
        }
    }

    /// Removes a request with its key: what comes with the key from now on is the first.
    pub fn release(&mut self, id: RequestId) {
        if let Some(entry) = self.remove(id) {
            self.by_key.remove(&entry.key);
        }
    }

    fn remove(&mut self, id: RequestId) -> Option<DedupEntry> {
        let entry = self.entries.remove(&id)?;
        if let DedupOutcome::Completed(Some(result)) = &entry.outcome {
            self.retained_bytes -= result.size();
        }
        if let Some(until) = entry.window.until {
            self.expirations.remove(&(until + entry.window.tail, id));
        }
        Some(entry)
    }

    /// Notes how a request ended: with a result, or none where it failed. A read's entry stays for the limit's time if
    /// it was completed, else it goes.
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
            self.expirations.insert((until + entry.window.tail, id));
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

    /// How a request ended; none where it is not in the table.
    pub fn outcome(&self, id: RequestId) -> Option<&DedupOutcome> {
        self.entries.get(&id).map(|entry| &entry.outcome)
    }

    /// Whether a request is in the table.
    pub fn contains(&self, id: RequestId) -> bool {
        self.entries.contains_key(&id)
    }

    /// Removes what can be found no longer.
    pub fn expire(&mut self, now: Time) {
        while let Some((until, id)) = self.expirations.first().copied() {
            if until > now {
                break;
            }
            self.release(id);
        }
    }
}
