//! Composes one response from the responses of several services, with fallbacks. The package does no I/O and has no
//! clock or randomness of its own: the time and a seed are arguments, inputs are method calls on [`Aggregator`], and
//! outputs are [`Action`]s that a driver carries out.
//!
//! An aggregation has parts. Each part calls its dependency within a time budget and, if that yields no response, tries
//! its fallbacks in order. All calls to a dependency pass through its [`gate::DependencyGate`], which holds an adaptive
//! concurrency limit, a circuit breaker, latency statistics, and the retry budget that hedges and retries draw on.
//!
//! The alternatives that were considered are described in `docs/dependencies.md`.

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
pub use plan::{
    Aggregation, Dependency, Fallback, PartSpec, Plan, Safeguards, RESPONSE_TIME_RESERVE,
};
