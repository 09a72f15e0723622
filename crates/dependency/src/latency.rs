//! The observed latency of one dependency: quantiles over the last one to two windows (two HDR histograms in turn), and
//! the ratio of a recent mean to a slowly moving baseline.
use cottondyke_types::Time;
use hdrhistogram::Histogram;

/// How long each of the two histograms records; quantiles cover at most twice this time.
const HISTOGRAM_WINDOW: Time = Time(50_000);
/// Minimum number of recorded calls for a quantile.
const MIN_SAMPLES: u64 = 30;
/// The longest latency that the histograms can represent, in tenths of a millisecond.
const MAX_LATENCY: u64 = 600_000;
/// Significant decimal digits of the histograms.
const HISTOGRAM_DIGITS: u8 = 2;
/// A cached quantile is recomputed after this many further samples. Every quantile is read for each call; without this
/// cache, or with one entry shared by all quantiles, computing them took a seventh of an aggregation's cost.
const QUANTILE_REFRESH_SAMPLES: u64 = 32;
/// Weight of the newest sample in the recent mean, an exponentially weighted moving average.
const RECENT_WEIGHT: f64 = 0.1;
/// Weights of the newest sample in the baseline if the sample lies below the baseline and if it lies above.
const BASELINE_WEIGHT_BELOW: f64 = 0.02;
const BASELINE_WEIGHT_ABOVE: f64 = 0.005;

/// The latency of a call that succeeded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LatencySample {
    /// The time from the call to its response.
    pub latency: Time,
    /// Whether the response came while the call was still awaited.
    pub in_time: bool,
}

#[derive(Clone, Copy, Debug)]
struct CachedQuantile {
    quantile: f64,
    /// Samples recorded when it was computed.
    samples: u64,
    value: Time,
}

/// Tracks the latency of the calls to one dependency.
#[derive(Clone, Debug)]
pub struct LatencyTracker {
    current: Histogram<u32>,
    previous: Histogram<u32>,
    /// When the current histogram was started.
    rotated_at: Time,
    cached_quantiles: Vec<CachedQuantile>,
    /// Recent mean and baseline, in tenths of a millisecond; 0 before the first sample.
    recent: f64,
    baseline: f64,
}

impl LatencyTracker {
    /// A tracker without samples.
    pub fn new(now: Time) -> Self {
        let histogram = || {
            Histogram::new_with_bounds(1, MAX_LATENCY, HISTOGRAM_DIGITS)
                .expect("the constant bounds are valid")
        };
        LatencyTracker {
            current: histogram(),
            previous: histogram(),
            rotated_at: now,
            cached_quantiles: Vec::new(),
            recent: 0.0,
            baseline: 0.0,
        }
    }

    /// Records a call that succeeded. Quantiles cover only the calls that ended in time: late calls of a slow period
    /// would delay hedging until long after it.
    pub fn record(&mut self, now: Time, sample: LatencySample) {
        if now - self.rotated_at >= HISTOGRAM_WINDOW {
            std::mem::swap(&mut self.current, &mut self.previous);
            self.current.reset();
            self.rotated_at = now;
            self.cached_quantiles.clear();
        }
        if sample.in_time {
            let value = sample.latency.0.clamp(1, MAX_LATENCY as i64) as u64;
            self.current.saturating_record(value);
        }
        self.update_means(sample.latency.as_f64().max(1.0));
    }

    fn update_means(&mut self, latency: f64) {
        if self.baseline == 0.0 {
            self.recent = latency;
            self.baseline = latency;
        }
        self.recent += (latency - self.recent) * RECENT_WEIGHT;
        let weight = if latency < self.baseline {
            BASELINE_WEIGHT_BELOW
        } else {
            BASELINE_WEIGHT_ABOVE
        };
        self.baseline += (latency - self.baseline) * weight;
    }

    /// The latency that this fraction of the calls did not exceed; `None` until enough calls are recorded.
    pub fn quantile(&mut self, quantile: f64) -> Option<Time> {
        let samples = self.current.len() + self.previous.len();
        if samples < MIN_SAMPLES {
            return None;
        }
        let slot = self
            .cached_quantiles
            .iter()
            .position(|cached| cached.quantile == quantile);
        if let Some(cached) = slot.map(|slot| self.cached_quantiles[slot]) {
            if samples.saturating_sub(cached.samples) < QUANTILE_REFRESH_SAMPLES {
                return Some(cached.value);
            }
        }
        let value = self.compute_quantile(quantile);
        let computed = CachedQuantile {
            quantile,
            samples,
            value,
        };
        match slot {
            Some(slot) => self.cached_quantiles[slot] = computed,
            None => self.cached_quantiles.push(computed),
        }
        Some(value)
    }

    fn compute_quantile(&self, quantile: f64) -> Time {
        let mut all = self.previous.clone();
        // Adding can fail only for histograms of different bounds.
        let _ = all.add(&self.current);
        Time(all.value_at_quantile(quantile.clamp(0.0, 1.0)) as i64)
    }

    /// The baseline latency of a call; `None` before the first sample.
    pub fn baseline(&self) -> Option<Time> {
        (self.baseline > 0.0).then_some(Time(self.baseline as i64))
    }

    /// Recent latency as a multiple of the baseline; 1 before the first sample.
    pub fn gradient(&self) -> f64 {
        if self.baseline > 0.0 {
            self.recent / self.baseline
        } else {
            1.0
        }
    }
}
