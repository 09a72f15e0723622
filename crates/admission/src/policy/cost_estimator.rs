//! Estimates what requests cost on this server.
use crate::{handler_cost::HandlerCost, request::RequestRecord, request_table::RequestTable};
use crate::{AdmissionConfig, Handler, Time};

const INITIAL_COST: f64 = 0.125; // cost assumed before any is known, as a fraction of the response target
const MIN_SPEED: f64 = 0.1; // lowest speed assumed of a cold server, as a fraction of full speed
const MIN_REMAINING: f64 = 0.25; // least remaining core time that is assumed, as a fraction of the cost
/// Number of imaginary runs at their usual cost that `slowdown` includes: a few slow runs are not yet a
/// stall.
const STALL_PRIOR: f64 = 4.0;
pub(crate) const EWMA_WEIGHT: f64 = 0.1; // weight of the newest value in running means

/// The cost of requests on this server: core time, learned per handler as a multiple of the hinted cost.
pub(crate) struct CostEstimator {
    pub(crate) core_clock: f64, // core time of a request that is on the cores all the time
    pub(crate) advanced_at: Time,
    handlers: Vec<HandlerCost>,
    pub(crate) slowdown: f64, // observed cost of the requests on the cores, as a multiple of their usual cost
}

/// The hinted cost of a request, or an assumed one if there is no hint.
pub(crate) fn base_cost(handler: &Handler, hint: Option<Time>) -> f64 {
    hint.map_or(handler.response_target.as_f64() * INITIAL_COST, |hint| hint.as_f64().max(1.0))
}

impl CostEstimator {
    pub(crate) fn new(now: Time, config: &AdmissionConfig) -> Self {
        let speed = config.concurrency.start_capacity.max(MIN_SPEED);
        let initial = |handler: &Handler| {
            let cost = base_cost(handler, None);
            HandlerCost::new(cost / speed, cost, f64::from(handler.makes_calls))
        };
        let handlers = config.handlers.iter().map(initial).collect();
        CostEstimator { core_clock: 0.0, advanced_at: now, handlers, slowdown: 1.0 }
    }

    pub(crate) fn handler(&self, request: &RequestRecord) -> &HandlerCost {
        &self.handlers[request.handler_index()]
    }

    /// The expected cost of a request while the cores do not stall. While they stall, the runs on them make
    /// no progress, although time passes.
    pub(crate) fn usual(&self, request: &RequestRecord) -> f64 {
        self.handler(request).expected(request)
    }

    /// The expected cost of a request at the present slowdown.
    pub(crate) fn current(&self, request: &RequestRecord) -> f64 {
        self.usual(request) * self.slowdown
    }

    /// The core time that a run is expected to still need.
    pub(crate) fn remaining(&self, request: &RequestRecord) -> f64 {
        let cost = self.current(request);
        (cost - request.core_time_at(self.core_clock)).max(cost * MIN_REMAINING)
    }

    /// Accounts for the time since the last input, over which the runs shared `busy_cores`. Runs that have
    /// used more core time than their usual cost raise `slowdown`: the cores may stall.
    pub(crate) fn advance(&mut self, now: Time, busy_cores: f64, requests: &RequestTable) {
        let on_core = requests.on_core().count() as f64;
        self.core_clock += (now - self.advanced_at).as_f64() * (busy_cores / on_core.max(1.0)).min(1.0);
        self.advanced_at = now;
        let overrun = |r: &RequestRecord| r.core_time_at(self.core_clock) / self.usual(r).max(1.0);
        let overruns: f64 = requests.on_core().map(overrun).sum();
        self.slowdown = ((overruns + STALL_PRIOR) / (on_core + STALL_PRIOR)).max(1.0);
    }

    /// Learns from a run that ended. Its time off the cores counts in full: calls, and disk waits that no
    /// event reports.
    pub(crate) fn learn_ended(&mut self, now: Time, request: &RequestRecord) {
        let core_time = request.core_time_at(self.core_clock);
        let off_core_time = request.off_core_time.max((now - request.started_at).as_f64() - core_time);
        let handler = &mut self.handlers[request.handler_index()];
        handler.add_run(request, core_time, off_core_time, EWMA_WEIGHT);
        handler.add_calls(request, EWMA_WEIGHT);
    }

    /// Learns from a run that is cancelled, but only if it has had more core time than usual.
    pub(crate) fn learn_cancelled(&mut self, request: &RequestRecord) {
        let core_time = request.core_time_at(self.core_clock);
        if core_time > self.usual(request) {
            let handler = &mut self.handlers[request.handler_index()];
            handler.add_run(request, core_time, request.off_core_time, EWMA_WEIGHT);
        }
    }
}
