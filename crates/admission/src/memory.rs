//! The memory that requests and idempotency keys take.

use crate::request::RequestRecord;
use crate::request_table::RequestTable;

/// The memory that requests, queued or started, and idempotency keys share, in kilobytes.
#[derive(Clone, Copy, Debug)]
pub struct MemoryLimits {
    /// The limit of the total.
    pub limit: f64,
    /// The memory of a request from its start to its end, as a multiple of its memory while queued.
    pub running_factor: f64,
    /// The memory of one idempotency key.
    pub per_key: f64,
}

impl MemoryLimits {
    /// The memory that all requests and `keys` idempotency keys take.
    pub(crate) fn used(&self, requests: &RequestTable, keys: usize) -> f64 {
        let running: f64 = requests
            .started()
            .map(|r| self.additional_running_memory(r))
            .sum();
        let all: f64 = requests.iter().map(|r| r.arrival.memory_kb).sum();
        running + all + keys as f64 * self.per_key
    }

    /// The additional memory that a request takes once it is started.
    pub(crate) fn additional_running_memory(&self, request: &RequestRecord) -> f64 {
        request.arrival.memory_kb * (self.running_factor - 1.0)
    }
}
