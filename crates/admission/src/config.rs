//! The configuration of a controller.

use crate::handler::Handler;
use crate::memory::MemoryLimits;
use cottondyke_types::Time;

/// Whether and how a run can be cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cancellation {
    /// Runs cannot be cancelled.
    Never,
    /// The run is discarded.
    Drop,
    /// The run is suspended; its request counts as failed.
    Suspend,
}

/// How callers interpret the load advice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdviceFormat {
    /// They ignore it.
    Unused,
    /// The probability with which a caller sends a request to this server, from 0 to 1.
    Share,
    /// The maximum number of requests that a caller keeps in flight here.
    Credit,
    /// Requests have ranks from 0 to 1; callers do not send those whose rank is below the advice.
    Rank,
}

/// The weights of the terms of the fleet's goal.
#[derive(Clone, Copy, Debug)]
pub struct GoalWeights {
    /// Weight of the total value earned.
    pub total: f64,
    /// Weight of the fraction of the offered value that is earned for the worst-served handler.
    pub worst_handler: f64,
    /// Weight of the fraction of the offered value that is earned for the worst-served tenant.
    pub worst_tenant: f64,
    /// The fraction of its value that a request over its tenant's quota keeps.
    pub over_quota: f64,
    /// Whether value is counted per unit of work, not per request.
    pub by_work: bool,
}

/// The cores, and how many concurrent requests on them the server survives.
#[derive(Clone, Copy, Debug)]
pub struct ConcurrencyConfig {
    /// The number of cores.
    pub cores: usize,
    /// The number of concurrent requests per core that a warm server survives: with more it counts as overloaded.
    pub overload_factor: f64,
    /// The server's speed when it starts, as a fraction of its full speed; 1 for a warm server.
    pub start_capacity: f64,
    /// The longest time that a cold server takes to become warm after its start.
    pub warm_within: Time,
    /// The window over which overload is measured. It is the window of the slow-start budget; zero if the settings name
    /// none, and then there is no budget.
    pub overload_window: Time,
}

/// Calls to a dependency.
#[derive(Clone, Copy, Debug)]
pub struct CallConfig {
    /// This server's share of the calls to a dependency that all servers call: the highest mean number of calls in
    /// flight over `window` that it may have; `None` if there is no such limit.
    pub share: Option<f64>,
    /// The window over which the share is averaged.
    pub window: Time,
    /// How long an abandoned call keeps running.
    pub abandoned_linger: Time,
}

/// The callers, and how they respond to advice and retry delays.
#[derive(Clone, Copy, Debug)]
pub struct CallerConfig {
    /// The number of callers according to the settings.
    pub expected: f64,
    /// How long callers keep an idle connection open.
    pub max_idle: Time,
    /// How callers interpret the load advice.
    pub advice_format: AdviceFormat,
    /// How long callers follow load advice after they received it.
    pub advice_lifetime: Time,
    /// The longest retry delay that callers follow; 0 if they follow none.
    pub max_retry_after: Time,
}

/// The configuration of an [`AdmissionController`](crate::AdmissionController).
#[derive(Clone, Debug)]
pub struct AdmissionConfig {
    /// The shortest delay after which a tick can be requested. Requests are answered this long before their deadlines,
    /// because the next tick may come only after them.
    pub resolution: Time,
    /// The handlers, indexed by their ids.
    pub handlers: Vec<Handler>,
    /// The quota of each tenant over the whole fleet, in requests per second.
    pub quotas: Vec<f64>,
    /// The number of servers in the fleet.
    pub fleet_size: f64,
    /// The weights of the fleet's goal.
    pub goal: GoalWeights,
    /// The cores, and how many concurrent requests on them the server survives.
    pub concurrency: ConcurrencyConfig,
    /// Whether and how a run can be cancelled.
    pub cancellation: Cancellation,
    /// The window over which rejected and terminated requests count as loss.
    pub loss_window: Time,
    /// The memory limits of requests and idempotency keys.
    pub memory: MemoryLimits,
    /// Calls to a dependency.
    pub calls: CallConfig,
    /// Requests that arrive within this time after the shutdown signal may still run.
    pub drain_grace: Time,
    /// The callers.
    pub callers: CallerConfig,
    /// The seed of the pseudo-random jitter of retry delays.
    pub seed: u64,
}
