//! The cluster driver of this instance. `cottondyke_cluster` makes the decisions; this module does the I/O for it: it
//! sends the messages over links, applies the storage operations, and passes the quotas to the dependency gates. The
//! driver exists only if the operator's file declares `peers(...)`.
mod data_dir;
mod demand;
pub mod error;
mod event_log;
mod links;
mod start;
pub mod status;

pub use start::{start, StartedCluster};

use crate::clock::Clock;
use crate::socket_io;
use async_channel::Receiver;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use cottondyke_cluster::{ClusterNode, Output};
use cottondyke_dependency::{DependencyUsage, LeasedQuota, Plan};
use cottondyke_membership::MAX_DATAGRAM_BYTES;
use cottondyke_operator_config::{call_budget_name, rate_budget_name, OperatorConfig, Peers};
use cottondyke_types::Time;
use data_dir::{StorageResult, StorageThread};
use demand::DemandTracker;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::rc::{Rc, Weak};
use std::time::Duration;

/// The interval at which the usage of budgets is reported.
pub const USAGE_INTERVAL: Time = Time(200);
/// The pause after an error of receiving a datagram.
const DATAGRAM_BACKOFF: Duration = Duration::from_millis(1);

/// Drives the cluster node: passes it inputs from sockets, storage and clock, and carries out its outputs.
pub struct ClusterDriver {
    node: RefCell<ClusterNode>,
    /// The quotas that the dependency gates read, by name of the budget.
    leased_quotas: RefCell<BTreeMap<String, Rc<LeasedQuota>>>,
    demand: RefCell<DemandTracker>,
    clock: Clock,
    links: links::Links,
    udp_socket: Async<UdpSocket>,
    storage: Option<StorageThread>,
    tasks: Rc<LocalExecutor<'static>>,
    /// `peers(...)` of the operator's file at the start; not replaced on reload.
    peers: Peers,
    weak_self: Weak<ClusterDriver>,
}

impl ClusterDriver {
    fn new(
        node: ClusterNode,
        peers: Peers,
        clock: Clock,
        udp_socket: Async<UdpSocket>,
        storage: Option<StorageThread>,
        tasks: Rc<LocalExecutor<'static>>,
    ) -> Rc<Self> {
        Rc::new_cyclic(|weak_self| ClusterDriver {
            weak_self: weak_self.clone(),
            node: RefCell::new(node),
            leased_quotas: RefCell::default(),
            demand: RefCell::default(),
            clock,
            links: links::Links::default(),
            udp_socket,
            storage,
            tasks,
            peers,
        })
    }

    /// Sets the leased quotas of each dependency with a shared budget in the plan.
    pub fn attach_quotas(&self, plan: &mut Plan) {
        let now = self.clock.now();
        for spec in &mut plan.dependencies {
            let calls = self.leased_quota(call_budget_name(&spec.name));
            let rate = self.leased_quota(rate_budget_name(&spec.name));
            if let Some(spec) = Rc::get_mut(spec) {
                spec.leased_calls = calls;
                spec.leased_rate = rate;
            }
        }
        self.renew_quotas(now);
    }

    /// The leased quota of a budget, if the budget is shared.
    fn leased_quota(&self, budget: String) -> Option<Rc<LeasedQuota>> {
        let node = self.node.borrow();
        let is_shared = node.budget_names().any(|name| *name == budget);
        is_shared.then(|| {
            self.leased_quotas
                .borrow_mut()
                .entry(budget)
                .or_default()
                .clone()
        })
    }

    /// Records the start of a run that may call `dependency`; `value` is the value of its request.
    pub fn record_start(&self, dependency: &str, value: f64) {
        self.demand.borrow_mut().record_start(dependency, value);
    }

    /// Records the current usage of dependencies, and reports it to the node.
    pub fn record_usage(&self, now: Time, usages: &[DependencyUsage]) {
        for usage in usages {
            let (budget, usage) = self.demand.borrow_mut().record_usage(usage);
            self.node.borrow_mut().record_usage(&budget, usage);
        }
        self.step(|node| node.handle_timer(now));
    }

    /// Handles the start of draining: this instance announces that it is leaving and needs no more quota (see
    /// [`ClusterNode::start_draining`]).
    pub fn start_draining(&self, now: Time) {
        self.step(|node| node.start_draining(now));
    }

    /// Tells other members that the process is ending.
    pub fn shut_down(&self) {
        let now = self.clock.now();
        self.step(|node| node.shut_down(now));
    }

    /// Applies a reloaded operator's file: its replicas and shared budgets.
    pub fn reconfigure(&self, now: Time, operator: &OperatorConfig) {
        let Some(peers) = &operator.peers else { return };
        let replicas = peers.replicas.iter().cloned().collect();
        self.links
            .set_configured(peers.replicas.iter().map(|(_, addr)| *addr));
        self.step(|node| node.reconfigure(now, replicas, operator.shared_budgets()));
    }

    /// Whether `new` differs from the running `peers` in anything that takes a restart to change: all but the replicas.
    pub fn requires_restart(&self, new: &Peers) -> bool {
        let old = &self.peers;
        old.name != new.name
            || old.zone != new.zone
            || old.listen != new.listen
            || old.advertise != new.advertise
            || old.data_dir != new.data_dir
            || old.lease_duration != new.lease_duration
            || old.max_process_pause != new.max_process_pause
            || old.probe_interval != new.probe_interval
    }

    /// A shared pointer to this driver, for the tasks of its links.
    fn upgrade_self(&self) -> Option<Rc<ClusterDriver>> {
        self.weak_self.upgrade()
    }

    /// Whether the operator's file named a replica at this address at the start.
    fn is_initial_replica(&self, addr: SocketAddr) -> bool {
        let mut replicas = self.peers.replicas.iter();
        replicas.any(|(_, replica)| *replica == addr)
    }

    fn handle_message(&self, from: SocketAddr, message: &[u8]) {
        let now = self.clock.now();
        self.step(|node| node.handle_message(now, from, message));
    }

    async fn receive_datagrams(self: Rc<Self>) {
        let mut bytes = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            match socket_io::receive_datagram(&self.udp_socket, &mut bytes).await {
                Ok(count) => {
                    let now = self.clock.now();
                    self.step(|node| node.handle_datagram(now, &bytes[..count]));
                }
                // For example an ICMP error, if the receiver of an earlier datagram is not running.
                Err(error) => {
                    tracing::debug!(%error, "cannot receive a datagram");
                    Timer::after(DATAGRAM_BACKOFF).await;
                }
            }
        }
    }

    async fn handle_storage_results(self: Rc<Self>, results: Receiver<StorageResult>) {
        while let Ok(result) = results.recv().await {
            let now = self.clock.now();
            match result {
                Ok(number) => self.step(|node| node.handle_stored(now, number)),
                Err(error) => {
                    tracing::error!(%error, "replica storage failed; the replica no longer takes part in consensus");
                    self.step(|node| node.handle_storage_failure(now));
                }
            }
        }
    }

    /// Passes one input to the node, carries out its outputs in order, and updates the quotas of the gates.
    fn step(&self, input: impl FnOnce(&mut ClusterNode) -> Vec<Output>) {
        let outputs = input(&mut self.node.borrow_mut());
        for output in outputs {
            match output {
                Output::Send { to, bytes } => self.links.send(self, to, &bytes),
                // A datagram that cannot be sent at once is dropped: the protocol tolerates loss.
                Output::Datagram { to, bytes } => {
                    let _ = socket_io::send_datagram_now(&self.udp_socket, &bytes, to);
                }
                Output::Store(operation) => {
                    if let Some(storage) = &self.storage {
                        storage.submit(operation);
                    }
                }
                Output::Notify(event) => event_log::log(&event),
            }
        }
        self.renew_quotas(self.clock.now());
    }

    fn renew_quotas(&self, now: Time) {
        let node = self.node.borrow();
        for (name, leased_quota) in self.leased_quotas.borrow().iter() {
            let units = node.available_quota(now, name) as usize;
            leased_quota.renew(now, units, node.quota_valid_until(name));
        }
    }
}
