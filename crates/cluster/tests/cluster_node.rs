//! Tests of a node through its public interface: two nodes, the first of which holds the only replica, without faults.

use cottondyke_cluster::{ClusterEvent, ClusterNode, Message, NodeConfig, Output};
use cottondyke_consensus::{PersistedState, ReplicaId};
use cottondyke_quota::{BudgetSpec, Holder, LeaseConfig, Safeguards, Usage};
use cottondyke_types::{Time, SECOND};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

const BUDGET: &str = "db";
const BUDGET_UNITS: u32 = 10;

fn addr(name: &str) -> SocketAddr {
    let host = if name == "a" { 1 } else { 2 };
    ([10, 0, 0, host], 7000).into()
}

fn config(name: &str) -> NodeConfig {
    NodeConfig {
        holder: Holder {
            name: name.into(),
            incarnation: 1,
        },
        previous_incarnation: None,
        zone: "z".into(),
        addr: addr(name),
        probe_interval: SECOND,
        suspicion_enabled: true,
        replicas: BTreeMap::from([("a".to_string(), addr("a"))]),
        budgets: vec![BudgetSpec {
            name: BUDGET.into(),
            units: BUDGET_UNITS,
            expiry_grace: Time(0),
        }],
        lease_config: LeaseConfig {
            lease_duration: Time(20_000),
            max_process_pause: Time(0),
            safeguards: Safeguards::default(),
        },
        seed: 1,
    }
}

/// Node "a" with its replica's storage empty.
fn replica_node() -> ClusterNode {
    let storage = PersistedState::new(ReplicaId(1));
    ClusterNode::new(config("a"), Some(&storage)).unwrap()
}

/// Node "b", without a replica.
fn member_node() -> ClusterNode {
    ClusterNode::new(config("b"), None).unwrap()
}

/// Nodes whose messages arrive without delay or loss, and whose writes are on disk at once.
struct Cluster {
    now: Time,
    nodes: BTreeMap<SocketAddr, ClusterNode>,
    events: Vec<(SocketAddr, ClusterEvent)>,
}

impl Cluster {
    fn new(nodes: Vec<(&str, ClusterNode)>) -> Self {
        Cluster {
            now: Time(0),
            nodes: nodes
                .into_iter()
                .map(|(name, node)| (addr(name), node))
                .collect(),
            events: Vec::new(),
        }
    }

    fn node(&mut self, name: &str) -> &mut ClusterNode {
        self.nodes.get_mut(&addr(name)).unwrap()
    }

    fn run(&mut self, duration: Time) {
        let end = self.now + duration;
        while self.now < end {
            for node_addr in self.nodes.keys().copied().collect::<Vec<_>>() {
                let outputs = self
                    .nodes
                    .get_mut(&node_addr)
                    .unwrap()
                    .handle_timer(self.now);
                self.carry_out(node_addr, outputs);
            }
            let next = self.nodes.values().map(ClusterNode::next_timer).min();
            self.now = next.unwrap().max(self.now + Time(1)).min(end);
        }
    }

    fn carry_out(&mut self, from: SocketAddr, outputs: Vec<Output>) {
        let now = self.now;
        let mut pending: VecDeque<(SocketAddr, Output)> =
            outputs.into_iter().map(|output| (from, output)).collect();
        while let Some((from, output)) = pending.pop_front() {
            let (receiver, outputs) = match output {
                Output::Store(operation) => {
                    let node = self.nodes.get_mut(&from).unwrap();
                    (from, node.handle_stored(now, operation.number))
                }
                Output::Send { to, bytes } => match self.nodes.get_mut(&to) {
                    Some(node) => (to, node.handle_message(now, from, &bytes)),
                    None => continue,
                },
                Output::Datagram { to, bytes } => match self.nodes.get_mut(&to) {
                    Some(node) => (to, node.handle_datagram(now, &bytes)),
                    None => continue,
                },
                Output::Notify(event) => {
                    self.events.push((from, event));
                    continue;
                }
            };
            pending.extend(outputs.into_iter().map(|output| (receiver, output)));
        }
    }

    fn events_of(&self, name: &str) -> Vec<&ClusterEvent> {
        self.events
            .iter()
            .filter(|(from, _)| *from == addr(name))
            .map(|(_, event)| event)
            .collect()
    }
}

fn record_need(node: &mut ClusterNode, needed: u32) {
    let usage = Usage {
        in_use: 0,
        needed,
        weight: 1.0,
    };
    node.record_usage(BUDGET, usage);
}

fn sent_messages(outputs: &[Output]) -> Vec<(SocketAddr, Message)> {
    outputs
        .iter()
        .filter_map(|output| match output {
            Output::Send { to, bytes } => Some((*to, Message::decode(bytes).unwrap())),
            _ => None,
        })
        .collect()
}

#[test]
fn reports_what_cannot_be_read_when_the_persisted_state_is_invalid() {
    let mut storage = PersistedState::new(ReplicaId(1));
    storage.hard_state = Some(vec![0xff]);

    let error = ClusterNode::new(config("a"), Some(&storage)).err().unwrap();

    let line = error.to_string();
    assert!(
        line.starts_with("the keeper's log cannot be read: "),
        "{line}"
    );
    assert!(!line.contains('\n'), "{line}");
}

#[test]
fn bootstraps_and_leads_when_it_holds_the_only_replica() {
    let mut cluster = Cluster::new(vec![("a", replica_node())]);

    cluster.run(Time(50_000));

    let events = cluster.events_of("a");
    let bootstrapped = ClusterEvent::Bootstrapped { replicas: 1 };
    let became_leader = ClusterEvent::LeadershipChanged { is_leader: true };
    assert_eq!(events.iter().filter(|e| ***e == bootstrapped).count(), 1);
    assert_eq!(events.iter().filter(|e| ***e == became_leader).count(), 1);
    let node = cluster.node("a");
    assert!(node.is_leader() && node.quota_table().is_some());
    assert_eq!(node.voters(), [ReplicaId(1)]);
}

#[test]
fn stays_inactive_until_its_initial_state_is_durable() {
    let mut node = replica_node();

    let outputs = node.handle_timer(Time(0));
    let is_store = |output: &Output| matches!(output, Output::Store(_));
    assert_eq!(outputs.iter().filter(|o| is_store(o)).count(), 1);

    for now in (0..100_000).step_by(500) {
        let outputs = node.handle_timer(Time(now));
        assert!(!outputs.iter().any(is_store), "stored again at {now}");
        assert!(!node.is_leader(), "led at {now}");
    }
}

#[test]
fn divides_the_budget_among_the_holders_when_all_need_it() {
    let mut cluster = Cluster::new(vec![("a", replica_node()), ("b", member_node())]);
    for name in ["a", "b"] {
        record_need(cluster.node(name), BUDGET_UNITS);
    }

    cluster.run(Time(150_000));

    let now = cluster.now;
    let quotas = ["a", "b"].map(|name| cluster.node(name).available_quota(now, BUDGET));
    assert_eq!(quotas, [BUDGET_UNITS / 2, BUDGET_UNITS / 2]);
    let status = cluster.node("b").status(now);
    assert_eq!(status.quotas, [(BUDGET.to_string(), BUDGET_UNITS / 2)]);
    assert!(!status.is_leader && !status.is_replica && status.leader.is_none());
}

#[test]
fn stops_using_the_budget_when_the_lease_expires_without_a_leader() {
    let mut cluster = Cluster::new(vec![("a", replica_node()), ("b", member_node())]);
    for name in ["a", "b"] {
        record_need(cluster.node(name), BUDGET_UNITS);
    }
    cluster.run(Time(150_000));
    let now = cluster.now;
    assert!(cluster.node("b").available_quota(now, BUDGET) > 0);

    cluster.nodes.remove(&addr("a"));
    cluster.run(Time(20_000));

    let now = cluster.now;
    assert_eq!(cluster.node("b").available_quota(now, BUDGET), 0);
    let expired = ClusterEvent::LeaseChanged { in_force: false };
    assert!(cluster.events_of("b").contains(&&expired));
}

#[test]
fn refuses_lease_requests_when_it_is_not_the_leader() {
    let mut requester = member_node();
    let requests = sent_messages(&requester.handle_timer(Time(0)));
    let [(to, request @ Message::LeaseRequest(_))] = &requests[..] else {
        panic!("{requests:?}");
    };
    assert_eq!(*to, addr("a"));

    // The replica has no state yet, so it is not the leader.
    let mut node = replica_node();
    let outputs = node.handle_message(Time(0), addr("b"), &request.encode());

    let messages = sent_messages(&outputs);
    assert!(messages.contains(&(addr("b"), Message::NotLeader(None))));
}

#[test]
fn ignores_messages_when_they_are_of_another_version() {
    let mut node = replica_node();
    let mut request = Message::StatusRequest.encode();
    let answered = node.handle_message(Time(0), addr("b"), &request);
    assert!(matches!(
        &sent_messages(&answered)[..],
        [(_, Message::Status(_))]
    ));

    request[0] += 1;
    let ignored = node.handle_message(Time(0), addr("b"), &request);

    assert!(sent_messages(&ignored).is_empty());
}

#[test]
fn reports_once_when_the_storage_of_its_replica_fails() {
    let mut cluster = Cluster::new(vec![("a", replica_node())]);
    cluster.run(Time(50_000));

    let now = cluster.now;
    let outputs = cluster.node("a").handle_storage_failure(now);
    cluster.carry_out(addr("a"), outputs);
    cluster.run(Time(50_000));

    let events = cluster.events_of("a");
    let failed = ClusterEvent::ReplicaFailed;
    assert_eq!(events.iter().filter(|e| ***e == failed).count(), 1);
    assert!(!cluster.node("a").is_leader());
}
