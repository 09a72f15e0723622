//! What the operator's file says of dependencies and pages, checked and typed.
use cottondyke_decide::types::Time;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

/// Kept back of the time left, for composing an answer and sending it.
pub const RESERVE: Time = Time(100);

/// A share that was lent and may change or end at any moment. Whoever lends sets it; the gate looks at it again
/// before each call.
#[derive(Debug)]
pub struct Lent {
    units: Cell<usize>,
    until: Cell<Time>,
}

impl Default for Lent {
    fn default() -> Self {
        Lent { units: Cell::new(0), until: Cell::new(Time(i64::MIN)) }
    }
}

impl Lent {
    pub fn set(&self, units: usize, until: Time) {
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

    /// Whether calls may go out at all: nothing is lent once its time is over.
    pub fn lasts(&self, now: Time) -> bool {
        now < self.until.get()
    }
}

/// One and the same share, whatever it is worth now.
impl PartialEq for Lent {
    fn eq(&self, other: &Lent) -> bool {
        std::ptr::eq(self, other)
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
    pub budget: Time,
    /// Calls that this instance may hold there, those given up among them while they may go on. At least 1.
    pub share: usize,
    /// What bounds the calls within `share`, where the share is lent and not fixed.
    pub lent: Option<Rc<Lent>>,
    /// Calls that the limit never goes under; at most `share`.
    pub floor: usize,
    /// How long a call that was given up may go on at the dependency.
    pub linger: Time,
    /// Parts that may wait for a free call.
    pub waiting: usize,
    /// Extra calls (hedges and repeats) as a part of first calls.
    pub retries: f64,
    /// The learned quantile of its latency after which a second call is made; none for no hedging.
    pub hedge: Option<f64>,
}

/// What a part takes when its dependency brings nothing.
#[derive(Clone, Debug, PartialEq)]
pub enum Fallback {
    /// An earlier whole answer to the same request, no older than this.
    Kept(Time),
    /// The dependency at this place of the plan.
    Other(usize),
    Fixed(Rc<[u8]>),
    LeaveOut,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Part {
    pub name: Rc<str>,
    /// The place of its dependency in the plan.
    pub dependency: usize,
    /// Without it there is no answer; it has no fall-backs.
    pub required: bool,
    pub fallbacks: Vec<Fallback>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Page {
    pub parts: Vec<Part>,
}

/// What can be switched off to show what it is for. All on, but in trials.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Defences {
    /// Time budgets: without, a part waits until the req is due.
    pub budget: bool,
    /// Any limit on calls held.
    pub limit: bool,
    /// The limit's adapting: without, it stands at the share.
    pub adapt: bool,
    pub breaker: bool,
    pub hedge: bool,
    pub kept: bool,
    /// Fall-backs of any kind; without, a part that fails is missing and its page errored.
    pub fallback: bool,
    /// Counting what a former life may have left as held: without, a started instance calls at once.
    pub restart: bool,
}

impl Default for Defences {
    fn default() -> Self {
        Defences {
            budget: true,
            limit: true,
            adapt: true,
            breaker: true,
            hedge: true,
            kept: true,
            fallback: true,
            restart: true,
        }
    }
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    pub dependencies: Vec<Rc<Dependency>>,
    pub pages: Vec<Page>,
    /// Bytes that kept answers may take, keys included.
    pub kept_bytes: usize,
    pub defences: Defences,
}

impl Plan {
    /// Whether any page falls back on kept answers of this dependency.
    pub fn keeps(&self, dependency: usize) -> bool {
        let kept = |f: &Fallback| matches!(f, Fallback::Kept(_));
        self.pages
            .iter()
            .flat_map(|p| &p.parts)
            .any(|p| p.dependency == dependency && p.fallbacks.iter().any(kept))
    }

    /// The longest that a part may take when nothing waits: its dependency's budget and those of the
    /// dependencies that it falls back on.
    pub fn worst_case(&self, part: &Part) -> Time {
        let others = part.fallbacks.iter().filter_map(|f| match f {
            Fallback::Other(place) => Some(*place),
            _ => None,
        });
        let budgets = std::iter::once(part.dependency).chain(others);
        budgets.fold(Time(0), |sum, place| sum + self.dependencies[place].budget)
    }
}
