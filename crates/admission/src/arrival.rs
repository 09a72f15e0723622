//! What the controller is told: arrivals, outcomes and load samples.

use cottondyke_types::{CallerId, HandlerId, RequestId, TenantId, Time};

/// A request as it is read.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// The number of the request on this server.
    pub id: RequestId,
    /// The handler that it is for.
    pub handler: HandlerId,
    /// The tenant that it belongs to, where known.
    pub tenant: Option<TenantId>,
    /// Who sent it, where known.
    pub caller: Option<CallerId>,
    /// The expected work, as time on a standard core.
    pub cost_hint: Option<Time>,
    /// Whether the caller marked it as a retry.
    pub is_retry: bool,
    /// The request with the same idempotency key that it repeats.
    pub duplicate_of: Option<RequestId>,
    /// The memory that it takes while queued, in kilobytes.
    pub memory_kb: f64,
    /// The time since it reached the machine.
    pub queueing_delay: Time,
    /// The part of that time that is believed to show how long requests wait to be read.
    pub observed_delay: Time,
    /// How long the client still waits, where told.
    pub client_wait: Option<Time>,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// With a response.
    Completed,
    /// With an error.
    Failed,
    /// Cancelled, or ended at a call because nobody waits for it.
    Cancelled,
    /// Nothing started.
    NotStarted,
}

/// How a call to a dependency ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// With a usable reply.
    Completed,
    /// Known not to have been executed.
    NotExecuted,
    /// With an error or an unusable reply; it may have had its effect.
    Failed,
    /// It may have had its effect, and may still be running.
    Indeterminate,
    /// Its connection broke, which proves nothing: it may have had its effect, and may still be running.
    Interrupted,
}

/// What the server's own gauges read.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadSample {
    /// The fraction of the cores in use.
    pub cpu_utilization: Option<f64>,
    /// How many tasks want a core now: runs and everything else.
    pub runnable_tasks: Option<f64>,
}
