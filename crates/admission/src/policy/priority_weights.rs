//! The value of requests to the goal.
use crate::{request::RequestRecord, value_ledger::ValueLedger, windows::ValueSums};
use crate::{AdmissionConfig, GoalWeights, Handler, Time};
use cottondyke_types::SECOND;

const QUOTA_WINDOW: f64 = 2.0; // window of tenants' quotas, as a multiple of the longest client timeout

/// The value of requests, by the goal's weights and the value of recent responses.
pub(crate) struct PriorityWeights {
    pub(crate) handlers: Vec<Handler>,
    pub(crate) shortest_target: Time, // the shortest response target of any handler
    pub(crate) goal: GoalWeights,
    quotas: Vec<f64>, // each tenant's quota at this server, in requests over the ledger's window
    ledger: ValueLedger,
}

impl PriorityWeights {
    pub(crate) fn new(config: &AdmissionConfig) -> Self {
        let (handlers, goal) = (config.handlers.clone(), config.goal);
        let longest_timeout = handlers.iter().map(|h| h.client_timeout).max().unwrap_or(Time(1));
        let window = longest_timeout.scaled(QUOTA_WINDOW);
        let local_quota = |q: &f64| q / config.fleet_size.max(1.0) * window.as_f64() / SECOND.as_f64();
        let quotas: Vec<f64> = config.quotas.iter().map(local_quota).collect();
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

    /// For each handler or tenant, the additional gain from a unit of its value: zero unless it is the worst
    /// served, and larger the smaller its part of the offered value.
    fn worst_served_gains(weight: f64, sums: &[ValueSums]) -> Vec<f64> {
        let total: f64 = sums.iter().map(|s| s.offered).sum();
        let worst = sums.iter().map(ValueSums::served_fraction).fold(1.0, f64::min);
        let is_worst = |s: &ValueSums| s.offered > 0.0 && s.served_fraction() <= worst;
        let gain = |s: &ValueSums| if is_worst(s) { weight * total / s.offered } else { 0.0 };
        sums.iter().map(gain).collect()
    }

    /// The gain to the goal from a unit of each handler's value.
    pub(crate) fn handler_gains(&self, now: Time) -> Vec<f64> {
        let extra_gains = Self::worst_served_gains(self.goal.worst_handler, &self.ledger.by_handler(now));
        extra_gains.iter().map(|extra| self.goal.total + extra).collect()
    }

    /// The gain to the goal from a unit of each tenant's value, on a server of this age. Requests are not
    /// marked as over quota: a tenant is within its quota until its completed requests in the window reach
    /// the quota. Beyond it, only the fraction `over_quota` of its value counts.
    pub(crate) fn tenant_gains(&self, now: Time, age: Time) -> Vec<f64> {
        let covered = (age.as_f64() / self.ledger.duration).min(1.0);
        let quotas = self.quotas.iter().map(|q| (q * covered).max(1.0));
        let uses: Vec<(ValueSums, f64)> = self.ledger.by_tenant(now).into_iter().zip(quotas).collect();
        // A smaller fleet or retries raise all counts alike: quotas are scaled by the median tenant's use.
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
        uses.iter().zip(Self::worst_served_gains(self.goal.worst_tenant, &inside)).map(gain).collect()
    }
}
