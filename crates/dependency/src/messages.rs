//! What goes into and comes out of the [`Aggregator`](crate::Aggregator): ids, inputs, results and actions.
use crate::circuit_breaker::CircuitState;
use crate::lease::SendTimestamp;
use crate::plan::Dependency;
use cottondyke_types::{RequestId, TenantId, Time};
use std::rc::Rc;

/// Names one call to a dependency; never used twice by an aggregator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// Names one part of an aggregation that is running.
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
    /// No previous incarnation can have left calls at the dependencies.
    First,
    /// A previous incarnation of this instance may have left calls running at the dependencies.
    Restarted,
}

/// A request that is to be answered by an aggregation.
#[derive(Clone, Debug)]
pub struct AggregationRequest {
    /// The request's id, under which the aggregation runs.
    pub request: RequestId,
    /// Index of the aggregation in the plan.
    pub aggregation: usize,
    /// The body, sent on to each dependency.
    pub body: Rc<[u8]>,
    /// The tenant that asked; tenants never share cached answers.
    pub tenant: Option<TenantId>,
    /// When the answer should be ready: the response target.
    pub target: Time,
    /// When the answer must be ready.
    pub deadline: Time,
    /// Whether its calls may be made again although they may have run.
    pub may_repeat: bool,
}

/// How a call ended.
#[derive(Clone, Debug, PartialEq)]
pub enum CallResult {
    /// A valid reply with this body.
    Success(Rc<[u8]>),
    /// Ended with an error or an invalid reply; it may have had its effect and is no longer running.
    Failure,
    /// The dependency refused this request as invalid, which says nothing about its health.
    InvalidRequest,
    /// Known not to have run.
    Rejected,
    /// It may have run and may still be running.
    TimedOut,
    /// Its connection broke once it was sent: it may have run and may still be running.
    Interrupted,
    /// A reused connection broke before any reply; mostly it was closed already, and nothing ran.
    StaleConnection,
    /// Known not to have run: the lease that it was issued under expired before it was sent.
    LeaseExpired,
}

/// Where a part of an answer comes from.
#[derive(Clone, Debug, PartialEq)]
pub enum PartSource {
    /// The part's own dependency.
    Primary,
    /// An earlier answer of this age.
    Cached(Time),
    /// The dependency of this name, as a fallback.
    Secondary(Rc<str>),
    /// The fixed body that the operator set.
    Default,
    /// Nowhere: the part is missing.
    Missing,
}

/// One part of an answer.
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
    /// Every required part is there.
    Parts(Vec<PartResult>),
    /// A required part is missing.
    Failed,
    /// It was cancelled.
    Cancelled,
}

/// What the driver must do after an input, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Make a call.
    Call {
        /// The id to report its result under.
        call: CallId,
        /// The request that it is made for.
        run: RequestId,
        /// The dependency to call.
        to: Rc<Dependency>,
        /// The body to send.
        body: Rc<[u8]>,
        /// How long the caller will wait for the reply.
        within: Time,
        /// Whether a pooled connection may be used; otherwise the call gets a connection of its own.
        reuse: bool,
        /// To be set when its first byte goes out.
        stamp: Rc<SendTimestamp>,
    },
    /// Stop waiting for a call.
    Abandon {
        /// The call.
        call: CallId,
        /// Go on listening for so long and report its result. If this is zero, close its connection and report nothing.
        listen: Time,
    },
    /// An aggregation has ended.
    Completed {
        /// The request that it answers.
        run: RequestId,
        /// How it ended.
        answer: AggregationResult,
    },
    /// The circuit breaker of a dependency changed its state.
    GateChanged {
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

/// How much of a leased quota of a dependency is used, and how much could be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DependencyUsage {
    /// The dependency's name.
    pub dependency: Rc<str>,
    /// Which of its quotas this is about.
    pub quota: QuotaKind,
    /// Units in use.
    pub in_flight: usize,
    /// Units that could be used at once, including those in use.
    pub needed: usize,
}
