//! Measures, for clusters of different sizes without faults, their traffic and how quickly they detect a dead member
//! and reallocate quota.
use super::checks::SimulationError;
use super::cluster::ClusterSimulation;
use super::config::{
    EventLog, SimulationConfig, LEASE_DURATION, MILLISECOND, PROBE_INTERVAL, SECOND,
};
use cottondyke_membership::{MemberState, MAX_DETECTION_PERIODS};
use cottondyke_quota::Safeguards;

/// Seconds within which a dead member must have left every member's list.
pub const MAX_DETECTION_SECONDS: f64 =
    MAX_DETECTION_PERIODS as f64 * PROBE_INTERVAL as f64 / SECOND as f64;
/// Seconds within which a member whose demand jumps must get units that were spread over all members.
pub const MAX_REALLOCATION_SECONDS: f64 = LEASE_DURATION as f64 / SECOND as f64;

const REPLICAS: usize = 3;
const UNITS_PER_MEMBER: u32 = 2;
/// Later than the end of any measurement.
const NO_END: i64 = 100_000 * SECOND;
/// The longest that a measurement waits for its event.
const MAX_WAIT: i64 = 60 * SECOND;
/// How long bytes are counted, and how long the cluster settles after a member's death.
const QUIET_DURATION: i64 = 10 * SECOND;
const DEATH_POLL_INTERVAL: i64 = 250 * MILLISECOND;
const QUOTA_POLL_INTERVAL: i64 = 5 * MILLISECOND;
/// The member whose demand jumps to the budget's total.
const BUSY_MEMBER: usize = 3;
/// The fraction of the total that must become usable to that member.
const MIN_QUOTA_FRACTION: f64 = 0.7;

/// Traffic and reaction times of a cluster, in simulated time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScaleMeasurement {
    /// Bytes sent per second and member, without faults or load.
    pub bytes_per_member_second: f64,
    /// Seconds until a dead member has left every member's list.
    pub detection_seconds: f64,
    /// Seconds until a member whose demand jumps gets the units that were spread over all members.
    pub reallocation_seconds: f64,
}

/// Measures one cluster with this many members.
pub fn measure_scale(seed: u64, members: usize) -> Result<ScaleMeasurement, SimulationError> {
    let config = SimulationConfig {
        members,
        replicas: REPLICAS,
        total_units: members as u32 * UNITS_PER_MEMBER,
        faults_until: 0,
        end: NO_END,
        has_constant_demand: true,
        message_loss: 0.0,
        safeguards: Safeguards::default(),
    };
    let mut simulation = ClusterSimulation::new(seed, config, EventLog::Off);
    // Members join one after another: the larger the cluster, the longer it takes until all have joined.
    simulation.advance(20 * SECOND + members as i64 * SECOND / 50)?;
    Ok(ScaleMeasurement {
        bytes_per_member_second: measure_traffic(&mut simulation)?,
        detection_seconds: measure_detection(&mut simulation)?,
        reallocation_seconds: measure_reallocation(&mut simulation)?,
    })
}

fn measure_traffic(simulation: &mut ClusterSimulation) -> Result<f64, SimulationError> {
    let bytes_before = simulation.state.quiet_bytes;
    simulation.advance(simulation.state.now + QUIET_DURATION)?;
    let bytes = (simulation.state.quiet_bytes - bytes_before) as f64;
    let members = simulation.state.config.members;
    Ok(bytes / (QUIET_DURATION / SECOND) as f64 / members as f64)
}

/// Kills the last member, measures until no other member lists it, and then lets the cluster settle.
fn measure_detection(simulation: &mut ClusterSimulation) -> Result<f64, SimulationError> {
    let start = simulation.state.now;
    let dead = simulation.state.config.members - 1;
    let name = simulation.state.nodes[dead].name.clone();
    simulation.state.nodes[dead].instance = None;
    while is_listed(simulation, &name) && simulation.state.now < start + MAX_WAIT {
        simulation.advance(simulation.state.now + DEATH_POLL_INTERVAL)?;
    }
    let duration = simulation.state.now - start;
    simulation.advance(simulation.state.now + QUIET_DURATION)?;
    Ok(duration as f64 / SECOND as f64)
}

fn is_listed(simulation: &ClusterSimulation, name: &str) -> bool {
    simulation
        .state
        .nodes
        .iter()
        .filter_map(|node| node.instance.as_ref())
        .flat_map(|instance| instance.members())
        .any(|member| member.name == name && member.state != MemberState::Dead)
}

fn measure_reallocation(simulation: &mut ClusterSimulation) -> Result<f64, SimulationError> {
    let start = simulation.state.now;
    let total_units = simulation.state.config.total_units;
    simulation.state.nodes[BUSY_MEMBER].demand = total_units;
    let min_quota = f64::from(total_units) * MIN_QUOTA_FRACTION;
    let usable_units = |simulation: &ClusterSimulation| {
        let now = simulation.state.now;
        f64::from(simulation.state.nodes[BUSY_MEMBER].usable_units(now))
    };
    while usable_units(simulation) < min_quota && simulation.state.now < start + MAX_WAIT {
        simulation.advance(simulation.state.now + QUOTA_POLL_INTERVAL)?;
    }
    Ok((simulation.state.now - start) as f64 / SECOND as f64)
}
