//! Ids of requests, handlers, tenants and callers, and the idempotency of handlers.

/// The id of a request on this server; requests are numbered in the order in which they are read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestId(pub u32);

/// The id of a handler: its index in the list of handlers in the start-up settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct HandlerId(pub usize);

/// The id of a tenant: its index in the list of tenants in the start-up settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TenantId(pub usize);

/// The id of the sender of a request: a sidecar, or a connection if sidecars do not identify themselves.
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
