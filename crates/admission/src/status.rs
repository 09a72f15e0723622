//! A summary of a controller's state, for logs.

use crate::controller::AdmissionController;
use cottondyke_types::Time;

/// The state of a controller at one moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionStatus {
    /// The lowest speed that the server can have by now, as a fraction of its full speed; below 1 it is in slow start.
    pub capacity: f64,
    /// How many requests may be on the cores.
    pub concurrency_limit: f64,
    /// How many requests on the cores the server survives, less a safety margin.
    pub ceiling: f64,
    /// The fraction of the cores in use at the last sample.
    pub utilization: f64,
    /// Requests that are queued.
    pub queued: usize,
    /// Requests on the cores.
    pub on_core: usize,
    /// Runs that have not ended long after their requests were answered.
    pub overdue: usize,
    /// Requests that wait to make a call.
    pub awaiting_call: usize,
    /// Calls in flight.
    pub calling: usize,
    /// Abandoned calls that may still be running.
    pub abandoned_calls: usize,
    /// The delay with which the server has woken lately.
    pub wake_delay: Time,
    /// The fraction of the memory limit that requests and idempotency keys take.
    pub memory_used: f64,
}

impl AdmissionController {
    /// The delay with which the server has woken lately, and must be expected to wake.
    pub fn wake_delay(&self, now: Time) -> Time {
        self.answer_margin.wake_delay(now)
    }

    /// The state at `now`.
    pub fn status(&self, now: Time) -> AdmissionStatus {
        AdmissionStatus {
            capacity: self.concurrency.capacity(now),
            concurrency_limit: self.effective_limit(now),
            ceiling: self.concurrency.ceiling(now),
            utilization: self.concurrency.utilization,
            queued: self.requests.queued().count(),
            on_core: self.requests.on_core().count(),
            overdue: self.requests.overdue().count(),
            awaiting_call: self.requests.awaiting_call().count(),
            calling: self.requests.calling().count(),
            abandoned_calls: self.calls.occupancy.abandoned(),
            wake_delay: self.wake_delay(now),
            memory_used: self.memory_used() / self.memory.limit.max(1.0),
        }
    }
}
