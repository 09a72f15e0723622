//! What the operator's file says of dependencies and pages, checked and typed.
use cottondyke_types::Time;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

/// Kept back of the time left, for composing an answer and sending it.
pub const RESERVE: Time = Time(100);

/// How long a call counts for a rate from when it was sent: a second, and what the way to the dependency may take longer
/// for one call than for another.
pub const RATE_WINDOW: Time = Time(12_500);

/// When a call was sent. From when it is let out until then it counts for a rate all the time: connecting may take long,
/// and so may a stop of the process.
#[derive(Debug)]
pub struct SendTimestamp {
    at: Cell<Time>,
    /// The terms of its shares under which it was let out.
    terms: [u32; 2],
}

impl SendTimestamp {
    /// A call of this dependency is let out.
    pub fn new(of: &Dependency) -> Self {
        SendTimestamp {
            at: Cell::new(Time::MAX),
            terms: of.terms(),
        }
    }

    /// Its first byte goes out.
    pub fn record_send(&self, now: Time) {
        self.at.set(now);
    }

    /// It ended; one that was never sent counts no longer.
    pub fn finish(&self) {
        if self.at.get() == Time::MAX {
            self.at.set(Time(i64::MIN / 4));
        }
    }

    /// Until when it counts.
    pub fn counted_until(&self) -> Time {
        self.at.get() + RATE_WINDOW
    }
}

/// One and the same call.
impl PartialEq for SendTimestamp {
    fn eq(&self, other: &SendTimestamp) -> bool {
        std::ptr::eq(self, other)
    }
}

/// A share that was lent and may change or end at any moment. Whoever lends sets it; the gate looks at it again
/// before each call.
#[derive(Debug)]
pub struct LeasedQuota {
    units: Cell<usize>,
    until: Cell<Time>,
    /// Grows where it was over and is in force again: others may have had its units between.
    term: Cell<u32>,
}

impl Default for LeasedQuota {
    fn default() -> Self {
        LeasedQuota {
            units: Cell::new(0),
            until: Cell::new(Time(i64::MIN)),
            term: Cell::new(0),
        }
    }
}

impl LeasedQuota {
    pub fn renew(&self, now: Time, units: usize, until: Time) {
        if self.until.get() <= now && until > now {
            self.term.set(self.term.get().wrapping_add(1));
        }
        self.units.set(units);
        self.until.set(until);
    }

    pub fn units(&self, now: Time) -> usize {
        if now < self.until.get() {
            self.units.get()
        } else {
            0
        }
    }
}

/// One and the same share, whatever it is worth now.
impl PartialEq for LeasedQuota {
    fn eq(&self, other: &LeasedQuota) -> bool {
        std::ptr::eq(self, other)
    }
}

impl Dependency {
    fn terms(&self) -> [u32; 2] {
        [&self.leased_calls, &self.leased_rate]
            .map(|lent| lent.as_ref().map_or(0, |lent| lent.term.get()))
    }

    /// Whether a call that was let out may be sent now: its shares are in force, and were all the time since. A process
    /// may be stopped between, and have a new share when it wakes that is smaller than what it let out under the old one.
    pub fn may_send(&self, stamp: &SendTimestamp, now: Time) -> bool {
        let lasts = |lent: &Option<Rc<LeasedQuota>>| {
            lent.as_ref().is_none_or(|lent| now < lent.until.get())
        };
        lasts(&self.leased_calls) && lasts(&self.leased_rate) && stamp.terms == self.terms()
    }
}

/// A service that parts of pages are asked of.
#[derive(Clone, Debug, PartialEq)]
pub struct Dependency {
    pub name: Rc<str>,
    pub addr: SocketAddr,
    /// Path of the requests, which are POSTs of the req's body.
    pub path: Rc<str>,
    /// Whether replies must be JSON; one that is not is spoilt.
    pub json: bool,
    /// The longest that one step of a part may wait for it.
    pub time_budget: Time,
    /// Calls that this instance may hold there, those given up among them while they may go on. At least 1.
    pub max_calls: usize,
    /// What bounds the calls within `share`, where the share is lent and not fixed.
    pub leased_calls: Option<Rc<LeasedQuota>>,
    /// Calls a second that this instance may send, and what bounds them within that, where the share is lent.
    pub max_rate: Option<usize>,
    pub leased_rate: Option<Rc<LeasedQuota>>,
    /// Calls that the limit never goes under; at most `share`.
    pub min_limit: usize,
    /// How long a call that was given up may go on at the dependency.
    pub post_cancel_grace: Time,
    /// Parts that may wait for a free call.
    pub max_waiting: usize,
    /// Extra calls (hedges and repeats) as a part of first calls.
    pub retry_ratio: f64,
    /// The learned quantile of its latency after which a second call is made; none for no hedging.
    pub hedge_quantile: Option<f64>,
}

/// What a part takes when its dependency brings nothing.
#[derive(Clone, Debug, PartialEq)]
pub enum Fallback {
    /// An earlier whole answer to the same request, no older than this.
    Cached(Time),
    /// The dependency at this place of the plan.
    Secondary(usize),
    Default(Rc<[u8]>),
    Omit,
}

#[derive(Clone, Debug, PartialEq)]
pub struct PartSpec {
    pub name: Rc<str>,
    /// The place of its dependency in the plan.
    pub dependency: usize,
    /// Without it there is no answer; it has no fall-backs.
    pub required: bool,
    pub fallbacks: Vec<Fallback>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Aggregation {
    pub parts: Vec<PartSpec>,
}

/// What can be switched off to show what it is for. All on, but in trials.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Safeguards {
    /// Time budgets: without, a part waits until the req is due.
    pub time_budget: bool,
    /// Any limit on calls held.
    pub limit: bool,
    /// The limit's adapting: without, it stands at the share.
    pub adapt: bool,
    pub breaker: bool,
    pub hedge: bool,
    pub stale_cache: bool,
    /// Fall-backs of any kind; without, a part that fails is missing and its page errored.
    pub fallback: bool,
    /// Counting what a former life may have left as held: without, a started instance calls at once.
    pub restart: bool,
}

impl Default for Safeguards {
    fn default() -> Self {
        Safeguards {
            time_budget: true,
            limit: true,
            adapt: true,
            breaker: true,
            hedge: true,
            stale_cache: true,
            fallback: true,
            restart: true,
        }
    }
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    pub dependencies: Vec<Rc<Dependency>>,
    pub aggregations: Vec<Aggregation>,
    /// Bytes that kept answers may take, keys included.
    pub stale_cache_bytes: usize,
    pub safeguards: Safeguards,
}

impl Plan {
    /// Whether any page falls back on kept answers of this dependency.
    pub fn uses_stale_cache(&self, dependency: usize) -> bool {
        let kept = |f: &Fallback| matches!(f, Fallback::Cached(_));
        self.aggregations
            .iter()
            .flat_map(|p| &p.parts)
            .any(|p| p.dependency == dependency && p.fallbacks.iter().any(kept))
    }

    /// The longest that a part may take when nothing waits: its dependency's budget and those of the
    /// dependencies that it falls back on.
    pub fn worst_case(&self, part: &PartSpec) -> Time {
        let others = part.fallbacks.iter().filter_map(|f| match f {
            Fallback::Secondary(place) => Some(*place),
            _ => None,
        });
        let budgets = std::iter::once(part.dependency).chain(others);
        budgets.fold(Time(0), |sum, place| {
            sum + self.dependencies[place].time_budget
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards the ceiling: a process is stopped between letting a call out and sending it, and wakes with a share that
    /// is in force again, and smaller: the calls that the old one allowed are not sent under the new one.
    #[test]
    fn a_call_of_a_share_that_was_over_is_not_sent_under_the_next() {
        let lent = Rc::new(LeasedQuota::default());
        let spec = Dependency {
            name: "stock".into(),
            addr: ([127, 0, 0, 1], 1).into(),
            path: "/".into(),
            json: false,
            time_budget: Time(600),
            max_calls: 8,
            leased_calls: Some(lent.clone()),
            max_rate: None,
            leased_rate: None,
            min_limit: 1,
            post_cancel_grace: Time(1),
            max_waiting: 8,
            retry_ratio: 0.0,
            hedge_quantile: None,
        };
        lent.renew(Time(0), 5, Time(100));
        let (first, second) = (SendTimestamp::new(&spec), SendTimestamp::new(&spec));
        lent.renew(Time(50), 5, Time(150));
        assert!(
            spec.may_send(&first, Time(149)),
            "renewed in time it is the same share"
        );
        assert!(!spec.may_send(&first, Time(150)));
        lent.renew(Time(200), 1, Time(300));
        assert!(!spec.may_send(&second, Time(201)));
        assert!(spec.may_send(&SendTimestamp::new(&spec), Time(201)));
    }
}
