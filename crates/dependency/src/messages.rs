//! The inputs and outputs of the [`Aggregator`](crate::Aggregator): ids, requests, results and actions.
use crate::circuit_breaker::CircuitState;
use crate::lease::SendTimestamp;
use crate::plan::Dependency;
use cottondyke_types::{RequestId, TenantId, Time};
use std::rc::Rc;

/// Identifies one call to a dependency; an aggregator never reuses an id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// Identifies one part of a running aggregation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PartId {
    /// The request that the aggregation answers.
    pub request: RequestId,
    /// Index of the part in the aggregation.
    pub index: usize,
}

/// Whether this instance ran before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Startup {
    /// No previous incarnation can have left calls running at the dependencies.
    First,
    /// A previous incarnation of this instance may have left calls running at the dependencies.
    Restarted,
}

/// A request to be answered by an aggregation.
#[derive(Clone, Debug)]
pub struct AggregationRequest {
    /// The request's id, which also identifies the run.
    pub request: RequestId,
    /// Index of the aggregation in the plan.
    pub aggregation: usize,
    /// The request body, sent to each dependency.
    pub body: Rc<[u8]>,
    /// The tenant that sent the request; cached responses are never shared between tenants.
    pub tenant: Option<TenantId>,
    /// The response target: when the response should be ready.
    pub target: Time,
    /// When the response must be ready.
    pub deadline: Time,
    /// Whether its calls may be repeated even though an earlier attempt may have been executed.
    pub may_repeat: bool,
}

/// How a call ended.
#[derive(Clone, Debug, PartialEq)]
pub enum CallResult {
    /// A valid response with this body.
    Success(Rc<[u8]>),
    /// Ended with an error or an invalid response; it may have taken effect and is no longer running.
    Failure,
    /// The dependency refused this request as invalid, which says nothing about its health.
    InvalidRequest,
    /// Known not to have been executed.
    Rejected,
    /// It may have been executed and may still be running.
    TimedOut,
    /// Its connection broke after it was sent: it may have been executed and may still be running.
    Interrupted,
    /// A reused connection broke before any response arrived; usually the dependency had already closed it, and nothing
    /// was executed.
    StaleConnection,
    /// Known not to have been executed: the lease under which it was issued expired before it was sent.
    LeaseExpired,
}

/// Where the body of a part comes from.
#[derive(Clone, Debug, PartialEq)]
pub enum PartSource {
    /// The part's own dependency.
    Primary,
    /// A cached response of this age.
    Cached(Time),
    /// The dependency of this name, as a fallback.
    Secondary(Rc<str>),
    /// The fixed body that the operator set.
    Default,
    /// No source had a body: the part is missing.
    Missing,
}

/// One part of a composed response.
#[derive(Clone, Debug, PartialEq)]
pub struct PartResult {
    /// The part's name.
    pub name: Rc<str>,
    /// Where its body comes from.
    pub source: PartSource,
    /// The body; `None` exactly if the part is missing.
    pub body: Option<Rc<[u8]>>,
    /// Whether the body is JSON; otherwise it is text.
    pub json: bool,
}

/// How an aggregation ended.
#[derive(Clone, Debug, PartialEq)]
pub enum AggregationResult {
    /// All parts; no required part is missing.
    Parts(Vec<PartResult>),
    /// A required part is missing.
    Failed,
    /// It was cancelled.
    Cancelled,
}

/// What the driver must do after an input. Actions are carried out in the order in which they are returned.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Make a call.
    Call {
        /// The id under which its result is reported.
        call: CallId,
        /// The request for which it is made.
        request: RequestId,
        /// The dependency to call.
        dependency: Rc<Dependency>,
        /// The body to send.
        body: Rc<[u8]>,
        /// How long this instance waits for the response: the time left until the step's deadline.
        timeout: Time,
        /// Whether a pooled connection may be used; otherwise the call gets a connection of its own.
        may_reuse_connection: bool,
        /// Where the driver records the time at which the first byte of the call is sent.
        timestamp: Rc<SendTimestamp>,
    },
    /// The part no longer waits for this call: wait for its response for at most `late_response_wait`.
    Abandon {
        /// The call.
        call: CallId,
        /// How long to wait for its response: its result is reported when it ends, or as [`CallResult::TimedOut`] after
        /// this time. If zero, its connection is closed and no result is reported.
        late_response_wait: Time,
    },
    /// An aggregation has ended.
    Completed {
        /// The request that it answers.
        request: RequestId,
        /// How it ended.
        result: AggregationResult,
    },
    /// The circuit breaker of a dependency changed its state.
    CircuitStateChanged {
        /// The dependency's name.
        dependency: Rc<str>,
        /// The new state.
        state: CircuitState,
        /// The concurrency limit at this moment, in calls.
        limit: usize,
    },
}

/// What a leased quota of a dependency bounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaKind {
    /// Calls in flight.
    Calls,
    /// Calls sent within the rate window.
    Rate,
}

/// Usage of a leased quota of a dependency, and the demand for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DependencyUsage {
    /// The dependency's name.
    pub dependency: Rc<str>,
    /// Which of the dependency's quotas this describes.
    pub quota: QuotaKind,
    /// Units in use.
    pub in_use: usize,
    /// Units that could be used at once, including those in use.
    pub needed: usize,
}
