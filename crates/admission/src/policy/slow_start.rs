//! The slow-start budget: how much work a cold server starts.
use super::concurrency_limit::ConcurrencyLimit;
use crate::Time;
use cottondyke_types::SlidingWindow;
use std::collections::VecDeque;

const BUCKETS: usize = 8; // buckets of the window over which offered work is counted

/// Work that was started on the cores.
#[derive(Clone, Copy)]
struct StartedWork {
    at: Time,
    work: f64, // time on one core at full speed, in tenths of a millisecond
}

/// The slow-start budget: over `window`, no more work is started than a cold server can do in that time at
/// the speed that the settings state. It is needed because all callers may send to a server as soon as it is
/// back after a restart: the concurrency limit and the ceiling bound only what runs at once, and short runs
/// pass through them at any rate.
pub(crate) struct SlowStartBudget {
    window: Time,                   // the `overload_window`; zero if the settings name none: no budget
    started: VecDeque<StartedWork>, // work of the window, oldest first
    total: f64,                     // the sum of their work
    offered: SlidingWindow<1, BUCKETS>,
}

impl SlowStartBudget {
    pub(crate) fn new(window: Time) -> Self {
        let offered = SlidingWindow::new(window.max(Time(1)));
        SlowStartBudget { window, started: VecDeque::new(), total: 0.0, offered }
    }

    /// The work that may be started within a window that ends now, at the speed in its middle; `None` if
    /// there is no bound.
    pub(super) fn allowed(&self, now: Time, concurrency: &ConcurrencyLimit) -> Option<f64> {
        if self.window == Time(0) || concurrency.capacity(now) >= 1.0 {
            return None;
        }
        let middle = (now - self.window.scaled(0.5)).max(concurrency.started_at);
        Some(concurrency.cores * concurrency.capacity(middle) * self.window.as_f64())
    }

    /// Drops the work that has left the window.
    pub(crate) fn advance(&mut self, now: Time) {
        while let Some(oldest) = self.started.front().filter(|started| started.at + self.window <= now) {
            self.total -= oldest.work;
            self.started.pop_front();
        }
    }

    /// Records started work. Nothing is recorded if there is no bound: a warm server may start any number of
    /// requests, and the record would grow with them.
    pub(crate) fn add_started(&mut self, at: Time, work: f64, concurrency: &ConcurrencyLimit) {
        if self.allowed(at, concurrency).is_some() {
            self.started.push_back(StartedWork { at, work });
            self.total += work;
        }
    }

    /// The work that was offered over the window, started or not.
    pub(super) fn offered(&self, now: Time) -> f64 {
        self.offered.sums(now)[0]
    }

    pub(crate) fn add_offered(&mut self, now: Time, work: f64) {
        self.offered.add(now, 0, work);
    }

    /// When `work` more fits the budget. A request that is larger than the whole budget fits an empty window.
    pub(super) fn fits_at(&self, now: Time, allowed: f64, work: f64) -> Time {
        let mut excess = self.total + work - allowed;
        let mut fits_at = now;
        for started in &self.started {
            if excess <= 0.0 {
                break;
            }
            excess -= started.work;
            fits_at = started.at + self.window;
        }
        let overflows = excess > 0.0 && work > allowed && !self.started.is_empty();
        if overflows {
            fits_at.max(now + self.window)
        } else {
            fits_at
        }
    }
}
