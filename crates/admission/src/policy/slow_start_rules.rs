//! How the slow-start budget affects requests and callers.
use crate::{controller::AdmissionController, request::RequestRecord, RequestId, Time};

const MAX_SPEED_RATIO: f64 = 2.0; // highest speed assumed of a cold server, as a multiple of its stated one

impl AdmissionController {
    /// The work of a request as time on a core at full speed: by its hint, else by the learned cost, which
    /// is that of a core below full speed.
    pub(crate) fn full_speed_work(&self, now: Time, request: &RequestRecord) -> f64 {
        let speed = (self.concurrency.capacity(now) * MAX_SPEED_RATIO).min(1.0);
        let learned = self.costs.usual(request) * speed;
        if request.arrival.cost_hint.is_some() {
            request.base_cost
        } else {
            learned
        }
    }

    /// Whether the slow-start budget has room for a request now.
    pub(crate) fn fits_slow_start(&self, now: Time, request: &RequestRecord) -> bool {
        let fits = |allowed| self.slow_start.fits_at(now, allowed, self.full_speed_work(now, request)) <= now;
        self.slow_start.allowed(now, &self.concurrency).is_none_or(fits)
    }

    /// A queued request that the slow-start budget lets start too late for its response target. It is
    /// rejected early enough for another server to take it.
    pub(crate) fn over_slow_start_budget(&self, now: Time) -> Option<RequestId> {
        let allowed = self.slow_start.allowed(now, &self.concurrency)?;
        let mut work = 0.0;
        for request in self.start_order(now) {
            work += self.full_speed_work(now, request);
            let starts_at = self.slow_start.fits_at(now, allowed, work);
            let time_needed = self.costs.current(request) + self.costs.handler(request).off_core_time;
            let is_late = starts_at.as_f64() + time_needed > self.latest_finish(now, request).as_f64();
            if starts_at > now && is_late {
                return Some(request.id());
            }
        }
        None
    }

    /// How long until the slow-start budget has room for a request behind those that are queued.
    pub(crate) fn slow_start_wait(&self, now: Time, request: &RequestRecord) -> Time {
        let Some(allowed) = self.slow_start.allowed(now, &self.concurrency) else { return Time(0) };
        let queued: f64 = self.requests.queued().map(|r| self.full_speed_work(now, r)).sum();
        self.slow_start.fits_at(now, allowed, queued + self.full_speed_work(now, request)) - now
    }

    /// The fraction of the offered work that the slow-start budget has room for.
    pub(crate) fn slow_start_share(&self, now: Time) -> f64 {
        let offered = self.slow_start.offered(now);
        let share = |allowed: f64| (allowed / offered.max(1.0)).min(1.0);
        self.slow_start.allowed(now, &self.concurrency).map_or(1.0, share)
    }
}
