//! What a simulation plays, and what it measures. Times are in tenths of a millisecond, as those of
//! [`cottondyke_types::Time`].
use cottondyke_quota::Safeguards;

pub(super) const MILLISECOND: i64 = 10;
pub(super) const SECOND: i64 = 10_000;

/// The budget whose units are counted.
pub(super) const BUDGET: &str = "dependency";
/// A second budget, divided in the same rounds: of what is proposed together some may be committed before the rest.
pub(super) const SECOND_BUDGET: &str = "beside";

pub(super) const LEASE_DURATION: i64 = 3 * SECOND;
/// The longest call.
pub(super) const POST_CANCEL_GRACE: i64 = 400 * MILLISECOND;
pub(super) const MAX_PROCESS_PAUSE: i64 = 30 * SECOND;
pub(super) const PROBE_INTERVAL: i64 = 500 * MILLISECOND;
/// How often a member looks at its load.
pub(super) const LOAD_INTERVAL: i64 = 20 * MILLISECOND;

/// Keeps the draws of a configuration apart from those of the run with the same seed.
const CONFIG_SEED_MASK: u64 = 0xd1ce;
/// When faults of a drawn configuration end.
const FAULT_DURATION: i64 = 30 * SECOND;
/// How long a cluster has after the last fault, beside a lease and the longest call, until quota must be back in use.
const RECOVERY_DURATION: i64 = 3 * SECOND;
/// The largest drawn fraction of messages that are lost.
const MAX_MESSAGE_LOSS: f64 = 0.3;

/// What one simulation plays.
#[derive(Clone, Copy, Debug)]
pub struct SimulationConfig {
    /// Members of the cluster.
    pub members: usize,
    /// How many of them are replicas of the registry.
    pub replicas: usize,
    /// Units of the budget that all members share.
    pub total_units: u32,
    /// Faults are drawn until then, in tenths of a millisecond; from there to the end the cluster is quiet.
    pub faults_until: i64,
    /// When the run ends, in tenths of a millisecond.
    pub end: i64,
    /// What is switched off to show what it is for.
    pub safeguards: Safeguards,
    /// The fraction of messages that are lost while there are faults.
    pub message_loss: f64,
    /// Whether members' demand stays as it is.
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
            end: FAULT_DURATION + LEASE_DURATION + RECOVERY_DURATION + POST_CANCEL_GRACE,
            safeguards: Safeguards::default(),
            message_loss: random.f64() * MAX_MESSAGE_LOSS,
            has_constant_demand: false,
        }
    }
}

/// What a simulation that broke no invariant measured.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SimulationResult {
    /// Events played.
    pub steps: u64,
    /// Most units in use at one time.
    pub max_in_use: u32,
    /// Units of the budget that all members share.
    pub total_units: u32,
    /// Calls begun.
    pub calls: u64,
    /// Faults injected.
    pub faults: u64,
    /// Units that live members used or might have used in the last second, on average.
    pub mean_usable_units: f64,
    /// Units fenced at the end, for calls of members whose leases expired.
    pub fenced_units: u32,
    /// Bytes sent in the quiet time at the end, per second and member.
    pub bytes_per_member_second: f64,
}

/// Where faults and members' events are logged as they happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventLog {
    /// Nowhere.
    Off,
    /// On standard error, with the simulated time.
    Stderr,
}
