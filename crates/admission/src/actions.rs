//! The actions that the controller returns for an input.

use cottondyke_types::{RequestId, Time};

/// A request to be answered with a rejection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// The rejected request.
    pub id: RequestId,
    /// How long the caller should wait before it retries; zero if no time is given.
    pub retry_after: Time,
    /// Asks the caller not to retry on another server either.
    pub do_not_retry: bool,
}

/// A rule of the policy. Each variant says what happens to the request for which the rule fires, and why. The variants
/// are in the order in which the rules are evaluated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Rejected: its deadline was reached before it was started, and it is not a duplicate.
    UnstartedAtDeadline,
    /// Failed: its deadline was reached after it was started, or it is a duplicate, whose original may have run.
    AtDeadline,
    /// Coalesced with the request that it repeats.
    Duplicate,
    /// Failed: its run exceeded the termination threshold.
    PastThreshold,
    /// Failed: more requests run on the cores than the concurrency ceiling allows.
    OverConcurrencyCeiling,
    /// Rejected: requests and idempotency keys take too much memory.
    OverMemoryQueued,
    /// Failed: requests and idempotency keys take too much memory, with nothing queued.
    OverMemoryRunning,
    /// Rejected: it arrived after the grace period of the drain.
    PastDrainGrace,
    /// Rejected: the slow-start budget would let it start too late for its response target.
    OverSlowStartBudget,
    /// Rejected: it is predicted not to finish within its response target.
    PredictedLate,
    /// Started.
    NextToStart,
    /// Continues without the call that it waited for.
    PastCallWait,
    /// Its call is made.
    NextToCall,
}

impl Rule {
    /// The name used in log lines.
    pub fn name(self) -> &'static str {
        match self {
            Rule::UnstartedAtDeadline => "unstarted_at_deadline",
            Rule::AtDeadline => "at_deadline",
            Rule::Duplicate => "duplicate",
            Rule::PastThreshold => "past_threshold",
            Rule::OverConcurrencyCeiling => "over_survivable_concurrency",
            Rule::OverMemoryQueued => "over_memory_queued",
            Rule::OverMemoryRunning => "over_memory_running",
            Rule::PastDrainGrace => "past_drain_grace",
            Rule::OverSlowStartBudget => "over_slow_start_budget",
            Rule::PredictedLate => "unwinnable",
            Rule::NextToStart => "next_to_start",
            Rule::PastCallWait => "past_call_wait",
            Rule::NextToCall => "next_to_call",
        }
    }
}

/// One firing of a rule: why a request changed its state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RuleFiring {
    /// The rule that fired.
    pub rule: Rule,
    /// The request for which it fired.
    pub id: RequestId,
}

/// What to do after an input. The lists must be carried out in the order of the fields: actions that free resources
/// come before actions that take them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Actions {
    /// Runs to cancel.
    pub cancel: Vec<RequestId>,
    /// Requests to answer with a failure.
    pub fail: Vec<RequestId>,
    /// Requests to answer with a rejection.
    pub reject: Vec<Rejection>,
    /// Idempotency keys to retain, and for how long.
    pub retain_key: Vec<(RequestId, Time)>,
    /// Idempotency keys to forget.
    pub release_key: Vec<RequestId>,
    /// Requests to run.
    pub start: Vec<RequestId>,
    /// Duplicates that take the response of the request that they repeat.
    pub coalesce: Vec<RequestId>,
    /// Calls to make for these requests, and their timeouts.
    pub call: Vec<(RequestId, Time)>,
    /// Requests that continue without their call.
    pub skip_call: Vec<RequestId>,
    /// The new answer to health checks, if it changes.
    pub health: Option<bool>,
    /// New load advice, in the format that callers read, if it changes.
    pub advice: Option<f64>,
    /// The new idle timeout of connections, if it changes.
    pub idle_timeout: Option<Time>,
    /// Call `tick` when this duration has passed. Ticks that were asked for earlier remain due.
    pub next_tick: Option<Time>,
    /// The rules that fired, in the order in which they fired.
    pub firings: Vec<RuleFiring>,
}
