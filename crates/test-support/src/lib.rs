//! Fakes of the systems around the server, on loopback: sidecar, engine, HTTP service, dependency, and faulty links
//! between them.
//!
//! Tests, chaos experiments and the demo platform share them. A test or a seeded schedule sets the faults of the fakes
//! and reads what they recorded.

pub mod fake_dependency;
pub mod fake_machine;
pub mod fakes;
pub mod faulty_link;
mod threads;
