//! A fleet of server processes: either with a shared budget and faulty links between its members, or with fixed quotas.
use super::operator_file::{operator_text, DependencyAddresses, POST_CANCEL_GRACE};
use super::operator_file::{CEILING, CLIENT_TIMEOUT};
use super::schedule::{
    Fault, FaultEvent, MessageDirection, WindowBoundary, LATE_DELIVERY_DELAY, LATE_NODE, NODES,
    NODE_NAMES, REPLICAS, ZONES,
};
use crate::error::Error;
use crate::load::{LoadConfig, LoadGenerator};
use crate::options::Options;
use crate::process::NodeProcess;
use crate::run_directory;
use cottondyke_test_support::fake_dependency::{FakeDependency, FakeDependencyConfig};
use cottondyke_test_support::faulty_link::{FaultyLink, LinkState};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::{Duration, Instant};

const DEPENDENCY_LATENCY: Duration = Duration::from_millis(60);
/// Higher than the number of calls ever in flight at a dependency without a shared ceiling, so it never slows down.
const NO_CONCURRENCY_LIMIT: u64 = 1_000;
/// Assumed duration of an outage that has not ended yet.
const FAR_FUTURE: Duration = Duration::from_secs(3_600);
/// How long a node may need after an outage before it answers in time.
const RECOVERY_MARGIN: Duration = Duration::from_millis(50);

/// How a fleet allocates the ceiling of a dependency to its instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum QuotaAllocation {
    /// Leased from the registry, by demand.
    Leased,
    /// A fixed quota, the same for each instance.
    Fixed,
}

/// A link from a node to a replica, by their indices.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct LinkId {
    from: usize,
    to: usize,
}

/// An interval in which a node was down or paused.
struct Outage {
    node: usize,
    start: Instant,
    end: Instant,
}

pub(super) struct Fleet {
    allocation: QuotaAllocation,
    disabled: Vec<String>,
    nodes: Vec<Option<NodeProcess>>,
    links: BTreeMap<LinkId, FaultyLink>,
    data_dirs: Vec<PathBuf>,
    /// Dependency whose concurrency ceiling the instances share.
    pub(super) shared: FakeDependency,
    /// Dependency for which each instance has its own ceiling.
    unshared: FakeDependency,
    /// Dependency whose rate limit the instances share.
    pub(super) metered: FakeDependency,
    outages: Vec<Outage>,
    verbose: bool,
}

impl Fleet {
    /// Starts all nodes.
    pub(super) fn start(
        allocation: QuotaAllocation,
        disabled: &[&str],
        options: &Options,
    ) -> Result<Self, Error> {
        let start_dependency = |number: u64, concurrency_limit| {
            FakeDependency::start(FakeDependencyConfig {
                mean_latency: DEPENDENCY_LATENCY,
                concurrency_limit,
                // Shorter than in the operator file, because the fake's own threads may have to wait for a core.
                post_cancel_duration: POST_CANCEL_GRACE.mul_f64(0.5),
                seed: options.seed.wrapping_mul(31).wrapping_add(number),
            })
        };
        let base_dir = run_directory::path()?.join("budgets");
        let mut fleet = Fleet {
            allocation,
            disabled: disabled.iter().map(ToString::to_string).collect(),
            nodes: Vec::new(),
            links: BTreeMap::new(),
            data_dirs: NODE_NAMES.map(|name| base_dir.join(name)).into(),
            shared: start_dependency(0, CEILING)?,
            unshared: start_dependency(1, NO_CONCURRENCY_LIMIT)?,
            metered: start_dependency(2, NO_CONCURRENCY_LIMIT)?,
            outages: Vec::new(),
            verbose: options.verbose,
        };
        if allocation == QuotaAllocation::Leased {
            fleet.start_links()?;
        }
        for index in 0..NODES {
            fleet.nodes.push(None);
            fleet.start_node(index)?;
        }
        Ok(fleet)
    }

    fn start_links(&mut self) -> Result<(), Error> {
        for from in 0..NODE_NAMES.len() {
            for to in 0..REPLICAS {
                self.links.insert(LinkId { from, to }, FaultyLink::start()?);
            }
        }
        Ok(())
    }

    fn start_node(&mut self, index: usize) -> Result<(), Error> {
        let is_leased = self.allocation == QuotaAllocation::Leased;
        let replica_addrs = (0..REPLICAS)
            .filter_map(|to| self.links.get(&LinkId { from: index, to }))
            .map(|link| link.addr);
        let addresses = DependencyAddresses {
            shared: self.shared.addr,
            unshared: self.unshared.addr,
            metered: self.metered.addr,
        };
        let text = operator_text(
            index,
            &replica_addrs.collect::<Vec<_>>(),
            &self.data_dirs[index],
            &addresses,
            if is_leased { &self.disabled } else { &[] },
        );
        let node = NodeProcess::start(&text, self.verbose && is_leased)?;
        if index < REPLICAS {
            for link in self.links_to(index) {
                link.set_target(node.peer_addr);
            }
        }
        self.nodes[index] = Some(node);
        Ok(())
    }

    fn links_to(&self, replica: usize) -> impl Iterator<Item = &FaultyLink> {
        self.links
            .iter()
            .filter(move |(id, _)| id.to == replica)
            .map(|(_, link)| link)
    }

    /// Returns the links from a node to others and from others to it.
    fn links_of_node(&self, node: usize) -> impl Iterator<Item = (&LinkId, &FaultyLink)> {
        self.links
            .iter()
            .filter(move |(id, _)| (id.from == node) != (id.to == node))
    }

    /// Returns whether a node reports itself as the leader. Only the schedule uses this, no check does.
    pub(super) fn is_leader(&self, index: usize) -> bool {
        self.nodes[index]
            .as_ref()
            .is_some_and(NodeProcess::is_leader)
    }

    /// Starts or ends a fault.
    pub(super) fn apply(&mut self, event: &FaultEvent) -> Result<(), Error> {
        match event.boundary {
            WindowBoundary::Start => {
                self.start_fault(event.window.node, event.window.fault);
                Ok(())
            }
            WindowBoundary::End => self.end_fault(event.window.node, event.window.fault),
        }
    }

    fn start_fault(&mut self, node: usize, fault: Fault) {
        let now = Instant::now();
        match fault {
            Fault::Partition => self.set_links_of_node(node, LinkState::Partitioned),
            Fault::OneWayPartition(direction) => self.partition_one_way(node, direction),
            Fault::Stall => self.set_links_of_node(node, LinkState::Stalled),
            Fault::Pause => {
                self.nodes[node].iter().for_each(NodeProcess::pause);
                self.record_outage_start(node, now);
            }
            Fault::Kill => {
                self.nodes[node] = None;
                self.record_outage_start(node, now);
            }
            Fault::DiskLoss => {
                self.nodes[node] = None;
                self.record_outage_start(node, now);
                if self.allocation == QuotaAllocation::Leased {
                    let _ = std::fs::remove_dir_all(&self.data_dirs[node]);
                }
            }
            Fault::Drain => {
                self.nodes[node].iter().for_each(NodeProcess::terminate);
                self.record_outage_start(node, now);
            }
        }
    }

    fn end_fault(&mut self, node: usize, fault: Fault) -> Result<(), Error> {
        match fault {
            Fault::Partition | Fault::OneWayPartition(_) | Fault::Stall => {
                self.set_links_of_node(node, LinkState::Open);
            }
            Fault::Pause => {
                let now = Instant::now();
                self.nodes[node].iter().for_each(NodeProcess::resume);
                self.record_outage_end(node, now);
            }
            Fault::Kill | Fault::DiskLoss | Fault::Drain => {
                self.start_node(node)?;
                self.record_outage_end(node, Instant::now());
            }
        }
        Ok(())
    }

    fn set_links_of_node(&self, node: usize, state: LinkState) {
        for (_, link) in self.links_of_node(node) {
            link.set_directions(state, state);
        }
    }

    fn partition_one_way(&self, node: usize, direction: MessageDirection) {
        let drops_from_node = direction == MessageDirection::FromNode;
        for (id, link) in self.links_of_node(node) {
            let is_client = id.from == node;
            if is_client == drops_from_node {
                link.set_directions(LinkState::Partitioned, LinkState::Open);
            } else {
                link.set_directions(LinkState::Open, LinkState::Partitioned);
            }
        }
    }

    fn record_outage_start(&mut self, node: usize, start: Instant) {
        self.outages.push(Outage {
            node,
            start,
            end: start + FAR_FUTURE,
        });
    }

    fn record_outage_end(&mut self, node: usize, end: Instant) {
        let mut outages = self.outages.iter_mut().rev();
        if let Some(last) = outages.find(|outage| outage.node == node) {
            last.end = end;
        }
    }

    /// Returns whether a node was available from before a request was due until the client timeout.
    pub(super) fn was_available(&self, node: usize, due: Instant) -> bool {
        let deadline = due + CLIENT_TIMEOUT;
        !self.outages.iter().any(|outage| {
            outage.node == node && due < outage.end + RECOVERY_MARGIN && deadline > outage.start
        })
    }

    /// Partitions a zone from the other zones.
    pub(super) fn partition_zone(&self, zone: usize) {
        for (id, link) in &self.links {
            if (id.from % ZONES == zone) != (id.to % ZONES == zone) {
                link.set_directions(LinkState::Partitioned, LinkState::Partitioned);
            }
        }
    }

    /// Opens all links.
    pub(super) fn heal_links(&self) {
        for link in self.links.values() {
            link.set_directions(LinkState::Open, LinkState::Open);
        }
    }

    /// Delays the messages that the late node has sent, so that they arrive after later ones.
    pub(super) fn deliver_late(&self) {
        for (id, link) in &self.links {
            if id.from == LATE_NODE {
                link.deliver_late(LATE_DELIVERY_DELAY);
            }
        }
    }

    /// Starts load on a node; `None` while the node is down.
    pub(super) fn start_load(&self, index: usize, load: &LoadConfig) -> Option<LoadGenerator> {
        let node = self.nodes[index].as_ref()?;
        Some(LoadGenerator::start(node.addr, load))
    }

    /// Returns for how many seconds calls of the given nodes were in flight at the shared dependency, summed over all
    /// calls since it started.
    pub(super) fn in_flight_seconds(&self, is_counted: impl Fn(usize) -> bool) -> f64 {
        let node_of = |tag: &str| usize::from_str_radix(tag, 16).unwrap_or(usize::MAX);
        self.shared
            .counts()
            .in_flight_seconds
            .iter()
            .filter(|(tag, _)| is_counted(node_of(tag)))
            .map(|(_, seconds)| seconds)
            .sum()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.nodes.clear();
        if self.allocation == QuotaAllocation::Leased {
            for data_dir in &self.data_dirs {
                let _ = std::fs::remove_dir_all(data_dir);
            }
            let _ = self.data_dirs[0].parent().map(std::fs::remove_dir);
        }
    }
}
