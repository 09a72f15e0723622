//! Ids of requests and of those they belong to.

/// A request on this server, numbered as it is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestId(pub u32);

/// A handler, by its index in the list given at start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct HandlerId(pub usize);

/// A tenant, by its index in the list given at start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TenantId(pub usize);

/// Who sent a request: a sidecar, or a connection where sidecars do not say who they are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallerId(pub u64);

/// Whether a handler may run twice for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Running it again does no harm.
    Idempotent,
    /// Repeats carry the idempotency key of the first attempt, and only one of them may take effect.
    Keyed,
    /// It must never run again once it may have run.
    NonIdempotent,
}
