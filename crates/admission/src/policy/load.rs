//! How loaded the server is, and in which order queued requests start.
use crate::{controller::AdmissionController, request::RequestRecord, Time};

// Load as a fraction of the shortest response target: `pressure` is 0 at low load and 1 at full load.
const LOW_LOAD: f64 = 0.15;
const FULL_LOAD: f64 = 0.6;
const READ_DELAY_WEIGHT: f64 = 2.0; // weight of the read delay against pending work, in the advice to callers
pub(crate) const ANSWER_FRACTION: f64 = 0.95; // fraction of the shutdown time by which all are answered
const MIN_WANTED_SHARE: f64 = 0.25; // lowest `wanted_share` because of load: callers still get responses

impl AdmissionController {
    /// The work of started and queued requests, as the time that all cores need for it.
    fn pending_work(&self) -> f64 {
        let remaining = |r| self.costs.remaining(r);
        let started: f64 = self.requests.started().filter(|r| !r.answered).map(remaining).sum();
        let queued: f64 = self.requests.queued().map(|r| self.costs.current(r)).sum();
        (started + queued) / self.concurrency.cores
    }

    /// The load from which the advice to callers is computed, as a time: pending work and read delay,
    /// weighted.
    fn reducible_load(&self, now: Time) -> f64 {
        self.pending_work() / READ_DELAY_WEIGHT + self.advisor.read_delay(now) * READ_DELAY_WEIGHT
    }

    /// By how much that load exceeds `READ_DELAY_WEIGHT` times full load, as a time.
    pub(crate) fn excess_load(&self, now: Time) -> f64 {
        let shortest_target = self.priorities.shortest_target.as_f64();
        (self.reducible_load(now) - READ_DELAY_WEIGHT * FULL_LOAD * shortest_target).max(0.0)
    }

    /// Where `wait` lies between low load (0) and full load (1); it may lie outside.
    fn pressure(&self, wait: f64) -> f64 {
        (wait / self.priorities.shortest_target.as_f64() - LOW_LOAD) / (FULL_LOAD - LOW_LOAD)
    }

    /// The share of their traffic that callers are asked to send.
    pub(crate) fn wanted_share(&self, now: Time) -> f64 {
        let load_share = (1.0 - self.pressure(self.reducible_load(now))).clamp(MIN_WANTED_SHARE, 1.0);
        let warm_share = self.concurrency.capacity(now) * self.slow_start_share(now);
        load_share.min(if self.drain.is_some() { 0.0 } else { warm_share })
    }

    /// Departure: while requests wait to be read the limit shrinks, so that core time is free for reading: an
    /// unread request gets no answer, not even a rejection. Covers any burst, slow period or cold start in
    /// which requests arrive faster than they are read.
    pub(crate) fn effective_limit(&self, now: Time) -> f64 {
        let fraction = (1.0 - self.pressure(self.advisor.read_delay(now))).clamp(0.0, 1.0);
        (self.concurrency.limit * fraction).max(1.0)
    }

    /// Runs that wait to call, as a fraction of the calls that may be in flight.
    pub(crate) fn call_backlog(&self) -> f64 {
        self.requests.awaiting_call().count() as f64 / self.calls.limit
    }

    /// Queued requests in the order of their start: by age or, above low load, by value per unit of work.
    pub(crate) fn start_order(&self, now: Time) -> Vec<&RequestRecord> {
        let handler_gains = self.priorities.handler_gains(now);
        let tenant_gains = self.priorities.tenant_gains(now, now - self.concurrency.started_at);
        let is_under_pressure = self.pressure(self.pending_work() + self.advisor.read_delay(now)) > 0.0;
        let rank = |request: &RequestRecord| {
            let handler = self.priorities.handler(request);
            let is_late = now.as_f64() + self.costs.current(request) > request.target_at.as_f64();
            let tenant_gain =
                request.arrival.tenant.and_then(|tenant| tenant_gains.get(tenant.0)).unwrap_or(&1.0);
            let work = if self.priorities.goal.by_work { 1.0 } else { self.costs.usual(request).max(1.0) };
            let fraction = if is_late { handler.late_value } else { 1.0 };
            let gain = handler_gains[request.handler_index()] * tenant_gain;
            gain * fraction * handler.value / work * f64::from(is_under_pressure)
        };
        let mut ranked: Vec<(f64, &RequestRecord)> = self.requests.queued().map(|r| (rank(r), r)).collect();
        let age_key = |request: &RequestRecord| (request.arrived_at, request.id());
        ranked.sort_by(|(a, r), (b, q)| b.total_cmp(a).then_with(|| age_key(r).cmp(&age_key(q))));
        ranked.into_iter().map(|(_, request)| request).collect()
    }
}
