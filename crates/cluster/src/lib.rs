//! One node of a cluster that shares budgets, as a sans-I/O core. A node is one instance of the server; a cluster is
//! the fleet of all instances that an operator's file describes.
//!
//! [`ClusterNode`] combines four sans-I/O components: the replica of the quota table (`cottondyke_consensus`, on the
//! few nodes that hold one), the lease manager (`cottondyke_quota`, on the node whose replica is the leader), the lease
//! holder (`cottondyke_quota`, on every node) and the membership (`cottondyke_membership`, on every node). Inputs go in
//! with the current time and [`Output`]s come out, so that the server's driver and the simulation run the same code.

mod config;
mod error;
mod event;
mod message;
mod node;
mod state_machine;
mod status;

pub use config::NodeConfig;
pub use error::NodeError;
pub use event::{ClusterEvent, Output};
pub use message::{Message, MAX_MESSAGE_BYTES};
pub use node::{ClusterNode, REPLICA_TICK};
pub use state_machine::QuotaStateMachine;
pub use status::{BudgetStatus, NodeStatus, QuarantineStatus, QuotaStatus};
