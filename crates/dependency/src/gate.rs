//! What stands between aggregations and one dependency. Active calls, abandoned calls that may still be running, and
//! after a restart the calls that the previous incarnation of this instance may have left, all count as in flight.
//! Calls in flight never exceed the limit, and the limit never exceeds the configured or leased maximum.
use crate::circuit_breaker::{
    CallHealth, CallKind, CircuitBreaker, CircuitState, FailureThreshold, UniformDraw,
};
use crate::concurrency_limiter::{ConcurrencyLimiter, LimitRange, SuccessSample};
use crate::in_flight::{CallEnd, InFlightCalls};
use crate::latency::LatencyTracker;
use crate::lease::SendTimestamp;
use crate::messages::{CallId, PartId, Startup};
use crate::plan::{Dependency, Safeguards};
use crate::retry_budget::RetryBudget;
use crate::send_window::SendWindow;
use cottondyke_types::Time;
use std::collections::VecDeque;
use std::rc::Rc;

/// A timeout is a sign of overload only if the call was given this quantile of the observed latency, or its whole
/// time budget.
const FAIR_TIMEOUT_QUANTILE: f64 = 0.95;
/// A call is made only with at least this quantile of the observed latency left, but no more than this fraction of the
/// time budget is asked for.
const REQUIRED_TIME_QUANTILE: f64 = 0.9;
const MAX_REQUIRED_RATIO: f64 = 0.5;
/// The required time before any latency is known.
const MIN_REQUIRED_TIME: Time = Time(1);
/// Failures of the last second that are taken for overload. With each failure counted, calls of which one in forty
/// straggles held the limit at half.
const OVERLOAD_THRESHOLD: FailureThreshold = FailureThreshold {
    ratio: 0.1,
    min_calls: 20.0,
};
/// The round trip within which the limit decreases once, before any latency is known.
const INITIAL_ROUND_TRIP: Time = Time(100);

/// Whether a call may be made now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permit {
    /// It may, as this kind of call.
    Granted(CallKind),
    /// The limit on calls in flight or the rate is reached.
    LimitReached,
    /// The circuit breaker admits no calls.
    CircuitOpen,
}

/// What the end of a call says about the dependency.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallSignal {
    /// It succeeded.
    Success,
    /// It failed, which says nothing about the load.
    Failure,
    /// It was rejected, or timed out after a fair time.
    Overload,
    /// It says nothing about the dependency.
    Ignored,
}

/// The end of a call, as the gate learns from it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallObservation {
    /// How the call was admitted.
    pub kind: CallKind,
    /// What its end says.
    pub signal: CallSignal,
    /// Jitters the backoff where the circuit breaker opens by it.
    pub draw: UniformDraw,
}

/// Counters since they were last taken, for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GateCounters {
    /// First calls of a step.
    pub first_attempts: u64,
    /// Second calls beside a slow one.
    pub hedges: u64,
    /// Calls after one that failed.
    pub retries: u64,
    /// Calls that succeeded.
    pub successes: u64,
    /// Calls that failed, or showed overload.
    pub failures: u64,
    /// Calls not answered within the time given.
    pub timeouts: u64,
    /// Parts that found the limit reached and could not wait.
    pub limit_reached: u64,
    /// Parts that found the circuit breaker open.
    pub circuit_open: u64,
}

fn limit_range(dependency: &Dependency, safeguards: Safeguards) -> LimitRange {
    LimitRange {
        min: dependency.min_limit,
        max: dependency.max_calls,
        adaptive: safeguards.adapt,
    }
}

/// The gate of one dependency: limits, circuit breaker, observed latency, retry budget and queues.
#[derive(Debug)]
pub struct DependencyGate {
    /// The dependency's configuration.
    pub spec: Rc<Dependency>,
    /// The adaptive limit on calls in flight.
    pub limit: ConcurrencyLimiter,
    /// Counters for the log, to be taken by whoever writes it.
    pub counters: GateCounters,
    pub(crate) latency: LatencyTracker,
    pub(crate) retry_budget: RetryBudget,
    /// Parts that wait for their first call, oldest first.
    pub(crate) wait_queue: VecDeque<PartId>,
    /// Calls whose hedge waits for capacity, ahead of all that wait for a first call.
    pub(crate) hedge_queue: VecDeque<CallId>,
    breaker: CircuitBreaker,
    in_flight: InFlightCalls,
    /// Calls that count against the rate, where there is one.
    sends: SendWindow,
    limit_enabled: bool,
    /// Parts that waited at the last reconfiguration, whatever is allowed since.
    waiting_at_reconfiguration: usize,
    /// The limit that the log last showed.
    last_reported_limit: usize,
}

impl DependencyGate {
    /// A gate that knows nothing of its dependency yet. After a restart it counts what the previous incarnation may
    /// have left running.
    pub fn new(now: Time, spec: Rc<Dependency>, safeguards: Safeguards, startup: Startup) -> Self {
        // Where a quota is leased, the lease manager holds back what a previous incarnation may still use.
        let counts_orphans = startup == Startup::Restarted && safeguards.restart;
        let assumes_calls = counts_orphans && safeguards.limit && spec.leased_calls.is_none();
        let assumes_rate = counts_orphans && spec.leased_rate.is_none();
        let in_flight = if assumes_calls {
            InFlightCalls::new(spec.max_calls, now + spec.post_cancel_grace)
        } else {
            InFlightCalls::new(0, now)
        };
        let assumed_rate = spec.max_rate.filter(|_| assumes_rate).unwrap_or(0);
        DependencyGate {
            limit: ConcurrencyLimiter::new(limit_range(&spec, safeguards)),
            breaker: CircuitBreaker::new(now, safeguards.breaker),
            latency: LatencyTracker::new(now),
            retry_budget: RetryBudget::new(spec.retry_ratio),
            wait_queue: VecDeque::new(),
            hedge_queue: VecDeque::new(),
            counters: GateCounters::default(),
            in_flight,
            sends: SendWindow::assume_sent(now, &spec, assumed_rate),
            limit_enabled: safeguards.limit,
            waiting_at_reconfiguration: 0,
            last_reported_limit: spec.max_calls,
            spec,
        }
    }

    /// Installs another configuration; what was learned stays, and what is in flight still counts.
    pub fn reconfigure(&mut self, now: Time, spec: Rc<Dependency>, safeguards: Safeguards) {
        // Calls were not recorded before there was a rate: as many as it allows may have been sent just now.
        if let Some(rate) = spec.max_rate.filter(|_| self.spec.max_rate.is_none()) {
            self.sends = SendWindow::assume_sent(now, &spec, rate);
        }
        self.limit.set_range(limit_range(&spec, safeguards));
        self.breaker.set_enabled(safeguards.breaker);
        self.retry_budget.set_ratio(spec.retry_ratio);
        self.limit_enabled = safeguards.limit;
        self.waiting_at_reconfiguration = self.wait_queue.len();
        self.spec = spec;
    }

    /// Calls that may be running at the dependency now.
    pub fn in_flight(&self, now: Time) -> usize {
        self.in_flight.count(now)
    }

    /// Sets the limit's maximum to the leased number of calls, where it is leased.
    pub fn apply_lease(&mut self, now: Time) {
        if let Some(lease) = &self.spec.leased_calls {
            self.limit.set_max(lease.units(now));
        }
    }

    /// Calls that count against the rate now.
    pub fn recently_sent(&self, now: Time) -> usize {
        self.sends.count(now)
    }

    /// Calls that may be sent within the rate window.
    fn max_rate(&self, now: Time) -> usize {
        match (&self.spec.leased_rate, self.spec.max_rate) {
            (Some(lease), _) => lease.units(now),
            (None, Some(rate)) => rate,
            (None, None) => usize::MAX,
        }
    }

    /// Calls that could be in flight now: those that are and those that wait, but no more than the limit would admit.
    pub fn needed_calls(&self, now: Time) -> usize {
        let wanted = self.in_flight(now) + self.wait_queue.len() + self.hedge_queue.len();
        if self.limit.is_at_max() {
            wanted
        } else {
            wanted.min(self.limit.calls() + 1)
        }
    }

    /// The largest number of parts that may wait now.
    pub fn max_waiting(&self) -> usize {
        self.spec.max_waiting.max(self.waiting_at_reconfiguration)
    }

    /// Calls that this instance still listens to.
    pub fn active_calls(&self) -> usize {
        self.in_flight.active()
    }

    /// When the next call that nobody listens to ceases to count.
    pub fn next_release(&self, now: Time) -> Option<Time> {
        self.in_flight
            .releases()
            .chain(self.sends.releases())
            .filter(|until| *until > now)
            .min()
    }

    /// Whether a call may be made now. A permit is not reserved: it holds until the next input.
    pub fn request_permit(&self, now: Time) -> Permit {
        let Some(kind) = self.breaker.admits(now) else {
            return Permit::CircuitOpen;
        };
        let in_flight = self.in_flight(now);
        let leased = self
            .spec
            .leased_calls
            .as_ref()
            .map_or(usize::MAX, |lease| lease.units(now));
        let exceeds_rate = self.recently_sent(now) + 1 > self.max_rate(now);
        let exceeds_lease = in_flight + 1 > leased;
        let exceeds_limit = self.limit_enabled && in_flight + 1 > self.limit.calls();
        if exceeds_rate || exceeds_lease || exceeds_limit {
            Permit::LimitReached
        } else {
            Permit::Granted(kind)
        }
    }

    /// Whether a call may be retried: nobody waits, the breaker is closed, and the retry budget pays, which it does
    /// where this returns true.
    pub fn try_retry(&mut self, now: Time) -> bool {
        self.wait_queue.is_empty()
            && self.request_permit(now) == Permit::Granted(CallKind::Regular)
            && self.retry_budget.try_withdraw()
    }

    /// Records that a call is issued. Returns the breaker's state if it changed by this.
    pub fn record_issue(
        &mut self,
        now: Time,
        kind: CallKind,
        timestamp: &Rc<SendTimestamp>,
    ) -> Option<CircuitState> {
        let before = self.circuit_state();
        self.in_flight.start();
        if self.spec.max_rate.is_some() {
            self.sends.record(now, timestamp);
        }
        if kind == CallKind::Probe {
            self.breaker.record_probe_sent();
        }
        self.state_if_changed(before)
    }

    /// The limit when this was last asked and now, where it changed in between.
    pub fn take_limit_change(&mut self) -> Option<(usize, usize)> {
        let before = std::mem::replace(&mut self.last_reported_limit, self.limit.calls());
        let now = self.last_reported_limit;
        (before != now).then_some((before, now))
    }

    /// Records that a call has ended at the dependency.
    pub fn finish_call(&mut self, now: Time) {
        self.in_flight.finish(now, CallEnd::Stopped);
    }

    /// Records that this instance no longer listens to a call, which may go on running for the grace period.
    pub fn abandon_call(&mut self, now: Time) {
        let until = now + self.spec.post_cancel_grace;
        self.in_flight.finish(now, CallEnd::MayRunUntil(until));
    }

    /// Learns from the end of a call. Returns the breaker's state if it changed by this.
    pub fn observe(&mut self, now: Time, observation: CallObservation) -> Option<CircuitState> {
        let before = self.circuit_state();
        let CallObservation { kind, signal, draw } = observation;
        match signal {
            CallSignal::Success => self.observe_success(now, kind, draw),
            CallSignal::Failure | CallSignal::Overload => {
                self.counters.failures += 1;
                self.breaker.record(now, kind, CallHealth::Failure, draw);
                // Single failures are no overload; nor do they suit a limit that decreases by a factor for each.
                let is_overload = signal == CallSignal::Overload
                    && self.breaker.has_reached(OVERLOAD_THRESHOLD, now);
                if is_overload {
                    self.limit.record_overload(now, self.round_trip());
                }
            }
            CallSignal::Ignored => self.breaker.record_ignored(kind),
        }
        self.state_if_changed(before)
    }

    fn observe_success(&mut self, now: Time, kind: CallKind, draw: UniformDraw) {
        let was_closed = self.circuit_state() == CircuitState::Closed;
        let sample = SuccessSample {
            latency_gradient: self.latency.gradient(),
            in_flight: self.in_flight(now) + 1,
            round_trip: self.round_trip(),
        };
        self.counters.successes += 1;
        self.limit.record_success(now, &sample);
        self.breaker.record(now, kind, CallHealth::Success, draw);
        if !was_closed && self.circuit_state() == CircuitState::Closed {
            self.limit.restart();
        }
    }

    fn round_trip(&self) -> Time {
        self.latency.baseline().unwrap_or(INITIAL_ROUND_TRIP)
    }

    /// The breaker's state, where it is another than `before`; how long it stays open or how many probes succeeded makes
    /// no other state.
    fn state_if_changed(&self, before: CircuitState) -> Option<CircuitState> {
        let state = self.circuit_state();
        (std::mem::discriminant(&before) != std::mem::discriminant(&state)).then_some(state)
    }

    /// Whether a call that was given `time` without an answer had a fair chance to be answered.
    pub fn is_fair_timeout(&mut self, time: Time) -> bool {
        let quantile = self.latency.quantile(FAIR_TIMEOUT_QUANTILE);
        let budget = self.spec.time_budget;
        time >= quantile.unwrap_or(budget).min(budget)
    }

    /// The time that a call must be given to be worth making: what nearly all need. A call made with less fails by its
    /// caller's fault and teaches nothing, and a queue of such calls keeps a low limit low for ever.
    pub fn required_time(&mut self) -> Time {
        let usual = self
            .latency
            .quantile(REQUIRED_TIME_QUANTILE)
            .or(self.latency.baseline())
            .unwrap_or(MIN_REQUIRED_TIME);
        usual.min(self.spec.time_budget.scaled(MAX_REQUIRED_RATIO))
    }

    /// The time after which a call is hedged; `None` where it is not.
    pub fn hedge_delay(&mut self) -> Option<Time> {
        let quantile = self.spec.hedge_quantile?;
        self.latency.quantile(quantile)
    }

    /// The circuit breaker's state.
    pub fn circuit_state(&self) -> CircuitState {
        self.breaker.state()
    }
}
