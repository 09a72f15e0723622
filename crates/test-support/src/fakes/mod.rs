//! The other ends of the server's protocols, as small as they can be: a sidecar, an engine, an HTTP service.
//!
//! They block, one connection each, and wait no longer than [`IO_TIMEOUT`] for anything.

mod connection;
mod fake_engine;
mod fake_service;
mod fake_sidecar;

pub use connection::{accept, unix_ms, IO_TIMEOUT};
pub use fake_engine::{EngineCommand, FakeEngine};
pub use fake_service::{FakeService, ReceivedRequest};
pub use fake_sidecar::{frame, payload, FakeSidecar, ReceivedFrame};
