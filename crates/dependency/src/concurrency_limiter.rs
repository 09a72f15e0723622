//! The adaptive concurrency limit of one dependency: additive increase while the limit is used and calls succeed,
//! multiplicative decrease on signs of overload (AIMD, as in TCP congestion control, RFC 5681), and a smaller decrease
//! while the latency gradient indicates a queue (as in Netflix's `concurrency-limits`).
use cottondyke_types::Time;

/// Fraction of the limit that remains after a sign of overload.
const OVERLOAD_DECREASE: f64 = 0.7;
/// Fraction of the limit that remains after a call whose latency indicates a queue.
const QUEUE_DECREASE: f64 = 0.95;
/// Fraction of the maximum at which the limit restarts after the circuit breaker closed.
const RESTART_RATIO: f64 = 0.25;
/// Recent latency above this multiple of the baseline indicates a queue at the dependency.
const QUEUE_GRADIENT: f64 = 2.0;
/// The limit grows only while at least this fraction of it is in use: successes at a lower utilization do not show that
/// the dependency can handle more calls.
const MIN_UTILIZATION: f64 = 0.5;

/// The range of the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitRange {
    /// The limit never falls below this; at least 1 and at most `max` are used.
    pub min: usize,
    /// The limit never rises above this; at least 1 is used.
    pub max: usize,
    /// Whether the limit adapts; otherwise it stays at `max`.
    pub adaptive: bool,
}

/// Measurements taken when a call succeeds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SuccessSample {
    /// Recent latency as a multiple of the baseline.
    pub latency_gradient: f64,
    /// Calls in flight, this one included.
    pub in_flight: usize,
    /// The usual round-trip time, within which the limit decreases at most once.
    pub round_trip: Time,
}

/// The adaptive limit on calls in flight.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimiter {
    min: f64,
    max: f64,
    /// The current limit; between `min` and `max` unless the maximum was lowered below `min`.
    limit: f64,
    /// Below this the limit grows by one per call, above it by one per round trip.
    slow_start_threshold: f64,
    /// The earliest time of the next decrease: calls sent before the last decrease are signs of the same overload.
    next_decrease: Time,
    adaptive: bool,
}

impl ConcurrencyLimiter {
    /// Creates a limiter whose limit starts at the maximum of its range.
    pub fn new(range: LimitRange) -> Self {
        let max = range.max.max(1) as f64;
        ConcurrencyLimiter {
            min: (range.min as f64).clamp(1.0, max),
            max,
            limit: max,
            slow_start_threshold: max,
            next_decrease: Time(0),
            adaptive: range.adaptive,
        }
    }

    /// Changes the range; the learned limit is kept, clamped to the new range.
    pub fn set_range(&mut self, range: LimitRange) {
        self.max = range.max.max(1) as f64;
        self.min = (range.min as f64).clamp(1.0, self.max);
        self.limit = if range.adaptive {
            self.limit.clamp(self.min, self.max)
        } else {
            self.max
        };
        self.adaptive = range.adaptive;
    }

    /// Changes only the maximum: a limit at the old maximum moves to the new one; a lower, learned limit is kept up to
    /// the new maximum.
    pub fn set_max(&mut self, max: usize) {
        let max = max.max(1) as f64;
        if self.limit >= self.max || !self.adaptive {
            self.limit = max;
            self.slow_start_threshold = max;
        }
        self.limit = self.limit.min(max);
        self.max = max;
    }

    /// Whether the limit is at its maximum.
    pub fn is_at_max(&self) -> bool {
        self.limit >= self.max
    }

    /// The number of calls that may be in flight.
    pub fn limit(&self) -> usize {
        self.limit as usize
    }

    /// Records that a call succeeded.
    pub fn record_success(&mut self, now: Time, sample: &SuccessSample) {
        if sample.latency_gradient > QUEUE_GRADIENT {
            self.decrease(now, QUEUE_DECREASE, sample.round_trip);
        } else if self.adaptive && sample.in_flight as f64 >= self.limit * MIN_UTILIZATION {
            let increase = if self.limit < self.slow_start_threshold {
                1.0
            } else {
                1.0 / self.limit
            };
            self.limit = (self.limit + increase).min(self.max);
        }
    }

    /// Records that a call ended with a sign of overload.
    pub fn record_overload(&mut self, now: Time, round_trip: Time) {
        self.decrease(now, OVERLOAD_DECREASE, round_trip);
    }

    fn decrease(&mut self, now: Time, remaining_fraction: f64, round_trip: Time) {
        if self.adaptive && now >= self.next_decrease {
            // The reduced limit is taken as the highest that recently worked: above it, recovery is slow.
            self.slow_start_threshold = self.limit * remaining_fraction;
            self.limit = self.slow_start_threshold.max(self.min);
            self.next_decrease = now + round_trip;
        }
    }

    /// Restarts after the circuit breaker closed: from a fraction of the maximum, growing by one per call up to the
    /// former limit.
    pub fn restart(&mut self) {
        if self.adaptive {
            self.slow_start_threshold = self.slow_start_threshold.max(self.limit);
            self.limit = self.limit.min(self.max * RESTART_RATIO).max(self.min);
        }
    }
}
