//! The configuration of a node.

use cottondyke_quota::{BudgetSpec, Holder, LeaseConfig};
use cottondyke_types::Time;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The configuration of one [`ClusterNode`](crate::ClusterNode).
///
/// Replicas and budgets may change while the node runs
/// ([`ClusterNode::reconfigure`](crate::ClusterNode::reconfigure)); everything else is fixed at its start.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// Name and incarnation of this node: its identity as a lease holder and in the member list.
    pub holder: Holder,
    /// An earlier incarnation of this name whose process is known to have ended, so that its quota can be reclaimed
    /// without waiting for its lease to expire.
    pub previous_incarnation: Option<u64>,
    /// The failure domain that this node runs in.
    pub zone: String,
    /// The address at which other nodes reach this one, for datagrams and for messages.
    pub addr: SocketAddr,
    /// The interval at which the failure detector probes another member.
    pub probe_interval: Time,
    /// Whether an unresponsive member is suspected, and may refute it, before it is declared dead. Off only in fault
    /// experiments.
    pub suspicion_enabled: bool,
    /// Names and addresses of the replicas that hold the quota table. Must be the same on every node.
    pub replicas: BTreeMap<String, SocketAddr>,
    /// The budgets whose units are divided among all nodes.
    pub budgets: Vec<BudgetSpec>,
    /// Durations and safeguards of the lease protocol. Must be the same on every node.
    pub lease_config: LeaseConfig,
    /// Seed of all pseudo-random choices: the same seed and inputs give the same outputs.
    pub seed: u64,
}

impl NodeConfig {
    /// Names of the replicas, in ascending order.
    pub(crate) fn replica_names(&self) -> Vec<String> {
        self.replicas.keys().cloned().collect()
    }

    /// The index of a replica in [`replica_names`](Self::replica_names).
    pub(crate) fn replica_index(&self, name: &str) -> Option<usize> {
        self.replicas.keys().position(|replica| replica == name)
    }
}
