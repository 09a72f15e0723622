//! How much of this server's share of calls to a dependency is used.

use crate::windows::BUCKETS;
use cottondyke_types::{SlidingWindow, Time};

/// The calls that occupy a dependency over a window: those in flight, and abandoned ones that may still be running.
pub(crate) struct CallOccupancy {
    /// The number of calls integrated over time, in tenths of a millisecond.
    call_time: SlidingWindow<1, BUCKETS>,
    abandoned_linger: Time,
    abandoned_until: Vec<Time>,
}

impl CallOccupancy {
    /// `abandoned_linger`: how long an abandoned call keeps running.
    pub(crate) fn new(window: Time, abandoned_linger: Time) -> Self {
        // The oldest bucket is partly expired, so the other buckets alone must cover the window.
        let window = window.scaled(BUCKETS as f64 / (BUCKETS - 1) as f64);
        CallOccupancy {
            call_time: SlidingWindow::new(window),
            abandoned_linger,
            abandoned_until: Vec::new(),
        }
    }

    /// Accounts for `in_flight` calls over the time `elapsed`, in tenths of a millisecond, up to `now`.
    pub(crate) fn advance(&mut self, now: Time, in_flight: usize, elapsed: f64) {
        self.abandoned_until.retain(|end| *end > now);
        let calls = in_flight + self.abandoned_until.len();
        self.call_time.add(now, 0, calls as f64 * elapsed);
    }

    pub(crate) fn add_abandoned(&mut self, now: Time) {
        self.abandoned_until.push(now + self.abandoned_linger);
    }

    pub(crate) fn abandoned(&self) -> usize {
        self.abandoned_until.len()
    }

    /// How long an abandoned call keeps running, in tenths of a millisecond.
    pub(crate) fn linger(&self) -> f64 {
        self.abandoned_linger.as_f64()
    }

    /// The number of calls integrated over the window, in tenths of a millisecond.
    pub(crate) fn call_time(&self, now: Time) -> f64 {
        self.call_time.sums(now)[0]
    }
}
