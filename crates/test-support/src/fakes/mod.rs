//! Minimal fakes of the systems around the server: a sidecar, an engine and an HTTP service.
//!
//! Each has one connection, and blocks for at most [`IO_TIMEOUT`] per wait.

mod connection;
mod fake_engine;
mod fake_service;
mod fake_sidecar;

pub use connection::{accept, unix_ms, IO_TIMEOUT};
pub use fake_engine::{EngineCommand, FakeEngine};
pub use fake_service::{FakeService, ReceivedRequest};
pub use fake_sidecar::{encode_frame, encode_payload, FakeSidecar, ReceivedFrame};
