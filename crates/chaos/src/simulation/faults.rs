//! Faults of a simulated cluster: partitions, paused and killed processes, lost disks.
use super::config::{MILLISECOND, SECOND};
use super::event::Event;
use super::network::Link;
use super::node::SimulatedNode;
use super::state::ClusterState;
use cottondyke_cluster::ClusterNode;
use cottondyke_consensus::{PersistedState, ReplicaId};

/// When the first fault is injected.
pub(super) const FIRST_FAULT: i64 = 4 * SECOND;
/// The fraction of killed members that lose the record of their incarnation and, if they are replicas, their disk.
const DISK_LOSS_PROBABILITY: f64 = 0.3;
/// The fraction of killed members, other than replicas, that are restarted.
const RESTART_PROBABILITY: f64 = 0.8;

/// Injects one random fault and schedules the next, until faults end.
pub(super) fn inject_fault(state: &mut ClusterState) {
    if state.now >= state.config.faults_until {
        return;
    }
    state.result.faults += 1;
    let index = state.random.usize(0..state.nodes.len());
    let kind = state.random.u8(0..10);
    state.log(|| format!("fault of kind {kind} at {}", state.nodes[index].name));
    let node = &state.nodes[index];
    match kind {
        0..=3 => partition(state, index),
        4..=6 if node.is_up() && !node.is_paused => pause(state, index),
        _ if node.is_up() => kill(state, index),
        _ => {}
    }
    let next = state.now + state.random.i64(200 * MILLISECOND..3 * SECOND);
    state.schedule(next, Event::Fault);
}

/// Partitions a member from some of the others, in one direction or in both.
fn partition(state: &mut ClusterState, index: usize) {
    let directions = 1 + usize::from(state.random.bool());
    let end = state.now + state.random.i64(SECOND..10 * SECOND);
    let until = end.min(state.config.faults_until);
    let fraction = state.random.f64();
    for other in 0..state.nodes.len() {
        if state.random.f64() >= fraction {
            continue;
        }
        let outbound = Link {
            from: index,
            to: other,
        };
        let inbound = Link {
            from: other,
            to: index,
        };
        for link in [outbound, inbound].into_iter().take(directions) {
            state.network.partition(link);
            state.schedule(until, Event::Heal { link });
        }
    }
}

/// Suspends a process, sometimes after it checked its quota for a call and before it sent the call.
fn pause(state: &mut ClusterState, index: usize) {
    let node = &state.nodes[index];
    let incarnation = node.incarnation;
    let has_free_quota = node.available_quota(state.now) > node.calls_in_flight.len() as u32;
    let starts_call_on_resume = has_free_quota && state.random.bool();
    let node = &mut state.nodes[index];
    node.is_paused = true;
    node.starts_call_on_resume = starts_call_on_resume;
    let end = state.now + state.random.i64(100 * MILLISECOND..20 * SECOND);
    let resume = Event::Resume {
        node: index,
        incarnation,
    };
    state.schedule(end.min(state.config.faults_until), resume);
}

/// Kills a process, sometimes with the loss of its disk, and schedules its restart.
fn kill(state: &mut ClusterState, index: usize) {
    // A random number of the pending writes reached the disk, oldest first.
    let pending = state.nodes[index].pending_writes.len();
    let written = state.random.usize(0..=pending);
    let node = &mut state.nodes[index];
    for write in node.pending_writes.drain(..).take(written) {
        if let Some(disk) = &mut node.disk {
            disk.apply(write);
        }
    }
    node.instance = None;
    node.previous_incarnation = Some(node.incarnation);
    state.log(|| format!("{} is killed", state.nodes[index].name));
    let is_replica = state.nodes[index].disk.is_some();
    if state.random.f64() < DISK_LOSS_PROBABILITY {
        state.nodes[index].previous_incarnation = None;
        if is_replica && may_lose_disk(state, index) {
            let id = ReplicaId(state.random.u64(1..));
            state.nodes[index].disk = Some(PersistedState::new(id));
        }
    }
    let end = state.now + state.random.i64(50 * MILLISECOND..8 * SECOND);
    // Replicas are always restarted, other members not always.
    if is_replica || state.random.f64() < RESTART_PROBABILITY {
        let restart = Event::Restart { node: index };
        state.schedule(end.min(state.config.faults_until), restart);
    }
}

/// Whether a majority of the voters keep their disks if this member loses its own. Consensus gives no guarantee after
/// the loss of more disks.
fn may_lose_disk(state: &ClusterState, index: usize) -> bool {
    let leader = state
        .nodes
        .iter()
        .filter(|node| !node.is_paused)
        .filter_map(|node| node.instance.as_ref())
        .find(|instance| instance.is_leader());
    let Some(voters) = leader.map(ClusterNode::voters) else {
        return false;
    };
    let written_disk = |node: &SimulatedNode| {
        node.disk
            .as_ref()
            .filter(|disk| disk.snapshot.is_some())
            .map(|disk| disk.id)
    };
    let others = state
        .nodes
        .iter()
        .enumerate()
        .filter(|(other, _)| *other != index);
    let remaining = others
        .filter_map(|(_, node)| written_disk(node))
        .filter(|id| voters.contains(id))
        .count();
    remaining > voters.len() / 2
}
