//! The node: which input goes to which core, and what the effects of one core mean for the others.
//!
//! This module holds the state, the timers and what follows from any input; its children hold what concerns one core
//! each.

mod leases;
mod membership;
mod replica;
mod replica_host;
mod routing;
mod status;

pub use replica_host::REPLICA_TICK;

use crate::config::NodeConfig;
use crate::error::NodeError;
use crate::event::{ClusterEvent, Output};
use cottondyke_consensus::{PersistedState, ReplicaId};
use cottondyke_membership::{Member, Membership, MembershipConfig};
use cottondyke_quota::{
    BudgetSpec, Holder, LeaseHolder, LeaseManager, QuarantinedQuota, QuotaTable, Usage,
};
use cottondyke_types::Time;
use replica_host::ReplicaHost;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// One node of a cluster, without I/O, clock or randomness of its own.
///
/// The driver passes inputs (timers, datagrams, messages, finished writes) with the current time, and carries out the
/// [`Output`]s that are returned, in their order. It calls [`handle_timer`](Self::handle_timer) no later than
/// [`next_timer`](Self::next_timer), which may change with every input.
///
/// # Example
///
/// A cluster of a single node, which holds the only replica: it bootstraps the replica, becomes the leader, and leases
/// the budget to itself. Writes are durable at once here.
///
/// ```
/// use cottondyke_cluster::{ClusterNode, NodeConfig, Output};
/// use cottondyke_consensus::{PersistedState, ReplicaId};
/// use cottondyke_quota::{BudgetSpec, Holder, LeaseConfig, Safeguards, Usage};
/// use cottondyke_types::{Time, SECOND};
/// use std::collections::{BTreeMap, VecDeque};
///
/// let addr = ([127, 0, 0, 1], 7000).into();
/// let config = NodeConfig {
///     holder: Holder { name: "a".into(), incarnation: 1 },
///     previous_incarnation: None,
///     zone: "z1".into(),
///     addr,
///     probe_interval: SECOND,
///     suspicion_enabled: true,
///     replicas: BTreeMap::from([("a".to_string(), addr)]),
///     budgets: vec![BudgetSpec {
///         name: "db".into(),
///         units: 10,
///         post_cancel_grace: Time(0),
///     }],
///     lease_config: LeaseConfig {
///         lease_duration: Time(20_000),
///         max_process_pause: Time(0),
///         safeguards: Safeguards::default(),
///     },
///     seed: 1,
/// };
/// let empty_storage = PersistedState::new(ReplicaId(1));
/// let mut node = ClusterNode::new(config, Some(&empty_storage))?;
/// node.record_usage("db", Usage { in_use: 0, needed: 10, weight: 1.0 });
///
/// let mut now = Time(0);
/// while now < Time(100_000) {
///     let mut outputs = VecDeque::from(node.handle_timer(now));
///     while let Some(output) = outputs.pop_front() {
///         if let Output::Store(operation) = output {
///             outputs.extend(node.handle_stored(now, operation.number));
///         }
///     }
///     now = node.next_timer().max(now + Time(1));
/// }
///
/// assert!(node.is_leader());
/// assert_eq!(node.available_quota(now, "db"), 10);
/// # Ok::<(), cottondyke_cluster::NodeError>(())
/// ```
pub struct ClusterNode {
    config: NodeConfig,
    /// The replica, if this node holds one.
    replica_host: Option<ReplicaHost>,
    membership: Membership,
    /// Grants leases while this node is the leader.
    lease_manager: LeaseManager,
    /// The leases of this node itself.
    lease_holder: LeaseHolder,
    /// The replica that lease requests are sent to, as an index into `config.replicas`.
    request_target: usize,
    /// Since when the request target owes a response.
    unanswered_since: Option<Time>,
    /// Addresses from which holders sent their last lease request, where this node is the leader.
    requester_addresses: BTreeMap<Holder, SocketAddr>,
    /// Addresses from which replicas sent their last raft message.
    replica_addresses: BTreeMap<ReplicaId, SocketAddr>,
    /// The units of each budget as last reported by [`ClusterEvent::QuotaChanged`].
    reported_quotas: BTreeMap<String, u32>,
    /// Whether a lease is in force, as last reported by [`ClusterEvent::LeaseChanged`].
    reported_lease_in_force: bool,
    /// What the current input led to so far.
    outputs: Vec<Output>,
}

impl ClusterNode {
    /// A node at its start. `persisted` is what the storage of its replica holds, if it holds one.
    ///
    /// # Errors
    ///
    /// If the replica cannot start from `persisted`.
    pub fn new(config: NodeConfig, persisted: Option<&PersistedState>) -> Result<Self, NodeError> {
        let replica_host = persisted
            .map(|persisted| ReplicaHost::open(&config.holder.name, persisted, config.seed))
            .transpose()?;
        let mut lease_holder = LeaseHolder::new(
            config.holder.clone(),
            config.previous_incarnation,
            config.lease_config,
        );
        lease_holder.set_budgets(config.budgets.iter().map(|spec| spec.name.clone()));
        let any_replica = config.seed as usize % config.replicas.len().max(1);
        Ok(ClusterNode {
            membership: new_membership(&config),
            lease_manager: LeaseManager::new(config.lease_config),
            lease_holder,
            replica_host,
            request_target: config
                .replica_index(&config.holder.name)
                .unwrap_or(any_replica),
            unanswered_since: None,
            requester_addresses: BTreeMap::new(),
            replica_addresses: BTreeMap::new(),
            reported_quotas: BTreeMap::new(),
            reported_lease_in_force: false,
            outputs: Vec::new(),
            config,
        })
    }

    /// Takes other replicas and budgets into use, as the operator's file was read again.
    pub fn reconfigure(
        &mut self,
        now: Time,
        replicas: BTreeMap<String, SocketAddr>,
        budgets: Vec<BudgetSpec>,
    ) -> Vec<Output> {
        self.lease_holder
            .set_budgets(budgets.iter().map(|spec| spec.name.clone()));
        self.membership
            .set_seeds(replicas.clone().into_iter().collect());
        self.config.replicas = replicas;
        self.config.budgets = budgets;
        self.request_target = 0;
        self.finish_input(now)
    }

    /// Records what this node uses and needs of a budget; the outputs come with the next
    /// [`handle_timer`](Self::handle_timer).
    pub fn record_usage(&mut self, budget: &str, usage: Usage) {
        self.lease_holder.record_usage(budget, usage);
    }

    /// Announces to other members that this node is leaving, and gives back its quota as it falls free.
    pub fn start_draining(&mut self, now: Time) -> Vec<Output> {
        self.lease_holder.release_all();
        let effects = self.membership.announce_leaving(now);
        self.apply_membership_effects(effects);
        self.finish_input(now)
    }

    /// The latest time at which [`handle_timer`](Self::handle_timer) is to be called.
    pub fn next_timer(&self) -> Time {
        let replica_tick = self
            .replica_host
            .as_ref()
            .map_or(Time::MAX, ReplicaHost::next_tick);
        let lease_expiry = if self.reported_lease_in_force {
            self.lease_holder.lease_end()
        } else {
            Time::MAX
        };
        let lease_manager_run = if self.lease_manager.is_leader() {
            self.lease_manager.next_run()
        } else {
            Time::MAX
        };
        replica_tick
            .min(self.lease_holder.next_timer())
            .min(lease_expiry)
            .min(self.response_deadline().unwrap_or(Time::MAX))
            .min(self.membership.next_timer())
            .min(lease_manager_run)
    }

    /// Does what is due. May be called at any time.
    pub fn handle_timer(&mut self, now: Time) -> Vec<Output> {
        if now >= self.membership.next_timer() {
            let effects = self.membership.handle_timer(now);
            self.apply_membership_effects(effects);
        }
        self.tick_replica(now);
        self.finish_input(now)
    }

    /// The write with this number, and all before it, are durable.
    pub fn handle_stored(&mut self, now: Time, number: u64) -> Vec<Output> {
        if let Some(host) = &mut self.replica_host {
            let effects = host.handle_stored(number);
            self.apply_replica_effects(now, effects);
        }
        self.finish_input(now)
    }

    /// A write failed: the replica takes no further part.
    pub fn handle_storage_failure(&mut self, now: Time) -> Vec<Output> {
        if let Some(host) = &mut self.replica_host {
            let effects = host.replica.mark_failed();
            self.apply_replica_effects(now, effects);
        }
        self.finish_input(now)
    }

    /// Units of a budget that this node may have in use now.
    pub fn available_quota(&self, now: Time, budget: &str) -> u32 {
        self.lease_holder.available(now, budget)
    }

    /// Until when, on this node's clock, the [`available_quota`](Self::available_quota) may be used.
    pub fn quota_valid_until(&self, budget: &str) -> Time {
        self.lease_holder.valid_until(budget)
    }

    /// The leases of this node.
    pub fn lease_holder(&self) -> &LeaseHolder {
        &self.lease_holder
    }

    /// The replicated quota table as far as this node knows it; `None` unless it holds an initialized replica.
    pub fn quota_table(&self) -> Option<&QuotaTable> {
        self.replica_host
            .as_ref()
            .filter(|host| host.replica.is_initialized())
            .map(ReplicaHost::quota_table)
    }

    /// Quota withheld because its holder is silent; empty unless this node is the leader.
    pub fn quarantined(&self, now: Time) -> Vec<QuarantinedQuota> {
        self.quota_table().map_or(Vec::new(), |table| {
            self.lease_manager.quarantined(now, table)
        })
    }

    /// Names of the configured budgets.
    pub fn budget_names(&self) -> impl Iterator<Item = &String> {
        self.config.budgets.iter().map(|spec| &spec.name)
    }

    /// The units of a budget that each live member should have: its name, units. Empty unless this node is the leader.
    pub fn targets(&self, budget: &str) -> Vec<(String, u32)> {
        self.lease_manager.targets(budget)
    }

    /// Whether this node leads the replicas and grants leases.
    pub fn is_leader(&self) -> bool {
        self.lease_manager.is_leader()
    }

    /// Ids of the replicas that vote, as far as this node knows; empty unless it holds a replica.
    pub fn voters(&self) -> Vec<ReplicaId> {
        self.replica_host
            .as_ref()
            .map_or(Vec::new(), |host| host.replica.voters())
    }

    /// Does what may follow from any input, and returns all outputs of the input.
    fn finish_input(&mut self, now: Time) -> Vec<Output> {
        self.run_lease_manager(now);
        self.send_lease_request_if_due(now);
        // A request of this node to itself may be the first that waits for a read index.
        self.run_lease_manager(now);
        self.report_lease_changes(now);
        self.report_replica_failure();
        self.take_outputs()
    }

    fn notify(&mut self, event: ClusterEvent) {
        self.outputs.push(Output::Notify(event));
    }

    fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }
}

fn new_membership(config: &NodeConfig) -> Membership {
    let identity = Member {
        name: config.holder.name.clone(),
        zone: config.zone.clone(),
        addr: config.addr,
        incarnation: config.holder.incarnation,
        version: 0,
        leaving: false,
    };
    Membership::new(
        identity,
        MembershipConfig {
            seeds: config.replicas.clone().into_iter().collect(),
            probe_period: config.probe_interval,
            suspicion_enabled: config.suspicion_enabled,
            random_seed: config.seed,
        },
    )
}
