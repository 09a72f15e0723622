//! What each budget is worth here, and how much of it was needed of late.
use cottondyke_dependency::{DependencyUsage, QuotaKind};
use cottondyke_operator_config::{call_budget_name, rate_budget_name};
use cottondyke_quota::Usage;
use std::collections::BTreeMap;

/// What is left of a need that has ended after each report: half of it in a third of a second.
const NEED_DECAY: f64 = 0.96;
/// What each start adds of its value to the weight of a unit.
const WEIGHT_EWMA: f64 = 0.05;

#[derive(Debug, Default)]
struct Demand {
    needed: f64,
    weight: f64,
}

/// The demand for each budget, by its name.
#[derive(Debug, Default)]
pub(super) struct DemandTracker(BTreeMap<String, Demand>);

impl DemandTracker {
    /// A run of this value starts that may call a dependency.
    pub(super) fn record_start(&mut self, dependency: &str, value: f64) {
        for budget in [call_budget_name(dependency), rate_budget_name(dependency)] {
            let demand = self.0.entry(budget).or_insert(Demand {
                needed: 0.0,
                weight: value,
            });
            demand.weight += (value - demand.weight) * WEIGHT_EWMA;
        }
    }

    /// What is in use at this moment, as the cluster is told: the budget's name and its usage.
    pub(super) fn record_usage(&mut self, usage: &DependencyUsage) -> (String, Usage) {
        let budget = if usage.quota == QuotaKind::Rate {
            rate_budget_name(&usage.dependency)
        } else {
            call_budget_name(&usage.dependency)
        };
        let demand = self.0.entry(budget.clone()).or_default();
        demand.needed = (demand.needed * NEED_DECAY).max(usage.needed as f64);
        let usage = Usage {
            in_use: usage.in_flight as u32,
            needed: demand.needed.round() as u32,
            weight: demand.weight.max(f64::MIN_POSITIVE),
        };
        (budget, usage)
    }
}
