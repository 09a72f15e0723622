//! Chaos experiments of cottondyke: faults drawn from a seed, with checks on what was promised under them.
//!
//! [`experiments`] run the real program as processes among fake peers on loopback; [`simulation`] plays the cores of
//! many cluster members in simulated time. Both come to a [`report::Report`], which the program `cottondyke-chaos`
//! prints as one line of JSON.

pub mod error;
pub mod experiments;
mod load;
pub mod options;
mod process;
pub mod report;
pub mod simulation;
