//! The demand of this instance for each budget: how many units it needs, and the weight of a unit.
use cottondyke_dependency::{DependencyUsage, QuotaKind};
use cottondyke_operator_config::{call_budget_name, rate_budget_name};
use cottondyke_quota::Usage;
use std::collections::BTreeMap;

/// Factor by which the reported need falls with each usage report after the need itself has ended. At one report each
/// 20 ms it halves in a third of a second.
const DEMAND_DECAY: f64 = 0.96;
/// Weight of the newest value in the exponential moving average of the values of starting runs.
const WEIGHT_EWMA_FACTOR: f64 = 0.05;

#[derive(Debug, Default)]
struct Demand {
    /// Units needed, with decay.
    needed: f64,
    /// Moving average of the values of starting runs.
    weight: f64,
}

/// The demand for each budget, by its name.
#[derive(Debug, Default)]
pub(super) struct DemandTracker(BTreeMap<String, Demand>);

impl DemandTracker {
    /// Records the start of a run that may call `dependency`; `value` is the value of its request.
    pub(super) fn record_start(&mut self, dependency: &str, value: f64) {
        for budget in [call_budget_name(dependency), rate_budget_name(dependency)] {
            let demand = self.0.entry(budget).or_insert(Demand {
                needed: 0.0,
                weight: value,
            });
            demand.weight += (value - demand.weight) * WEIGHT_EWMA_FACTOR;
        }
    }

    /// Records the current usage of a dependency. Returns the name of the budget, and the usage to report for it.
    pub(super) fn record_usage(&mut self, usage: &DependencyUsage) -> (String, Usage) {
        let budget = if usage.quota == QuotaKind::Rate {
            rate_budget_name(&usage.dependency)
        } else {
            call_budget_name(&usage.dependency)
        };
        let demand = self.0.entry(budget.clone()).or_default();
        demand.needed = (demand.needed * DEMAND_DECAY).max(usage.needed as f64);
        let usage = Usage {
            in_use: usage.in_use as u32,
            needed: demand.needed.round() as u32,
            weight: demand.weight.max(f64::MIN_POSITIVE),
        };
        (budget, usage)
    }
}
