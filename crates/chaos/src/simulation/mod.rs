//! Deterministic simulation of many cluster members: messages, clocks, disks and crashes from one seed.
//!
//! It carries out the outputs of each [`cottondyke_cluster::ClusterNode`], counts the units of a budget that are in
//! use, and checks after every event that their sum does not exceed the budget's total. The same seed reproduces the
//! same run, so a failure is reproduced by its seed.

mod checks;
mod cluster;
mod config;
mod event;
mod faults;
mod network;
mod node;
mod scale;
mod state;

pub use checks::SimulationError;
pub use cluster::ClusterSimulation;
pub use config::{EventLog, SimulationConfig, SimulationResult};
pub use scale::{measure_scale, ScaleMeasurement, MAX_DETECTION_SECONDS, MAX_REALLOCATION_SECONDS};
