//! How loaded the server is, and which queued request comes first.
use crate::{controller::AdmissionController, request::RequestRecord, Time};

const CALM: f64 = 0.15; // work in hand a core under which all is well, part of the shortest response target
const FULL: f64 = 0.6; // work in hand a core at which no more is wanted, likewise
const UNREAD_WEIGHT: f64 = 2.0; // of the delay before reading over the work in hand, for callers
pub(crate) const ANSWER_FRACTION: f64 = 0.95; // of the time left to shut down, by which all is answered
const MIN_ADVICE: f64 = 0.25; // minimum share of traffic asked for, so that callers still get responses

impl AdmissionController {
    /// Work in hand, as time that all cores need for it.
    fn work_in_hand(&self) -> f64 {
        let remaining = |r| self.costs.remaining(r);
        let running: f64 = self.requests.started().filter(|r| !r.answered).map(remaining).sum();
        let queued: f64 = self.requests.queued().map(|r| self.costs.of(r)).sum();
        (running + queued) / self.concurrency.cores
    }

    /// What callers can take off this server.
    fn burden(&self, now: Time) -> f64 {
        self.work_in_hand() / UNREAD_WEIGHT + self.advisor.read_delay(now) * UNREAD_WEIGHT
    }

    /// The burden past that at which no more is wanted.
    pub(crate) fn excess_burden(&self, now: Time) -> f64 {
        let shortest_target = self.priorities.shortest_target.as_f64();
        (self.burden(now) - UNREAD_WEIGHT * FULL * shortest_target).max(0.0)
    }

    /// Part of the way from calm to full.
    fn pressure(&self, wait: f64) -> f64 {
        (wait / self.priorities.shortest_target.as_f64() - CALM) / (FULL - CALM)
    }

    /// The share of their traffic that is wanted of callers.
    pub(crate) fn wanted_share(&self, now: Time) -> f64 {
        let calm = (1.0 - self.pressure(self.burden(now))).clamp(MIN_ADVICE, 1.0);
        let warm = self.concurrency.capacity(now) * self.slow_start_share(now);
        calm.min(if self.drain.is_some() { 0.0 } else { warm })
    }

    /// Departure: while requests wait unread the limit shrinks, so that the cores read first: what waits
    /// unread is told nothing. It holds against any rush, slow spell or cold start that outruns the reading.
    pub(crate) fn effective_limit(&self, now: Time) -> f64 {
        let fraction = (1.0 - self.pressure(self.advisor.read_delay(now))).clamp(0.0, 1.0);
        (self.concurrency.limit * fraction).max(1.0)
    }

    /// Runs that wait to call, part of the calls that may be in flight.
    pub(crate) fn call_backlog(&self) -> f64 {
        self.requests.awaiting_call().count() as f64 / self.calls.limit
    }

    /// Queued requests in the order of their start: by age, or where not all can be won, by value per work.
    pub(crate) fn start_order(&self, now: Time) -> Vec<&RequestRecord> {
        let handler_gains = self.priorities.handler_gains(now);
        let tenant_gains = self.priorities.tenant_gains(now, now - self.concurrency.started_at);
        let is_pressed = self.pressure(self.work_in_hand() + self.advisor.read_delay(now)) > 0.0;
        let rank = |request: &RequestRecord| {
            let handler = self.priorities.handler(request);
            let is_late = now.as_f64() + self.costs.of(request) > request.target_at.as_f64();
            let tenant_gain =
                request.arrival.tenant.and_then(|tenant| tenant_gains.get(tenant.0)).unwrap_or(&1.0);
            let work = if self.priorities.goal.by_work { 1.0 } else { self.costs.usual(request).max(1.0) };
            let fraction = if is_late { handler.late_value } else { 1.0 };
            let gain = handler_gains[request.handler_index()] * tenant_gain;
            gain * fraction * handler.value / work * f64::from(is_pressed)
        };
        let mut ranked: Vec<(f64, &RequestRecord)> = self.requests.queued().map(|r| (rank(r), r)).collect();
        let age_key = |request: &RequestRecord| (request.arrived_at, request.id());
        ranked.sort_by(|(a, r), (b, q)| b.total_cmp(a).then_with(|| age_key(r).cmp(&age_key(q))));
        ranked.into_iter().map(|(_, request)| request).collect()
    }
}
