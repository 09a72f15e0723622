//! A circuit breaker. It opens when most calls of the last second failed or several failed in a row, and stays open for
//! a backoff that grows and is jittered so that instances do not probe at the same time. It then admits a few probes,
//! and closes once enough of them succeeded in a row. The pattern is described by M. Nygard, "Release It!".
use cottondyke_types::{SlidingWindow, Time, SECOND};

/// The window over which successes and failures are counted.
const WINDOW: Time = SECOND;
/// Minimum number of failures in the window for the failure ratio to open the breaker.
const MIN_FAILURES: f64 = 5.0;
/// Fraction of the calls in the window that must have failed for the breaker to open.
const OPENING_FAILURE_RATIO: f64 = 0.5;
/// Consecutive failures that open the breaker even if too few calls are made for the failure ratio to apply.
const MAX_CONSECUTIVE_FAILURES: u32 = 5;
/// The first backoff and the longest one, before jitter.
const FIRST_BACKOFF: Time = Time(2_000);
const MAX_BACKOFF: Time = Time(4_000);
/// Factor between consecutive backoffs.
const BACKOFF_GROWTH: f64 = 1.6;
/// The maximum exponent of `BACKOFF_GROWTH`, which avoids an overflow; `MAX_BACKOFF` is reached earlier.
const MAX_BACKOFF_EXPONENT: u32 = 16;
/// Maximum jitter in either direction, as a fraction of the backoff.
const JITTER_RATIO: f64 = 0.25;
/// Probes that may be in flight at once.
const MAX_PROBES: usize = 2;
/// Consecutive successful probes that close the breaker.
const CLOSING_SUCCESSES: u32 = 3;

/// State of a circuit breaker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CircuitState {
    /// Calls are admitted.
    Closed,
    /// No call is admitted before `until`; from then on probes are.
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

/// The role in which a call is admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// An ordinary call, admitted while the breaker is closed.
    Regular,
    /// A call that tests whether the dependency has recovered, admitted while the breaker is open or half-open.
    Probe,
}

/// The outcome of a call, as the breaker counts it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The dependency returned a valid response.
    Success,
    /// The call failed, was rejected or timed out.
    Failure,
}

/// A draw from the uniform distribution over [0, 1] that determines the jitter of the next backoff.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UniformDraw(pub f64);

/// A failure ratio that is too high to be attributed to chance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FailureThreshold {
    /// Failures as a fraction of calls.
    pub ratio: f64,
    /// Minimum denominator: if fewer calls ended in the window, the fraction is taken of this number instead.
    pub min_calls: f64,
}

/// Indices of the successes and the failures in the sliding window.
const SUCCESSES: usize = 0;
const FAILURES: usize = 1;

/// The circuit breaker of one dependency.
#[derive(Clone, Debug)]
pub struct CircuitBreaker {
    state: CircuitState,
    /// Successes and failures in the window.
    results: SlidingWindow<2, 8>,
    consecutive_failures: u32,
    probes_in_flight: usize,
    /// Openings since the breaker last stayed closed for longer than [`MAX_BACKOFF`]; determines the next backoff.
    openings: u32,
    closed_at: Time,
    enabled: bool,
}

impl CircuitBreaker {
    /// Creates a closed breaker; if it is not `enabled`, it stays closed.
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

    /// Enables or disables the breaker; disabling closes it.
    pub fn set_enabled(&mut self, enabled: bool) {
        self.enabled = enabled;
        if !enabled {
            self.state = CircuitState::Closed;
        }
    }

    /// The current state.
    pub fn state(&self) -> CircuitState {
        self.state
    }

    /// Whether the failure ratio of the last second reaches `threshold`.
    pub fn reaches_failure_threshold(&self, threshold: FailureThreshold, now: Time) -> bool {
        let [successes, failures] = self.results.sums(now);
        failures / (successes + failures).max(threshold.min_calls) >= threshold.ratio
    }

    /// The kind of call that is admitted now; `None` if no call is.
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

    /// Records that a probe is sent; the first probe moves an open breaker to half-open.
    pub fn record_probe_sent(&mut self) {
        self.probes_in_flight += 1;
        if matches!(self.state, CircuitState::Open { .. }) {
            self.state = CircuitState::HalfOpen { successes: 0 };
        }
    }

    /// Records the end of a call whose outcome is no evidence about the health of the dependency.
    pub fn record_ignored(&mut self, kind: CallKind) {
        if kind == CallKind::Probe {
            self.probes_in_flight = self.probes_in_flight.saturating_sub(1);
        }
    }

    /// Records the outcome of a call. `draw` determines the jitter of the backoff if this opens the breaker.
    pub fn record(&mut self, now: Time, kind: CallKind, outcome: CallOutcome, draw: UniformDraw) {
        self.record_ignored(kind);
        let counter = match outcome {
            CallOutcome::Success => SUCCESSES,
            CallOutcome::Failure => FAILURES,
        };
        self.results.add(now, counter, 1.0);
        if !self.enabled {
            return;
        }
        match (self.state, kind) {
            (CircuitState::Closed, _) => self.record_while_closed(now, outcome, draw),
            (CircuitState::HalfOpen { successes }, CallKind::Probe) => match outcome {
                CallOutcome::Failure => self.open(now, draw),
                CallOutcome::Success if successes + 1 >= CLOSING_SUCCESSES => self.close(now),
                CallOutcome::Success => {
                    self.state = CircuitState::HalfOpen {
                        successes: successes + 1,
                    };
                }
            },
            // A call that was sent before the breaker opened is no new evidence.
            (CircuitState::HalfOpen { .. }, CallKind::Regular) | (CircuitState::Open { .. }, _) => {
            }
        }
    }

    fn record_while_closed(&mut self, now: Time, outcome: CallOutcome, draw: UniformDraw) {
        self.consecutive_failures = match outcome {
            CallOutcome::Success => 0,
            CallOutcome::Failure => self.consecutive_failures + 1,
        };
        let [successes, failures] = self.results.sums(now);
        let most_failed =
            failures >= MIN_FAILURES && failures >= OPENING_FAILURE_RATIO * (successes + failures);
        if most_failed || self.consecutive_failures >= MAX_CONSECUTIVE_FAILURES {
            // A breaker that opens again soon after it closed continues with the longer backoffs.
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
