//! The memory that requests and idempotency keys take.

use crate::request::RequestRecord;
use crate::request_table::RequestTable;

/// The memory that queued and running requests and idempotency keys share, in kilobytes.
#[derive(Clone, Copy, Debug)]
pub struct MemoryLimits {
    /// The total.
    pub limit: f64,
    /// What a run takes, as a multiple of what its request takes while queued.
    pub running_factor: f64,
    /// What an idempotency key takes.
    pub per_key: f64,
}

impl MemoryLimits {
    /// What all requests and `keys` idempotency keys take.
    pub(crate) fn used(&self, requests: &RequestTable, keys: usize) -> f64 {
        let running: f64 = requests.started().map(|r| self.extra_to_start(r)).sum();
        let all: f64 = requests.iter().map(|r| r.arrival.memory_kb).sum();
        running + all + keys as f64 * self.per_key
    }

    /// What a request takes more when it is started.
    pub(crate) fn extra_to_start(&self, request: &RequestRecord) -> f64 {
        request.arrival.memory_kb * (self.running_factor - 1.0)
    }
}
