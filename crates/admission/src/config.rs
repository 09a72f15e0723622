//! What a controller is built from.

use crate::handler::Handler;
use crate::memory::MemoryLimits;
use cottondyke_types::Time;

/// How running work can be cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cancellation {
    /// It cannot.
    Never,
    /// The run is discarded.
    Drop,
    /// The run is suspended; its request counts as failed.
    Suspend,
}

/// How callers read the load advice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdviceFormat {
    /// They do not.
    Unused,
    /// The probability that a caller does not pass this server by, from 0 to 1.
    Share,
    /// The maximum number of requests that a caller keeps in flight here.
    Credit,
    /// The lowest rank that callers still send, from 0 to 1.
    Rank,
}

/// What the goal of the fleet weighs.
#[derive(Clone, Copy, Debug)]
pub struct GoalWeights {
    /// Weight of the total value won.
    pub total: f64,
    /// Weight of the fraction won for the handler that is served worst.
    pub worst_handler: f64,
    /// Weight of the fraction won for the tenant that is served worst.
    pub worst_tenant: f64,
    /// The fraction of its value that a request past its tenant's quota has.
    pub over_quota: f64,
    /// Whether value is counted per unit of work, not per request.
    pub by_work: bool,
}

/// The cores, and how many requests on them the server survives.
#[derive(Clone, Copy, Debug)]
pub struct ConcurrencyConfig {
    /// The number of cores.
    pub cores: usize,
    /// The number of requests a core that a warm server survives.
    pub overload_factor: f64,
    /// The fraction of its speed at which the server starts; 1 for a warm one.
    pub start_capacity: f64,
    /// How long after its start a cold server is warm at the latest.
    pub warm_within: Time,
    /// The time over which overload is judged; zero where it is not told.
    pub overload_window: Time,
}

/// Calls to a dependency.
#[derive(Clone, Copy, Debug)]
pub struct CallConfig {
    /// The mean number in flight over `window` that is this server's, where told.
    pub share: Option<f64>,
    /// The time over which the share holds.
    pub window: Time,
    /// How long an abandoned call goes on.
    pub abandoned_linger: Time,
}

/// The callers, and what they heed.
#[derive(Clone, Copy, Debug)]
pub struct CallerConfig {
    /// How many there are by the settings.
    pub expected: f64,
    /// How long they leave a connection idle.
    pub max_idle: Time,
    /// How they read the load advice.
    pub advice_format: AdviceFormat,
    /// How long they heed it.
    pub advice_lifetime: Time,
    /// The longest time to come back that they heed; 0 where they heed none.
    pub max_retry_after: Time,
}

/// What a controller is built from.
#[derive(Clone, Debug)]
pub struct AdmissionConfig {
    /// The shortest time between two inputs.
    pub resolution: Time,
    /// The handlers, by their ids.
    pub handlers: Vec<Handler>,
    /// Requests a second inside each tenant's share, over the fleet.
    pub quotas: Vec<f64>,
    /// The number of servers of the fleet.
    pub fleet_size: f64,
    /// What the goal weighs.
    pub goal: GoalWeights,
    /// The cores.
    pub concurrency: ConcurrencyConfig,
    /// How running work can be cancelled.
    pub cancellation: Cancellation,
    /// The time over which rejected and terminated requests count as loss.
    pub loss_window: Time,
    /// The memory of requests and idempotency keys.
    pub memory: MemoryLimits,
    /// Calls to a dependency.
    pub calls: CallConfig,
    /// The time after the shutdown signal in which arrivals may still run.
    pub drain_grace: Time,
    /// The callers.
    pub callers: CallerConfig,
    /// Of the pseudo-random spread of times to come back.
    pub seed: u64,
}
