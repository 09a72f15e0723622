//! How loaded the server is, and in which order queued requests start.
use crate::{controller::AdmissionController, request::RequestRecord, Time};

// As fractions of the shortest response target: pending work per core below which there is no pressure, and
// at which no more requests are wanted.
const LOW_LOAD: f64 = 0.15;
const FULL_LOAD: f64 = 0.6;
const READ_DELAY_WEIGHT: f64 = 2.0; // weight of the read delay against pending work, in the advice to callers
pub(crate) const ANSWER_FRACTION: f64 = 0.95; // part of the time left to shut down, by which all are answered
const MIN_WANTED_SHARE: f64 = 0.25; // least share of traffic asked for, so that callers still get responses

impl AdmissionController {
    /// The work of running and queued requests, as time that all cores need for it.
    fn pending_work(&self) -> f64 {
        let remaining = |r| self.costs.remaining(r);
        let running: f64 = self.requests.started().filter(|r| !r.answered).map(remaining).sum();
        let queued: f64 = self.requests.queued().map(|r| self.costs.current(r)).sum();
        (running + queued) / self.concurrency.cores
    }

    /// The load that callers can take off this server, as a time.
    fn reducible_load(&self, now: Time) -> f64 {
        self.pending_work() / READ_DELAY_WEIGHT + self.advisor.read_delay(now) * READ_DELAY_WEIGHT
    }

    /// The load above that at which no more requests are wanted.
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

    /// Departure: while requests wait to be read the limit shrinks, so that the cores read first: an unread
    /// request gets no answer, not even a rejection. Covers any burst, slow period or cold start in which
    /// requests arrive faster than they are read.
    pub(crate) fn effective_limit(&self, now: Time) -> f64 {
        let fraction = (1.0 - self.pressure(self.advisor.read_delay(now))).clamp(0.0, 1.0);
        (self.concurrency.limit * fraction).max(1.0)
    }

    /// Runs that wait to call, as a fraction of the calls that may be in flight.
    pub(crate) fn call_backlog(&self) -> f64 {
        self.requests.awaiting_call().count() as f64 / self.calls.limit
    }

    /// Queued requests in the order of their start: by age or, if not all can be served in time, by value per
    /// unit of work.
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
