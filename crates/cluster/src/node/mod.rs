//! The node: passes each input to the component that it concerns, and the effects of one component to the others.
//!
//! This module holds the state, the timers and the steps that run after every input; each child module covers one
//! component.

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
/// The driver passes inputs (timers, datagrams, messages, completed writes) with the current time, and carries out the
/// returned [`Output`]s in order. It calls [`handle_timer`](Self::handle_timer) no later than
/// [`next_timer`](Self::next_timer), which may change with every input.
///
/// # Example
///
/// A cluster of a single node, which holds the only replica: it bootstraps the replica, becomes the leader, and leases
/// the budget to itself. In this example writes are on disk at once.
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
///         expiry_grace: Time(0),
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
    /// The leases that this node holds.
    lease_holder: LeaseHolder,
    /// The replica that lease requests are sent to, as an index into `config.replicas`.
    request_target: usize,
    /// Since when a response of the request target is outstanding.
    unanswered_since: Option<Time>,
    /// The address from which each holder sent its last lease request; empty unless this node is the leader.
    requester_addresses: BTreeMap<Holder, SocketAddr>,
    /// The address from which each replica sent its last raft message.
    replica_addresses: BTreeMap<ReplicaId, SocketAddr>,
    /// The units of each budget as last reported by [`ClusterEvent::QuotaChanged`].
    reported_quotas: BTreeMap<String, u32>,
    /// Whether a lease is in force, as last reported by [`ClusterEvent::LeaseChanged`].
    reported_lease_in_force: bool,
    /// The outputs of the current input so far.
    outputs: Vec<Output>,
}

impl ClusterNode {
    /// Creates a node. `persisted` is the stored state of its replica, if it holds one.
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
        let random_replica = config.seed as usize % config.replicas.len().max(1);
        Ok(ClusterNode {
            membership: new_membership(&config),
            lease_manager: LeaseManager::new(config.lease_config),
            lease_holder,
            replica_host,
            request_target: config
                .replica_index(&config.holder.name)
                .unwrap_or(random_replica),
            unanswered_since: None,
            requester_addresses: BTreeMap::new(),
            replica_addresses: BTreeMap::new(),
            reported_quotas: BTreeMap::new(),
            reported_lease_in_force: false,
            outputs: Vec::new(),
            config,
        })
    }

    /// Replaces the configured replicas and budgets, after the operator's file was reloaded.
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

    /// Records what this node uses and needs of a budget. The next [`handle_timer`](Self::handle_timer) acts on it and
    /// returns the outputs.
    pub fn record_usage(&mut self, budget: &str, usage: Usage) {
        self.lease_holder.record_usage(budget, usage);
    }

    /// Announces to other members that this node is leaving, and reports that it needs no more quota, so that the
    /// leader lowers its quotas, usually not to 0. The rest is reclaimed after the process has ended or its lease has
    /// expired.
    pub fn start_draining(&mut self, now: Time) -> Vec<Output> {
        self.lease_holder.start_draining();
        let effects = self.membership.announce_leaving(now);
        self.apply_membership_effects(effects);
        self.finish_input(now)
    }

    /// The time at which [`handle_timer`](Self::handle_timer) must be called at the latest.
    pub fn next_timer(&self) -> Time {
        let replica_tick = self
            .replica_host
            .as_ref()
            .map_or(Time::MAX, ReplicaHost::next_tick);
        let lease_expiry = if self.reported_lease_in_force {
            self.lease_holder.latest_lease_expiry()
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

    /// Runs all timers that are due at `now`. May be called at any time.
    pub fn handle_timer(&mut self, now: Time) -> Vec<Output> {
        if now >= self.membership.next_timer() {
            let effects = self.membership.handle_timer(now);
            self.apply_membership_effects(effects);
        }
        self.tick_replica(now);
        self.finish_input(now)
    }

    /// Handles the completion of a write: the operation with this number and all before it are on disk.
    pub fn handle_stored(&mut self, now: Time, number: u64) -> Vec<Output> {
        if let Some(host) = &mut self.replica_host {
            let effects = host.handle_stored(number);
            self.apply_replica_effects(now, effects);
        }
        self.finish_input(now)
    }

    /// Handles a failed write: the replica no longer takes part in consensus.
    pub fn handle_storage_failure(&mut self, now: Time) -> Vec<Output> {
        if let Some(host) = &mut self.replica_host {
            let effects = host.replica.mark_failed();
            self.apply_replica_effects(now, effects);
        }
        self.finish_input(now)
    }

    /// The number of units of a budget that this node may have in use now.
    pub fn available_quota(&self, now: Time, budget: &str) -> u32 {
        self.lease_holder.available(now, budget)
    }

    /// The time on this node's clock until which [`available_quota`](Self::available_quota) may be used.
    pub fn quota_valid_until(&self, budget: &str) -> Time {
        self.lease_holder.valid_until(budget)
    }

    /// The leases that this node holds, for inspection.
    pub fn lease_holder(&self) -> &LeaseHolder {
        &self.lease_holder
    }

    /// This replica's copy of the quota table; `None` unless this node holds an initialized replica.
    pub fn quota_table(&self) -> Option<&QuotaTable> {
        self.replica_host
            .as_ref()
            .filter(|host| host.replica.is_initialized())
            .map(ReplicaHost::quota_table)
    }

    /// Quota that is quarantined because its holder stopped sending requests; empty unless this node is the leader.
    pub fn quarantined(&self, now: Time) -> Vec<QuarantinedQuota> {
        self.quota_table().map_or(Vec::new(), |table| {
            self.lease_manager.quarantined(now, table)
        })
    }

    /// Names of the configured budgets.
    pub fn budget_names(&self) -> impl Iterator<Item = &String> {
        self.config.budgets.iter().map(|spec| &spec.name)
    }

    /// The target allocation of a budget: name and units of each live member. Empty unless this node is the leader.
    pub fn targets(&self, budget: &str) -> Vec<(String, u32)> {
        self.lease_manager.targets(budget)
    }

    /// Whether this node is the leader of the replicas, and so grants leases.
    pub fn is_leader(&self) -> bool {
        self.lease_manager.is_leader()
    }

    /// Ids of the voting replicas, as far as this node knows; empty unless it holds a replica.
    pub fn voters(&self) -> Vec<ReplicaId> {
        self.replica_host
            .as_ref()
            .map_or(Vec::new(), |host| host.replica.voters())
    }

    /// Runs the steps that any input can make due, and returns all outputs of the input.
    fn finish_input(&mut self, now: Time) -> Vec<Output> {
        self.run_lease_manager(now);
        self.send_lease_request_if_due(now);
        // If this node is the leader, its own request goes to its own lease manager and may need a read index.
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
