//! The cost of the runs of a handler, learned from past runs.

use crate::request::RequestRecord;

/// Exponentially weighted sums and means over the runs of a handler.
pub(crate) struct HandlerCost {
    /// Weighted sum of the core time of runs.
    core_time: f64,
    /// Weighted sum of the hinted cost of the same runs.
    base_cost: f64,
    /// Mean time of a run off the cores, in tenths of a millisecond.
    pub(crate) off_core_time: f64,
    /// Mean number of calls that a run makes.
    calls: f64,
}

impl HandlerCost {
    pub(crate) fn new(core_time: f64, base_cost: f64, calls: f64) -> Self {
        HandlerCost {
            core_time,
            base_cost,
            off_core_time: 0.0,
            calls,
        }
    }

    /// The expected core time of a request, in proportion to its hinted cost.
    pub(crate) fn expected(&self, request: &RequestRecord) -> f64 {
        request.base_cost * self.core_time / self.base_cost.max(1.0)
    }

    /// The expected number of calls that a request has still to make.
    pub(crate) fn remaining_calls(&self, request: &RequestRecord) -> f64 {
        (self.calls - request.calls_wanted).max(0.0)
    }

    /// Adds a run to the sums and to the mean time off the cores; `weight` is that of the newest run.
    pub(crate) fn add_run(
        &mut self,
        request: &RequestRecord,
        core_time: f64,
        off_core_time: f64,
        weight: f64,
    ) {
        self.core_time = self.core_time * (1.0 - weight) + core_time;
        self.base_cost = self.base_cost * (1.0 - weight) + request.base_cost;
        self.off_core_time += (off_core_time - self.off_core_time) * weight;
    }

    /// Adds the number of calls of a run to its mean.
    pub(crate) fn add_calls(&mut self, request: &RequestRecord, weight: f64) {
        self.calls += (request.calls_wanted - self.calls) * weight;
    }
}
