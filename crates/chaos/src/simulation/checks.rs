//! Invariants of a simulated cluster: units in use never exceed the budget's total, and once faults have ended the
//! members agree on the cluster's state and quota is usable again.
use super::config::{SimulationResult, BUDGET, MILLISECOND, SECOND};
use super::state::ClusterState;
use cottondyke_cluster::ClusterNode;
use cottondyke_consensus::ReplicaId;
use cottondyke_membership::MemberState;
use cottondyke_quota::Holder;

/// The fraction of the unfenced units that must be usable at the end.
const MIN_USABLE_FRACTION: f64 = 0.9;

/// The first invariant that a run violated.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SimulationError {
    /// More units are in use, or usable without another message, than the budget has in total.
    #[error("{at_ms:.1} ms: {units} units are in use or usable, but the budget has {total_units}\n{usage}")]
    BudgetExceeded {
        /// Simulated milliseconds since the start.
        at_ms: f64,
        /// Units in use or usable.
        units: u32,
        /// Units of the budget.
        total_units: u32,
        /// The usage of each member, one per line.
        usage: String,
    },
    /// No replica is the leader at the end.
    #[error("no replica is the leader at the end")]
    NoLeader,
    /// A member does not list all members that are up.
    #[error("{member} lists the members {listed:?}, but {up:?} are up")]
    MembersMissing {
        /// The member whose list is incomplete.
        member: String,
        /// The members that it lists as alive or suspected.
        listed: Vec<String>,
        /// The members that are up.
        up: Vec<String>,
    },
    /// The voters are not the replicas with a disk.
    #[error("the voters are {voters:?}, but the replicas with a disk are {disks:?}")]
    VotersDiffer {
        /// The voters in the leader's configuration.
        voters: Vec<ReplicaId>,
        /// The replicas with a disk.
        disks: Vec<ReplicaId>,
    },
    /// Too few units are usable at the end.
    #[error("{usable_units} of {total_units} units are usable at the end, {fenced_units} are fenced\n{usage}")]
    QuotaNotUsable {
        /// Usable units in the last second, on average.
        usable_units: f64,
        /// Units of the budget.
        total_units: u32,
        /// Units fenced for calls of members whose leases expired.
        fenced_units: u32,
        /// The usage of each member, one per line.
        usage: String,
    },
}

/// Checks that units in use, or usable without another message, do not exceed the budget's total.
pub(super) fn check_budget(state: &mut ClusterState) -> Result<(), SimulationError> {
    let total_units = state.config.total_units;
    let units = max_units_in_use(state);
    if units <= total_units {
        return Ok(());
    }
    Err(SimulationError::BudgetExceeded {
        at_ms: state.now as f64 / MILLISECOND as f64,
        units,
        total_units,
        usage: describe_usage(state),
    })
}

/// The most units that are or could be in use at this moment: those that each member may use without another message,
/// and those of calls whose incarnations have ended.
fn max_units_in_use(state: &mut ClusterState) -> u32 {
    let in_flight: u32 = state
        .nodes
        .iter()
        .map(|node| node.calls_in_flight.len() as u32)
        .sum();
    let orphaned = state.calls.len() as u32 - in_flight;
    let last_usable: u32 = state.last_usable_units.iter().sum();
    if last_usable + orphaned > state.config.total_units {
        let now = state.now;
        let usable = state.nodes.iter().map(|node| node.usable_units(now));
        state.last_usable_units = usable.collect();
    }
    state.last_usable_units.iter().sum::<u32>() + orphaned
}

/// Checks the cluster at the end of a run, and adds the final measurements to the run's result.
pub(super) fn check_end(
    state: &ClusterState,
    mean_usable_units: f64,
) -> Result<SimulationResult, SimulationError> {
    let leader = find_leader(state);
    let table = leader
        .and_then(ClusterNode::quota_table)
        .ok_or(SimulationError::NoLeader)?;
    check_members(state)?;
    check_voters(state, leader.map(ClusterNode::voters).unwrap_or_default())?;
    let quotas = table
        .budgets
        .get(BUDGET)
        .map(|budget| budget.quotas.values());
    let fenced_units = quotas
        .into_iter()
        .flatten()
        .filter(|quota| quota.fenced)
        .map(|quota| quota.amount)
        .sum();
    let total_units = state.config.total_units;
    let free_units = f64::from(total_units.saturating_sub(fenced_units));
    if mean_usable_units < free_units * MIN_USABLE_FRACTION {
        return Err(SimulationError::QuotaNotUsable {
            usable_units: mean_usable_units,
            total_units,
            fenced_units,
            usage: describe_usage(state),
        });
    }
    let up = state.nodes.iter().filter(|node| node.is_up()).count();
    let quiet_seconds = (state.config.end - state.config.faults_until) as f64 / SECOND as f64;
    Ok(SimulationResult {
        mean_usable_units,
        fenced_units,
        bytes_per_member_second: state.quiet_bytes as f64 / quiet_seconds / up as f64,
        ..state.result
    })
}

fn find_leader(state: &ClusterState) -> Option<&ClusterNode> {
    state
        .nodes
        .iter()
        .filter_map(|node| node.instance.as_ref())
        .find(|instance| instance.is_leader())
}

/// Checks that each member lists all that are up. A member that was itself unreachable may still list one that died
/// meanwhile, until it probes that one.
fn check_members(state: &ClusterState) -> Result<(), SimulationError> {
    let up: Vec<String> = state
        .nodes
        .iter()
        .filter(|node| node.is_up())
        .map(|node| node.name.clone())
        .collect();
    for node in &state.nodes {
        let Some(instance) = &node.instance else {
            continue;
        };
        let mut listed: Vec<String> = instance
            .members()
            .into_iter()
            .filter(|member| member.state != MemberState::Dead)
            .map(|member| member.name)
            .collect();
        listed.sort();
        if !up.iter().all(|name| listed.contains(name)) {
            let member = node.name.clone();
            return Err(SimulationError::MembersMissing { member, listed, up });
        }
    }
    Ok(())
}

fn check_voters(state: &ClusterState, voters: Vec<ReplicaId>) -> Result<(), SimulationError> {
    let disks: Vec<ReplicaId> = state
        .nodes
        .iter()
        .filter_map(|node| node.disk.as_ref())
        .map(|disk| disk.id)
        .collect();
    if voters.len() == state.config.replicas && disks.iter().all(|id| voters.contains(id)) {
        return Ok(());
    }
    Err(SimulationError::VotersDiffer { voters, disks })
}

/// The usage of each member as the member itself and as the leader's table sees it, for error messages.
fn describe_usage(state: &ClusterState) -> String {
    let leader = find_leader(state);
    let quotas = leader
        .and_then(ClusterNode::quota_table)
        .and_then(|table| table.budgets.get(BUDGET))
        .map(|budget| &budget.quotas);
    let targets = leader.map(|leader| leader.targets(BUDGET));
    let mut text = format!("  targets {targets:?}\n");
    for (index, node) in state.nodes.iter().enumerate() {
        let used = state.calls.values().filter(|node| **node == index).count();
        let available = node.instance.as_ref().map(|instance| {
            let quota = instance.available_quota(node.local_time(state.now), BUDGET);
            (quota, instance.lease_holder().epoch(BUDGET).0)
        });
        let is_of_node = |holder: &&Holder| holder.name == node.name;
        let granted: Vec<_> = quotas
            .into_iter()
            .flatten()
            .filter(|(holder, _)| is_of_node(holder))
            .collect();
        text += &format!(
            "  {} incarnation {}: {used} calls in flight, {} of this incarnation, quota and epoch {available:?}, \
             paused {}, granted {granted:?}\n",
            node.name,
            node.incarnation,
            node.calls_in_flight.len(),
            node.is_paused,
        );
    }
    text
}
