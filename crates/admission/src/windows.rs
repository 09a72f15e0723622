//! Sliding windows with named sums.

use crate::arrival::Arrival;
use cottondyke_types::{SlidingWindow, Time};

/// Number of buckets of each sliding window.
pub(crate) const BUCKETS: usize = 8;

/// Value offered and earned over a window.
#[derive(Clone)]
pub(crate) struct ValueWindow(SlidingWindow<4, BUCKETS>);

/// The sums of a [`ValueWindow`].
#[derive(Clone, Copy)]
pub(crate) struct ValueSums {
    /// Value of the requests that arrived.
    pub(crate) offered: f64,
    /// Value that completed requests earned.
    pub(crate) earned: f64,
    /// Number of requests that arrived.
    pub(crate) offered_count: f64,
    /// Number of requests that were completed.
    pub(crate) completed_count: f64,
}

impl ValueSums {
    /// The fraction of the offered value that was earned.
    pub(crate) fn served_fraction(&self) -> f64 {
        if self.offered > 0.0 {
            self.earned / self.offered
        } else {
            1.0
        }
    }
}

impl ValueWindow {
    pub(crate) fn new(window: Time) -> Self {
        ValueWindow(SlidingWindow::new(window))
    }

    pub(crate) fn add_offered(&mut self, now: Time, value: f64) {
        self.0.add_all(now, [value, 0.0, 1.0, 0.0]);
    }

    pub(crate) fn add_completed(&mut self, now: Time, value: f64) {
        self.0.add_all(now, [0.0, value, 0.0, 1.0]);
    }

    /// The length of the window, in tenths of a millisecond.
    pub(crate) fn duration(&self) -> f64 {
        self.0.duration()
    }

    pub(crate) fn sums(&self, now: Time) -> ValueSums {
        let [offered, earned, offered_count, completed_count] = self.0.sums(now);
        ValueSums {
            offered,
            earned,
            offered_count,
            completed_count,
        }
    }
}

/// How many requests arrived, and how many of them were lost, over a window.
pub(crate) struct LossWindow(SlidingWindow<3, BUCKETS>);

impl LossWindow {
    pub(crate) fn new(window: Time) -> Self {
        LossWindow(SlidingWindow::new(window))
    }

    pub(crate) fn add_arrival(&mut self, now: Time) {
        self.0.add(now, 0, 1.0);
    }

    pub(crate) fn add_rejected(&mut self, now: Time) {
        self.0.add(now, 1, 1.0);
    }

    pub(crate) fn add_terminated(&mut self, now: Time) {
        self.0.add(now, 2, 1.0);
    }

    /// Rejected and terminated requests, per arrival.
    pub(crate) fn loss(&self, now: Time) -> f64 {
        let [arrived, rejected, terminated] = self.0.sums(now);
        if arrived > 0.0 {
            (rejected + terminated) / arrived
        } else {
            0.0
        }
    }
}

/// Arrivals and rejections over a window, and the time that reading a request takes.
pub(crate) struct LoadWindow {
    counts: SlidingWindow<4, BUCKETS>,
    /// The shortest known time between the arrival of a request and its being read; it slowly grows until a shorter
    /// one is seen.
    min_read_time: f64,
}

/// The sums of a [`LoadWindow`].
pub(crate) struct LoadSums {
    pub(crate) arrivals: f64,
    /// Arrivals that are marked as retries.
    pub(crate) retries: f64,
    /// The total time that the arrivals waited to be read, in tenths of a millisecond.
    pub(crate) observed_delay: f64,
    pub(crate) rejections: f64,
}

impl LoadWindow {
    pub(crate) fn new(window: Time) -> Self {
        LoadWindow {
            counts: SlidingWindow::new(window),
            min_read_time: f64::MAX,
        }
    }

    /// Adds an arrival. One without an observed delay says nothing about the time that reading takes. The shortest
    /// known read time grows by the factor `read_time_growth` with each arrival until a shorter one is seen.
    pub(crate) fn add_arrival(&mut self, now: Time, arrival: &Arrival, read_time_growth: f64) {
        let delay = arrival.observed_delay.as_f64();
        let amounts = [1.0, f64::from(arrival.is_retry), delay, 0.0];
        self.counts.add_all(now, amounts);
        let is_known = arrival.observed_delay > Time(0);
        let read_time = if is_known { delay } else { f64::MAX };
        self.min_read_time = (self.min_read_time * read_time_growth).min(read_time);
    }

    pub(crate) fn add_rejection(&mut self, now: Time) {
        self.counts.add(now, 3, 1.0);
    }

    /// The length of the window, in tenths of a millisecond.
    pub(crate) fn duration(&self) -> f64 {
        self.counts.duration()
    }

    /// The time that reading a request takes by itself, in tenths of a millisecond; 0 if it is unknown.
    pub(crate) fn read_time(&self) -> f64 {
        if self.min_read_time < f64::MAX {
            self.min_read_time
        } else {
            0.0
        }
    }

    pub(crate) fn sums(&self, now: Time) -> LoadSums {
        let [arrivals, retries, observed_delay, rejections] = self.counts.sums(now);
        LoadSums {
            arrivals,
            retries,
            observed_delay,
            rejections,
        }
    }
}
