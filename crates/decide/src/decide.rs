//! The decisions of one server. Invocation: build the parts from the start-up settings, join them with
//! `Decider::new`, call `wake` once, then one method for each input; each returns a `Results` (see `types.rs`).
//! After every input the rules in `RULES` are gone through in order until none fires.
//! docs/design.md tells what follows SERT, what departs from it, and when each departure acts.
use crate::types::*;
use std::collections::BTreeMap;

const SLOTS: usize = 8; // buckets of a ring
const BINS: usize = 20; // bins of run times, as parts of the client timeout
const LOW_WATER: f64 = 0.05; // loss up to which the threshold stays at its upper bound
const HIGH_WATER: f64 = 0.15; // loss from which it is at its lower bound
const ALPHA: f64 = 4.0; // bend of the threshold between the two
const FLOOR_QUANTILE: f64 = 0.98; // of a handler's run times: the threshold's lower bound
const FLOOR_PART: f64 = 0.1; // least lower bound, part of the upper one
const TICK_PART: f64 = 0.06; // time between looks at the gauges, part of the shortest response target
const FREE_BUSY: f64 = 0.8; // part of the cores in use under which every req is taken
const MARGIN: f64 = 0.8; // part of its response target by which a newcomer must be predicted to finish
const CALM: f64 = 0.15; // work in hand a core under which all is well, part of the shortest response target
const FULL: f64 = 0.6; // work in hand a core at which no more is wanted, likewise
const LEAST_ADVICE: f64 = 0.05; // least share of traffic asked for, so that callers still hear from us
const CROWD_PART: f64 = 0.85; // part of the crowd ceiling that is used
const MEMORY_PART: f64 = 0.9; // part of the memory that is used
const CALLS_PART: f64 = 0.9; // part of the told share of calls that is used
const FIRST_COST: f64 = 0.125; // cost of a req before any is known, part of its response target
const WEIGHT: f64 = 0.1; // of the newest in running means
const SLOW: f64 = 4.0; // multiple of its usual time at which a call counts as slow
const STRAINED: f64 = 2.0; // multiple of their cost at which the running reqs show a stall
const LAST_SHARE: f64 = 0.2; // share of retries among arrivals from which a shed asks for no further try

/// Sums over a span of time, kept in buckets that are used again in a ring.
#[derive(Clone, Debug)]
struct Ring<const K: usize> {
    width: i64,
    turn: i64,
    slots: [[f64; K]; SLOTS],
}

impl<const K: usize> Ring<K> {
    fn new(span: Time) -> Self {
        Ring { width: (span.0 / SLOTS as i64).max(1), turn: 0, slots: [[0.0; K]; SLOTS] }
    }

    fn sums(&mut self, now: Time) -> [f64; K] {
        let turn = now.0.div_euclid(self.width);
        for old in (self.turn + 1).max(turn - SLOTS as i64 + 1)..=turn {
            self.slots[old.rem_euclid(SLOTS as i64) as usize] = [0.0; K];
        }
        self.turn = self.turn.max(turn);
        std::array::from_fn(|k| self.slots.iter().map(|slot| slot[k]).sum())
    }

    fn add(&mut self, now: Time, k: usize, amount: f64) {
        self.sums(now);
        self.slots[self.turn.rem_euclid(SLOTS as i64) as usize][k] += amount;
    }
}

/// Multiply-with-carry.
struct Chance(u64);

impl Chance {
    fn next(&mut self) -> f64 {
        self.0 = (self.0 & 0xffff_ffff) * 4_294_957_665 + (self.0 >> 32);
        (self.0 & 0xffff_ffff) as f64 / 4_294_967_296.0
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Held,
    Joined,
    OnCore,
    Wanting,
    Calling,
}

#[derive(Clone, Debug)]
struct Req {
    id: ReqId,
    handler: usize,
    customer: Option<usize>,
    retry: bool,
    repeats: Option<ReqId>,
    base: f64, // hinted work, or the handler's first cost
    kb: f64,
    arrived: Time,
    target: Time, // end of its response target
    due: Time,
    phase: Phase,
    answered: bool,
    started: Time,
    since: Time,      // start of the present phase
    clock: f64,       // the costs' clock at the start of the present phase
    spent: f64,       // core time before the present phase
    away: f64,        // time at calls before the present phase
    tries: u32,       // calls made for the present need
    not_before: Time, // no further call before
}

/// What a req is worth, from the goal's weights and what was won lately.
pub struct Hold {
    handlers: Vec<Handler>,
    quotas: Vec<f64>, // reqs a second and server inside each customer's share
    over_share: f64,
    by_work: bool,
    weights: [f64; 3],         // whole, worst handler, worst customer
    by_handler: Vec<Ring<2>>,  // asked, won
    by_customer: Vec<Ring<3>>, // asked, won, count
    span: Time,
}

impl Hold {
    /// `quotas`: reqs a second inside each customer's share over the fleet; `weights`: of the whole, the
    /// worst handler and the worst customer.
    pub fn new(
        handlers: Vec<Handler>,
        quotas: Vec<f64>,
        fleet: f64,
        over_share: f64,
        by_work: bool,
        weights: [f64; 3],
    ) -> Self {
        let longest = handlers.iter().map(|h| h.client_timeout).max().unwrap_or(Time(1));
        Hold {
            by_handler: vec![Ring::new(longest.times(2.0)); handlers.len()],
            by_customer: vec![Ring::new(longest.times(2.0)); quotas.len()],
            quotas: quotas.iter().map(|q| q / fleet.max(1.0)).collect(),
            handlers,
            over_share,
            by_work,
            weights,
            span: longest.times(2.0),
        }
    }

    fn count(&mut self, now: Time, req: &Req, won: usize, part: f64) {
        let work = if self.by_work { req.base } else { 1.0 };
        let worth = work * self.handlers[req.handler].value * part;
        self.by_handler[req.handler].add(now, won, worth);
        if let Some(ring) = req.customer.and_then(|c| self.by_customer.get_mut(c)) {
            ring.add(now, won, worth);
            ring.add(now, 2, if won == 0 { 1.0 } else { 0.0 });
        }
    }

    /// The gain to the goal from a unit of each handler's and each customer's value.
    fn gains(&mut self, now: Time) -> (Vec<f64>, Vec<f64>) {
        let [whole, handler, customer] = self.weights;
        let handlers: Vec<[f64; 2]> = self.by_handler.iter_mut().map(|r| r.sums(now)).collect();
        let customers: Vec<[f64; 3]> = self.by_customer.iter_mut().map(|r| r.sums(now)).collect();
        let all: f64 = handlers.iter().map(|s| s[0]).sum();
        // The worst-served one counts for the goal by itself: its value is scarcer by its part of all.
        let extra = |weight: f64, won: f64, asked: f64, worst: f64| match asked > 0.0 && won <= worst * asked
        {
            true => weight * all / asked,
            false => 0.0,
        };
        let least = |sums: &mut dyn Iterator<Item = (f64, f64)>| {
            sums.filter(|s| s.0 > 0.0).map(|s| s.1 / s.0).fold(1.0, f64::min)
        };
        let worst = least(&mut handlers.iter().map(|s| (s[0], s[1])));
        let of_handlers = handlers.iter().map(|s| whole + extra(handler, s[1], s[0], worst)).collect();
        let worst = least(&mut customers.iter().map(|s| (s[0], s[1])));
        // A customer's excess over its share, as seen here, is worth little: none of its reqs says which
        // is the excess, so each of them carries its part.
        let span = self.span.num() / 10_000.0;
        let of_customers = customers.iter().zip(&self.quotas).map(|(s, quota)| {
            let within = (quota * span / s[2].max(1.0)).min(1.0);
            (within + (1.0 - within) * self.over_share)
                * (1.0 + extra(customer, s[1], s[0], worst) / whole.max(0.1))
        });
        (of_handlers, of_customers.collect())
    }
}

/// How many reqs run.
pub struct Pool {
    cores: f64,
    factor: f64,
    first: f64, // part of its speed at which a cold server starts
    warm: Time, // when it is warm at the latest
    born: Time,
    size: f64,
    busy: f64,
    crowd: Ring<1>,
}

impl Pool {
    /// `factor`: reqs a core that a warm server survives over `window`; a cold one starts at `first` of its
    /// speed and is warm after `warm`.
    pub fn new(now: Time, cores: usize, factor: f64, window: Time, first: f64, warm: Time) -> Self {
        let cores = cores.max(1) as f64;
        Pool {
            cores,
            factor,
            first,
            warm,
            born: now,
            size: cores * 1.25,
            busy: 0.0,
            crowd: Ring::new(window),
        }
    }

    /// The part of its full speed that a cold server has surely reached.
    fn warmth(&self, now: Time) -> f64 {
        let part = (now - self.born).num() / self.warm.num().max(1.0);
        (self.first + (1.0 - self.first) * part).min(1.0)
    }

    fn ceiling(&self, now: Time) -> f64 {
        self.cores * (1.0 + (self.factor - 1.0) * self.warmth(now)) * CROWD_PART
    }

    /// More reqs on the cores than keep them busy only slow each other: the pool is the smallest that does.
    fn learn(&mut self, now: Time, busy: Option<f64>, waiting: bool, on_core: usize) {
        self.busy = busy.unwrap_or(on_core as f64 / self.cores);
        if waiting && self.busy < 0.93 && on_core as f64 >= self.size - 1.0 {
            self.size = (self.size + 0.25).min(self.ceiling(now));
        } else if self.busy > 0.97 {
            self.size = (self.size - 0.1).max(self.cores);
        }
    }
}

/// SERT's threshold between a learned floor and the client timeout.
pub struct Threshold {
    loss: Ring<3>, // arrived, refused, terminated
    runs: Vec<Ring<BINS>>,
}

impl Threshold {
    pub fn new(interval: Time, handlers: &[Handler]) -> Self {
        let runs = handlers.iter().map(|h| Ring::new(h.client_timeout.times(4.0))).collect();
        Threshold { loss: Ring::new(interval), runs }
    }

    fn loss(&mut self, now: Time) -> f64 {
        let [arrived, refused, stopped] = self.loss.sums(now);
        if arrived > 0.0 {
            (refused + stopped) / arrived
        } else {
            0.0
        }
    }

    fn count_run(&mut self, now: Time, handler: usize, upper: Time, time: Time) {
        let bin = (time.num() / upper.num().max(1.0) * BINS as f64) as usize;
        self.runs[handler].add(now, bin.min(BINS - 1), 1.0);
    }

    fn floor(&mut self, now: Time, handler: usize, upper: Time) -> Time {
        let bins = self.runs[handler].sums(now);
        let all: f64 = bins.iter().sum();
        let mut below = 0.0;
        for (bin, count) in bins.iter().enumerate() {
            below += count;
            if all > 0.0 && below >= FLOOR_QUANTILE * all {
                return upper.times(((bin + 1) as f64 / BINS as f64).max(FLOOR_PART));
            }
        }
        upper
    }
}

/// F(p) of the paper's section 3.2.
pub fn opening(loss: f64) -> f64 {
    ((HIGH_WATER - loss) / (HIGH_WATER - LOW_WATER)).clamp(0.0, 1.0).powf(ALPHA)
}

pub fn threshold(floor: Time, upper: Time, loss: f64) -> Time {
    floor + (upper - floor).times(opening(loss))
}

/// What reqs cost here: time on a core of its own, learned against the hint for each handler.
pub struct Costs {
    cores: f64,
    clock: f64, // time that each req on the cores has had of a core
    last: Time,
    work: Vec<[f64; 2]>, // running sums: core time, hinted work
    away: Vec<f64>,
    strain: f64,
}

impl Costs {
    /// `first`: the part of its speed that a cold server starts at.
    pub fn new(now: Time, cores: usize, handlers: &[Handler], first: f64) -> Self {
        let base = |h: &Handler| h.response_target.num() * FIRST_COST;
        let work = handlers.iter().map(|h| [base(h) / first.max(0.05), base(h)]).collect();
        let cores = cores.max(1) as f64;
        Costs { cores, clock: 0.0, last: now, work, away: vec![0.0; handlers.len()], strain: 1.0 }
    }

    fn pass(&mut self, now: Time, on_core: usize) {
        self.clock += (now - self.last).num() * (self.cores / (on_core as f64).max(1.0)).min(1.0);
        self.last = now;
    }

    fn usual(&self, handler: usize, base: f64) -> f64 {
        base * self.work[handler][0] / self.work[handler][1].max(1.0)
    }

    fn of(&self, req: &Req) -> f64 {
        self.usual(req.handler, req.base) * self.strain
    }

    fn spent(&self, req: &Req) -> f64 {
        req.spent + if req.phase == Phase::OnCore { self.clock - req.clock } else { 0.0 }
    }

    fn left(&self, req: &Req) -> f64 {
        let whole = self.of(req);
        (whole - self.spent(req)).max(whole * 0.25)
    }

    fn learn(&mut self, req: &Req, ended: bool) {
        let spent = self.spent(req);
        if ended || spent > self.usual(req.handler, req.base) {
            let sums = &mut self.work[req.handler];
            *sums = [sums[0] * (1.0 - WEIGHT) + spent, sums[1] * (1.0 - WEIGHT) + req.base];
            let away = &mut self.away[req.handler];
            *away += (req.away - *away) * WEIGHT;
        }
    }
}

pub struct Memory {
    limit: f64,
    blowup: f64,
    per_key: f64,
}

impl Memory {
    pub fn new(limit_kb: f64, blowup: f64, kb_per_key: f64) -> Self {
        Memory { limit: limit_kb * MEMORY_PART, blowup, per_key: kb_per_key }
    }
}

/// Calls to what is below.
pub struct Calls {
    share: Option<f64>,
    linger: Time,
    held: Ring<1>, // calls in hand x time
    window: Time,
    lingering: Vec<Time>,
    limit: f64,
    most: f64,
    usual: f64, // usual time of a call
}

impl Calls {
    /// `share`: the mean number in hand over `window` that is ours, where told; abandoned calls stay for `linger`.
    pub fn new(share: Option<f64>, window: Time, linger: Time, cores: usize) -> Self {
        let most = cores.max(1) as f64 * 4.0;
        let lingering = Vec::new();
        Calls { share, linger, held: Ring::new(window), window, lingering, limit: most, most, usual: 0.0 }
    }

    fn open(&mut self, now: Time, in_hand: usize) -> bool {
        self.lingering.retain(|end| *end > now);
        let held = (in_hand + self.lingering.len()) as f64;
        let mean = self.held.sums(now)[0] / self.window.num().max(1.0);
        let within = |s: f64| held + 1.0 <= s * CALLS_PART || mean < s * CALLS_PART && held + 1.0 <= 2.0 * s;
        (in_hand as f64) + 1.0 <= self.limit.max(1.0) && self.share.is_none_or(within)
    }

    /// Backs off when calls fail or are slow, opens again as they end well; one at a time is the probe.
    fn ended(&mut self, time: Time, well: bool) {
        let slow = self.usual > 0.0 && time.num() > SLOW * self.usual;
        if well {
            let first = self.usual == 0.0;
            self.usual += (time.num() - self.usual) * if first { 1.0 } else { WEIGHT / 2.0 };
        }
        self.limit = if well && !slow { self.limit + 1.0 } else { self.limit * 0.7 }.clamp(1.0, self.most);
    }
}

/// Entries that tell repeats of uniqued reqs.
#[derive(Default)]
pub struct Keys(BTreeMap<ReqId, Time>);

pub struct Drain {
    grace: Time,
    left: Option<(Time, Time)>, // notice, stop
}

impl Drain {
    pub fn new(grace: Time) -> Self {
        Drain { grace, left: None }
    }
}

/// What callers are told.
pub struct Advice {
    reading: Reading,
    callers: f64,
    longest_pause: Time,
    said: Option<f64>,
    healthy: Option<bool>,
    load: Ring<2>, // arrivals, retries among them
    delay: f64,    // time that reqs lie unread
}

impl Advice {
    pub fn new(reading: Reading, callers: f64, longest_pause: Time, heeded: Time) -> Self {
        let load = Ring::new(heeded.times(2.0));
        Advice { reading, callers, longest_pause, said: None, healthy: None, load, delay: 0.0 }
    }
}

pub struct Decider {
    chance: Chance,
    halting: Halting,
    resolution: Time,
    tick: Time,
    span: Time, // the shortest response target
    next_look: Time,
    woken: Option<Time>,
    passes: usize,
    reqs: BTreeMap<ReqId, Req>,
    hold: Hold,
    pool: Pool,
    limits: Threshold,
    costs: Costs,
    memory: Memory,
    calls: Calls,
    keys: Keys,
    drain: Drain,
    advice: Advice,
}

type Rule = fn(&mut Decider, Time, &mut Results) -> bool;

/// Gone through from the top after every input until none fires; each firing settles one req.
const RULES: [Rule; 10] = [
    Decider::answer_due,
    Decider::stop_overdue,
    Decider::thin_crowd,
    Decider::free_memory,
    Decider::turn_away_leaving,
    Decider::join_repeat,
    Decider::shed_unwinnable,
    Decider::start_next,
    Decider::skip_call,
    Decider::make_call,
];

impl Decider {
    #[allow(clippy::too_many_arguments)]
    pub fn new(
        seed: u64,
        resolution: Time,
        halting: Halting,
        hold: Hold,
        pool: Pool,
        limits: Threshold,
        costs: Costs,
        memory: Memory,
        calls: Calls,
        drain: Drain,
        advice: Advice,
    ) -> Self {
        let span = hold.handlers.iter().map(|h| h.response_target).min().unwrap_or(Time(1));
        Decider {
            chance: Chance(seed % 4_294_957_664 + 1),
            halting,
            resolution,
            tick: span.times(TICK_PART).max(resolution),
            span,
            next_look: Time(0),
            woken: None,
            passes: 0,
            reqs: BTreeMap::new(),
            hold,
            pool,
            limits,
            costs,
            memory,
            calls,
            keys: Keys::default(),
            drain,
            advice,
        }
    }

    /// Rules fired after the last input.
    pub fn passes(&self) -> usize {
        self.passes
    }

    pub fn arrival(&mut self, now: Time, new: Arrival) -> Results {
        self.pass(now);
        let Some(handler) = self.hold.handlers.get(new.handler.0).copied() else { return Results::default() };
        let arrived = now - new.lay;
        let base = new.hint.map_or(handler.response_target.num() * FIRST_COST, |h| h.num().max(1.0));
        let target = handler.response_target + Time((handler.target_stretch * base) as i64);
        let req = Req {
            id: new.id,
            handler: new.handler.0,
            customer: new.customer.map(|c| c.0),
            retry: new.retry,
            repeats: new.repeats,
            base,
            kb: new.kb,
            arrived,
            target: arrived + target.min(handler.client_timeout),
            due: new.wait.map_or(arrived + handler.client_timeout, |w| now + w).max(now),
            phase: Phase::Held,
            answered: false,
            started: now,
            since: now,
            clock: 0.0,
            spent: 0.0,
            away: 0.0,
            tries: 0,
            not_before: now,
        };
        self.hold.count(now, &req, 0, 1.0);
        self.limits.loss.add(now, 0, 1.0);
        self.advice.load.add(now, 0, 1.0);
        self.advice.load.add(now, 1, if new.retry { 1.0 } else { 0.0 });
        self.advice.delay += (new.lay.num() - self.advice.delay) * WEIGHT;
        let mut out = Results::default();
        if handler.kind == Kind::Uniqued && new.repeats.is_none() {
            let end = arrived + handler.window;
            if end > now {
                out.keep.push((new.id, end - now));
                self.keys.0.insert(new.id, end);
            }
        }
        self.reqs.insert(new.id, req);
        self.settle(now, out)
    }

    pub fn run_ended(&mut self, now: Time, id: ReqId, end: RunEnd) -> Results {
        self.pass(now);
        if let Some(req) = self.reqs.remove(&id) {
            if req.phase == Phase::Calling {
                self.calls.lingering.push(now + self.calls.linger);
            }
            if req.phase != Phase::Joined && !req.answered && matches!(end, RunEnd::Done | RunEnd::Errored) {
                self.costs.learn(&req, true);
                let upper = self.hold.handlers[req.handler].client_timeout;
                self.limits.count_run(now, req.handler, upper, now - req.started);
            }
            if end == RunEnd::Done && !req.answered {
                let late = self.hold.handlers[req.handler].late_value;
                self.hold.count(now, &req, 1, if now <= req.target { 1.0 } else { late });
            }
        }
        self.settle(now, Results::default())
    }

    pub fn call_wanted(&mut self, now: Time, id: ReqId) -> Results {
        self.pass(now);
        if let Some(req) = self.reqs.get_mut(&id) {
            req.spent = self.costs.spent(req);
            (req.phase, req.since, req.tries, req.not_before) = (Phase::Wanting, now, 0, now);
        }
        self.settle(now, Results::default())
    }

    pub fn call_ended(&mut self, now: Time, id: ReqId, end: CallEnd) -> Results {
        self.pass(now);
        let mut out = Results::default();
        if let Some(req) = self.reqs.get_mut(&id).filter(|r| r.phase == Phase::Calling) {
            let time = now - req.since;
            req.away += time.num();
            req.since = now;
            self.calls.ended(time, end == CallEnd::Done);
            let handler = self.hold.handlers[req.handler];
            let again = handler.kind == Kind::Replayable || end == CallEnd::NeverRan;
            if end == CallEnd::Unknown {
                self.calls.lingering.push(now + self.calls.linger);
            }
            if end == CallEnd::Done {
                (req.phase, req.clock) = (Phase::OnCore, self.costs.clock);
            } else if again && req.tries < 3 {
                req.phase = Phase::Wanting;
                req.not_before = now + Time((self.calls.usual * 0.25 * req.tries as f64) as i64);
            } else if handler.skip_value > 0.0 {
                self.resume(id, &mut out);
            } else {
                self.give_up(now, id, &mut out);
            }
        }
        self.settle(now, out)
    }

    pub fn caller_gone(&mut self, now: Time, id: ReqId) -> Results {
        self.pass(now);
        let mut out = Results::default();
        let stoppable = self.stoppable(id);
        if let Some(req) = self.reqs.get_mut(&id) {
            req.answered = true;
            match req.phase {
                Phase::Held | Phase::Joined => drop(self.reqs.remove(&id)),
                Phase::OnCore if stoppable => out.stop.push(id),
                _ => {}
            }
        }
        self.settle(now, out)
    }

    pub fn leaving(&mut self, now: Time, left: Time) -> Results {
        self.pass(now);
        self.drain.left = Some((now, now + left.times(0.95) - self.resolution - self.resolution));
        self.settle(now, Results::default())
    }

    pub fn wake(&mut self, now: Time, gauges: Gauges) -> Results {
        self.pass(now);
        let mut out = Results::default();
        if self.woken.is_some_and(|at| at <= now) {
            self.woken = None;
        }
        if now >= self.next_look {
            self.next_look = now + self.tick;
            let (on_core, waiting) = (self.on_core(), self.held().next().is_some());
            self.pool.learn(now, gauges.busy, waiting, on_core);
            // Frozen cores let a stop pass without effect: it is asked for again.
            let again = self.reqs.values().filter(|r| r.answered && r.phase == Phase::OnCore).map(|r| r.id);
            out.stop = again.filter(|id| self.stoppable(*id)).collect();
        }
        self.settle(now, out)
    }

    // What the rules look at.

    fn held(&self) -> impl Iterator<Item = &Req> {
        self.reqs.values().filter(|r| r.phase == Phase::Held)
    }

    fn on_core(&self) -> usize {
        self.reqs.values().filter(|r| r.phase == Phase::OnCore).count()
    }

    fn running(&self) -> impl Iterator<Item = &Req> {
        self.reqs.values().filter(|r| !matches!(r.phase, Phase::Held | Phase::Joined))
    }

    fn stoppable(&self, id: ReqId) -> bool {
        let kind = self.reqs.get(&id).map(|r| self.hold.handlers[r.handler].kind);
        self.halting != Halting::Never && kind == Some(Kind::Replayable)
    }

    fn memory_used(&self) -> f64 {
        let reqs = self.reqs.values().map(|r| match r.phase {
            Phase::Held | Phase::Joined => r.kb,
            _ => r.kb * self.memory.blowup,
        });
        reqs.sum::<f64>() + self.keys.0.len() as f64 * self.memory.per_key
    }

    fn due(&self, req: &Req) -> Time {
        self.drain.left.map_or(req.due, |(_, stop)| req.due.min(stop))
    }

    /// Work in hand, as time that all cores need for it.
    fn in_hand(&self) -> f64 {
        let running: f64 = self.running().filter(|r| !r.answered).map(|r| self.costs.left(r)).sum();
        (running + self.held().map(|r| self.costs.of(r)).sum::<f64>()) / self.pool.cores
    }

    /// Part of the way from calm to full, also counting what lies unread.
    fn pressure(&self) -> f64 {
        let span = self.span.num();
        ((self.in_hand() + self.advice.delay) / span - CALM) / (FULL - CALM)
    }

    /// Held reqs, first to start first. Oldest first, until the pressure shows that not all can be won:
    /// then by what a unit of work still wins.
    fn order(&mut self, now: Time) -> Vec<ReqId> {
        let (handlers, customers) = self.hold.gains(now);
        let pressed = self.pressure() > 0.0;
        let mut held: Vec<(f64, Time, ReqId)> = Vec::new();
        for req in self.reqs.values().filter(|r| r.phase == Phase::Held) {
            let handler = &self.hold.handlers[req.handler];
            let late = now.num() + self.costs.of(req) > req.target.num();
            let gain = handlers[req.handler] * req.customer.and_then(|c| customers.get(c)).unwrap_or(&1.0);
            let part = if late { handler.late_value } else { 1.0 };
            let work = if self.hold.by_work { 1.0 } else { self.costs.usual(req.handler, req.base).max(1.0) };
            held.push((if pressed { -gain * part * handler.value / work } else { 0.0 }, req.arrived, req.id));
        }
        held.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)).then(a.2.cmp(&b.2)));
        held.into_iter().map(|h| h.2).collect()
    }

    // What the rules do.

    fn pass(&mut self, now: Time) {
        let (on_core, span) = (self.on_core(), (now - self.costs.last).num());
        self.pool.crowd.add(now, 0, on_core as f64 * span);
        let calls = self.reqs.values().filter(|r| r.phase == Phase::Calling).count();
        self.calls.lingering.retain(|end| *end > now);
        self.calls.held.add(now, 0, (calls + self.calls.lingering.len()) as f64 * span);
        self.costs.pass(now, on_core);
        self.keys.0.retain(|_, end| *end > now);
        // Runs that have long passed their cost show a server slower than it was, before any of them ends.
        let over = |r: &Req| self.costs.spent(r) / self.costs.usual(r.handler, r.base).max(1.0);
        let runs: Vec<f64> = self.running().filter(|r| r.phase == Phase::OnCore).map(over).collect();
        let mean = runs.iter().sum::<f64>() / (runs.len() as f64).max(self.pool.cores * 0.5);
        self.costs.strain = mean.clamp(1.0, 10.0);
    }

    fn give_up(&mut self, now: Time, id: ReqId, out: &mut Results) {
        let Some(req) = self.reqs.get_mut(&id) else { return };
        out.fail.push(id);
        req.answered = true;
        let req = req.clone();
        if req.phase == Phase::OnCore && self.stoppable(id) {
            out.stop.push(id);
            self.costs.learn(&req, false);
            let upper = self.hold.handlers[req.handler].client_timeout;
            self.limits.count_run(now, req.handler, upper, now - req.started);
        }
        // A stalled or cold server must not take its own terminations for load.
        if self.costs.strain < STRAINED && self.pool.warmth(now) >= 1.0 {
            self.limits.loss.add(now, 2, 1.0);
        }
        if matches!(req.phase, Phase::Held | Phase::Joined) {
            self.reqs.remove(&id);
        }
    }

    fn turn_away(&mut self, now: Time, id: ReqId, out: &mut Results) {
        let Some(req) = self.reqs.remove(&id) else { return };
        self.limits.loss.add(now, 1, 1.0);
        if self.keys.0.remove(&id).is_some() {
            out.release.push(id);
        }
        let [arrivals, retries] = self.advice.load.sums(now);
        let leaving = self.drain.left.is_some();
        let last = !leaving && (req.retry || retries > LAST_SHARE * arrivals);
        let wait = (self.in_hand() - CALM * self.span.num()).max(0.0) * (0.75 + 0.5 * self.chance.next());
        let pause = if leaving { self.advice.longest_pause } else { Time(wait as i64) };
        out.shed.push(Shed { id, pause: pause.min(self.advice.longest_pause), last });
    }

    fn resume(&mut self, id: ReqId, out: &mut Results) {
        if let Some(req) = self.reqs.get_mut(&id) {
            out.skip.push(id);
            (req.phase, req.clock) = (Phase::OnCore, self.costs.clock);
        }
    }

    fn settle(&mut self, now: Time, mut out: Results) -> Results {
        self.passes = 0;
        while RULES.iter().any(|rule| rule(self, now, &mut out)) {
            self.passes += 1;
        }
        self.advise(now, &mut out);
        let due = self.reqs.values().filter(|r| !r.answered).map(|r| self.due(r) - self.resolution).min();
        let at = due.unwrap_or(Time::MAX).min(self.next_look).max(now + self.resolution);
        if self.woken.is_none_or(|woken| at < woken) {
            self.woken = Some(at);
            out.wake = Some(at - now);
        }
        out
    }

    fn advise(&mut self, now: Time, out: &mut Results) {
        let healthy = self.drain.left.is_none();
        if self.advice.healthy != Some(healthy) {
            self.advice.healthy = Some(healthy);
            out.health = Some(healthy);
        }
        let wanted = match healthy {
            true => (1.0 - self.pressure()).clamp(LEAST_ADVICE, 1.0).min(self.pool.warmth(now)),
            false => 0.0,
        };
        let level = match self.advice.reading {
            Reading::Unused => return,
            Reading::Share => wanted,
            Reading::Credit => wanted * self.pool.ceiling(now) / self.advice.callers.max(1.0),
            Reading::Rank => 1.0 - wanted,
        };
        let scale = if self.advice.reading == Reading::Credit { self.pool.cores } else { 1.0 };
        if self.advice.said.is_none_or(|said| (said - level).abs() > 0.02 * scale) {
            self.advice.said = Some(level);
            out.advice = Some(level);
        }
    }

    // The rules.

    /// No req is lost: one that falls due gets its answer now, whatever runs.
    fn answer_due(&mut self, now: Time, out: &mut Results) -> bool {
        let late = |r: &&Req| !r.answered && self.due(r) - self.resolution <= now;
        let Some((id, phase)) = self.reqs.values().find(late).map(|r| (r.id, r.phase)) else { return false };
        match phase {
            Phase::Held if self.reqs[&id].repeats.is_none() => self.turn_away(now, id, out),
            _ => self.give_up(now, id, out),
        }
        true
    }

    /// SERT: a replayable run past the threshold is stopped for good.
    fn stop_overdue(&mut self, now: Time, out: &mut Results) -> bool {
        let loss = self.limits.loss(now);
        let waiting = self.held().next().is_some();
        let handlers = 0..self.hold.handlers.len();
        let upper = |h: usize| self.hold.handlers[h].client_timeout;
        let floors: Vec<Time> = handlers.map(|h| self.limits.floor(now, h, upper(h))).collect();
        let overdue = |r: &&Req| {
            let upper = self.due(r) - r.started;
            let limit = threshold(floors[r.handler].min(upper), upper, loss);
            // Departure: with others waiting and loss above the low mark, a run that can win nothing more ends.
            let worthless = self.hold.handlers[r.handler].late_value == 0.0 && now > r.target;
            now - r.started > limit || worthless && waiting && loss > LOW_WATER
        };
        let running = self.running().filter(|r| !r.answered && self.stoppable(r.id));
        let Some(id) = running.filter(|r| r.phase != Phase::Calling).find(overdue).map(|r| r.id) else {
            return false;
        };
        self.give_up(now, id, out);
        true
    }

    /// The crowd on the cores stays under what the server survives, cold or warm.
    fn thin_crowd(&mut self, now: Time, out: &mut Results) -> bool {
        let live = |r: &&Req| r.phase == Phase::OnCore && !r.answered;
        if (self.running().filter(live).count() as f64) <= self.pool.ceiling(now) {
            return false;
        }
        let live = self.running().filter(live).filter(|r| self.stoppable(r.id));
        let Some(id) = live.max_by_key(|r| (r.started, r.id)).map(|r| r.id) else { return false };
        self.give_up(now, id, out);
        true
    }

    /// Held and running reqs and keys stay within the memory.
    fn free_memory(&mut self, now: Time, out: &mut Results) -> bool {
        if self.memory_used() <= self.memory.limit {
            return false;
        }
        if let Some(id) = self.order(now).into_iter().rfind(|id| self.reqs[id].repeats.is_none()) {
            self.turn_away(now, id, out);
            return true;
        }
        let live = self.running().filter(|r| !r.answered && r.phase == Phase::OnCore && self.stoppable(r.id));
        let Some(id) = live.max_by_key(|r| (r.started, r.id)).map(|r| r.id) else { return false };
        self.give_up(now, id, out);
        true
    }

    /// After the notice to leave: what came past the grace does not run.
    fn turn_away_leaving(&mut self, now: Time, out: &mut Results) -> bool {
        let Some((notice, _)) = self.drain.left else { return false };
        let past = |r: &&Req| r.repeats.is_none() && r.arrived > notice + self.drain.grace - self.resolution;
        let Some(id) = self.held().find(past).map(|r| r.id) else { return false };
        self.turn_away(now, id, out);
        true
    }

    /// A repeat takes the answer of the req it repeats, unless that one waits for this one.
    fn join_repeat(&mut self, _: Time, out: &mut Results) -> bool {
        let waits = |of: ReqId, on: ReqId| {
            self.reqs.get(&of).is_some_and(|r| r.phase == Phase::Joined && r.repeats == Some(on))
        };
        let Some((id, other)) = self.held().find_map(|r| Some((r.id, r.repeats?))) else { return false };
        let mutual = waits(other, id);
        let Some(req) = self.reqs.get_mut(&id) else { return false };
        if mutual {
            req.repeats = None;
        } else {
            req.phase = Phase::Joined;
            out.join.push(id);
        }
        true
    }

    /// Predictive intake, looked at again after every input: with the cores in use, a held req that will not
    /// finish within its response target behind those before it is turned away while others may still take it.
    fn shed_unwinnable(&mut self, now: Time, out: &mut Results) -> bool {
        if (self.on_core() as f64) < FREE_BUSY * self.pool.cores {
            return false;
        }
        let running = self.running().filter(|r| !r.answered && r.phase == Phase::OnCore);
        let mut ahead: f64 = running.map(|r| self.costs.left(r)).sum();
        for id in self.order(now) {
            let req = &self.reqs[&id];
            let own = self.costs.of(req);
            let finish = now.num() + ahead / self.pool.cores + own + self.costs.away[req.handler];
            let fresh = req.since == now;
            let within = (req.target - req.arrived).num() * if fresh { MARGIN } else { 1.0 };
            if finish > req.arrived.num() + within || finish > self.due(req).num() {
                self.turn_away(now, id, out);
                return true;
            }
            ahead += own;
        }
        false
    }

    /// The pool: as many on the cores as keep them busy, within crowd and memory.
    fn start_next(&mut self, now: Time, out: &mut Results) -> bool {
        let (on_core, running) = (self.on_core() as f64, self.running().count() as f64);
        if on_core + 1.0 > self.pool.size || running + 1.0 > self.pool.ceiling(now) {
            return false;
        }
        let room = self.memory.limit - self.memory_used();
        let order = self.order(now);
        let fits = |id: &ReqId| self.reqs[id].kb * (self.memory.blowup - 1.0) <= room;
        let Some(id) = order.into_iter().find(fits) else { return false };
        let clock = self.costs.clock;
        let Some(req) = self.reqs.get_mut(&id) else { return false };
        (req.phase, req.started, req.since, req.clock) = (Phase::OnCore, now, now, clock);
        out.start.push(id);
        true
    }

    /// Where value allows, a req that has waited long for its call goes on without it.
    fn skip_call(&mut self, now: Time, out: &mut Results) -> bool {
        let long = |r: &&Req| {
            let left = (r.target.min(self.due(r)) - r.since).times(0.25);
            r.phase == Phase::Wanting
                && !r.answered
                && self.hold.handlers[r.handler].skip_value > 0.0
                && now - r.since >= left
        };
        let Some(id) = self.running().find(long).map(|r| r.id) else { return false };
        self.resume(id, out);
        true
    }

    fn make_call(&mut self, now: Time, out: &mut Results) -> bool {
        let in_hand = self.reqs.values().filter(|r| r.phase == Phase::Calling).count();
        let ready = |r: &&Req| r.phase == Phase::Wanting && !r.answered && r.not_before <= now;
        let next = self.running().filter(ready).min_by_key(|r| (r.arrived, r.id)).map(|r| r.id);
        let Some(id) = next.filter(|_| self.calls.open(now, in_hand)) else { return false };
        let due = self.due(&self.reqs[&id]);
        let Some(req) = self.reqs.get_mut(&id) else { return false };
        let end = if now < req.target { req.target.min(due) } else { due };
        let cap = if self.hold.handlers[req.handler].skip_value > 0.0 { 0.5 } else { 1.0 };
        req.away += (now - req.since).num();
        (req.phase, req.since) = (Phase::Calling, now);
        req.tries += 1;
        out.call.push((id, (end - now).times(cap).max(self.resolution)));
        true
    }
}
