//! The gate through which aggregations call one dependency. Calls that this instance awaits, calls that it no longer
//! awaits but that may still be running, and after a restart the calls that the previous incarnation of this instance
//! may have left, all count as in flight. No call is admitted beyond the limit, and the limit never exceeds the
//! configured or leased maximum.
use crate::circuit_breaker::{
    CallKind, CallOutcome, CircuitBreaker, CircuitState, FailureThreshold, UniformDraw,
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

/// A timeout is a sign of overload only if the call was given at least this quantile of the observed latency, or the
/// whole time budget.
const OVERLOAD_TIMEOUT_QUANTILE: f64 = 0.95;
/// A call is made only if at least this quantile of the observed latency is left before its deadline.
const REQUIRED_TIME_QUANTILE: f64 = 0.9;
/// The required time is at most this fraction of the time budget.
const MAX_REQUIRED_RATIO: f64 = 0.5;
/// The required time before any latency was observed.
const INITIAL_REQUIRED_TIME: Time = Time(1);
/// The failure ratio of the last second from which a rejection or timeout counts as overload. If every one of them
/// counted, one slow call in forty would keep the limit at about half.
const OVERLOAD_THRESHOLD: FailureThreshold = FailureThreshold {
    ratio: 0.1,
    min_calls: 20.0,
};
/// The round-trip time, within which the limit decreases at most once, before any latency was observed.
const INITIAL_ROUND_TRIP: Time = Time(100);

/// Whether a call may be made now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permit {
    /// A call of this kind may be made.
    Granted(CallKind),
    /// The limit on calls in flight or the rate limit is reached.
    LimitReached,
    /// The circuit breaker admits no calls.
    CircuitOpen,
}

/// What the outcome of a call indicates about the dependency.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallSignal {
    /// The call succeeded.
    Success,
    /// The call failed in a way that is no sign of overload.
    Failure,
    /// The call was rejected or its result was [`CallResult::TimedOut`](crate::CallResult::TimedOut), or its step's
    /// deadline passed although it had been given enough time.
    Overload,
    /// The outcome is no evidence about the dependency.
    Ignored,
}

/// The outcome of a call, as reported to the gate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallObservation {
    /// How the call was admitted.
    pub kind: CallKind,
    /// What its outcome indicates.
    pub signal: CallSignal,
    /// Determines the jitter of the backoff if this outcome opens the circuit breaker.
    pub draw: UniformDraw,
}

/// Counts for the log since the counters were last taken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GateCounters {
    /// First calls of steps.
    pub first_attempts: u64,
    /// Second calls made while a slow first one is still active.
    pub hedges: u64,
    /// Calls made after one that failed.
    pub retries: u64,
    /// Calls that succeeded.
    pub successes: u64,
    /// Calls that failed or were a sign of overload.
    pub failures: u64,
    /// Calls that were still awaited when the deadline of their step passed.
    pub timeouts: u64,
    /// Parts refused a call because the limit was reached, at once or after waiting.
    pub limit_reached: u64,
    /// Parts refused a call because the circuit breaker was open.
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
    pub limiter: ConcurrencyLimiter,
    /// Counters for the log; its writer takes and thereby resets them.
    pub counters: GateCounters,
    pub(crate) latency: LatencyTracker,
    pub(crate) retry_budget: RetryBudget,
    /// Parts that wait for their first call, oldest first.
    pub(crate) wait_queue: VecDeque<PartId>,
    /// Calls whose hedge waits for capacity; hedges are issued before first calls.
    pub(crate) hedge_queue: VecDeque<CallId>,
    breaker: CircuitBreaker,
    in_flight: InFlightCalls,
    /// Calls that count against the rate limit, if there is one.
    sends: SendWindow,
    limit_enabled: bool,
    /// Parts that waited at the last reconfiguration; they may go on waiting even if the new maximum is lower.
    waiting_at_reconfiguration: usize,
    /// The limit that was last reported to the log.
    last_reported_limit: usize,
}

impl DependencyGate {
    /// Creates a gate without any observations. After a restart, the calls that the previous incarnation may have left
    /// running are counted as in flight.
    pub fn new(now: Time, spec: Rc<Dependency>, safeguards: Safeguards, startup: Startup) -> Self {
        // For a leased quota, the lease manager withholds the units that the previous incarnation may still use.
        let counts_orphans = startup == Startup::Restarted && safeguards.count_orphaned_calls;
        let assumes_in_flight = counts_orphans && safeguards.limit && spec.leased_calls.is_none();
        let assumes_recent_sends = counts_orphans && spec.leased_rate.is_none();
        let in_flight = if assumes_in_flight {
            InFlightCalls::new(spec.max_calls, now + spec.post_cancel_grace)
        } else {
            InFlightCalls::new(0, now)
        };
        let assumed_sends = spec.max_rate.filter(|_| assumes_recent_sends).unwrap_or(0);
        DependencyGate {
            limiter: ConcurrencyLimiter::new(limit_range(&spec, safeguards)),
            breaker: CircuitBreaker::new(now, safeguards.breaker),
            latency: LatencyTracker::new(now),
            retry_budget: RetryBudget::new(spec.retry_ratio),
            wait_queue: VecDeque::new(),
            hedge_queue: VecDeque::new(),
            counters: GateCounters::default(),
            in_flight,
            sends: SendWindow::assume_sent(now, &spec, assumed_sends),
            limit_enabled: safeguards.limit,
            waiting_at_reconfiguration: 0,
            last_reported_limit: spec.max_calls,
            spec,
        }
    }

    /// Installs a new configuration. Learned state is kept, and calls in flight still count.
    pub fn reconfigure(&mut self, now: Time, spec: Rc<Dependency>, safeguards: Safeguards) {
        // Without a rate limit, sends were not recorded: as many as the new limit allows may have been sent just now.
        if let Some(rate) = spec.max_rate.filter(|_| self.spec.max_rate.is_none()) {
            self.sends = SendWindow::assume_sent(now, &spec, rate);
        }
        self.limiter.set_range(limit_range(&spec, safeguards));
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

    /// Sets the limit's maximum to the leased number of calls, if the dependency has such a lease.
    pub fn apply_lease(&mut self, now: Time) {
        if let Some(lease) = &self.spec.leased_calls {
            self.limiter.set_max(lease.units(now));
        }
    }

    /// Calls that count against the rate limit now.
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

    /// Calls that could be in flight now: those in flight and those waiting, but at most one more than the adaptive
    /// limit unless that is at its maximum.
    pub fn needed_calls(&self, now: Time) -> usize {
        let wanted = self.in_flight(now) + self.wait_queue.len() + self.hedge_queue.len();
        if self.limiter.is_at_max() {
            wanted
        } else {
            wanted.min(self.limiter.limit() + 1)
        }
    }

    /// The largest number of parts that may wait now.
    pub fn max_waiting(&self) -> usize {
        self.spec.max_waiting.max(self.waiting_at_reconfiguration)
    }

    /// Calls whose responses this instance still waits for.
    pub fn awaited_calls(&self) -> usize {
        self.in_flight.awaited()
    }

    /// When the next unawaited, orphaned or sent call stops counting against the limit or the rate limit.
    pub fn next_release(&self, now: Time) -> Option<Time> {
        self.in_flight
            .release_times()
            .chain(self.sends.release_times())
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
        let exceeds_limit = self.limit_enabled && in_flight + 1 > self.limiter.limit();
        if exceeds_rate || exceeds_lease || exceeds_limit {
            Permit::LimitReached
        } else {
            Permit::Granted(kind)
        }
    }

    /// Whether a call may be retried: no part waits, the breaker is closed, and there is capacity and retry budget. If
    /// so, the retry is withdrawn from the budget.
    pub fn try_withdraw_retry(&mut self, now: Time) -> bool {
        self.wait_queue.is_empty()
            && self.request_permit(now) == Permit::Granted(CallKind::Regular)
            && self.retry_budget.try_withdraw()
    }

    /// Records that a call is issued. Returns the breaker's state if this changed it.
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

    /// The previous and the current limit, if the limit changed since this was last called.
    pub fn take_limit_change(&mut self) -> Option<(usize, usize)> {
        let before = std::mem::replace(&mut self.last_reported_limit, self.limiter.limit());
        let now = self.last_reported_limit;
        (before != now).then_some((before, now))
    }

    /// Records that a call has ended at the dependency.
    pub fn finish_call(&mut self, now: Time) {
        self.in_flight.finish(now, CallEnd::Stopped);
    }

    /// Records that this instance no longer waits for the response of a call, which may go on running for the grace
    /// period.
    pub fn stop_awaiting_call(&mut self, now: Time) {
        let until = now + self.spec.post_cancel_grace;
        self.in_flight.finish(now, CallEnd::MayRunUntil(until));
    }

    /// Updates the circuit breaker and the limit with the outcome of a call. Returns the breaker's state if this
    /// changed it.
    pub fn observe(&mut self, now: Time, observation: CallObservation) -> Option<CircuitState> {
        let before = self.circuit_state();
        let CallObservation { kind, signal, draw } = observation;
        match signal {
            CallSignal::Success => self.observe_success(now, kind, draw),
            CallSignal::Failure | CallSignal::Overload => {
                self.counters.failures += 1;
                self.breaker.record(now, kind, CallOutcome::Failure, draw);
                // Single failures do not indicate overload, and a multiplicative decrease for each would be too much.
                let is_overload = signal == CallSignal::Overload
                    && self
                        .breaker
                        .reaches_failure_threshold(OVERLOAD_THRESHOLD, now);
                if is_overload {
                    self.limiter.record_overload(now, self.round_trip());
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
        self.limiter.record_success(now, &sample);
        self.breaker.record(now, kind, CallOutcome::Success, draw);
        if !was_closed && self.circuit_state() == CircuitState::Closed {
            self.limiter.restart();
        }
    }

    fn round_trip(&self) -> Time {
        self.latency.baseline().unwrap_or(INITIAL_ROUND_TRIP)
    }

    /// The breaker's state if it is another variant than `before`. How long the breaker stays open and how many probes
    /// succeeded are not compared.
    fn state_if_changed(&self, before: CircuitState) -> Option<CircuitState> {
        let state = self.circuit_state();
        (std::mem::discriminant(&before) != std::mem::discriminant(&state)).then_some(state)
    }

    /// Whether a call that timed out after `time` was given long enough for the timeout to be a sign of overload.
    pub fn timeout_indicates_overload(&mut self, time: Time) -> bool {
        let quantile = self.latency.quantile(OVERLOAD_TIMEOUT_QUANTILE);
        let budget = self.spec.time_budget;
        time >= quantile.unwrap_or(budget).min(budget)
    }

    /// The time that must be left for a call to be worth making: what nearly all calls need. A call made with less
    /// times out because of its short timeout, which says nothing about the dependency. If waiting calls were issued
    /// that late, their timeouts would keep a low limit low indefinitely.
    pub fn required_time(&mut self) -> Time {
        let usual = self
            .latency
            .quantile(REQUIRED_TIME_QUANTILE)
            .or(self.latency.baseline())
            .unwrap_or(INITIAL_REQUIRED_TIME);
        usual.min(self.spec.time_budget.scaled(MAX_REQUIRED_RATIO))
    }

    /// The time after which a call is hedged; `None` if hedging is off or too few calls were observed.
    pub fn hedge_delay(&mut self) -> Option<Time> {
        let quantile = self.spec.hedge_quantile?;
        self.latency.quantile(quantile)
    }

    /// The circuit breaker's state.
    pub fn circuit_state(&self) -> CircuitState {
        self.breaker.state()
    }
}
