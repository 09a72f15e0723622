//! Deterministic simulation of many cluster members: messages, clocks, disks and crashes from one seed.
//!
//! It plays what [`cottondyke_cluster::ClusterNode`] decides, counts units of a budget where they are used, and holds
//! their sum against the budget's total after every step. The same seed plays the same run, so a failure is replayed
//! by its seed.

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
