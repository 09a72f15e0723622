//! This instance among others, on sockets and a disk. What is decided is in `cottondyke_cluster`; here its outputs
//! become messages on links and storage operations, and its quotas reach the dependency gates. Without `peers(...)` in
//! the operator's file nothing of it exists.
mod data_dir;
mod demand;
pub mod error;
mod event_log;
mod links;
mod start;
pub mod status;

pub use start::{start, StartedCluster};

use crate::clock::Clock;
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

/// How often the usage of budgets is reported.
pub const USAGE_INTERVAL: Time = Time(200);
/// Reading datagrams pauses this long after an error.
const DATAGRAM_BACKOFF: Duration = Duration::from_millis(1);

/// Drives the cluster node: brings it what comes from sockets, disk and clock, and performs what it puts out.
pub struct ClusterDriver {
    node: RefCell<ClusterNode>,
    /// What the gates may use, by budget.
    leased: RefCell<BTreeMap<String, Rc<LeasedQuota>>>,
    demand: RefCell<DemandTracker>,
    clock: Clock,
    links: links::Links,
    datagrams: Async<UdpSocket>,
    storage: Option<StorageThread>,
    tasks: Rc<LocalExecutor<'static>>,
    /// As the file says at the start.
    peers: Peers,
    this: Weak<ClusterDriver>,
}

impl ClusterDriver {
    fn new(
        node: ClusterNode,
        peers: Peers,
        clock: Clock,
        datagrams: Async<UdpSocket>,
        storage: Option<StorageThread>,
        tasks: Rc<LocalExecutor<'static>>,
    ) -> Rc<Self> {
        Rc::new_cyclic(|this| ClusterDriver {
            this: this.clone(),
            node: RefCell::new(node),
            leased: RefCell::default(),
            demand: RefCell::default(),
            clock,
            links: links::Links::default(),
            datagrams,
            storage,
            tasks,
            peers,
        })
    }

    /// The quota of each dependency with a shared budget goes into the plan.
    pub fn attach_quotas(&self, plan: &mut Plan) {
        let now = self.clock.now();
        for spec in &mut plan.dependencies {
            let calls = self.quota_of(call_budget_name(&spec.name));
            let rate = self.quota_of(rate_budget_name(&spec.name));
            if let Some(spec) = Rc::get_mut(spec) {
                spec.leased_calls = calls;
                spec.leased_rate = rate;
            }
        }
        self.renew_quotas(now);
    }

    /// The quota of a budget, if it is shared.
    fn quota_of(&self, budget: String) -> Option<Rc<LeasedQuota>> {
        let node = self.node.borrow();
        let is_shared = node.budget_names().any(|name| *name == budget);
        is_shared.then(|| self.leased.borrow_mut().entry(budget).or_default().clone())
    }

    /// A run of this value starts that may call a dependency.
    pub fn record_start(&self, dependency: &str, value: f64) {
        self.demand.borrow_mut().record_start(dependency, value);
    }

    /// What is in use at this moment.
    pub fn record_usage(&self, now: Time, usages: &[DependencyUsage]) {
        for usage in usages {
            let (budget, usage) = self.demand.borrow_mut().record_usage(usage);
            self.node.borrow_mut().record_usage(&budget, usage);
        }
        self.step(|node| node.handle_timer(now));
    }

    /// The server drains: it needs nothing more.
    pub fn start_draining(&self, now: Time) {
        self.step(|node| node.start_draining(now));
    }

    /// The process ends.
    pub fn shut_down(&self) {
        let now = self.clock.now();
        self.step(|node| node.shut_down(now));
    }

    /// Another operator's file is in force.
    pub fn reconfigure(&self, now: Time, operator: &OperatorConfig) {
        let Some(peers) = &operator.peers else { return };
        let replicas = peers.replicas.iter().cloned().collect();
        self.links
            .retain(peers.replicas.iter().map(|(_, addr)| *addr));
        self.step(|node| node.reconfigure(now, replicas, operator.shared_budgets()));
    }

    /// Whether the file's `peers` differ in what cannot change while the program runs: all but the replicas.
    pub fn is_fixed_part_changed(&self, new: &Peers) -> bool {
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

    /// For the tasks of its links.
    fn shared(&self) -> Option<Rc<ClusterDriver>> {
        self.this.upgrade()
    }

    fn is_own_replica(&self, addr: SocketAddr) -> bool {
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
            match self.datagrams.recv_from(&mut bytes).await {
                Ok((count, _)) => {
                    let now = self.clock.now();
                    self.step(|node| node.handle_datagram(now, &bytes[..count]));
                }
                // What a peer that is not there sends back.
                Err(error) => {
                    tracing::debug!(%error, "cannot read a datagram");
                    Timer::after(DATAGRAM_BACKOFF).await;
                }
            }
        }
    }

    async fn follow_storage(self: Rc<Self>, stored: Receiver<StorageResult>) {
        while let Ok(result) = stored.recv().await {
            let now = self.clock.now();
            match result {
                Ok(number) => self.step(|node| node.handle_stored(now, number)),
                Err(error) => {
                    tracing::error!(%error, "replica storage failed; the replica takes no further part");
                    self.step(|node| node.handle_storage_failure(now));
                }
            }
        }
    }

    /// One input to the node, its outputs performed in their order, and what the gates may use now.
    fn step(&self, input: impl FnOnce(&mut ClusterNode) -> Vec<Output>) {
        let outputs = input(&mut self.node.borrow_mut());
        for output in outputs {
            match output {
                Output::Send { to, bytes } => self.links.send(self, to, &bytes),
                // One that cannot go out at once is lost, as any may be on its way.
                Output::Datagram { to, bytes } => {
                    let _ = self.datagrams.get_ref().send_to(&bytes, to);
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
        for (name, leased) in self.leased.borrow().iter() {
            let quota = node.available_quota(now, name) as usize;
            leased.renew(now, quota, node.quota_valid_until(name));
        }
    }
}
