//! What stands between pages and one dependency. Calls in hand, those given up that may go on, and after a start
//! those that this instance's former life may have left, all count as held; held calls never pass the limit, and
//! the limit never passes the share.
use crate::circuit_breaker::{CircuitBreaker, CircuitState, Pass};
use crate::concurrency_limiter::ConcurrencyLimiter;
use crate::latency::LatencyTracker;
use crate::lease::SendTimestamp;
use crate::messages::CallId;
use crate::plan::{Dependency, Safeguards};
use crate::retry_budget::RetryBudget;
use cottondyke_types::{RequestId, Time};
use std::collections::VecDeque;
use std::rc::Rc;

/// A call that was not answered in time tells against its dependency only if it had this quantile of the usual
/// times, or its whole budget.
const FAIR: f64 = 0.95;
/// The quantile that a call is given at least, and the part of the budget that this is at the most.
const NEARLY: f64 = 0.9;
const MOST_NEEDED: f64 = 0.5;
/// Part of the calls of the last second that may fail without being taken for overload.
const TOLERATED: f64 = 0.1;
const FEW: f64 = 20.0;
/// Before anything is learned, the round in which one decrease of the limit counts.
const FIRST_ROUND: Time = Time(100);

/// Whether a call may be made now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permit {
    Granted {
        probe: bool,
    },
    /// The limit is reached.
    LimitReached,
    /// The breaker lets nothing through.
    CircuitOpen,
}

/// How a call that was in hand ended, as the gate learns of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallSignal {
    Success,
    /// It failed, which says nothing of the load.
    Failure,
    /// It got no answer in time, or was turned away.
    Overload,
    /// It says nothing of the dependency.
    Ignored,
}

/// Sums since they were last taken, for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GateCounters {
    pub first_attempts: u64,
    pub hedges: u64,
    pub retries: u64,
    pub successes: u64,
    pub failures: u64,
    /// Not answered within the time given.
    pub timeouts: u64,
    /// Parts that found the limit reached and no room to wait, or the breaker open.
    pub limit_reached: u64,
    pub circuit_open: u64,
}

/// Calls that a former life may have sent just now.
fn blank(now: Time, of: &Dependency, calls: usize) -> Vec<Rc<SendTimestamp>> {
    let stamp = || {
        let stamp = Rc::new(of.issue_timestamp());
        stamp.record_send(now);
        stamp
    };
    std::iter::repeat_with(stamp).take(calls).collect()
}

#[derive(Debug)]
pub struct DependencyGate {
    pub spec: Rc<Dependency>,
    pub limit: ConcurrencyLimiter,
    pub breaker: CircuitBreaker,
    pub latency: LatencyTracker,
    pub retries: RetryBudget,
    pub waiting: VecDeque<(RequestId, usize)>,
    /// Calls whose second one waits for a place, before all that waits for its first.
    pub hedging: VecDeque<CallId>,
    pub counters: GateCounters,
    in_hand: usize,
    lingering: Vec<Time>,
    /// Calls of the last window, where there is a rate.
    sent: Vec<Rc<SendTimestamp>>,
    /// Calls of a former life of this instance, and when they are over.
    ghosts: (usize, Time),
    limited: bool,
    /// What waited when the file was last read anew, whatever it now allows.
    waited: usize,
    /// The limit that the log was last told.
    told: usize,
}

impl DependencyGate {
    /// `restarted`: whether a former life of this instance may have left calls there.
    pub fn new(now: Time, spec: Rc<Dependency>, defences: Safeguards, restarted: bool) -> Self {
        // What a former life may have left is kept back of a share that is lent before it is lent again.
        let blind = restarted && defences.limit && defences.restart && spec.leased_calls.is_none();
        let former = restarted && defences.restart && spec.leased_rate.is_none();
        let ghosts = if blind {
            (spec.max_calls, now + spec.post_cancel_grace)
        } else {
            (0, now)
        };
        DependencyGate {
            limit: ConcurrencyLimiter::new(spec.min_limit, spec.max_calls, defences.adapt),
            breaker: CircuitBreaker::new(now, defences.breaker),
            latency: LatencyTracker::new(now),
            retries: RetryBudget::new(spec.retry_ratio),
            waiting: VecDeque::new(),
            hedging: VecDeque::new(),
            counters: GateCounters::default(),
            in_hand: 0,
            lingering: Vec::new(),
            sent: blank(
                now,
                &spec,
                if former {
                    spec.max_rate.unwrap_or(0)
                } else {
                    0
                },
            ),
            ghosts,
            limited: defences.limit,
            waited: 0,
            told: spec.max_calls,
            spec,
        }
    }

    /// The file was read anew; what was learned stays, what is held still counts.
    pub fn renew(&mut self, now: Time, spec: Rc<Dependency>, defences: Safeguards) {
        // Calls before there was a rate were not noted: as many as it allows may have gone out just now.
        if let Some(rate) = spec.max_rate.filter(|_| self.spec.max_rate.is_none()) {
            self.sent = blank(now, &spec, rate);
        }
        self.limit
            .set(spec.min_limit, spec.max_calls, defences.adapt);
        self.breaker.enable(defences.breaker);
        self.retries.set(spec.retry_ratio);
        self.limited = defences.limit;
        self.waited = self.waiting.len();
        self.spec = spec;
    }

    pub fn in_flight(&self, now: Time) -> usize {
        let lingering = self.lingering.iter().filter(|end| **end > now).count();
        let ghosts = if self.ghosts.1 > now {
            self.ghosts.0
        } else {
            0
        };
        self.in_hand + lingering + ghosts
    }

    /// The limit follows a share that was lent, and adapts below it.
    pub fn follow(&mut self, now: Time) {
        if let Some(lent) = &self.spec.leased_calls {
            self.limit.follow(lent.units(now));
        }
    }

    /// Calls that went out in the last window.
    pub fn sent_lately(&self, now: Time) -> usize {
        self.sent
            .iter()
            .filter(|stamp| stamp.counted_until() > now)
            .count()
    }

    /// Calls that may go out in a window.
    fn rate(&self, now: Time) -> usize {
        match (&self.spec.leased_rate, self.spec.max_rate) {
            (Some(lent), _) => lent.units(now),
            (None, Some(rate)) => rate,
            (None, None) => usize::MAX,
        }
    }

    /// Calls that could be in use now: those held and what waits, but no more than the limit would let out.
    pub fn need(&self, now: Time) -> usize {
        let wanted = self.in_flight(now) + self.waiting.len() + self.hedging.len();
        if self.limit.is_full() {
            wanted
        } else {
            wanted.min(self.limit.calls() + 1)
        }
    }

    /// The most that may wait now.
    pub fn most_waiting(&self) -> usize {
        self.spec.max_waiting.max(self.waited)
    }

    pub fn in_hand(&self) -> usize {
        self.in_hand
    }

    /// When the next held call is over by itself.
    pub fn frees(&self, now: Time) -> Option<Time> {
        let sent = self
            .sent
            .iter()
            .map(|stamp| stamp.counted_until())
            .filter(|end| *end < Time::MAX);
        let ends = self
            .lingering
            .iter()
            .copied()
            .chain([self.ghosts.1])
            .chain(sent);
        ends.filter(|end| *end > now).min()
    }

    pub fn verdict(&self, now: Time) -> Permit {
        let probe = match self.breaker.pass(now) {
            Pass::No => return Permit::CircuitOpen,
            pass => pass == Pass::Probe,
        };
        let held = self.in_flight(now);
        let lent = self
            .spec
            .leased_calls
            .as_ref()
            .map_or(usize::MAX, |lent| lent.units(now));
        if self.sent_lately(now) + 1 > self.rate(now) {
            return Permit::LimitReached;
        }
        if held + 1 > lent || self.limited && held + 1 > self.limit.calls() {
            return Permit::LimitReached;
        }
        Permit::Granted { probe }
    }

    /// Whether a call may be made again: nobody waits, the breaker is closed, and the retry budget pays.
    pub fn again(&mut self, now: Time) -> bool {
        self.waiting.is_empty()
            && self.verdict(now) == (Permit::Granted { probe: false })
            && self.retries.take()
    }

    /// A call goes out; true if the breaker changed its stage by it.
    pub fn sent(&mut self, now: Time, probe: bool, stamp: &Rc<SendTimestamp>) -> bool {
        self.in_hand += 1;
        if self.spec.max_rate.is_some() {
            self.sent.retain(|stamp| stamp.counted_until() > now);
            self.sent.push(stamp.clone());
        }
        probe && self.breaker.probing()
    }

    /// The limit before and now, where it changed since this was last asked.
    pub fn take_limit_change(&mut self) -> Option<(usize, usize)> {
        let before = std::mem::replace(&mut self.told, self.limit.calls());
        (before != self.told).then_some((before, self.told))
    }

    /// A call is in hand no more; where it `goes_on`, it is held for as long as it may.
    pub fn over(&mut self, now: Time, goes_on: bool) {
        self.in_hand -= 1;
        self.lingering.retain(|end| *end > now);
        if goes_on {
            self.lingering.push(now + self.spec.post_cancel_grace);
        }
    }

    /// Learns from a call; true if the breaker changed its stage. `draw` from 0 to 1, evenly.
    pub fn learn(&mut self, now: Time, probe: bool, learnt: CallSignal, draw: f64) -> bool {
        let before = std::mem::discriminant(&self.breaker.stage());
        let round = self.latency.usual().unwrap_or(FIRST_ROUND);
        match learnt {
            CallSignal::Success => {
                let held = self.in_flight(now) + 1;
                self.counters.successes += 1;
                self.limit.well(now, self.latency.gradient(), held, round);
                if self.breaker.ended(now, probe, true, draw) {
                    self.limit.restart();
                }
            }
            CallSignal::Failure | CallSignal::Overload => {
                self.counters.failures += 1;
                self.breaker.ended(now, probe, false, draw);
                // Single failures are no overload; nor do they fit a limit that falls by a part for each.
                if learnt == CallSignal::Overload && self.breaker.failing(now, FEW) >= TOLERATED {
                    self.limit.overload(now, round);
                }
            }
            CallSignal::Ignored => self.breaker.no_word(probe),
        }
        before != std::mem::discriminant(&self.breaker.stage())
    }

    /// Whether a call that got this long without an answer had a fair chance.
    pub fn fair(&mut self, given: Time) -> bool {
        let usual = self.latency.quantile(FAIR);
        given
            >= usual
                .unwrap_or(self.spec.time_budget)
                .min(self.spec.time_budget)
    }

    /// The time that a call must be given to be worth making: what nearly all need. A call sent with less fails by
    /// its sender's fault and teaches nothing, and a queue of such calls keeps a low limit low for ever.
    pub fn needs(&mut self) -> Time {
        let nearly = self
            .latency
            .quantile(NEARLY)
            .or(self.latency.usual())
            .unwrap_or(Time(1));
        nearly.min(self.spec.time_budget.scaled(MOST_NEEDED))
    }

    /// After how long a second call is made, where it is.
    pub fn hedge_after(&mut self) -> Option<Time> {
        let quantile = self.spec.hedge_quantile?;
        self.latency.quantile(quantile)
    }

    pub fn circuit_state(&self) -> CircuitState {
        self.breaker.stage()
    }
}
