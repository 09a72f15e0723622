//! Queries on a configuration besides the plan: values of requests, safeguards, and budgets shared by the fleet.
use crate::{Dependency, OperatorConfig};
use cottondyke_dependency::{Safeguards, RATE_WINDOW};
use cottondyke_quota::BudgetSpec;
use cottondyke_types::Time;

/// The value of a request whose handler the platform's configuration declares.
const DEFAULT_REQUEST_VALUE: f64 = 1.0;

/// The name of the fleet's budget for a dependency's calls per second.
pub fn rate_budget_name(dependency: &str) -> String {
    format!("rate/{dependency}")
}

/// The name of the fleet's budget for a dependency's calls in flight.
pub fn call_budget_name(dependency: &str) -> String {
    format!("dependency/{dependency}")
}

impl OperatorConfig {
    /// The safeguards of the calls to dependencies; all that the file does not disable are on.
    pub fn safeguards(&self) -> Safeguards {
        Safeguards {
            time_budget: self.has_safeguard("budget"),
            limit: self.has_safeguard("limit"),
            adapt: self.has_safeguard("adapt") && self.has_safeguard("limit"),
            breaker: self.has_safeguard("breaker"),
            hedge: self.has_safeguard("hedge"),
            stale_cache: self.has_safeguard("kept"),
            fallback: self.has_safeguard("fallback"),
            count_orphaned_calls: self.has_safeguard("restart"),
        }
    }

    /// Whether the safeguard of this name, one of [`SAFEGUARDS`](crate::SAFEGUARDS), is on.
    pub fn has_safeguard(&self, name: &str) -> bool {
        !self.disabled_safeguards.iter().any(|off| off == name)
    }

    /// The value of a request of a handler; 1 if the platform's configuration declares the handler.
    pub fn request_value(&self, handler: &str) -> f64 {
        self.handlers
            .iter()
            .find(|declared| declared.name == handler)
            .map_or(DEFAULT_REQUEST_VALUE, |declared| declared.value)
    }

    /// The longest time that a call may occupy a dependency after it was sent: its time budget, half of the time budget
    /// in which a late response is still awaited (`LATE_RESPONSE_WAIT_RATIO` of the aggregator), and the time that the
    /// dependency may continue after the cancellation.
    pub fn max_call_duration(&self, dependency: &Dependency) -> Time {
        let late_response_wait = Time(dependency.time_budget.0 / 2);
        dependency.time_budget + late_response_wait + dependency.post_cancel_grace
    }

    /// The budgets that all instances share: calls in flight, and calls per second if a rate is set.
    pub fn shared_budgets(&self) -> Vec<BudgetSpec> {
        let shared = || self.dependencies.iter().filter(|d| !d.per_instance);
        let calls = shared().map(|dependency| BudgetSpec {
            name: call_budget_name(&dependency.name),
            units: dependency.ceiling as u32,
            expiry_grace: self.max_call_duration(dependency),
        });
        let rates = shared().filter_map(|dependency| {
            Some(BudgetSpec {
                name: rate_budget_name(&dependency.name),
                units: dependency.max_rate? as u32,
                expiry_grace: RATE_WINDOW,
            })
        });
        calls.chain(rates).collect()
    }

    /// The maximum number of calls in flight from this instance to a dependency. If the ceiling is divided into fixed
    /// shares, it is one share, rounded down so that their sum never exceeds the ceiling; if quotas are leased or the
    /// ceiling is per instance, it is the ceiling.
    pub fn max_calls(&self, dependency: &Dependency) -> u64 {
        if self.peers.is_some() || dependency.per_instance {
            return dependency.ceiling;
        }
        dependency.ceiling / self.instances.unwrap_or(1).max(1)
    }
}
