//! Whole answers kept for the time when their dependency brings none, bounded in bytes; the oldest go first.
use cottondyke_types::{TenantId, Time};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

/// What an answer belongs to: the dependency's name, the customer who asked, and the request. Customers never
/// see each other's.
pub type Key = (Rc<str>, Option<TenantId>, Rc<[u8]>);

/// Room that an entry takes beside its key and body, in bytes.
const OVERHEAD: usize = 160;

#[derive(Debug, Default)]
pub struct StaleCache {
    entries: BTreeMap<Key, (Time, u64, Rc<[u8]>)>,
    /// In the order in which they were kept; an entry that was replaced since is passed over.
    order: VecDeque<(u64, Key)>,
    number: u64,
    bytes: usize,
    most: usize,
}

fn size(key: &Key, body: &[u8]) -> usize {
    key.2.len() + body.len() + OVERHEAD
}

impl StaleCache {
    pub fn bound(&mut self, most: usize) {
        self.most = most;
        self.shrink();
    }

    pub fn keep(&mut self, now: Time, key: Key, body: Rc<[u8]>) {
        if size(&key, &body) > self.most {
            return;
        }
        self.number += 1;
        self.bytes += size(&key, &body);
        self.order.push_back((self.number, key.clone()));
        if let Some((_, _, old)) = self.entries.insert(key.clone(), (now, self.number, body)) {
            self.bytes -= size(&key, &old);
        }
        // Replaced entries leave their places in the order behind.
        if self.order.len() > 2 * self.entries.len() + 16 {
            let entries = &self.entries;
            self.order
                .retain(|(number, key)| entries.get(key).is_some_and(|e| e.1 == *number));
        }
        self.shrink();
    }

    fn shrink(&mut self) {
        while self.bytes > self.most {
            let Some((number, key)) = self.order.pop_front() else {
                break;
            };
            if self.entries.get(&key).is_some_and(|e| e.1 == number) {
                let body = self.entries.remove(&key).map(|e| e.2).unwrap_or_default();
                self.bytes -= size(&key, &body);
            }
        }
    }

    /// The answer and its age, where it is no older than `most`.
    pub fn find(&self, now: Time, key: &Key, most: Time) -> Option<(Time, Rc<[u8]>)> {
        let (at, _, body) = self.entries.get(key)?;
        (now - *at <= most).then(|| (now - *at, body.clone()))
    }

    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// What the entries take, counted anew.
    pub fn counted(&self) -> usize {
        self.entries.iter().map(|(key, e)| size(key, &e.2)).sum()
    }
}
