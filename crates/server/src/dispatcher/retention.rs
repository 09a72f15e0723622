//! The memory of what outlives its request: idempotency keys, results for duplicates, and the ids of ended runs.
use super::arrivals::TIME_LIMIT_SLACK;
use super::RequestDispatcher;
use crate::clock::time_from_ms;
use crate::dedup::{self, IdempotencyKey};
use cottondyke_types::Time;

/// Results and ids may take the memory that may be retained divided by these. The rest is for idempotency keys, which
/// cannot be dropped before their window ends.
const RESULT_DIVISOR: usize = 2;
const ID_DIVISOR: usize = 8;

impl RequestDispatcher {
    /// Counts the retained memory.
    pub(super) fn count_retained(&mut self) {
        self.retained_memory.set(self.retained_bytes());
    }

    fn retained_bytes(&self) -> usize {
        self.dedup.held_bytes() + self.recent_ids.held_bytes()
    }

    /// Whether the key of a first attempt can be retained until its window ends.
    pub(super) fn has_memory_for(&mut self, key: Option<&IdempotencyKey>) -> bool {
        let Some(key) = key else { return true };
        self.count_retained();
        let with_key = self.retained_bytes() + dedup::entry_size(key);
        self.retained_memory.try_set(with_key)
    }

    /// The most memory that retained results may take, in bytes.
    pub(super) fn max_result_bytes(&self) -> usize {
        self.retained_memory.account().max_bytes() / RESULT_DIVISOR
    }

    /// How long the id of a request that has run is remembered: as long as a copy of the request could still be of use,
    /// or was waiting to be read.
    pub(super) fn id_retention(&self) -> Time {
        let windows = self.config.times.iter().map(|times| times.dedup_window);
        let longest = windows.max().unwrap_or(Time(0));
        longest.max(time_from_ms(self.config.max_client_timeout_ms)) + TIME_LIMIT_SLACK
    }

    /// Drops what is no longer needed.
    pub(super) fn expire_retained(&mut self, now: Time) {
        let max_id_bytes = self.retained_memory.account().max_bytes() / ID_DIVISOR;
        self.dedup.expire(now);
        self.recent_ids.expire(now, max_id_bytes);
        self.count_retained();
    }
}
