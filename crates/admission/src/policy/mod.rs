//! The decisions of one server. Invocation: build the parts from the start-up settings, join them with
//! `AdmissionController::new`, call `wake` once, then one method for each input; each returns a `Actions` (types.rs).
//! After every input the rules in `RULES` are gone through in order until none fires.
//! docs/design.md tells what follows SERT, what departs from it, and when each departure acts.
use crate::types::*;
use std::collections::BTreeMap;

const SLOTS: usize = 8; // buckets of a ring
const BINS: usize = 20; // bins of run times, as parts of the client timeout
const LOW_WATER: f64 = 0.05; // loss up to which the threshold stays at its upper bound
const HIGH_WATER: f64 = 0.15; // loss from which it is at its lower bound
const ALPHA: f64 = 4.0; // bend of the threshold between the two
const FLOOR_QUANTILE: f64 = 0.99; // of a handler's run times: the threshold's lower bound
const RUNS_SPAN: f64 = 4.0; // time over which run times count, times the client timeout
const SHARE_SPAN: f64 = 2.0; // time over which customers' shares count, times the longest client timeout
const FLOOR_PART: f64 = 0.1; // least lower bound, part of the upper one
const TICK_PART: f64 = 0.06; // time between looks at the gauges, part of the shortest response target
const FULL_USE: f64 = 0.95; // use of the cores under which the pool grows and over which it shrinks
const POOL_STEP: f64 = 0.2; // of a run, by which it does
const LOOK_BACK: f64 = 0.3; // time that a full pool leaves cores idle before it grows, part of a target
const FREE_BUSY: f64 = 0.8; // part of the cores in use under which every req is taken
const MARGIN: f64 = 0.8; // part of its response target by which a newcomer must be predicted to finish
const CALM: f64 = 0.15; // work in hand a core under which all is well, part of the shortest response target
const FULL: f64 = 0.6; // work in hand a core at which no more is wanted, likewise
const LEAST_ADVICE: f64 = 0.25; // least share of traffic asked for, so that callers still hear from us
const CROWD_PART: f64 = 0.85; // part of the crowd ceiling that is used
const SPREAD: f64 = 2.0; // multiple of it that may run where a gauge tells how many are on the cores
const GUARD_PART: f64 = 0.9; // part of the memory and of the told share of calls that is used
const FIRST_COST: f64 = 0.125; // cost of a req before any is known, part of its response target
const LEAST_LEFT: f64 = 0.25; // of a req's cost, what a run that has had more is still taken to need
const WEIGHT: f64 = 0.1; // of the newest in running means
const PATIENCE: f64 = 4.0; // multiple of its usual time at which a call is slow, or may be given up
const LONE: f64 = 3.0; // multiple of that where all share what is below, and one call alone is slow
const BACK_OFF: f64 = 0.85; // of the calls in hand that stay after one failed or was slow
const MOST_CALLS: f64 = 4.0; // calls in hand a core
const SPARE: f64 = 0.8; // part of them, backed off to no less while nearly all end well
const SKIP_PART: f64 = 0.04; // of the time left to its target, how long a req waits to call before it skips
const LEAST_CALLS: f64 = 0.25; // least of the share told that is used, where calls crowd what is below
const LATELY: f64 = 0.25; // of the newest in the time of calls of late
const STRAINED: f64 = 2.0; // multiple of their cost at which the running reqs show a stall
const DOUBT: f64 = 4.0; // usual runs that the running ones must outweigh to show it
const TRIES: u32 = 3; // calls made for one need
const STOP_PART: f64 = 0.95; // of the time left after the notice to leave, by which all is answered
const ADVICE_STEP: f64 = 0.02; // least relative change of the advice that is said
const DEAR: f64 = 0.25; // part of the cores from which reading counts as dear
const UNREAD: f64 = 2.0; // weight of what lies unread over what is in hand, for callers
const LAST_SHARE: f64 = 0.2; // of that part, what reading retries takes as sheds ask for no further try
const HEARD_PART: f64 = 4.0; // callers remembered, times those told at start: the table's bound
const HEARD_LEAST: f64 = 4096.0; // the least bound of that table, where few or none are told

const GAPS: usize = 10; // bins of the gaps between a caller's reqs, each twice as wide as the one before
const FEW: f64 = 256.0; // connections that any server bears: where no more callers are, all stay open
const MID_BIN: f64 = 0.75; // of a bin's edge, its middle
const DEAR_PART: f64 = 0.15; // of the time callers leave connections idle, for which a kept one costs a new one

type Sums<const K: usize> = SlidingWindow<K, SLOTS>;

/// What reqs are worth, from the goal's weights and what was won lately.
pub struct PriorityWeights {
    handlers: Vec<Handler>,
    quotas: Vec<f64>, // reqs here inside each customer's share, over the rings' span
    shortest: Time,   // response target
    over_share: f64,
    by_work: bool,
    weights: [f64; 3],         // whole, worst handler, worst customer
    by_handler: Vec<Sums<4>>,  // asked, won, count, done
    by_customer: Vec<Sums<4>>, // the same
}

impl PriorityWeights {
    /// `quotas`: reqs a second inside each customer's share, over a fleet of `fleet` servers; `weights`: of
    /// the whole, the worst handler and the worst customer.
    pub fn new(
        handlers: &[Handler], quotas: &[f64], fleet: f64, over_share: f64, by_work: bool, weights: [f64; 3],
    ) -> Self {
        let span = handlers.iter().map(|h| h.client_timeout).max().unwrap_or(Time(1)).scaled(SHARE_SPAN);
        let rings = |count: usize| vec![SlidingWindow::new(span); count];
        let (by_handler, by_customer) = (rings(handlers.len()), rings(quotas.len()));
        let quotas = quotas.iter().map(|q| q / fleet.max(1.0) * span.as_f64() / SECOND.as_f64()).collect();
        let shortest = handlers.iter().map(|h| h.response_target).min().unwrap_or(Time(1));
        let handlers = handlers.to_vec();
        PriorityWeights { handlers, quotas, shortest, over_share, by_work, weights, by_handler, by_customer }
    }

    fn count(&mut self, now: Time, req: &RequestRecord, won: usize, part: f64) {
        let worth = self.handlers[req.handler()].value * part * if self.by_work { req.base } else { 1.0 };
        let of_customer = req.arrival.tenant.and_then(|c| self.by_customer.get_mut(c.0));
        for ring in of_customer.into_iter().chain([&mut self.by_handler[req.handler()]]) {
            ring.add(now, won, worth);
            ring.add(now, 2 + won, 1.0);
        }
    }

    /// The worst-served counts by itself: a unit of its value weighs more, the smaller its part of all.
    fn scarcity(weight: f64, sums: &[[f64; 2]]) -> Vec<f64> {
        let all: f64 = sums.iter().map(|s| s[0]).sum();
        let served = |s: &[f64; 2]| if s[0] > 0.0 { s[1] / s[0] } else { 1.0 };
        let worst = sums.iter().map(served).fold(1.0, f64::min);
        let extra = |s: &[f64; 2]| if s[0] > 0.0 && served(s) <= worst { weight * all / s[0] } else { 0.0 };
        sums.iter().map(extra).collect()
    }

    /// The gain to the goal from a unit of each handler's and each customer's value. No req says whether it
    /// is in its customer's excess, which is worth little: what is done fills the share first.
    fn gains(&self, now: Time, age: Time) -> (Vec<f64>, Vec<f64>) {
        let [whole, handler, customer] = self.weights;
        let sums = |rings: &[Sums<4>]| rings.iter().map(|r| r.sums(now)).collect::<Vec<_>>();
        let of_handlers: Vec<_> = sums(&self.by_handler).iter().map(|s| [s[0], s[1]]).collect();
        let handlers = Self::scarcity(handler, &of_handlers).iter().map(|e| whole + e).collect();
        let lived = age.as_f64() / self.by_customer.first().map_or(1.0, |r| r.span());
        let quotas = self.quotas.iter().map(|q| (q * lived.min(1.0)).max(1.0));
        let counts: Vec<_> = sums(&self.by_customer).into_iter().zip(quotas).collect();
        // A smaller fleet or retries swell all counts alike: a share is measured against the middle customer.
        let mut over: Vec<f64> = counts.iter().map(|(s, quota)| s[2] / quota).collect();
        over.sort_by(f64::total_cmp);
        let middle = over.get(over.len() / 2).map_or(1.0, |m| m.max(1.0));
        let inside = counts.iter().map(|(s, quota)| [s[0] * (middle * quota / s[2].max(1.0)).min(1.0), s[1]]);
        let extras = Self::scarcity(customer, &inside.collect::<Vec<_>>());
        let gain = |((s, quota), extra): (&([f64; 4], f64), f64)| {
            let inside = f64::from(s[3] < quota * middle);
            inside * (whole + extra) + (1.0 - inside) * self.over_share * whole
        };
        (handlers, counts.iter().zip(extras).map(gain).collect())
    }
}

/// How many reqs run.
pub struct ConcurrencyLimit {
    cores: f64,
    factor: f64,
    first: f64, // part of its speed at which a cold server starts
    warm: Time, // when it is warm at the latest
    born: Time,
    size: f64,
    busy: f64,         // part of the cores in use
    filled: Time,      // since when all of it runs and reqs wait
    seen: Option<f64>, // what the cores' gauge counted on them, and starts since
}

impl ConcurrencyLimit {
    /// `factor`: reqs a core that a warm server survives; a cold one starts at `first` of its speed.
    pub fn new(now: Time, cores: usize, factor: f64, first: f64, warm: Time) -> Self {
        let cores = cores.max(1) as f64;
        let (size, busy) = (cores, 0.0);
        ConcurrencyLimit { cores, factor, first, warm, born: now, size, busy, filled: now, seen: None }
    }

    /// The part of its full speed that a cold server has surely reached.
    fn warmth(&self, now: Time) -> f64 {
        let part = (now - self.born).as_f64() / self.warm.as_f64().max(1.0);
        (self.first + (1.0 - self.first) * part).min(1.0)
    }

    fn ceiling(&self, now: Time) -> f64 {
        self.cores * (1.0 + (self.factor - 1.0) * self.warmth(now)) * CROWD_PART
    }

    /// Departure: where a gauge counts what is on the cores, runs at the disk leave room past the ceiling for
    /// others that can be stopped; with 1,080 ms at the disk it held fast cores half idle (manila-main).
    fn most(&self, now: Time) -> f64 {
        let open = self.seen.is_some_and(|seen| seen + 1.0 <= self.ceiling(now));
        self.ceiling(now) * if open { SPREAD } else { 1.0 }
    }

    /// The pool is the smallest that keeps the cores busy: more only slow each other. It grows after it was
    /// full for longer than the gauge looks back: idle cores then show waits on disk, not runs just started.
    fn learn(&mut self, now: Time, sample: LoadSample, waiting: bool, on_core: usize, target: Time) {
        self.busy = sample.cpu_utilization.unwrap_or(on_core as f64 / self.cores);
        self.seen = sample.runnable_tasks;
        self.filled = if waiting && on_core as f64 > self.size - 1.0 { self.filled } else { now };
        let idle = POOL_STEP * FULL_USE / self.busy.max(FLOOR_PART);
        let grow = if now - self.filled >= target.scaled(LOOK_BACK) { idle } else { 0.0 };
        let step = if self.busy > FULL_USE { -POOL_STEP } else { grow };
        self.size = (self.size + step).min(self.most(now)).max(self.cores);
    }
}

/// SERT's threshold between a learned floor and the client timeout.
pub struct TerminationThreshold {
    halting: Cancellation,
    loss: Sums<3>,                 // arrived, refused, terminated
    runs: Vec<(Time, Sums<BINS>)>, // client timeout, run times as parts of it
}

impl TerminationThreshold {
    pub fn new(interval: Time, halting: Cancellation, handlers: &[Handler]) -> Self {
        let ring = |h: &Handler| (h.client_timeout, SlidingWindow::new(h.client_timeout.scaled(RUNS_SPAN)));
        let runs = handlers.iter().map(ring).collect();
        TerminationThreshold { halting, loss: SlidingWindow::new(interval), runs }
    }

    fn count_run(&mut self, now: Time, handler: usize, time: Time) {
        let (upper, runs) = &mut self.runs[handler];
        let bin = (time.as_f64() / upper.as_f64() * BINS as f64) as usize;
        runs.add(now, bin.min(BINS - 1), 1.0);
    }

    fn floor(&self, now: Time, handler: usize) -> Time {
        let (upper, runs) = &self.runs[handler];
        let bin = runs.quantile(now, FLOOR_QUANTILE).unwrap_or(BINS - 1);
        upper.scaled(((bin + 1) as f64 / BINS as f64).max(FLOOR_PART))
    }
}

/// The paper's section 3.2: Threshold = LB + F(p) x (UB - LB).
pub fn threshold(floor: Time, upper: Time, loss: f64) -> Time {
    let opening = ((HIGH_WATER - loss) / (HIGH_WATER - LOW_WATER)).clamp(0.0, 1.0).powf(ALPHA);
    floor + (upper - floor).scaled(opening)
}

/// What reqs cost here: time on a core of its own, learned against the hint for each handler.
pub struct CostEstimator {
    clock: f64, // time that each req on the cores has had of a core
    last: Time,
    work: Vec<[f64; 2]>, // running sums: core time, hinted work
    away: Vec<f64>,
    calls: Vec<f64>, // calls wanted a run
    strain: f64,
}

impl CostEstimator {
    /// `first`: the part of its speed that a cold server starts at.
    pub fn new(now: Time, handlers: &[Handler], first: f64) -> Self {
        let base = |h: &Handler| h.response_target.as_f64() * FIRST_COST;
        let work = handlers.iter().map(|h| [base(h) / first.max(FLOOR_PART), base(h)]).collect();
        let calls = handlers.iter().map(|h| f64::from(h.makes_calls)).collect();
        CostEstimator { clock: 0.0, last: now, work, away: vec![0.0; handlers.len()], calls, strain: 1.0 }
    }

    fn usual(&self, req: &RequestRecord) -> f64 {
        let [spent, base] = self.work[req.handler()];
        req.base * spent / base.max(1.0)
    }

    fn of(&self, req: &RequestRecord) -> f64 {
        self.usual(req) * self.strain
    }

    fn spent(&self, req: &RequestRecord) -> f64 {
        req.spent + if req.phase == Phase::Running { self.clock - req.clock } else { 0.0 }
    }

    fn left(&self, req: &RequestRecord) -> f64 {
        let whole = self.of(req);
        (whole - self.spent(req)).max(whole * LEAST_LEFT)
    }

    /// What a run spent off the cores is learned as time away: calls, and disk waits that no event tells.
    fn learn(&mut self, now: Time, req: &RequestRecord, ended: bool) {
        let spent = self.spent(req);
        if ended || spent > self.usual(req) {
            let sums = &mut self.work[req.handler()];
            *sums = [sums[0] * (1.0 - WEIGHT) + spent, sums[1] * (1.0 - WEIGHT) + req.base];
            let away = if ended { req.away.max((now - req.started).as_f64() - spent) } else { req.away };
            self.away[req.handler()] += (away - self.away[req.handler()]) * WEIGHT;
            if ended {
                self.calls[req.handler()] += (req.calls - self.calls[req.handler()]) * WEIGHT;
            }
        }
    }
}

/// Calls to what is below.
pub struct CallLimiter {
    share: Option<f64>,
    window: f64,
    linger: Time,
    held: Sums<1>, // calls in hand x time
    lingering: Vec<Time>,
    limit: f64, // calls in hand; under one, the part of the time in which one is
    most: f64,
    alone: bool,  // the share leaves room for one call at a time, and not always
    rested: Time, // when the next may be made, where the limit is under one
    cores: f64,
    usual: f64,  // usual time of a call
    lately: f64, // the same of late
}

impl CallLimiter {
    /// `share`: the mean number in hand over `window` that is ours, where told; `linger`: how long an
    /// abandoned call stays.
    pub fn new(share: Option<f64>, window: Time, linger: Time, cores: usize) -> Self {
        // The ring's oldest bucket is part-used: it spans the window whatever part of it is gone.
        let held = SlidingWindow::new(window.scaled(SLOTS as f64 / (SLOTS - 1) as f64));
        let (lingering, cores, window) = (Vec::new(), cores.max(1) as f64, window.as_f64().max(1.0));
        let alone = share.filter(|s| s * GUARD_PART < 1.0);
        let most = alone.map_or(cores * MOST_CALLS, |s| s.min(1.0));
        let (limit, alone, rested, usual, lately) = (most, alone.is_some(), Time(0), 0.0, 0.0);
        CallLimiter { share, window, linger, held, lingering, limit, most, alone, rested, cores, usual, lately }
    }

    /// How long one call may be in hand so that the share holds over the window, however long it takes: a
    /// mean looked at only when a call began was passed by as much as the call then took.
    fn room(&self, now: Time) -> f64 {
        let whole = self.share.map_or(f64::MAX, |s| s * GUARD_PART * self.window);
        whole - self.held.sums(now)[0]
    }

    fn open(&self, now: Time, in_hand: usize) -> bool {
        let held = (in_hand + self.lingering.len()) as f64;
        let whole = |s: f64| s * GUARD_PART * self.window;
        let room = |s: f64| self.room(now) >= (self.lately + self.linger.as_f64()).min(whole(s));
        let within = |s: f64| held + 1.0 <= s * GUARD_PART || self.alone && held == 0.0 && room(s);
        let rested = self.limit >= 1.0 || now >= self.rested;
        (in_hand as f64) + 1.0 <= self.limit.max(1.0) && rested && self.share.is_none_or(within)
    }

    /// The longest that the next call may take: what its share of the window leaves, where that is under one.
    fn longest(&self, now: Time) -> Time {
        if self.alone {
            Time((self.room(now) - self.linger.as_f64()) as i64)
        } else {
            Time::MAX
        }
    }

    /// The wait of a call behind so many others.
    fn wait(&self, now: Time, ahead: f64) -> f64 {
        (self.rested - now).as_f64().max(0.0) + ahead * self.lately / self.limit
    }

    /// What all share would hold a call given up beside the next: that is left for where nearly all end well.
    fn spare(&self) -> bool {
        self.share.is_none() || self.limit >= self.most * SPARE
    }

    /// Fewer calls when they fail or are slow, more as they end well. What refuses is probed with one call at
    /// a time; a tier that does not answer, whose machines fail one by one, with one a core. What all share
    /// is crowded by all together, by one call each if they are many: there the limit goes under one.
    fn ended(&mut self, now: Time, time: Time, end: CallOutcome) {
        let slow = if self.alone { STRAINED } else { PATIENCE };
        let well = end == CallOutcome::Completed && (self.usual == 0.0 || time.as_f64() <= slow * self.usual);
        self.usual += (time.as_f64() - self.usual) * if self.usual > 0.0 { WEIGHT * WEIGHT } else { 1.0 };
        self.lately += (time.as_f64() - self.lately) * if self.lately > 0.0 { LATELY } else { 1.0 };
        let probe = if end == CallOutcome::NotExecuted { 1.0 } else { self.cores.min(self.limit) };
        let least = self.share.map_or(probe, |s| if self.alone { s * LEAST_CALLS } else { 1.0 });
        let room = 1.0 - time.as_f64() / (slow * self.usual).max(1.0);
        let step = if self.limit < 1.0 { self.limit * room * LATELY } else { 1.0 };
        let back = if self.limit < 1.0 { slow * self.usual / time.as_f64().max(1.0) } else { BACK_OFF };
        let limit = if well { self.limit + step } else { self.limit * back.clamp(0.5, BACK_OFF) };
        self.limit = limit.clamp(least, self.most);
        self.rested = now + time.scaled((1.0 / self.limit - 1.0).max(0.0));
    }
}

/// Who sends here, and how long idle connections stay.
pub struct CallerTracker {
    told: f64,
    heeded: Time, // how long advice is
    idle: Time,   // how long callers leave connections idle
    born: Time,
    heard: BTreeMap<CallerId, Time>,
    gaps: Sums<GAPS>, // between reqs of one caller
    lately: usize,    // callers heard within the time that advice is heeded
    keep: Time,
}

impl CallerTracker {
    pub fn new(now: Time, told: f64, heeded: Time, idle: Time) -> Self {
        let (heard, gaps) = (BTreeMap::new(), SlidingWindow::new(idle.scaled(2.0)));
        CallerTracker { told, heeded, idle, born: now, heard, gaps, lately: 0, keep: idle }
    }

    /// The longest gap in a bin; those of the last are longer than any connection stays.
    fn edge(&self, bin: usize) -> Time {
        Time(self.idle.0 >> (GAPS - 2).saturating_sub(bin))
    }

    /// Bounded: past its bound a new caller is not remembered, and the count stays there; on sockets none are
    /// told beside callers heard, which held it at four. The gap of one not heard before is the mean of all
    /// that were told.
    fn hear(&mut self, now: Time, caller: Option<CallerId>) {
        let room = self.heard.len() as f64 + 1.0 <= (self.told * HEARD_PART).max(HEARD_LEAST);
        let Some(caller) = caller.filter(|c| room || self.heard.contains_key(c)) else { return };
        let mean = (now - self.born).scaled(self.told / (self.gaps.sums(now).iter().sum::<f64>() + 1.0));
        let before = self.heard.insert(caller, now);
        self.lately += usize::from(before.is_none_or(|at| at <= now - self.heeded));
        let gap = before.map_or(mean, |at| now - at);
        let bin = (0..GAPS - 1).find(|bin| gap <= self.edge(*bin)).unwrap_or(GAPS - 1);
        self.gaps.add(now, bin, 1.0);
    }

    /// Departure: credit is for the callers that send here, where they say who they are. A front of many
    /// callers that each come seldom (manila-main) was told a thousandth of a req each: stay away.
    fn senders(&self) -> f64 {
        if self.heard.is_empty() {
            self.told.max(1.0)
        } else {
            self.lately.max(1) as f64
        }
    }

    /// Departure: an idle connection stays as long as pays by the gaps seen: until its caller comes back, or
    /// until it has cost what a new one costs. Covers any front of many callers that come back late: its idle
    /// connections filled the table, which takes of the cores and turns callers away (finder-ro). Harms where
    /// gaps grow soon after they were learned, by a new connection for each req until they are learned anew.
    fn look(&mut self, now: Time) -> Option<Time> {
        let longest = self.idle.max(self.heeded);
        self.heard.retain(|_, at| *at > now - longest);
        self.lately = self.heard.values().filter(|at| **at > now - self.heeded).count();
        let (gaps, dear) = (self.gaps.sums(now), self.idle.as_f64() * DEAR_PART);
        let cost = |keep: usize| {
            let stays = |bin: usize| self.edge(bin).as_f64() * MID_BIN;
            let of = |bin: usize| if bin <= keep { stays(bin) } else { self.edge(keep).as_f64() + dear };
            gaps.iter().enumerate().map(|(bin, count)| count * of(bin)).sum::<f64>()
        };
        let best = (0..GAPS - 1).rev().min_by(|a, b| cost(*a).total_cmp(&cost(*b))).unwrap_or(GAPS - 2);
        let few = self.told.max(self.heard.len() as f64) <= FEW;
        let keep = if few { self.idle } else { self.edge(best) };
        (keep != std::mem::replace(&mut self.keep, keep)).then_some(keep)
    }
}

/// What callers are told.
pub struct LoadAdvisor {
    reading: AdviceFormat,
    callers: CallerTracker,
    longest_pause: Time,
    chance: MultiplyWithCarry,
    said: Option<f64>,
    load: Sums<4>, // arrivals, retries among them, time that they lay unread, sheds
    least: f64,    // time that reading takes by itself
}

impl LoadAdvisor {
    pub fn new(reading: AdviceFormat, callers: CallerTracker, pauses: Time, heeded: Time, seed: u64) -> Self {
        let (load, chance, said, least) = (SlidingWindow::new(heeded), MultiplyWithCarry::new(seed), None, f64::MAX);
        LoadAdvisor { reading, callers, longest_pause: pauses, chance, said, load, least }
    }
}

pub struct AdmissionController {
    beat: TickSchedule,
    reqs: BTreeMap<RequestId, RequestRecord>,
    hold: PriorityWeights,
    pool: ConcurrencyLimit,
    limits: TerminationThreshold,
    costs: CostEstimator,
    memory: MemoryLimits,
    calls: CallLimiter,
    keys: BTreeMap<RequestId, Time>, // entries that tell repeats of uniqued reqs, and their ends
    grace: Time,                 // after the notice to leave, in which arrivals may still run
    left: Option<(Time, Time)>,  // notice, stop
    advice: LoadAdvisor,
}

type Condition = fn(&AdmissionController, Time) -> Option<RequestId>;
type Effect = fn(&mut AdmissionController, Time, RequestId, &mut Actions);

/// Gone through from the top after every input until none fires; each firing settles one req.
const RULES: [(Condition, Effect); 12] = [
    (AdmissionController::due_unstarted, AdmissionController::turn_away),
    (AdmissionController::due, AdmissionController::give_up),
    (AdmissionController::repeat, AdmissionController::join),
    (AdmissionController::overdue, AdmissionController::give_up),
    (AdmissionController::crowding, AdmissionController::give_up),
    (AdmissionController::swelling_hold, AdmissionController::turn_away),
    (AdmissionController::swelling_runs, AdmissionController::give_up),
    (AdmissionController::too_late_to_run, AdmissionController::turn_away),
    (AdmissionController::unwinnable, AdmissionController::turn_away),
    (AdmissionController::next_to_start, AdmissionController::start),
    (AdmissionController::waited_long_to_call, AdmissionController::skip),
    (AdmissionController::next_to_call, AdmissionController::call),
];

impl AdmissionController {
    #[allow(clippy::too_many_arguments)]
    pub fn new(
        resolution: Time, hold: PriorityWeights, pool: ConcurrencyLimit, limits: TerminationThreshold, costs: CostEstimator, memory: MemoryLimits,
        calls: CallLimiter, grace: Time, advice: LoadAdvisor,
    ) -> Self {
        let (beat, reqs, keys) = (TickSchedule::new(resolution), BTreeMap::new(), BTreeMap::new());
        AdmissionController { beat, reqs, hold, pool, limits, costs, memory, calls, keys, grace, left: None, advice }
    }

    pub fn arrival(&mut self, now: Time, arrival: Arrival) -> Actions {
        let mut out = self.pass(now);
        let Some(handler) = self.hold.handlers.get(arrival.handler.0).copied() else { return out };
        let base = arrival.cost_hint.map_or(handler.response_target.as_f64() * FIRST_COST, |h| h.as_f64().max(1.0));
        let req = RequestRecord::new(arrival,now, base, &handler);
        self.hold.count(now, &req, 0, 1.0);
        self.limits.loss.add(now, 0, 1.0);
        self.advice.load.add_all(now, [1.0, f64::from(arrival.is_retry), arrival.observed_delay.as_f64(), 0.0]);
        self.advice.callers.hear(now, arrival.caller);
        // A req of which is not known that it lay unread tells nothing of the time that reading takes.
        let lay = if arrival.observed_delay > Time(0) { arrival.observed_delay.as_f64() } else { f64::MAX };
        self.advice.least = (self.advice.least * (1.0 + WEIGHT * WEIGHT)).min(lay);
        let end = req.arrived + handler.dedup_window;
        if handler.idempotency == Idempotency::Keyed && arrival.duplicate_of.is_none() && end > now {
            out.retain_key.push((arrival.id, end - now));
            self.keys.insert(arrival.id, end);
        }
        self.reqs.insert(arrival.id, req);
        self.settle(now, out)
    }

    pub fn run_ended(&mut self, now: Time, id: RequestId, end: RunOutcome) -> Actions {
        let out = self.pass(now);
        if let Some(req) = self.reqs.remove(&id) {
            if req.phase == Phase::Calling {
                self.calls.lingering.push(now + self.calls.linger);
            }
            if req.live(Phase::Running) && matches!(end, RunOutcome::Completed | RunOutcome::Failed) {
                self.costs.learn(now, &req, true);
                self.limits.count_run(now, req.handler(), now - req.started);
            }
            if end == RunOutcome::Completed && !req.answered {
                let late = self.hold.handlers[req.handler()].late_value;
                self.hold.count(now, &req, 1, if now <= req.target { 1.0 } else { late });
            }
        }
        self.settle(now, out)
    }

    pub fn call_wanted(&mut self, now: Time, id: RequestId) -> Actions {
        let out = self.pass(now);
        if let Some(req) = self.reqs.get_mut(&id) {
            req.spent = self.costs.spent(req);
            (req.phase, req.since, req.tries, req.calls) = (Phase::AwaitingCall, now, 0, req.calls + 1.0);
        }
        self.settle(now, out)
    }

    pub fn call_ended(&mut self, now: Time, id: RequestId, end: CallOutcome) -> Actions {
        let mut out = self.pass(now);
        if let Some(req) = self.reqs.get_mut(&id).filter(|r| r.phase == Phase::Calling) {
            let time = now - req.since;
            (req.away, req.since) = (req.away + time.as_f64(), now);
            self.calls.ended(now, time, end);
            if end == CallOutcome::Indeterminate {
                self.calls.lingering.push(now + self.calls.linger);
            }
            let handler = self.hold.handlers[req.handler()];
            // A call is made again where that is safe or it never ran; one that ended leaves its place.
            let (ended, safe) = (end == CallOutcome::Failed, handler.idempotency == Idempotency::Idempotent);
            let again = safe && (ended || self.calls.spare()) || end == CallOutcome::NotExecuted;
            if end == CallOutcome::Completed {
                (req.phase, req.clock) = (Phase::Running, self.costs.clock);
            } else if again && ended && req.tries < TRIES {
                self.call(now, id, &mut out);
            } else if again && req.tries < TRIES {
                req.phase = Phase::AwaitingCall;
            } else if handler.skip_value > 0.0 && !req.answered {
                self.skip(now, id, &mut out);
            } else {
                self.give_up(now, id, &mut out);
            }
        }
        self.settle(now, out)
    }

    pub fn caller_gone(&mut self, now: Time, id: RequestId) -> Actions {
        let out = self.pass(now);
        self.reqs.entry(id).and_modify(|r| r.answered = true);
        self.reqs.retain(|_, r| !r.answered || !matches!(r.phase, Phase::Queued | Phase::Coalesced));
        self.settle(now, out)
    }

    pub fn drain(&mut self, now: Time, left: Time) -> Actions {
        let mut out = self.pass(now);
        out.health = Some(false);
        self.left = Some((now, now + left.scaled(STOP_PART) - self.beat.resolution));
        self.settle(now, out)
    }

    pub fn tick(&mut self, now: Time, sample: LoadSample) -> Actions {
        let mut out = self.pass(now);
        self.beat.woken = self.beat.woken.filter(|at| *at > now);
        out.health = (self.beat.next_look == Time(i64::MIN)).then_some(true);
        if now >= self.beat.next_look {
            self.beat.next_look = now + self.hold.shortest.scaled(TICK_PART).max(self.beat.resolution);
            let (on_core, waiting) = (self.on_core(), self.held().next().is_some());
            self.pool.learn(now, sample, waiting, on_core, self.hold.shortest);
            out.idle_timeout = self.advice.callers.look(now);
            let again = self.running().filter(|r| r.answered && r.phase == Phase::Running).map(|r| r.arrival.id);
            out.cancel = again.filter(|id| self.stoppable(*id)).collect();
        }
        self.settle(now, out)
    }

    fn held(&self) -> impl Iterator<Item = &RequestRecord> {
        self.reqs.values().filter(|r| r.phase == Phase::Queued)
    }

    fn on_core(&self) -> usize {
        self.reqs.values().filter(|r| r.phase == Phase::Running).count()
    }

    fn running(&self) -> impl Iterator<Item = &RequestRecord> {
        self.reqs.values().filter(|r| !matches!(r.phase, Phase::Queued | Phase::Coalesced))
    }

    fn stoppable(&self, id: RequestId) -> bool {
        let kind = self.reqs.get(&id).map(|r| self.hold.handlers[r.handler()].idempotency);
        self.limits.halting != Cancellation::Never && kind == Some(Idempotency::Idempotent)
    }

    /// Of the replayable runs on the cores, the one that has had the least.
    fn youngest(&self) -> Option<RequestId> {
        let live = self.running().filter(|r| r.live(Phase::Running) && self.stoppable(r.arrival.id));
        live.max_by_key(|r| (r.started, r.arrival.id)).map(|r| r.arrival.id)
    }

    fn memory_used(&self) -> f64 {
        let running: f64 = self.running().map(|r| r.arrival.memory_kb * (self.memory.running_factor - 1.0)).sum();
        let all: f64 = self.reqs.values().map(|r| r.arrival.memory_kb).sum();
        running + all + self.keys.len() as f64 * self.memory.per_key
    }

    fn due_at(&self, req: &RequestRecord) -> Time {
        self.left.map_or(req.due, |(_, stop)| req.due.min(stop))
    }

    /// Work in hand, as time that all cores need for it.
    fn in_hand(&self) -> f64 {
        let running: f64 = self.running().filter(|r| !r.answered).map(|r| self.costs.left(r)).sum();
        (running + self.held().map(|r| self.costs.of(r)).sum::<f64>()) / self.pool.cores
    }

    /// How long reqs lay unread lately.
    fn unread(&self, now: Time) -> f64 {
        let [arrivals, _, lay, _] = self.advice.load.sums(now);
        lay / arrivals.max(1.0)
    }

    /// What callers can take off this server.
    fn burden(&self, now: Time) -> f64 {
        self.in_hand() / UNREAD + self.unread(now) * UNREAD
    }

    /// Part of the way from calm to full.
    fn pressure(&self, wait: f64) -> f64 {
        (wait / self.hold.shortest.as_f64() - CALM) / (FULL - CALM)
    }

    /// Departure: while reqs lie unread the pool shrinks, so that the cores read first: what lies unread is
    /// told nothing. It holds against any rush, slow spell or cold start that outruns the reading.
    fn open_size(&self, now: Time) -> f64 {
        (self.pool.size * (1.0 - self.pressure(self.unread(now))).clamp(0.0, 1.0)).max(1.0)
    }

    /// Runs that wait to call, part of the calls that may be in hand.
    fn queued(&self) -> f64 {
        self.running().filter(|r| r.live(Phase::AwaitingCall)).count() as f64 / self.calls.limit
    }

    /// Held reqs, first to start first: the oldest, or where not all can be won, what wins most by work.
    fn order(&self, now: Time) -> Vec<&RequestRecord> {
        let (handlers, customers) = self.hold.gains(now, now - self.pool.born);
        let pressed = f64::from(self.pressure(self.in_hand() + self.unread(now)) > 0.0);
        let rank = |req: &RequestRecord| {
            let handler = &self.hold.handlers[req.handler()];
            let late = now.as_f64() + self.costs.of(req) > req.target.as_f64();
            let of_customer = req.arrival.tenant.and_then(|c| customers.get(c.0)).unwrap_or(&1.0);
            let work = if self.hold.by_work { 1.0 } else { self.costs.usual(req).max(1.0) };
            let part = if late { handler.late_value } else { 1.0 };
            handlers[req.handler()] * of_customer * part * handler.value / work * pressed
        };
        let mut held: Vec<(f64, &RequestRecord)> = self.held().map(|r| (rank(r), r)).collect();
        held.sort_by(|(a, r), (b, q)| b.total_cmp(a).then((r.arrived, r.arrival.id).cmp(&(q.arrived, q.arrival.id))));
        held.into_iter().map(|(_, req)| req).collect()
    }

    fn pass(&mut self, now: Time) -> Actions {
        let (on_core, span) = (self.on_core(), (now - self.costs.last).as_f64());
        let calls = self.reqs.values().filter(|r| r.phase == Phase::Calling).count();
        self.calls.lingering.retain(|end| *end > now);
        self.calls.held.add(now, 0, (calls + self.calls.lingering.len()) as f64 * span);
        // Departure: the cores' gauge, where there is one, tells how much of them the runs had; runs
        // at the disk have the rest, so that a disk wait is not taken for work (manila-main).
        let busy = self.pool.busy.max(FLOOR_PART) * self.pool.cores;
        self.costs.clock += span * (busy.min(self.pool.cores) / (on_core as f64).max(1.0)).min(1.0);
        self.costs.last = now;
        self.keys.retain(|_, end| *end > now);
        let over = |r: &RequestRecord| self.costs.spent(r) / self.costs.usual(r).max(1.0);
        let runs: f64 = self.running().filter(|r| r.phase == Phase::Running).map(over).sum();
        self.costs.strain = ((runs + DOUBT) / (on_core as f64 + DOUBT)).max(1.0);
        Actions::default()
    }

    fn settle(&mut self, now: Time, mut out: Actions) -> Actions {
        let fires = |it: &Self| RULES.iter().find_map(|(found, effect)| Some((found(it, now)?, effect)));
        while let Some((id, effect)) = fires(self) {
            effect(self, now, id, &mut out);
            out.rules_fired += 1;
        }
        self.advise(now, &mut out);
        let due =
            self.reqs.values().filter(|r| !r.answered).map(|r| self.due_at(r) - self.beat.resolution).min();
        let at = due.unwrap_or(Time::MAX).min(self.beat.next_look).max(now + self.beat.resolution);
        if self.beat.woken.is_none_or(|woken| at < woken) {
            self.beat.woken = Some(at);
            out.next_tick = Some(at - now);
        }
        out
    }

    fn advise(&mut self, now: Time, out: &mut Actions) {
        let calm = (1.0 - self.pressure(self.burden(now))).clamp(LEAST_ADVICE, 1.0);
        let wanted = if self.left.is_some() { 0.0 } else { calm.min(self.pool.warmth(now)) };
        let level = match self.advice.reading {
            AdviceFormat::Unused => return,
            AdviceFormat::Share => wanted,
            AdviceFormat::Credit => wanted * self.pool.size / self.advice.callers.senders(),
            AdviceFormat::Rank => 1.0 - wanted,
        };
        if self.advice.said.is_none_or(|said| (said - level).abs() > ADVICE_STEP * level.max(said)) {
            self.advice.said = Some(level);
            out.advice = Some(level);
        }
    }

    fn give_up(&mut self, now: Time, id: RequestId, out: &mut Actions) {
        let Some(req) = self.reqs.get_mut(&id).filter(|r| !r.answered) else { return };
        out.fail.push(id);
        req.answered = true;
        let req = req.clone();
        if req.phase == Phase::Running && self.stoppable(id) {
            out.cancel.push(id);
            self.costs.learn(now, &req, false);
            self.limits.count_run(now, req.handler(), now - req.started);
        }
        if self.costs.strain < STRAINED && self.pool.warmth(now) >= 1.0 {
            self.limits.loss.add(now, 2, 1.0);
        }
        self.reqs.retain(|_, r| !r.answered || !matches!(r.phase, Phase::Queued | Phase::Coalesced));
    }

    fn turn_away(&mut self, now: Time, id: RequestId, out: &mut Actions) {
        let Some(req) = self.reqs.remove(&id) else { return };
        self.limits.loss.add(now, 1, 1.0);
        out.release_key.extend(self.keys.remove(&id).map(|_| id));
        self.advice.load.add(now, 3, 1.0);
        let [arrivals, retries, _, shed] = self.advice.load.sums(now);
        let leaving = self.left.is_some();
        // A further try costs its reading: where that is cheap it may still win elsewhere.
        let least = if self.advice.least < f64::MAX { self.advice.least } else { 0.0 };
        let dear = arrivals * least / (self.advice.load.span() * DEAR * self.pool.cores);
        let last = !leaving && retries.max(shed - 1.0) * dear > LAST_SHARE * arrivals;
        // Where no share can be advised, the time for one req of each caller; else past a full burden.
        let turn = self.advice.callers.told * self.advice.load.span() / (arrivals - shed).max(1.0);
        let over = (self.burden(now) - UNREAD * FULL * self.hold.shortest.as_f64()).max(0.0);
        let spread = self.advice.reading == AdviceFormat::Unused;
        // A shed names a time to come back: at least that in which the cores make room for it.
        let room = self.costs.of(&req) / self.pool.cores;
        let wait = if spread { turn * dear.min(1.0) } else { over * self.advice.chance.draw() + room };
        let pause = if leaving { self.advice.longest_pause } else { Time(wait as i64) };
        out.reject.push(Rejection { id, retry_after:pause.min(self.advice.longest_pause), do_not_retry: last });
    }

    fn join(&mut self, _: Time, id: RequestId, out: &mut Actions) {
        if let Some(req) = self.reqs.get_mut(&id) {
            req.phase = Phase::Coalesced;
            out.coalesce.push(id);
        }
    }

    fn start(&mut self, now: Time, id: RequestId, out: &mut Actions) {
        if let Some(req) = self.reqs.get_mut(&id) {
            (req.phase, req.started, req.since, req.clock) = (Phase::Running, now, now, self.costs.clock);
            self.pool.seen = self.pool.seen.map(|seen| seen + 1.0);
            out.start.push(id);
        }
    }

    fn skip(&mut self, _: Time, id: RequestId, out: &mut Actions) {
        if let Some(req) = self.reqs.get_mut(&id) {
            (req.phase, req.clock) = (Phase::Running, self.costs.clock);
            out.skip_call.push(id);
        }
    }

    /// A call that may be made again is given up early: the next may end well where this one hangs.
    fn call(&mut self, now: Time, id: RequestId, out: &mut Actions) {
        let Some(req) = self.reqs.get(&id) else { return };
        let (due, handler) = (self.due_at(req), &self.hold.handlers[req.handler()]);
        let rest = if handler.skip_value > 0.0 { Time(self.costs.left(req) as i64) } else { Time(0) };
        let ends = [req.target - rest, req.target];
        let left = ends.into_iter().find(|end| *end > now).unwrap_or(due).min(due) - now;
        let again = handler.idempotency == Idempotency::Idempotent && self.calls.spare() && req.tries + 1 < TRIES;
        let backed_off = handler.skip_value > 0.0 && self.calls.limit < self.calls.cores;
        let early = (again || backed_off) && self.calls.usual > 0.0;
        let lone = if backed_off || self.calls.share.is_none() { 1.0 } else { LONE };
        let patience = if early { Time((self.calls.usual * PATIENCE * lone) as i64) } else { left };
        let cap = left.min(patience).min(self.calls.longest(now));
        out.call.push((id, cap.max(self.beat.resolution)));
        if let Some(req) = self.reqs.get_mut(&id) {
            req.away += (now - req.since).as_f64();
            (req.phase, req.since, req.tries) = (Phase::Calling, now, req.tries + 1);
        }
    }

    /// No req is lost: one that falls due is answered now, whatever runs; turned away where none of it ran.
    fn due(&self, now: Time) -> Option<RequestId> {
        let due = |r: &&RequestRecord| !r.answered && self.due_at(r) - self.beat.resolution <= now;
        self.reqs.values().find(due).map(|r| r.arrival.id)
    }

    fn due_unstarted(&self, now: Time) -> Option<RequestId> {
        let due = |r: &&RequestRecord| r.arrival.duplicate_of.is_none() && self.due_at(r) - self.beat.resolution <= now;
        self.held().find(due).map(|r| r.arrival.id)
    }

    /// SERT: a replayable run past the threshold is stopped for good, but not while it can be done in time.
    fn overdue(&self, now: Time) -> Option<RequestId> {
        let [arrived, refused, stopped] = self.limits.loss.sums(now);
        let loss = if arrived > 0.0 { (refused + stopped) / arrived } else { 0.0 };
        let overdue = |r: &&RequestRecord| {
            let upper = self.due_at(r) - r.started;
            let lost = now > r.target;
            lost && now - r.started > threshold(self.limits.floor(now, r.handler()).min(upper), upper, loss)
        };
        let live = self.running().filter(|r| !r.answered && r.phase != Phase::Calling);
        live.filter(|r| self.stoppable(r.arrival.id)).find(overdue).map(|r| r.arrival.id)
    }

    /// The crowd on the cores stays under what the server survives, cold or warm: seen past it, all that can
    /// be stopped goes until no more run than that.
    fn crowding(&self, now: Time) -> Option<RequestId> {
        let stays = |r: &&RequestRecord| r.phase == Phase::Running && !(r.answered && self.stoppable(r.arrival.id));
        let stay = self.running().filter(stays).count() as f64;
        let crowd = self.pool.seen.map_or(stay, |seen| seen.min(stay));
        self.youngest().filter(|_| crowd > self.pool.ceiling(now))
    }

    /// Held and running reqs and keys stay within the memory: the last in the order goes first.
    fn swelling_hold(&self, now: Time) -> Option<RequestId> {
        let over = self.memory_used() > self.memory.limit * GUARD_PART;
        self.order(now).iter().rfind(|_| over).map(|r| r.arrival.id)
    }

    fn swelling_runs(&self, _: Time) -> Option<RequestId> {
        let joined = || self.reqs.values().find(|r| r.phase == Phase::Coalesced).map(|r| r.arrival.id);
        self.youngest().or_else(joined).filter(|_| self.memory_used() > self.memory.limit * GUARD_PART)
    }

    /// After the notice to leave: what came past the grace does not run.
    fn too_late_to_run(&self, _: Time) -> Option<RequestId> {
        let last = self.left?.0 + self.grace - self.beat.resolution;
        self.held().find(|r| r.arrived > last).map(|r| r.arrival.id)
    }

    /// A repeat takes the answer of the req it repeats, unless that one waits for this one.
    fn repeat(&self, _: Time) -> Option<RequestId> {
        let joined = |id| self.reqs.get(&id).filter(|r| r.phase == Phase::Coalesced);
        let waits = |id, on| joined(id).is_some_and(|r| r.arrival.duplicate_of == Some(on));
        let joins = |r: &&RequestRecord| r.arrival.duplicate_of.is_some_and(|other| !waits(other, r.arrival.id));
        self.held().find(joins).map(|r| r.arrival.id)
    }

    /// Predictive intake, looked at again after every input: with the cores in use, a held req that will not
    /// finish within its response target behind those before it is turned away while others may take it.
    fn unwinnable(&self, now: Time) -> Option<RequestId> {
        let in_use = self.pool.busy.max(self.on_core() as f64 / self.pool.size).max(self.queued());
        let cores = self.pool.cores.min(self.open_size(now));
        let running = self.running().filter(|r| r.live(Phase::Running));
        let mut ahead: f64 = running.map(|r| self.costs.left(r)).sum();
        let to_call = |r: &RequestRecord| (self.costs.calls[r.handler()] - r.calls).max(0.0);
        let at_call = |r: &RequestRecord| f64::from(matches!(r.phase, Phase::AwaitingCall | Phase::Calling));
        let mut calls: f64 = self.running().filter(|r| !r.answered).map(|r| to_call(r) + at_call(r)).sum();
        let lost = |r: &&&RequestRecord| {
            let (own, to_call) = (self.costs.of(r), to_call(r));
            let wait = if to_call > 0.0 { self.calls.wait(now, calls + to_call - 1.0) } else { 0.0 };
            calls += to_call;
            let finish = now.as_f64() + (ahead / cores).max(wait) + own + self.costs.away[r.handler()];
            let part = if r.since == now { MARGIN } else { 1.0 };
            ahead += own;
            finish > (r.arrived + (r.target - r.arrived).scaled(part)).min(self.due_at(r)).as_f64()
        };
        self.order(now).iter().filter(|_| in_use >= FREE_BUSY).find(lost).map(|r| r.arrival.id)
    }

    /// The pool: as many on the cores as keep them busy, within crowd and memory. What cannot be stopped is
    /// under the crowd ceiling by itself: all that waits at the disk may come back to the cores at once.
    fn next_to_start(&self, now: Time) -> Option<RequestId> {
        let (on_core, running) = (self.on_core() as f64, self.running().count() as f64);
        let open = on_core + 1.0 <= self.open_size(now) && running + 1.0 <= self.pool.most(now);
        let firm = self.running().filter(|r| !self.stoppable(r.arrival.id)).count() as f64;
        let safe = |r: &RequestRecord| firm + 1.0 <= self.pool.ceiling(now) || self.stoppable(r.arrival.id);
        // Runs that would only queue to call stay where they are; what calls nothing goes past them.
        let (queued, calls) = (self.queued(), |r: &RequestRecord| self.hold.handlers[r.handler()].makes_calls);
        let goes = |r: &RequestRecord| safe(r) && (queued <= 1.0 || !calls(r));
        let room = self.memory.limit * GUARD_PART - self.memory_used();
        let fits = |r: &&&RequestRecord| open && goes(r) && r.arrival.memory_kb * (self.memory.running_factor - 1.0) <= room;
        self.order(now).iter().find(fits).map(|r| r.arrival.id)
    }

    /// Where value allows, a req that has waited long for its call goes on without it.
    fn waited_long_to_call(&self, now: Time) -> Option<RequestId> {
        let long = |r: &&RequestRecord| now - r.since >= (r.target.min(self.due_at(r)) - r.since).scaled(SKIP_PART);
        let may = |r: &&RequestRecord| r.live(Phase::AwaitingCall) && self.hold.handlers[r.handler()].skip_value > 0.0;
        self.running().filter(may).find(long).map(|r| r.arrival.id)
    }

    fn next_to_call(&self, now: Time) -> Option<RequestId> {
        let in_hand = self.reqs.values().filter(|r| r.phase == Phase::Calling).count();
        let rested = |r: &&RequestRecord| (now - r.since).as_f64() >= self.calls.usual * r.tries as f64;
        let wanting = self.running().filter(|r| r.live(Phase::AwaitingCall)).filter(rested);
        let next = wanting.min_by_key(|r| (r.arrived, r.arrival.id)).map(|r| r.arrival.id);
        next.filter(|_| self.calls.open(now, in_hand))
    }
}
