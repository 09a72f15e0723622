//! Time, ids, handlers, and the results record that every input to the decider returns.
use std::ops::{Add, AddAssign, Sub};

/// A point in time or a span, in whole tenths of a millisecond.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Time(pub i64);

pub const SECOND: Time = Time(10_000);

impl Time {
    pub const MAX: Time = Time(i64::MAX / 4);

    /// A part or multiple of a span.
    pub fn times(self, ratio: f64) -> Time {
        Time((self.0 as f64 * ratio).round() as i64)
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

/// The number of the caller that sent a req: a sidecar, or a connection where no number is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallerId(pub u64);

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
    /// Whether its runs may call what is below.
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
    pub caller: Option<CallerId>,
    /// Expected work, as time of a standard core.
    pub hint: Option<Time>,
    pub retry: bool,
    pub repeats: Option<ReqId>,
    pub kb: f64,
    /// The time since it reached the machine.
    pub lay: Time,
    /// The part of it that is believed to show how long reqs lie unread.
    pub unread: Time,
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
    /// It ended with an error or a reply of no use; it may have had its effect.
    Spoilt,
    /// It may have had its effect, and may still go on.
    Unknown,
}

/// The memory that held and running reqs and keys share, in kilobytes.
#[derive(Clone, Copy, Debug)]
pub struct Memory {
    pub limit: f64,
    /// What a run takes, in multiples of what its req takes while held.
    pub blowup: f64,
    pub per_key: f64,
}

/// What the server's own gauges read.
#[derive(Clone, Copy, Debug, Default)]
pub struct Gauges {
    /// The part of the cores in use.
    pub busy: Option<f64>,
    /// How many want a core now, runs and all else.
    pub runnable: Option<f64>,
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
    pub keep: Vec<(ReqId, Time)>,
    pub release: Vec<ReqId>,
    pub start: Vec<ReqId>,
    pub join: Vec<ReqId>,
    /// A call to make, and how long before it is given up.
    pub call: Vec<(ReqId, Time)>,
    pub skip: Vec<ReqId>,
    pub health: Option<bool>,
    pub advice: Option<f64>,
    /// Connections that carried nothing for this long are closed.
    pub trim: Option<Time>,
    pub wake: Option<Time>,
    /// Rules fired.
    pub passes: usize,
}

/// When the decider is woken.
#[derive(Clone, Copy, Debug)]
pub struct Beat {
    /// The shortest time between two inputs.
    pub resolution: Time,
    pub next_look: Time,
    /// The earliest wake that is asked for and still to come.
    pub woken: Option<Time>,
}

impl Beat {
    pub fn new(resolution: Time) -> Self {
        Beat {
            resolution,
            next_look: Time(i64::MIN),
            woken: None,
        }
    }
}

/// Where a req is between its arrival and its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    Held,
    /// Waits for the answer of the req it repeats.
    Joined,
    OnCore,
    /// Waits to make a call.
    Wanting,
    Calling,
}

/// What is noted of a req from its arrival to its end.
#[derive(Clone, Debug)]
pub struct Req {
    pub new: Arrival,
    /// Hinted work, or a stand-in where there is no hint.
    pub base: f64,
    pub arrived: Time,
    /// The end of its response target.
    pub target: Time,
    pub due: Time,
    pub phase: Phase,
    pub answered: bool,
    pub started: Time,
    /// The start of the present phase.
    pub since: Time,
    /// The costs' clock at the start of the present phase.
    pub clock: f64,
    /// Core time before the present phase.
    pub spent: f64,
    /// Time at calls before the present phase.
    pub away: f64,
    /// Calls made for the present need.
    pub tries: u32,
    /// Calls wanted since the start.
    pub calls: f64,
}

impl Req {
    pub fn new(new: Arrival, now: Time, base: f64, handler: &Handler) -> Self {
        let arrived = now - new.lay;
        let target = handler.response_target + Time((handler.target_stretch * base) as i64);
        Req {
            new,
            base,
            arrived,
            target: arrived + target.min(handler.client_timeout),
            due: new
                .wait
                .map_or(arrived + handler.client_timeout, |wait| now + wait)
                .max(now),
            phase: Phase::Held,
            answered: false,
            started: now,
            since: now,
            clock: 0.0,
            spent: 0.0,
            away: 0.0,
            tries: 0,
            calls: 0.0,
        }
    }

    pub fn handler(&self) -> usize {
        self.new.handler.0
    }

    pub fn live(&self, phase: Phase) -> bool {
        self.phase == phase && !self.answered
    }
}

/// Sums over a span of time, kept in fixed buckets of time that are used again in a ring.
#[derive(Clone, Debug)]
pub struct Ring<const K: usize, const SLOTS: usize> {
    width: i64,
    turn: i64,
    slots: [[f64; K]; SLOTS],
}

impl<const K: usize, const SLOTS: usize> Ring<K, SLOTS> {
    pub fn new(span: Time) -> Self {
        Ring {
            width: (span.0 / SLOTS as i64).max(1),
            turn: 0,
            slots: [[0.0; K]; SLOTS],
        }
    }

    pub fn span(&self) -> f64 {
        (self.width * SLOTS as i64) as f64
    }

    fn slot(turn: i64) -> usize {
        turn.rem_euclid(SLOTS as i64) as usize
    }

    pub fn sums(&self, now: Time) -> [f64; K] {
        let oldest = now.0.div_euclid(self.width) - SLOTS as i64;
        let live = (0..SLOTS as i64)
            .map(|back| self.turn - back)
            .filter(|turn| *turn > oldest);
        live.fold([0.0; K], |sums, turn| {
            std::array::from_fn(|k| sums[k] + self.slots[Self::slot(turn)][k])
        })
    }

    /// The first place up to which a part of the sums' total lies.
    pub fn quantile(&self, now: Time, part: f64) -> Option<usize> {
        let sums = self.sums(now);
        let all = sums.iter().sum::<f64>();
        (0..K).find(|k| all > 0.0 && sums[..=*k].iter().sum::<f64>() >= part * all)
    }

    pub fn add_all(&mut self, now: Time, amounts: [f64; K]) {
        amounts
            .into_iter()
            .enumerate()
            .for_each(|(k, amount)| self.add(now, k, amount));
    }

    pub fn add(&mut self, now: Time, k: usize, amount: f64) {
        let turn = now.0.div_euclid(self.width).max(self.turn);
        for old in (self.turn + 1).max(turn - SLOTS as i64 + 1)..=turn {
            self.slots[Self::slot(old)] = [0.0; K];
        }
        self.turn = turn;
        self.slots[Self::slot(turn)][k] += amount;
    }
}

/// A multiply-with-carry generator.
pub struct Chance(u64);

impl Chance {
    pub fn new(seed: u64) -> Self {
        Chance(seed % 0xffff_fffe + 1)
    }

    /// From 0 up to just under 1.
    pub fn draw(&mut self) -> f64 {
        self.0 = (self.0 & 0xffff_ffff) * 4_294_957_665 + (self.0 >> 32);
        (self.0 & 0xffff_ffff) as f64 / 4_294_967_296.0
    }
}
