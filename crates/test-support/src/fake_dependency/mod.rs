//! A dependency of pages: an HTTP/1.1 service with a limited concurrency, which slows down past it and fails as a
//! test tells it to. It counts calls in flight, also those whose callers went away.

mod config;
mod connection;
mod counting;
mod server;

pub use config::{CallCounts, FakeDependencyConfig, Fault};
pub use server::FakeDependency;
