//! What the controller asks for after an input.

use cottondyke_types::{RequestId, Time};

/// A request to be answered with a rejection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// The rejected request.
    pub id: RequestId,
    /// When the caller may come back; zero names no time.
    pub retry_after: Time,
    /// Asks the caller not to try another server either.
    pub do_not_retry: bool,
}

/// A rule of the policy, in the order in which the rules are gone through.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Rejected: its deadline came before it was started.
    UnstartedAtDeadline,
    /// Failed: its deadline came while it ran.
    AtDeadline,
    /// Coalesced with the request that it repeats.
    Duplicate,
    /// Failed: its run went past the termination threshold.
    PastThreshold,
    /// Failed: more runs on the cores than the server survives.
    OverSurvivableConcurrency,
    /// Rejected: requests and idempotency keys take too much memory.
    OverMemoryQueued,
    /// Failed: the same, with nothing queued.
    OverMemoryRunning,
    /// Rejected: it arrived past the drain grace.
    PastDrainGrace,
    /// Rejected: the budget of slow start lets it begin too late for its response target.
    OverSlowStartBudget,
    /// Rejected: it cannot finish within its response target.
    Unwinnable,
    /// Started.
    NextToStart,
    /// Goes on without the call that it waited for.
    PastCallWait,
    /// Its call is made.
    NextToCall,
}

impl Rule {
    /// The name that log lines use.
    pub fn name(self) -> &'static str {
        match self {
            Rule::UnstartedAtDeadline => "unstarted_at_deadline",
            Rule::AtDeadline => "at_deadline",
            Rule::Duplicate => "duplicate",
            Rule::PastThreshold => "past_threshold",
            Rule::OverSurvivableConcurrency => "over_survivable_concurrency",
            Rule::OverMemoryQueued => "over_memory_queued",
            Rule::OverMemoryRunning => "over_memory_running",
            Rule::PastDrainGrace => "past_drain_grace",
            Rule::OverSlowStartBudget => "over_slow_start_budget",
            Rule::Unwinnable => "unwinnable",
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

/// What to do after an input. The lists are carried out in the order in which they stand here: what frees resources
/// comes before what takes them.
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
    /// Requests that go on without their call.
    pub skip_call: Vec<RequestId>,
    /// A change of what health checks are answered.
    pub health: Option<bool>,
    /// New load advice, in the format that callers read.
    pub advice: Option<f64>,
    /// From now on connections idle for this long are closed.
    pub idle_timeout: Option<Time>,
    /// Call `tick` after this time; earlier requests for a tick stand.
    pub next_tick: Option<Time>,
    /// The rules that fired, in their order.
    pub firings: Vec<RuleFiring>,
}
