//! Fake peers of the server on loopback: sidecar, engine, HTTP service, dependency, and faulty links between them.
//!
//! Tests, chaos experiments and the demo platform share them. Fakes count what crosses their sockets and fail as a
//! test or a seeded schedule tells them to.

pub mod fake_dependency;
pub mod fake_machine;
pub mod fakes;
pub mod faulty_link;
mod threads;
