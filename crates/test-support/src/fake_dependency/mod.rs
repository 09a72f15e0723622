//! A fake dependency of pages: an HTTP/1.1 service that slows down above its concurrency limit and fails as a test sets
//! it to. It counts calls in flight, including those whose callers disconnected.

mod config;
mod connection;
mod counting;
mod server;

pub use config::{CallCounts, FakeDependencyConfig, Fault};
pub use server::FakeDependency;
