//! Inputs of the controller: arrivals, outcomes and load samples.

use cottondyke_types::{CallerId, HandlerId, RequestId, TenantId, Time};

/// A request at the time it is read.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// The id of the request on this server.
    pub id: RequestId,
    /// The handler that it is addressed to.
    pub handler: HandlerId,
    /// The tenant that it belongs to, if known.
    pub tenant: Option<TenantId>,
    /// The caller that sent it, if known.
    pub caller: Option<CallerId>,
    /// The expected work, as time on a standard core, if the request carries a hint.
    pub cost_hint: Option<Time>,
    /// Whether the caller marked it as a retry.
    pub is_retry: bool,
    /// The request with the same idempotency key that it repeats, if it is a duplicate.
    pub duplicate_of: Option<RequestId>,
    /// The memory that it takes while queued, in kilobytes.
    pub memory_kb: f64,
    /// The time between its arrival at the machine and its being read.
    pub queueing_delay: Time,
    /// The part of `queueing_delay` that is trusted to show how long requests wait to be read; zero if none is.
    pub observed_delay: Time,
    /// How much longer the client waits, if known.
    pub client_time_left: Option<Time>,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// With a response.
    Completed,
    /// With an error.
    Failed,
    /// Cancelled, or ended at a call because no caller waits for its response.
    Cancelled,
    /// The run never started.
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
    /// With an unknown result, for example because it timed out or its connection broke while the request was being
    /// sent: it may have had its effect, and may still be running.
    Indeterminate,
    /// With a connection that broke after the request was sent, so that its result is unknown: it may have had its
    /// effect, and may still be running. Unlike an indeterminate call, it may be repeated even if the dependency has no
    /// spare capacity.
    Interrupted,
}

/// A reading of the server's own load gauges.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadSample {
    /// The fraction of the cores in use.
    pub cpu_utilization: Option<f64>,
    /// The number of tasks that want a core now: runs of requests and all others.
    pub runnable_tasks: Option<f64>,
}

/// The notice that the server must shut down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownNotice {
    /// When the notice was received, also if the controller is told later or was created since.
    pub received_at: Time,
    /// Time from the notice until the server is stopped.
    pub timeout: Time,
}
