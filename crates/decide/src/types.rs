//! Time, ids, handlers, and the results record that every input to the decider returns.
use std::ops::{Add, AddAssign, Sub};

/// A point in time or a span, in whole tenths of a millisecond.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Time(pub i64);

impl Time {
    pub const MAX: Time = Time(i64::MAX / 4);

    /// A part or multiple of a span.
    pub fn times(self, ratio: f64) -> Time {
        Time((self.0 as f64 * ratio) as i64)
    }

    pub fn num(self) -> f64 {
        self.0 as f64
    }
}

impl Add for Time {
    type Output = Time;
    fn add(self, other: Time) -> Time {
        Time(self.0.saturating_add(other.0))
    }
}

impl Sub for Time {
    type Output = Time;
    fn sub(self, other: Time) -> Time {
        Time(self.0.saturating_sub(other.0))
    }
}

impl AddAssign for Time {
    fn add_assign(&mut self, other: Time) {
        *self = *self + other;
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReqId(pub u32);

/// The place of a handler in the list given at start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct HandlerId(pub usize);

/// The place of a customer in the list given at start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CustomerId(pub usize);

/// Whether a handler may run again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Replayable,
    Uniqued,
    NonReplayable,
}

#[derive(Clone, Copy, Debug)]
pub struct Handler {
    pub kind: Kind,
    /// The time within which an answer is wanted.
    pub response_target: Time,
    /// The response target grows by this many times the req's own work.
    pub target_stretch: f64,
    /// The time after which the client gives up.
    pub client_timeout: Time,
    pub value: f64,
    /// The part of the value left after the response target.
    pub late_value: f64,
    /// How long a uniqued req may come back.
    pub window: Time,
    pub calls: bool,
    /// The part of the value left when a call was skipped; 0 forbids skipping.
    pub skip_value: f64,
}

/// How running work can be halted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Halting {
    Never,
    Drop,
    Pause,
}

/// How callers read the free value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reading {
    Unused,
    /// The chance that a caller does not pass this server by.
    Share,
    /// The most reqs that a caller keeps out here.
    Credit,
    /// The lowest rank that callers still send.
    Rank,
}

/// A req as it is read.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    pub id: ReqId,
    pub handler: HandlerId,
    pub customer: Option<CustomerId>,
    /// Expected work, as time of a standard core.
    pub hint: Option<Time>,
    pub retry: bool,
    pub repeats: Option<ReqId>,
    pub kb: f64,
    /// The time since it reached the machine.
    pub lay: Time,
    /// How long the caller still waits, where told.
    pub wait: Option<Time>,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    Done,
    Errored,
    /// Stopped, or ended at a call because nobody waits for it.
    Stopped,
    /// Nothing started.
    Void,
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    Done,
    /// Known not to have run.
    NeverRan,
    /// It may have had its effect.
    Unknown,
}

/// What the server's own gauges read.
#[derive(Clone, Copy, Debug, Default)]
pub struct Gauges {
    pub busy: Option<f64>,
    pub runnable: Option<f64>,
    pub memory: Option<f64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shed {
    pub id: ReqId,
    /// When to come back.
    pub pause: Time,
    /// Asks the caller not to try elsewhere.
    pub last: bool,
}

/// What to do after an input. The lists are carried out in the order in which they stand here:
/// what frees comes before what starts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Results {
    pub stop: Vec<ReqId>,
    pub fail: Vec<ReqId>,
    pub shed: Vec<Shed>,
    pub release: Vec<ReqId>,
    pub keep: Vec<(ReqId, Time)>,
    pub start: Vec<ReqId>,
    pub join: Vec<ReqId>,
    /// A call to make, and how long before it is given up.
    pub call: Vec<(ReqId, Time)>,
    pub skip: Vec<ReqId>,
    pub health: Option<bool>,
    pub advice: Option<f64>,
    pub wake: Option<Time>,
}
