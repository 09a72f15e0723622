//! Basic types that other packages share: points in time and durations, the ids of requests, handlers, tenants and
//! callers, whether a handler may run twice, and sums over a sliding window. No I/O, no clock, no decisions.

mod ids;
mod sliding_window;
mod time;

pub use ids::{CallerId, HandlerId, Idempotency, RequestId, TenantId};
pub use sliding_window::SlidingWindow;
pub use time::{Time, SECOND};
