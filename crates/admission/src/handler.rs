//! The settings of a handler.

use cottondyke_types::{Idempotency, Time};

/// A handler of the service: its targets, the value of its responses, and what its runs may do.
#[derive(Clone, Copy, Debug)]
pub struct Handler {
    /// Whether it may run twice for one request.
    pub idempotency: Idempotency,
    /// The time within which a response is wanted.
    pub response_target: Time,
    /// The response target grows by this multiple of the request's own cost.
    pub target_stretch: f64,
    /// The time after which the client stops waiting.
    pub client_timeout: Time,
    /// The value of a response within the target.
    pub value: f64,
    /// The fraction of the value that remains after the response target.
    pub late_value: f64,
    /// How long after a keyed request its duplicates may arrive.
    pub dedup_window: Time,
    /// Whether its runs may call a dependency.
    pub makes_calls: bool,
    /// The fraction of the value that remains when a call was skipped; 0 forbids skipping.
    pub skip_value: f64,
}
