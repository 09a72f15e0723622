//! The budget of slow start: how much a cold server begins.
use super::concurrency_limit::ConcurrencyLimit;
use crate::Time;
use cottondyke_types::SlidingWindow;
use std::collections::VecDeque;

const BUCKETS: usize = 8; // of the window over which offered work is counted

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
    pub(super) fn allowed(&self, now: Time, concurrency: &ConcurrencyLimit) -> Option<f64> {
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

    /// Nothing is kept where there is no bound: a warm server begins any number.
    pub(crate) fn add_begun(&mut self, at: Time, work: f64, concurrency: &ConcurrencyLimit) {
        if self.allowed(at, concurrency).is_some() {
            self.begun.push_back(BegunWork { at, work });
            self.total += work;
        }
    }

    /// The work that was offered over the window.
    pub(super) fn offered(&self, now: Time) -> f64 {
        self.offered.sums(now)[0]
    }

    pub(crate) fn add_offered(&mut self, now: Time, work: f64) {
        self.offered.add(now, 0, work);
    }

    /// When so much more work fits. A request that is larger than the whole budget fits an empty window.
    pub(super) fn fits_at(&self, now: Time, allowed: f64, work: f64) -> Time {
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
