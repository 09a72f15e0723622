//! The state of one server's admission control.

use crate::config::AdmissionConfig;
use crate::memory::MemoryLimits;
use crate::policy::answer_margin::AnswerMargin;
use crate::policy::call_limiter::CallLimiter;
use crate::policy::concurrency_limit::ConcurrencyLimit;
use crate::policy::cost_estimator::CostEstimator;
use crate::policy::load_advisor::LoadAdvisor;
use crate::policy::priority_weights::PriorityWeights;
use crate::policy::slow_start::SlowStartBudget;
use crate::policy::termination_threshold::TerminationThreshold;
use crate::request::{Drain, RequestRecord};
use crate::request_table::RequestTable;
use crate::tick_schedule::TickSchedule;
use cottondyke_types::{RequestId, Time};
use std::collections::BTreeMap;

/// Decides for one server which requests it admits, runs, rejects and terminates. Call `tick` once first, then
/// one method for each input; carry out the returned [`Actions`](crate::Actions) and call `tick` when they ask for it.
/// The controller reads no clock: `now` is passed in and must never go back.
///
/// ```
/// use cottondyke_admission::*;
///
/// let read = Handler {
///     idempotency: Idempotency::Idempotent,
///     response_target: Time(10_000), // one second, in tenths of a millisecond
///     target_stretch: 0.0,
///     client_timeout: Time(30_000),
///     value: 1.0,
///     late_value: 0.2,
///     dedup_window: Time(0),
///     makes_calls: false,
///     skip_value: 0.0,
/// };
/// let config = AdmissionConfig {
///     resolution: Time(20),
///     handlers: vec![read],
///     quotas: vec![],
///     fleet_size: 1.0,
///     goal: GoalWeights {
///         total: 1.0,
///         worst_handler: 0.0,
///         worst_tenant: 0.0,
///         over_quota: 1.0,
///         by_work: false,
///     },
///     concurrency: ConcurrencyConfig {
///         cores: 2,
///         overload_factor: 4.0,
///         start_capacity: 1.0,
///         warm_within: Time(0),
///         overload_window: Time(0),
///     },
///     cancellation: Cancellation::Never,
///     loss_window: Time(10_000),
///     memory: MemoryLimits {
///         limit: 1e6,
///         running_factor: 1.0,
///         per_key: 0.0,
///     },
///     calls: CallConfig {
///         share: None,
///         window: Time(10_000),
///         abandoned_linger: Time(0),
///     },
///     drain_grace: Time(0),
///     callers: CallerConfig {
///         expected: 1.0,
///         max_idle: Time(0),
///         advice_format: AdviceFormat::Unused,
///         advice_lifetime: Time(10_000),
///         max_retry_after: Time(10_000),
///     },
///     seed: 1,
/// };
/// let mut controller = AdmissionController::new(Time(0), &config);
/// let actions = controller.tick(Time(0), LoadSample::default());
/// assert_eq!(actions.health, Some(true));
///
/// let id = RequestId(1);
/// let actions = controller.arrival(
///     Time(100),
///     Arrival {
///         id,
///         handler: HandlerId(0),
///         tenant: None,
///         caller: None,
///         cost_hint: None,
///         is_retry: false,
///         duplicate_of: None,
///         memory_kb: 10.0,
///         queueing_delay: Time(0),
///         observed_delay: Time(0),
///         client_time_left: None,
///     },
/// );
/// assert_eq!(actions.start, [id]);
///
/// // The server runs the request, answers it, and reports how the run ended.
/// let actions = controller.run_ended(Time(1_100), id, RunOutcome::Completed);
/// assert!(actions.reject.is_empty() && actions.fail.is_empty());
/// ```
pub struct AdmissionController {
    pub(crate) schedule: TickSchedule,
    pub(crate) answer_margin: AnswerMargin,
    pub(crate) requests: RequestTable,
    pub(crate) priorities: PriorityWeights,
    pub(crate) concurrency: ConcurrencyLimit,
    pub(crate) slow_start: SlowStartBudget,
    pub(crate) termination: TerminationThreshold,
    pub(crate) costs: CostEstimator,
    pub(crate) memory: MemoryLimits,
    pub(crate) calls: CallLimiter,
    /// Retained idempotency keys, and when they expire.
    pub(crate) dedup_keys: BTreeMap<RequestId, Time>,
    pub(crate) drain_grace: Time,
    pub(crate) drain: Option<Drain>,
    pub(crate) advisor: LoadAdvisor,
}

impl AdmissionController {
    /// Creates the controller of a server that started at `now` and has no requests yet.
    pub fn new(now: Time, config: &AdmissionConfig) -> Self {
        let concurrency = ConcurrencyLimit::new(now, config.concurrency);
        AdmissionController {
            schedule: TickSchedule::new(config.resolution),
            answer_margin: AnswerMargin::new(now, config.resolution),
            requests: RequestTable::default(),
            priorities: PriorityWeights::new(config),
            slow_start: SlowStartBudget::new(config.concurrency.overload_window),
            termination: TerminationThreshold::new(config),
            costs: CostEstimator::new(now, config),
            memory: config.memory,
            calls: CallLimiter::new(config.calls, concurrency.cores),
            concurrency,
            dedup_keys: BTreeMap::new(),
            drain_grace: config.drain_grace,
            drain: None,
            advisor: LoadAdvisor::new(now, config.callers, config.seed),
        }
    }

    pub(crate) fn deadline(&self, request: &RequestRecord) -> Time {
        request.deadline_during(self.drain)
    }

    /// The memory that all requests and idempotency keys take, in kilobytes.
    pub(crate) fn memory_used(&self) -> f64 {
        self.memory.used(&self.requests, self.dedup_keys.len())
    }

    pub(crate) fn is_cancellable(&self, request: &RequestRecord) -> bool {
        self.termination
            .is_cancellable(self.priorities.handler(request))
    }
}
