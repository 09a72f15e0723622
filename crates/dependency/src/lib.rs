//! Pages composed from several dependencies, decided without I/O, clock or randomness of its own: time and seed
//! are arguments, inputs are method calls on `Aggregator`, outputs are `Action`s. `docs/dependencies.md` tells which
//! options were weighed.
//!
//! A page has parts; a part asks its dependency within a time budget and, where that brings nothing, takes its
//! fall-backs in their order. Between a part and a dependency stands the dependency's `DependencyGate`: an adaptive
//! concurrency limit, a circuit breaker, what was learned of its latency, and the retry budget from which hedges
//! and repeats are paid.

pub mod aggregator;
pub mod circuit_breaker;
pub mod concurrency_limiter;
mod error;
pub mod gate;
pub mod latency;
pub mod lease;
mod messages;
pub mod plan;
pub mod retry_budget;
pub mod stale_cache;

pub use aggregator::Aggregator;
pub use error::InvariantViolation;
pub use lease::{LeasedQuota, SendTimestamp, RATE_WINDOW};
pub use messages::{
    Action, AggregationRequest, AggregationResult, CallId, CallResult, DependencyUsage, PartId,
    PartResult, PartSource, Startup,
};
pub use plan::{Aggregation, Dependency, Fallback, PartSpec, Plan, Safeguards, RESERVE};
