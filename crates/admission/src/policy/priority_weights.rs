//! The value of requests to the goal.
use crate::{request::RequestRecord, value_ledger::ValueLedger, windows::ValueSums};
use crate::{AdmissionConfig, GoalWeights, Handler, Time};
use cottondyke_types::SECOND;

const SHARE_WINDOW: f64 = 2.0; // over which tenants' shares count, times the longest client timeout

/// The value of requests, from the goal's weights and what was won recently.
pub(crate) struct PriorityWeights {
    pub(crate) handlers: Vec<Handler>,
    pub(crate) shortest_target: Time, // response target
    pub(crate) goal: GoalWeights,
    quotas: Vec<f64>, // requests here inside each tenant's share, over the ledger's window
    ledger: ValueLedger,
}

impl PriorityWeights {
    pub(crate) fn new(config: &AdmissionConfig) -> Self {
        let (handlers, goal) = (config.handlers.clone(), config.goal);
        let longest_timeout = handlers.iter().map(|h| h.client_timeout).max().unwrap_or(Time(1));
        let window = longest_timeout.scaled(SHARE_WINDOW);
        let here = |q: &f64| q / config.fleet_size.max(1.0) * window.as_f64() / SECOND.as_f64();
        let quotas: Vec<f64> = config.quotas.iter().map(here).collect();
        let shortest_target = handlers.iter().map(|h| h.response_target).min().unwrap_or(Time(1));
        let ledger = ValueLedger::new(window, handlers.len(), quotas.len());
        PriorityWeights { handlers, shortest_target, goal, quotas, ledger }
    }

    pub(crate) fn handler(&self, request: &RequestRecord) -> &Handler {
        &self.handlers[request.handler_index()]
    }

    fn value(&self, request: &RequestRecord, fraction: f64) -> f64 {
        self.handler(request).value * fraction * if self.goal.by_work { request.base_cost } else { 1.0 }
    }

    pub(crate) fn count_offered(&mut self, now: Time, request: &RequestRecord) {
        self.ledger.add_offered(now, request, self.value(request, 1.0));
    }

    pub(crate) fn count_completed(&mut self, now: Time, request: &RequestRecord) {
        let fraction = if now <= request.target_at { 1.0 } else { self.handler(request).late_value };
        self.ledger.add_completed(now, request, self.value(request, fraction));
    }

    /// The worst served gains by itself: a unit of its value weighs more, the smaller its part of the total.
    fn scarcity(weight: f64, sums: &[ValueSums]) -> Vec<f64> {
        let total: f64 = sums.iter().map(|s| s.offered).sum();
        let worst = sums.iter().map(ValueSums::served_fraction).fold(1.0, f64::min);
        let is_worst = |s: &ValueSums| s.offered > 0.0 && s.served_fraction() <= worst;
        let gain = |s: &ValueSums| if is_worst(s) { weight * total / s.offered } else { 0.0 };
        sums.iter().map(gain).collect()
    }

    /// The gain to the goal from a unit of each handler's value.
    pub(crate) fn handler_gains(&self, now: Time) -> Vec<f64> {
        let scarcity = Self::scarcity(self.goal.worst_handler, &self.ledger.by_handler(now));
        scarcity.iter().map(|extra| self.goal.total + extra).collect()
    }

    /// The gain to the goal from a unit of each tenant's value, on a server of this age. No request says
    /// whether it is past its tenant's quota, which has little value: completed ones fill it first.
    pub(crate) fn tenant_gains(&self, now: Time, age: Time) -> Vec<f64> {
        let covered = (age.as_f64() / self.ledger.duration).min(1.0);
        let quotas = self.quotas.iter().map(|q| (q * covered).max(1.0));
        let uses: Vec<(ValueSums, f64)> = self.ledger.by_tenant(now).into_iter().zip(quotas).collect();
        // A smaller fleet or retries raise all counts alike: a share is measured against the median tenant.
        let mut ratios: Vec<f64> = uses.iter().map(|(sums, quota)| sums.offered_count / quota).collect();
        ratios.sort_by(f64::total_cmp);
        let median = ratios.get(ratios.len() / 2).map_or(1.0, |median| median.max(1.0));
        let inside_quota = |(sums, quota): &(ValueSums, f64)| {
            let fraction = (median * quota / sums.offered_count.max(1.0)).min(1.0);
            ValueSums { offered: sums.offered * fraction, ..*sums }
        };
        let inside: Vec<ValueSums> = uses.iter().map(inside_quota).collect();
        let GoalWeights { total, over_quota, .. } = self.goal;
        let gain = |((sums, quota), extra): (&(ValueSums, f64), f64)| {
            let inside = f64::from(sums.completed_count < quota * median);
            inside * (total + extra) + (1.0 - inside) * over_quota * total
        };
        uses.iter().zip(Self::scarcity(self.goal.worst_tenant, &inside)).map(gain).collect()
    }
}
