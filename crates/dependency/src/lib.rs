//! Pages composed from several dependencies, decided without I/O, clock or randomness of its own: time and seed
//! are arguments, inputs are method calls on `Pages`, outputs are `Action`s. `docs/dependencies.md` tells which
//! options were weighed.
//!
//! A page has parts; a part asks its dependency within a time budget and, where that brings nothing, takes its
//! fall-backs in their order. Between a part and a dependency stands the dependency's `Gate`: an adaptive
//! concurrency limit, a circuit breaker, what was learned of its latency, and the retry budget from which hedges
//! and repeats are paid.
pub mod breaker;
pub mod gate;
pub mod kept;
pub mod latency;
pub mod limit;
pub mod pages;
pub mod plan;
pub mod retry;

pub use pages::{Action, Answer, CallId, Outcome, Pages, PartEnd, Start, State, Use};
pub use plan::{
    Defences, Dependency, Fallback, Lent, Page, Part, Plan, Stamp, RATE_WINDOW, RESERVE,
};
