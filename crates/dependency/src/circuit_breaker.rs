//! A circuit breaker: it opens when most calls of the last second failed, stays open for a backoff that grows and is
//! jittered so that instances do not probe together, then admits a few probes; it closes after enough of them succeeded
//! in a row. The pattern is described by M. Nygard, "Release It!".
use cottondyke_types::{SlidingWindow, Time, SECOND};

/// The window over which successes and failures are counted.
const WINDOW: Time = SECOND;
/// Failures within the window before it opens.
const MIN_FAILURES: f64 = 5.0;
/// Fraction of the calls in the window that must have failed before it opens.
const OPENING_FAILURE_RATIO: f64 = 0.5;
/// Consecutive failures that open it where few calls are made.
const MAX_CONSECUTIVE_FAILURES: u32 = 5;
/// The first backoff and the longest one, before jitter.
const FIRST_BACKOFF: Time = Time(2_000);
const MAX_BACKOFF: Time = Time(4_000);
/// Factor between consecutive backoffs.
const BACKOFF_GROWTH: f64 = 1.6;
/// Openings after which the backoff grows no further.
const MAX_BACKOFF_EXPONENT: u32 = 16;
/// How far a backoff is jittered to either side, as a fraction of it.
const JITTER_RATIO: f64 = 0.25;
/// Probes that may be in flight at once.
const MAX_PROBES: usize = 2;
/// Consecutive successful probes that close it.
const CLOSING_SUCCESSES: u32 = 3;

/// State of a circuit breaker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CircuitState {
    /// Calls are admitted.
    Closed,
    /// No call is admitted; from `until` on a probe is.
    Open {
        /// When the backoff ends.
        until: Time,
    },
    /// Only probes are admitted.
    HalfOpen {
        /// Probes that succeeded in a row.
        successes: u32,
    },
}

/// How a call is admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// The breaker is closed.
    Regular,
    /// It tests whether the dependency has recovered.
    Probe,
}

/// How a call ended, as far as the breaker is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallHealth {
    /// The dependency answered.
    Success,
    /// It failed to.
    Failure,
}

/// A draw from the uniform distribution over [0, 1], from which the next backoff is jittered.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UniformDraw(pub f64);

/// When failures are too many to be chance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FailureThreshold {
    /// Failures as a fraction of calls.
    pub ratio: f64,
    /// Where fewer calls than this ended, the fraction is taken of this number.
    pub min_calls: f64,
}

/// Index of the successes and of the failures in the window.
const SUCCESSES: usize = 0;
const FAILURES: usize = 1;

/// The circuit breaker of one dependency.
#[derive(Clone, Debug)]
pub struct CircuitBreaker {
    state: CircuitState,
    /// Successes and failures.
    results: SlidingWindow<2, 8>,
    consecutive_failures: u32,
    probes_in_flight: usize,
    /// Times that it opened since it was last closed for longer than the longest backoff.
    openings: u32,
    closed_at: Time,
    enabled: bool,
}

impl CircuitBreaker {
    /// A closed breaker. One that is not `enabled` stays closed.
    pub fn new(now: Time, enabled: bool) -> Self {
        CircuitBreaker {
            state: CircuitState::Closed,
            results: SlidingWindow::new(WINDOW),
            consecutive_failures: 0,
            probes_in_flight: 0,
            openings: 0,
            closed_at: now,
            enabled,
        }
    }

    /// Enables or disables it; a disabled breaker is closed.
    pub fn set_enabled(&mut self, enabled: bool) {
        self.enabled = enabled;
        if !enabled {
            self.state = CircuitState::Closed;
        }
    }

    /// The state it is in.
    pub fn state(&self) -> CircuitState {
        self.state
    }

    /// Whether the failures of the last second reach `threshold`.
    pub fn has_reached(&self, threshold: FailureThreshold, now: Time) -> bool {
        let [successes, failures] = self.results.sums(now);
        failures / (successes + failures).max(threshold.min_calls) >= threshold.ratio
    }

    /// How a call would be admitted now; `None` where it would not be.
    pub fn admits(&self, now: Time) -> Option<CallKind> {
        let may_probe = self.probes_in_flight < MAX_PROBES;
        match self.state {
            CircuitState::Closed => Some(CallKind::Regular),
            CircuitState::Open { until } if now < until => None,
            CircuitState::Open { .. } | CircuitState::HalfOpen { .. } if may_probe => {
                Some(CallKind::Probe)
            }
            CircuitState::Open { .. } | CircuitState::HalfOpen { .. } => None,
        }
    }

    /// Records that a probe is sent; the first one half-opens an open breaker.
    pub fn record_probe_sent(&mut self) {
        self.probes_in_flight += 1;
        if matches!(self.state, CircuitState::Open { .. }) {
            self.state = CircuitState::HalfOpen { successes: 0 };
        }
    }

    /// Records the end of a call that says nothing about the dependency.
    pub fn record_ignored(&mut self, kind: CallKind) {
        if kind == CallKind::Probe {
            self.probes_in_flight = self.probes_in_flight.saturating_sub(1);
        }
    }

    /// Records how a call ended. `draw` jitters the backoff where the breaker opens by it.
    pub fn record(&mut self, now: Time, kind: CallKind, health: CallHealth, draw: UniformDraw) {
        self.record_ignored(kind);
        let counter = match health {
            CallHealth::Success => SUCCESSES,
            CallHealth::Failure => FAILURES,
        };
        self.results.add(now, counter, 1.0);
        if !self.enabled {
            return;
        }
        match (self.state, kind) {
            (CircuitState::Closed, _) => self.record_while_closed(now, health, draw),
            (CircuitState::HalfOpen { successes }, CallKind::Probe) => match health {
                CallHealth::Failure => self.open(now, draw),
                CallHealth::Success if successes + 1 >= CLOSING_SUCCESSES => self.close(now),
                CallHealth::Success => {
                    self.state = CircuitState::HalfOpen {
                        successes: successes + 1,
                    };
                }
            },
            // A call that was sent before the breaker opened says nothing new.
            (CircuitState::HalfOpen { .. }, CallKind::Regular) | (CircuitState::Open { .. }, _) => {
            }
        }
    }

    fn record_while_closed(&mut self, now: Time, health: CallHealth, draw: UniformDraw) {
        self.consecutive_failures = match health {
            CallHealth::Success => 0,
            CallHealth::Failure => self.consecutive_failures + 1,
        };
        let [successes, failures] = self.results.sums(now);
        let most_failed =
            failures >= MIN_FAILURES && failures >= OPENING_FAILURE_RATIO * (successes + failures);
        if most_failed || self.consecutive_failures >= MAX_CONSECUTIVE_FAILURES {
            // A breaker that opens again soon after it closed goes on with the longer backoffs.
            if now - self.closed_at > MAX_BACKOFF {
                self.openings = 0;
            }
            self.open(now, draw);
        }
    }

    fn open(&mut self, now: Time, draw: UniformDraw) {
        let exponent = self.openings.min(MAX_BACKOFF_EXPONENT) as i32;
        let backoff = FIRST_BACKOFF
            .scaled(BACKOFF_GROWTH.powi(exponent))
            .min(MAX_BACKOFF);
        let jitter = 1.0 + JITTER_RATIO * (2.0 * draw.0.clamp(0.0, 1.0) - 1.0);
        self.openings += 1;
        self.state = CircuitState::Open {
            until: now + backoff.scaled(jitter),
        };
    }

    fn close(&mut self, now: Time) {
        self.state = CircuitState::Closed;
        self.closed_at = now;
        self.consecutive_failures = 0;
        self.results = SlidingWindow::new(WINDOW);
    }
}
