//! What a node is configured with.

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
    /// Name and incarnation of this node, under which it leases quota and appears in the member list.
    pub holder: Holder,
    /// An earlier incarnation of this name whose process is known to have ended, so that its quota need not be
    /// waited for.
    pub previous_incarnation: Option<u64>,
    /// The failure domain that this node runs in.
    pub zone: String,
    /// The address that other nodes reach this one at, for datagrams and for messages.
    pub addr: SocketAddr,
    /// The interval at which the failure detector probes another member.
    pub probe_interval: Time,
    /// Whether an unresponsive member is suspected, and may refute it, before it is declared dead. Off in fault
    /// experiments alone.
    pub suspicion_enabled: bool,
    /// Names and addresses of the replicas that hold the quota table. Must be the same on every node.
    pub replicas: BTreeMap<String, SocketAddr>,
    /// The budgets that are divided among all nodes.
    pub budgets: Vec<BudgetSpec>,
    /// Durations of leases. Must be the same on every node.
    pub lease_config: LeaseConfig,
    /// Seed of all pseudo-random choices: the same seed and inputs give the same outputs.
    pub seed: u64,
}

impl NodeConfig {
    /// Names of the replicas, in their order.
    pub(crate) fn replica_names(&self) -> Vec<String> {
        self.replicas.keys().cloned().collect()
    }

    /// The place of a replica in the order of names.
    pub(crate) fn replica_index(&self, name: &str) -> Option<usize> {
        self.replicas.keys().position(|replica| replica == name)
    }
}
