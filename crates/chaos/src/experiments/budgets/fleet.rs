//! One fleet of processes: with a shared budget, links between its members and faults of them, or with fixed quotas.
use super::operator_file::{operator_text, DependencyAddresses, POST_CANCEL_GRACE};
use super::operator_file::{CEILING, CLIENT_TIMEOUT};
use super::schedule::{
    Edge, Fault, FaultEvent, MessageDirection, LATE_DELIVERY_DELAY, LATE_NODE, NODES, NODE_NAMES,
    REPLICAS, ZONES,
};
use crate::error::Error;
use crate::load::{LoadConfig, LoadGenerator};
use crate::options::Options;
use crate::process::NodeProcess;
use cottondyke_test_support::fake_dependency::{FakeDependency, FakeDependencyConfig};
use cottondyke_test_support::faulty_link::{FaultyLink, LinkState};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::{Duration, Instant};

const DEPENDENCY_LATENCY: Duration = Duration::from_millis(60);
/// More than a dependency without a ceiling of its own ever has in flight.
const NO_CONCURRENCY_LIMIT: u64 = 1_000;
/// The end of an absence that has not ended.
const FAR_FUTURE: Duration = Duration::from_secs(3_600);
/// How long a node that is back may need before it answers in time.
const RETURN_MARGIN: Duration = Duration::from_millis(50);

/// How a fleet divides the ceiling of a dependency among its instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Division {
    /// Leased from the registry, by need.
    Leased,
    /// The same for each instance.
    Fixed,
}

/// A link from one node to a replica, by their indices.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct LinkId {
    from: usize,
    to: usize,
}

/// A time in which a node was down or paused.
struct Absence {
    node: usize,
    start: Instant,
    end: Instant,
}

pub(super) struct Fleet {
    division: Division,
    disabled: Vec<String>,
    nodes: Vec<Option<NodeProcess>>,
    links: BTreeMap<LinkId, FaultyLink>,
    data_dirs: Vec<PathBuf>,
    /// The dependency whose concurrency ceiling the instances share.
    pub(super) shared: FakeDependency,
    /// One that each instance has a ceiling of its own for.
    unshared: FakeDependency,
    /// One whose rate of calls the instances share.
    pub(super) metered: FakeDependency,
    absences: Vec<Absence>,
    verbose: bool,
}

impl Fleet {
    /// Starts all nodes.
    pub(super) fn start(
        division: Division,
        disabled: &[&str],
        options: &Options,
    ) -> Result<Self, Error> {
        let start_dependency = |number: u64, concurrency_limit| {
            FakeDependency::start(FakeDependencyConfig {
                mean_latency: DEPENDENCY_LATENCY,
                concurrency_limit,
                // Less than what the operator's file says: the fake's own threads may have to wait for a core.
                post_cancel_duration: POST_CANCEL_GRACE.mul_f64(0.5),
                seed: options.seed.wrapping_mul(31).wrapping_add(number),
            })
        };
        let base_name = format!("cottondyke-lab-{}-budgets", std::process::id());
        let base_dir = std::env::temp_dir().join(base_name);
        let mut fleet = Fleet {
            division,
            disabled: disabled.iter().map(ToString::to_string).collect(),
            nodes: Vec::new(),
            links: BTreeMap::new(),
            data_dirs: NODE_NAMES.map(|name| base_dir.join(name)).into(),
            shared: start_dependency(0, CEILING)?,
            unshared: start_dependency(1, NO_CONCURRENCY_LIMIT)?,
            metered: start_dependency(2, NO_CONCURRENCY_LIMIT)?,
            absences: Vec::new(),
            verbose: options.verbose,
        };
        if division == Division::Leased {
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
        let is_leased = self.division == Division::Leased;
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

    /// The links of a node to others and of others to it.
    fn links_around(&self, node: usize) -> impl Iterator<Item = (&LinkId, &FaultyLink)> {
        self.links
            .iter()
            .filter(move |(id, _)| (id.from == node) != (id.to == node))
    }

    /// Whether a node says that it is the leader; asked for the schedule alone, no check rests on it.
    pub(super) fn is_leader(&self, index: usize) -> bool {
        self.nodes[index]
            .as_ref()
            .is_some_and(NodeProcess::is_leader)
    }

    /// Starts or ends a fault.
    pub(super) fn apply(&mut self, event: &FaultEvent) -> Result<(), Error> {
        match event.edge {
            Edge::Start => {
                self.start_fault(event.window.node, event.window.fault);
                Ok(())
            }
            Edge::End => self.end_fault(event.window.node, event.window.fault),
        }
    }

    fn start_fault(&mut self, node: usize, fault: Fault) {
        let now = Instant::now();
        match fault {
            Fault::Partition => self.set_links_around(node, LinkState::Partitioned),
            Fault::OneWayPartition(direction) => self.partition_one_way(node, direction),
            Fault::Stall => self.set_links_around(node, LinkState::Stalled),
            Fault::Pause => {
                self.nodes[node].iter().for_each(NodeProcess::pause);
                self.record_absence(node, now);
            }
            Fault::Kill => {
                self.nodes[node] = None;
                self.record_absence(node, now);
            }
            Fault::DiskLoss => {
                self.nodes[node] = None;
                self.record_absence(node, now);
                if self.division == Division::Leased {
                    let _ = std::fs::remove_dir_all(&self.data_dirs[node]);
                }
            }
            Fault::Drain => {
                self.nodes[node].iter().for_each(NodeProcess::terminate);
                self.record_absence(node, now);
            }
        }
    }

    fn end_fault(&mut self, node: usize, fault: Fault) -> Result<(), Error> {
        match fault {
            Fault::Partition | Fault::OneWayPartition(_) | Fault::Stall => {
                self.set_links_around(node, LinkState::Open);
            }
            Fault::Pause => {
                let now = Instant::now();
                self.nodes[node].iter().for_each(NodeProcess::resume);
                self.record_return(node, now);
            }
            Fault::Kill | Fault::DiskLoss | Fault::Drain => {
                self.start_node(node)?;
                self.record_return(node, Instant::now());
            }
        }
        Ok(())
    }

    fn set_links_around(&self, node: usize, state: LinkState) {
        for (_, link) in self.links_around(node) {
            link.set_directions(state, state);
        }
    }

    fn partition_one_way(&self, node: usize, direction: MessageDirection) {
        let drops_from_node = direction == MessageDirection::FromNode;
        for (id, link) in self.links_around(node) {
            let is_client = id.from == node;
            if is_client == drops_from_node {
                link.set_directions(LinkState::Partitioned, LinkState::Open);
            } else {
                link.set_directions(LinkState::Open, LinkState::Partitioned);
            }
        }
    }

    fn record_absence(&mut self, node: usize, start: Instant) {
        self.absences.push(Absence {
            node,
            start,
            end: start + FAR_FUTURE,
        });
    }

    fn record_return(&mut self, node: usize, end: Instant) {
        let mut absences = self.absences.iter_mut().rev();
        if let Some(last) = absences.find(|absence| absence.node == node) {
            last.end = end;
        }
    }

    /// Whether a node was there from before a request was due until it had to be answered.
    pub(super) fn was_present(&self, node: usize, due: Instant) -> bool {
        let deadline = due + CLIENT_TIMEOUT;
        !self.absences.iter().any(|absence| {
            absence.node == node && due < absence.end + RETURN_MARGIN && deadline > absence.start
        })
    }

    /// Partitions a zone from the others.
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

    /// Delivers late what the late node has sent.
    pub(super) fn deliver_late(&self) {
        for (id, link) in &self.links {
            if id.from == LATE_NODE {
                link.deliver_late(LATE_DELIVERY_DELAY);
            }
        }
    }

    /// Starts load at a node; none while it is down.
    pub(super) fn start_load(&self, index: usize, load: &LoadConfig) -> Option<LoadGenerator> {
        let node = self.nodes[index].as_ref()?;
        Some(LoadGenerator::start(node.addr, load))
    }

    /// Seconds that calls of some nodes were in flight at the shared dependency, summed since it started.
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
        if self.division == Division::Leased {
            for data_dir in &self.data_dirs {
                let _ = std::fs::remove_dir_all(data_dir);
            }
            let _ = self.data_dirs[0].parent().map(std::fs::remove_dir);
        }
    }
}
