//! Histograms over sliding windows: run times of a handler, and gaps between consecutive requests of the same caller.

use crate::windows::BUCKETS;
use cottondyke_types::{SlidingWindow, Time};

/// Number of bins of a histogram of run times; each covers an equal fraction of the client timeout.
const RUN_TIME_BINS: usize = 20;
/// Number of bins of a histogram of gaps, each twice as wide as the one before.
pub(crate) const GAP_BINS: usize = 10;

/// Run times of a handler, as a histogram over a window.
pub(crate) struct RunTimeHistogram {
    client_timeout: Time,
    bins: SlidingWindow<RUN_TIME_BINS, BUCKETS>,
}

impl RunTimeHistogram {
    pub(crate) fn new(client_timeout: Time, window: Time) -> Self {
        RunTimeHistogram {
            client_timeout,
            bins: SlidingWindow::new(window),
        }
    }

    pub(crate) fn record(&mut self, now: Time, run_time: Time) {
        let fraction = run_time.as_f64() / self.client_timeout.as_f64();
        let bin = (fraction * RUN_TIME_BINS as f64) as usize;
        self.bins.add(now, bin.min(RUN_TIME_BINS - 1), 1.0);
    }

    /// The run time below which `quantile` of the runs stay, but no less than `min_fraction` of the client timeout.
    pub(crate) fn quantile(&self, now: Time, quantile: f64, min_fraction: f64) -> Time {
        let bin = self.bins.quantile(now, quantile);
        let bins = bin.unwrap_or(RUN_TIME_BINS - 1) + 1;
        let fraction = bins as f64 / RUN_TIME_BINS as f64;
        self.client_timeout.scaled(fraction.max(min_fraction))
    }
}

/// Gaps between consecutive requests of the same caller, counted over all callers, as a histogram over a window.
pub(crate) struct GapHistogram {
    longest: Time,
    bins: SlidingWindow<GAP_BINS, BUCKETS>,
}

impl GapHistogram {
    /// The last bin counts the gaps longer than `longest`.
    pub(crate) fn new(longest: Time, window: Time) -> Self {
        GapHistogram {
            longest,
            bins: SlidingWindow::new(window),
        }
    }

    /// The longest gap that a bin counts; for the last bin, which has no upper bound, `longest`.
    pub(crate) fn upper_bound(&self, bin: usize) -> Time {
        Time(self.longest.0 >> (GAP_BINS - 2).saturating_sub(bin))
    }

    pub(crate) fn record(&mut self, now: Time, gap: Time) {
        let fits = |bin: &usize| gap <= self.upper_bound(*bin);
        let bin = (0..GAP_BINS - 1).find(fits).unwrap_or(GAP_BINS - 1);
        self.bins.add(now, bin, 1.0);
    }

    pub(crate) fn counts(&self, now: Time) -> [f64; GAP_BINS] {
        self.bins.sums(now)
    }
}
