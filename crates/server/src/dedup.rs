//! Which reqs repeat which: the table behind idempotency keys and shared answers. What a try repeats goes by the time
//! at which it came to the machine, however late it is read: so an entry outlives its dedup window by a tail, in
//! which only tries that came within the window still find it.
use crate::protocol::sidecar::RunOutput;
use cottondyke_types::{HandlerId, RequestId, TenantId, Time};
use std::collections::BTreeMap;
use std::rc::Rc;

/// What repeats have in common: their handler, their customer where that counts, and their mark.
pub type IdempotencyKey = (HandlerId, Option<TenantId>, Box<str>);

#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    Open,
    Done(Option<Rc<RunOutput>>),
    Failed,
}

#[derive(Debug)]
struct DedupEntry {
    key: IdempotencyKey,
    /// What came to the machine before this repeats it; an open read's entry has no end yet.
    until: Option<Time>,
    /// How long after that it is still here.
    tail: Time,
    outcome: Outcome,
}

#[derive(Debug, Default)]
pub struct DedupTable {
    by_key: BTreeMap<IdempotencyKey, RequestId>,
    entries: BTreeMap<RequestId, DedupEntry>,
    ends: BTreeMap<(Time, RequestId), ()>,
    bytes: usize,
}

impl DedupTable {
    /// The entry that a req with this key, which came to the machine at `arrived`, repeats.
    pub fn repeats(&mut self, now: Time, arrived: Time, key: &IdempotencyKey) -> Option<RequestId> {
        self.expire(now);
        let id = self.by_key.get(key)?;
        let within = |e: &DedupEntry| e.until.is_none_or(|until| arrived < until);
        self.entries.get(id).is_some_and(within).then_some(*id)
    }

    /// Keeps a req's entry for what comes before `until`, or while it is open, and for `tail` longer for what of
    /// that is read late. The entry moves here from an older req.
    pub fn keep(&mut self, id: RequestId, key: IdempotencyKey, until: Option<Time>, tail: Time) {
        let outcome = self
            .entries
            .get(&id)
            .map_or(Outcome::Open, |e| e.outcome.clone());
        if let Some(older) = self.by_key.insert(key.clone(), id) {
            self.drop_entry(older);
        }
        self.by_key.insert(key.clone(), id);
        if let Outcome::Done(Some(result)) = &outcome {
            self.bytes += result.size();
        }
        self.entries.insert(
            id,
            DedupEntry {
                key,
                until,
                tail,
                outcome,
            },
        );
        if let Some(until) = until {
            self.ends.insert((until + tail, id), ());
        }
    }

    pub fn release(&mut self, id: RequestId) {
        if let Some(entry) = self.drop_entry(id) {
            self.by_key.remove(&entry.key);
        }
    }

    fn drop_entry(&mut self, id: RequestId) -> Option<DedupEntry> {
        let entry = self.entries.remove(&id)?;
        if let Outcome::Done(Some(result)) = &entry.outcome {
            self.bytes -= result.size();
        }
        if let Some(until) = entry.until {
            self.ends.remove(&(until + entry.tail, id));
        }
        Some(entry)
    }

    /// Notes how a kept req ended; an open read's entry stays for `fresh` if it went well, else it goes. Results
    /// take `most` bytes; past that the oldest go, and their repeats are errored.
    pub fn ended(
        &mut self,
        now: Time,
        id: RequestId,
        result: Option<Rc<RunOutput>>,
        fresh: Time,
        most: usize,
    ) {
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        let read = entry.until.is_none();
        entry.outcome = result.map_or(Outcome::Failed, |result| Outcome::Done(Some(result)));
        let went_well = matches!(entry.outcome, Outcome::Done(_));
        if let Outcome::Done(Some(result)) = &entry.outcome {
            self.bytes += result.size();
        }
        if read {
            if went_well && fresh > Time(0) {
                entry.until = Some(now + fresh);
                self.ends.insert((now + fresh + entry.tail, id), ());
            } else {
                self.release(id);
            }
        }
        let mut oldest = self.entries.iter_mut();
        while self.bytes > most {
            let Some((_, entry)) = oldest.next() else {
                break;
            };
            if let Outcome::Done(result) = &mut entry.outcome {
                self.bytes -= result.take().map_or(0, |r| r.size());
            }
        }
    }

    pub fn outcome(&self, id: RequestId) -> Option<&Outcome> {
        self.entries.get(&id).map(|e| &e.outcome)
    }

    pub fn holds(&self, id: RequestId) -> bool {
        self.entries.contains_key(&id)
    }

    pub fn expire(&mut self, now: Time) {
        while let Some(((until, id), ())) = self.ends.first_key_value().map(|(k, v)| (*k, *v)) {
            if until > now {
                break;
            }
            self.release(id);
        }
    }
}
