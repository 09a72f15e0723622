//! How much a server in slow start begins.
use super::concurrency_limit::ConcurrencyLimit;
use crate::{controller::AdmissionController, request::RequestRecord, Time};
use cottondyke_types::SlidingWindow;
use std::collections::VecDeque;

const BUCKETS: usize = 8; // of the window over which offered work is counted
const FASTER_THAN_TOLD: f64 = 2.0; // multiple of its told speed that a cold server is taken to have at most

/// Work that was put on the cores.
#[derive(Clone, Copy)]
struct BegunWork {
    at: Time,
    work: f64, // time on one core at full speed, in tenths of a millisecond
}

/// The budget of slow start: over the window in which overload is judged, no more work is begun than the told
/// speed does in that time. Guards against a server that all its callers keep busy as soon as it is back: the
/// pool and the ceiling bound what runs at once, and short runs pass through them at any rate.
pub(crate) struct SlowStartBudget {
    window: Time,               // zero where the settings name none: no budget
    begun: VecDeque<BegunWork>, // within the window, oldest first
    total: f64,                 // their work
    offered: SlidingWindow<1, BUCKETS>,
}

impl SlowStartBudget {
    pub(crate) fn new(window: Time) -> Self {
        let offered = SlidingWindow::new(window.max(Time(1)));
        SlowStartBudget { window, begun: VecDeque::new(), total: 0.0, offered }
    }

    /// The work that may be begun within a window that ends now, at the speed in its middle; none: no bound.
    fn allowed(&self, now: Time, concurrency: &ConcurrencyLimit) -> Option<f64> {
        if self.window == Time(0) || concurrency.capacity(now) >= 1.0 {
            return None;
        }
        let middle = (now - self.window.scaled(0.5)).max(concurrency.started_at);
        Some(concurrency.cores * concurrency.capacity(middle) * self.window.as_f64())
    }

    /// Forgets what the window has passed.
    pub(crate) fn advance(&mut self, now: Time) {
        while let Some(oldest) = self.begun.front().filter(|begun| begun.at + self.window <= now) {
            self.total -= oldest.work;
            self.begun.pop_front();
        }
    }

    pub(crate) fn add_begun(&mut self, at: Time, work: f64) {
        if self.window > Time(0) {
            self.begun.push_back(BegunWork { at, work });
            self.total += work;
        }
    }

    pub(crate) fn add_offered(&mut self, now: Time, work: f64) {
        self.offered.add(now, 0, work);
    }

    /// When so much more work fits. A request that is larger than the whole budget fits an empty window.
    fn fits_at(&self, now: Time, allowed: f64, work: f64) -> Time {
        let mut excess = self.total + work - allowed;
        let mut fits_at = now;
        for begun in &self.begun {
            if excess <= 0.0 {
                break;
            }
            excess -= begun.work;
            fits_at = begun.at + self.window;
        }
        let overflows = excess > 0.0 && work > allowed && !self.begun.is_empty();
        if overflows {
            fits_at.max(now + self.window)
        } else {
            fits_at
        }
    }
}

impl AdmissionController {
    /// The work of a request on a core at full speed, by its hint; else by the learned cost, which is that of
    /// a core below its full speed.
    pub(crate) fn full_speed_work(&self, now: Time, request: &RequestRecord) -> f64 {
        let speed = (self.concurrency.capacity(now) * FASTER_THAN_TOLD).min(1.0);
        let learned = self.costs.usual(request) * speed;
        if request.arrival.cost_hint.is_some() {
            request.base_cost
        } else {
            learned
        }
    }

    /// Whether the budget of slow start has room for a request now.
    pub(crate) fn fits_slow_start(&self, now: Time, request: &RequestRecord) -> bool {
        let fits = |allowed| self.slow_start.fits_at(now, allowed, self.full_speed_work(now, request)) <= now;
        self.slow_start.allowed(now, &self.concurrency).is_none_or(fits)
    }

    /// A queued request that the budget of slow start lets begin too late for its response target: rejected
    /// while other servers may take it.
    pub(crate) fn over_slow_start_budget(&self, now: Time) -> Option<crate::RequestId> {
        let allowed = self.slow_start.allowed(now, &self.concurrency)?;
        let mut work = 0.0;
        for request in self.start_order(now) {
            work += self.full_speed_work(now, request);
            let starts_at = self.slow_start.fits_at(now, allowed, work);
            let time_needed = self.costs.of(request) + self.costs.handler(request).off_core_time;
            let is_late = starts_at.as_f64() + time_needed > self.latest_finish(now, request).as_f64();
            if starts_at > now && is_late {
                return Some(request.id());
            }
        }
        None
    }

    /// When the budget of slow start has room for a request behind those that are queued.
    pub(crate) fn slow_start_wait(&self, now: Time, request: &RequestRecord) -> Time {
        let Some(allowed) = self.slow_start.allowed(now, &self.concurrency) else { return Time(0) };
        let queued: f64 = self.requests.queued().map(|r| self.full_speed_work(now, r)).sum();
        self.slow_start.fits_at(now, allowed, queued + self.full_speed_work(now, request)) - now
    }

    /// The part of the offered work that the budget of slow start has room for.
    pub(crate) fn slow_start_share(&self, now: Time) -> f64 {
        let offered = self.slow_start.offered.sums(now)[0];
        let share = |allowed: f64| (allowed / offered.max(1.0)).min(1.0);
        self.slow_start.allowed(now, &self.concurrency).map_or(1.0, share)
    }
}
