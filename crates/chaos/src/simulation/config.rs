//! Configuration and results of a simulation. Times are in tenths of a millisecond, like those of
//! [`cottondyke_types::Time`].
use cottondyke_quota::Safeguards;

pub(super) const MILLISECOND: i64 = 10;
pub(super) const SECOND: i64 = 10_000;

/// The budget whose units in use are checked.
pub(super) const BUDGET: &str = "dependency";
/// A second budget, allocated in the same rounds, so that of the commands proposed together some may be committed
/// before the others.
pub(super) const SECOND_BUDGET: &str = "beside";

pub(super) const LEASE_DURATION: i64 = 3 * SECOND;
/// Upper bound of a call's duration.
pub(super) const EXPIRY_GRACE: i64 = 400 * MILLISECOND;
pub(super) const MAX_PROCESS_PAUSE: i64 = 30 * SECOND;
pub(super) const PROBE_INTERVAL: i64 = 500 * MILLISECOND;
/// How often a member reports its usage and starts calls.
pub(super) const LOAD_INTERVAL: i64 = 20 * MILLISECOND;

/// Makes the random numbers of a configuration differ from those of the run with the same seed.
const CONFIG_SEED_MASK: u64 = 0xd1ce;
/// When faults end in a random configuration.
const FAULT_DURATION: i64 = 30 * SECOND;
/// How long a cluster has after the last fault, in addition to a lease and the longest call, until quota must be usable
/// again.
const RECOVERY_DURATION: i64 = 3 * SECOND;
/// Upper bound of the message loss of a random configuration.
const MAX_MESSAGE_LOSS: f64 = 0.3;

/// Parameters of one simulation.
#[derive(Clone, Copy, Debug)]
pub struct SimulationConfig {
    /// Members of the cluster.
    pub members: usize,
    /// How many of them are replicas of the registry.
    pub replicas: usize,
    /// Units of the budget that all members share.
    pub total_units: u32,
    /// When faults end, in tenths of a millisecond; none happen from then to the end of the run.
    pub faults_until: i64,
    /// When the run ends, in tenths of a millisecond.
    pub end: i64,
    /// Parts of the lease protocol, each of which can be disabled to show which failure it prevents.
    pub safeguards: Safeguards,
    /// The fraction of messages that are lost while there are faults.
    pub message_loss: f64,
    /// Whether members' demand is never changed at random.
    pub has_constant_demand: bool,
}

impl SimulationConfig {
    /// A configuration of 5 to `max_members` members drawn from a seed.
    pub fn random(seed: u64, max_members: usize) -> Self {
        let mut random = fastrand::Rng::with_seed(seed ^ CONFIG_SEED_MASK);
        let members = random.usize(5..=max_members);
        SimulationConfig {
            members,
            replicas: if random.bool() { 3 } else { 5 },
            total_units: random.u32(members as u32 / 2..=members as u32 * 6),
            faults_until: FAULT_DURATION,
            end: FAULT_DURATION + LEASE_DURATION + RECOVERY_DURATION + EXPIRY_GRACE,
            safeguards: Safeguards::default(),
            message_loss: random.f64() * MAX_MESSAGE_LOSS,
            has_constant_demand: false,
        }
    }
}

/// Measurements of a simulation in which no invariant was violated.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SimulationResult {
    /// Events handled.
    pub steps: u64,
    /// The most units in use at the same time.
    pub max_in_use: u32,
    /// Units of the budget that all members share.
    pub total_units: u32,
    /// Calls started.
    pub calls: u64,
    /// Faults injected.
    pub faults: u64,
    /// Units that running members used or could have used in the last second, on average.
    pub mean_usable_units: f64,
    /// Units fenced at the end, for calls of members whose leases expired.
    pub fenced_units: u32,
    /// Bytes sent per second and running member after faults ended.
    pub bytes_per_member_second: f64,
}

/// Where faults and members' events are logged as they occur.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventLog {
    /// Nowhere.
    Off,
    /// On standard error, with the simulated time.
    Stderr,
}
