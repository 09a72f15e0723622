//! A circuit breaker: opens when most calls of the last second failed, rests a time that grows and is drawn
//! apart for each instance, then lets few probes through; closes after enough of them ended well in a row.
use cottondyke_types::{SlidingWindow, Time, SECOND};

/// Calls that failed within the look-back before it opens, and the part of all that they must be.
const LEAST: f64 = 5.0;
const MOSTLY: f64 = 0.5;
/// Failures in a row that open it where few calls are made.
const IN_A_ROW: u32 = 5;
/// The first rest and the longest, the factor between them, and how far it is drawn to either side.
const FIRST_REST: Time = Time(2_000);
const LONGEST_REST: Time = Time(4_000);
const GROWTH: f64 = 1.6;
const SPREAD: f64 = 0.25;
/// Probes in hand at once, and good ones in a row that close it.
const PROBES: usize = 2;
const PROVEN: u32 = 3;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CircuitState {
    Closed,
    Open { until: Time },
    HalfOpen { good: u32 },
}

/// Whether a call may go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pass {
    Free,
    Probe,
    No,
}

#[derive(Clone, Debug)]
pub struct CircuitBreaker {
    stage: CircuitState,
    ends: SlidingWindow<2, 8>,
    row: u32,
    probes: usize,
    /// Openings since it was last closed for good.
    openings: u32,
    closed: Time,
    enabled: bool,
}

impl CircuitBreaker {
    pub fn new(now: Time, enabled: bool) -> Self {
        let ends = SlidingWindow::new(SECOND);
        CircuitBreaker {
            stage: CircuitState::Closed,
            ends,
            row: 0,
            probes: 0,
            openings: 0,
            closed: now,
            enabled,
        }
    }

    pub fn enable(&mut self, enabled: bool) {
        self.enabled = enabled;
        if !enabled {
            self.stage = CircuitState::Closed;
        }
    }

    pub fn stage(&self) -> CircuitState {
        self.stage
    }

    /// The part of the calls of the last second that failed; where they were few, of `least`.
    pub fn failing(&self, now: Time, least: f64) -> f64 {
        let [well, ill] = self.ends.sums(now);
        ill / (well + ill).max(least)
    }

    /// Whether a call would be let through, without letting it.
    pub fn pass(&self, now: Time) -> Pass {
        let room = self.probes < PROBES;
        match self.stage {
            CircuitState::Closed => Pass::Free,
            CircuitState::Open { until } if now < until => Pass::No,
            CircuitState::Open { .. } | CircuitState::HalfOpen { .. } if room => Pass::Probe,
            _ => Pass::No,
        }
    }

    /// A probe was sent; true if it is the first since the breaker opened.
    pub fn probing(&mut self) -> bool {
        self.probes += 1;
        let first = matches!(self.stage, CircuitState::Open { .. });
        if first {
            self.stage = CircuitState::HalfOpen { good: 0 };
        }
        first
    }

    /// A probe ended that says nothing of the dependency.
    pub fn no_word(&mut self, probe: bool) {
        self.probes -= usize::from(probe).min(self.probes);
    }

    /// How a call ended. `draw`: from 0 to 1, evenly. True if the breaker closed by it.
    pub fn ended(&mut self, now: Time, probe: bool, good: bool, draw: f64) -> bool {
        self.no_word(probe);
        self.ends.add(now, usize::from(!good), 1.0);
        if !self.enabled {
            return false;
        }
        match self.stage {
            CircuitState::Closed => {
                self.row = if good { 0 } else { self.row + 1 };
                let [well, ill] = self.ends.sums(now);
                if ill >= LEAST && ill >= MOSTLY * (well + ill) || self.row >= IN_A_ROW {
                    // One that opens again soon after it closed goes on with the longer rests.
                    if now - self.closed > LONGEST_REST {
                        self.openings = 0;
                    }
                    self.open(now, draw);
                }
                false
            }
            CircuitState::HalfOpen { .. } if probe && !good => {
                self.open(now, draw);
                false
            }
            CircuitState::HalfOpen { good: before } if probe && before + 1 >= PROVEN => {
                (self.stage, self.closed, self.row) = (CircuitState::Closed, now, 0);
                self.ends = SlidingWindow::new(SECOND);
                true
            }
            CircuitState::HalfOpen { good: before } if probe => {
                self.stage = CircuitState::HalfOpen { good: before + 1 };
                false
            }
            // What was sent before it opened says nothing new.
            CircuitState::HalfOpen { .. } | CircuitState::Open { .. } => false,
        }
    }

    fn open(&mut self, now: Time, draw: f64) {
        let rest = FIRST_REST
            .scaled(GROWTH.powi(self.openings.min(16) as i32))
            .min(LONGEST_REST);
        let rest = rest.scaled(1.0 + SPREAD * (2.0 * draw.clamp(0.0, 1.0) - 1.0));
        self.openings += 1;
        self.stage = CircuitState::Open { until: now + rest };
    }
}
