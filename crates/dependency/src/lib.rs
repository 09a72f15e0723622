//! Answers composed from several services, with fallbacks: decided without I/O, clock or randomness of its own. Time and
//! seed are arguments, inputs are method calls on [`Aggregator`], outputs are [`Action`]s that a driver carries out.
//!
//! An aggregation has parts. A part calls its dependency within a time budget and, if that brings no answer, tries its
//! fallbacks in turn. Between parts and a dependency stands its [`gate::DependencyGate`]: an adaptive concurrency limit, a
//! circuit breaker, the observed latency, and the retry budget that pays for hedges and retries.
//!
//! The options that were weighed are in `docs/dependencies.md`.

pub mod aggregator;
pub mod circuit_breaker;
pub mod concurrency_limiter;
mod error;
pub mod gate;
pub mod in_flight;
pub mod latency;
pub mod lease;
mod messages;
pub mod plan;
pub mod retry_budget;
pub mod send_window;
pub mod stale_cache;

pub use aggregator::Aggregator;
pub use error::InvariantViolation;
pub use lease::{LeasedQuota, SendTimestamp, RATE_WINDOW};
pub use messages::{
    Action, AggregationRequest, AggregationResult, CallId, CallResult, DependencyUsage, PartId,
    PartResult, PartSource, QuotaKind, Startup,
};
pub use plan::{Aggregation, Dependency, Fallback, PartSpec, Plan, Safeguards, RESERVE};
