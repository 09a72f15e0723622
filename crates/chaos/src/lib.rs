//! Chaos experiments for cottondyke: faults drawn from a seed, and checks of the guarantees that must hold under them.
//!
//! [`experiments`] starts real server processes with fake clients and dependencies on the loopback interface;
//! [`simulation`] runs the deterministic cores of many cluster members in simulated time. Both produce a
//! [`report::Report`], which the binary `cottondyke-chaos` prints as one line of JSON.

pub mod error;
pub mod experiments;
pub mod helper;
mod load;
pub mod options;
mod process;
pub mod report;
mod run_directory;
pub mod simulation;
