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
    /// How many rules fired.
    pub rules_fired: usize,
}
