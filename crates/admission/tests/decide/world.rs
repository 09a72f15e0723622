//! A small honest model of a server: what runs, is held, kept and answered. It carries out results in their
//! documented order and fails the test at the first broken rule.
use cottondyke_admission::*;
use std::collections::BTreeMap;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum State {
    Held,
    Joined,
    OnCore,
    Paused,
    Wanting,
    Calling,
    Over,
}

#[derive(Clone, Debug)]
pub struct Noted {
    pub arrived: Time,
    pub due: Time,
    pub kind: Idempotency,
    pub kb: f64,
    pub mark: Option<u32>,
    pub state: State,
    pub answered: bool,
    pub ran: bool,
    pub calls_unknown: bool,
}

#[derive(Clone, Copy)]
pub struct Set {
    pub halting: Cancellation,
    pub told: bool,
    pub cold: bool,
    pub reading: AdviceFormat,
    pub share: Option<f64>,
    pub skip: f64,
    pub limit_kb: f64,
    pub callers: f64,
}

pub const PLAIN: Set = Set {
    halting: Cancellation::Drop,
    told: false,
    cold: false,
    reading: AdviceFormat::Share,
    share: None,
    skip: 0.0,
    limit_kb: 1e6,
    callers: 4.0,
};
pub const CORES: usize = 2;
pub const FACTOR: f64 = 4.0;
pub const FIRST: f64 = 0.25;
pub const WARM: Time = Time(100_000);
pub const WINDOW: Time = Time(20_000);
pub const GRACE: Time = Time(10_000);
pub const BLOWUP: f64 = 8.0;
pub const PER_KEY: f64 = 5.0;
pub const TARGET: Time = Time(10_000);
pub const TIMEOUT: Time = Time(30_000);
pub const IDLE: Time = Time(80_000);

pub struct World {
    pub now: Time,
    pub set: Set,
    pub controller: AdmissionController,
    pub reqs: BTreeMap<RequestId, Noted>,
    pub keys: BTreeMap<RequestId, Time>,
    pub left: Option<(Time, Time)>,
    pub wakes: Vec<Time>,
    pub shed: Vec<Rejection>,
    pub frozen: bool,
    /// What a gauge counts on the cores, where there is one; the other runs are at the disk.
    pub seen: Option<f64>,
    pub most_passes: usize,
    pub advice: f64,
    pub caps: Vec<Time>,
    /// All results in their order.
    pub results: Vec<Actions>,
    /// How long idle connections stay.
    pub trim: Time,
    /// Whose reqs arrive; else each customer's in turn.
    pub customer: Option<usize>,
    /// Who sends them, where told.
    pub caller: Option<CallerId>,
    next: u32,
}

pub fn handler(kind: Idempotency, skip: f64) -> Handler {
    Handler {
        idempotency: kind,
        response_target: TARGET,
        target_stretch: 0.0,
        client_timeout: TIMEOUT,
        value: 1.0,
        late_value: 0.2,
        dedup_window: WINDOW,
        makes_calls: kind != Idempotency::NonIdempotent,
        skip_value: skip,
    }
}

impl World {
    pub fn new(set: Set) -> Self {
        let now = Time(50_000);
        let kinds = [
            Idempotency::Idempotent,
            Idempotency::Keyed,
            Idempotency::NonIdempotent,
        ];
        let config = AdmissionConfig {
            resolution: Time(20),
            handlers: kinds.map(|k| handler(k, set.skip)).to_vec(),
            quotas: vec![50.0, 50.0, 50.0],
            fleet_size: 10.0,
            goal: GoalWeights {
                total: 0.6,
                worst_handler: 0.2,
                worst_tenant: 0.2,
                over_quota: 0.1,
                by_work: false,
            },
            concurrency: ConcurrencyConfig {
                cores: CORES,
                overload_factor: FACTOR,
                start_capacity: if set.cold { FIRST } else { 1.0 },
                warm_within: WARM,
            },
            cancellation: set.halting,
            loss_window: TARGET,
            memory: MemoryLimits {
                limit: set.limit_kb,
                running_factor: BLOWUP,
                per_key: PER_KEY,
            },
            calls: CallConfig {
                share: set.share,
                window: TARGET,
                abandoned_linger: Time(2000),
            },
            drain_grace: GRACE,
            callers: CallerConfig {
                expected: set.callers,
                max_idle: IDLE,
                advice_format: set.reading,
                advice_lifetime: TARGET,
                max_retry_after: TARGET,
            },
            seed: 7,
        };
        let controller = AdmissionController::new(now, &config);
        let (reqs, keys, wakes, shed) = (BTreeMap::new(), BTreeMap::new(), vec![], vec![]);
        let (left, frozen, most_passes, advice, caps, next) = (None, false, 0, 1.0, vec![], 1);
        let mut world = World {
            now,
            set,
            controller,
            reqs,
            keys,
            left,
            wakes,
            shed,
            frozen,
            seen: None,
            most_passes,
            advice,
            caps,
            results: vec![],
            trim: IDLE,
            customer: None,
            caller: None,
            next,
        };
        world.wake(0.0);
        world
    }

    pub fn arrive(&mut self, kind: usize, lay: Time, wait: Time, mark: Option<u32>) -> RequestId {
        let id = RequestId(self.next);
        self.next += 1;
        let kinds = [
            Idempotency::Idempotent,
            Idempotency::Keyed,
            Idempotency::NonIdempotent,
        ];
        let kind = kinds[kind % 3];
        let arrived = self.now - lay;
        let mark = mark.filter(|_| kind == Idempotency::Keyed);
        // A repeat is known by the entry that lived when it reached the machine.
        let same = |(other, n): &(&RequestId, &Noted)| {
            n.mark.is_some()
                && n.mark == mark
                && self.keys.get(other).is_some_and(|end| *end > arrived)
        };
        let repeats = self
            .reqs
            .iter()
            .filter(same)
            .map(|(other, _)| *other)
            .next_back();
        let due = if self.set.told {
            self.now + wait
        } else {
            (arrived + TIMEOUT).max(self.now)
        };
        let wait = self.set.told.then_some(wait);
        let (state, answered, ran) = (State::Held, false, false);
        let noted = Noted {
            arrived,
            due,
            kind,
            kb: 10.0,
            mark,
            state,
            answered,
            ran,
            calls_unknown: false,
        };
        self.reqs.insert(id, noted);
        let place = kinds.iter().position(|k| *k == kind).unwrap_or(0);
        let customer = Some(TenantId(self.customer.unwrap_or(id.0 as usize % 4)));
        let (hint, retry) = (None, id.0.is_multiple_of(5));
        let handler = HandlerId(place);
        let new = Arrival {
            id,
            handler,
            tenant: customer,
            caller: self.caller,
            cost_hint: hint,
            is_retry: retry,
            duplicate_of: repeats,
            memory_kb: 10.0,
            queueing_delay: lay,
            observed_delay: lay,
            client_wait: wait,
        };
        let results = self.controller.arrival(self.now, new);
        self.apply(results);
        id
    }

    pub fn end(&mut self, id: RequestId, end: RunOutcome) {
        let noted = self.reqs.get_mut(&id).unwrap();
        noted.state = State::Over;
        noted.answered |= matches!(end, RunOutcome::Completed | RunOutcome::Failed);
        let results = self.controller.run_ended(self.now, id, end);
        self.apply(results);
    }

    pub fn want_call(&mut self, id: RequestId) {
        let noted = self.reqs.get_mut(&id).unwrap();
        (noted.state, noted.calls_unknown) = (State::Wanting, false);
        let answered = noted.answered;
        if answered {
            self.end(id, RunOutcome::Cancelled);
            return;
        }
        let results = self.controller.call_wanted(self.now, id);
        self.apply(results);
    }

    pub fn end_call(&mut self, id: RequestId, end: CallOutcome) {
        let noted = self.reqs.get_mut(&id).unwrap();
        noted.state = if end == CallOutcome::Completed {
            State::OnCore
        } else {
            State::Wanting
        };
        noted.calls_unknown |= matches!(end, CallOutcome::Indeterminate | CallOutcome::Failed);
        let results = self.controller.call_ended(self.now, id, end);
        self.apply(results);
    }

    pub fn gone(&mut self, id: RequestId) {
        let noted = self.reqs.get_mut(&id).unwrap();
        noted.answered = true;
        if matches!(noted.state, State::Held | State::Joined) {
            noted.state = State::Over;
        }
        let at_call = matches!(noted.state, State::Wanting | State::Calling);
        let results = self.controller.caller_gone(self.now, id);
        self.apply(results);
        if at_call {
            self.end(id, RunOutcome::Cancelled);
        }
    }

    pub fn leave(&mut self, left: Time) {
        self.left = Some((self.now, self.now + left));
        let results = self.controller.drain(self.now, left);
        self.apply(results);
    }

    pub fn wake(&mut self, busy: f64) {
        let gauges = LoadSample {
            cpu_utilization: Some(busy),
            runnable_tasks: self.seen,
        };
        let results = self.controller.tick(self.now, gauges);
        self.apply(results);
    }

    /// Lets time pass, waking the decider whenever it asked for it.
    pub fn pass(&mut self, span: Time) {
        let end = self.now + span;
        while let Some(next) = self.wakes.iter().min().copied().filter(|at| *at <= end) {
            self.now = self.now.max(next);
            self.wakes.retain(|at| *at > next);
            self.wake(if self.frozen || self.count(State::OnCore) >= CORES {
                1.0
            } else {
                0.5
            });
        }
        self.now = end;
        self.check();
    }

    pub fn count(&self, state: State) -> usize {
        self.reqs.values().filter(|n| n.state == state).count()
    }

    pub fn ids(&self, state: State) -> Vec<RequestId> {
        self.reqs
            .iter()
            .filter(|(_, n)| n.state == state)
            .map(|(id, _)| *id)
            .collect()
    }

    fn apply(&mut self, results: Actions) {
        self.most_passes = self.most_passes.max(results.rules_fired);
        self.results.push(results.clone());
        let mut ended = Vec::new();
        for id in results.cancel {
            let noted = self.reqs.get_mut(&id).unwrap();
            assert_ne!(
                self.set.halting,
                Cancellation::Never,
                "a stop where none may be"
            );
            assert_eq!(
                noted.kind,
                Idempotency::Idempotent,
                "effect twice: a run that may not repeat was stopped"
            );
            if noted.state == State::OnCore && !self.frozen {
                noted.state = if noted.answered {
                    State::Over
                } else {
                    State::Paused
                };
                ended.push(id);
            }
        }
        for id in results.fail {
            let noted = self.reqs.get_mut(&id).unwrap();
            assert!(!noted.answered, "lost: {id:?} answered twice");
            noted.answered = true;
            match noted.state {
                State::Wanting | State::Calling => ended.push(id),
                State::Held | State::Joined | State::Paused => noted.state = State::Over,
                _ => {}
            }
        }
        for shed in results.reject {
            let noted = self.reqs.get_mut(&shed.id).unwrap();
            assert!(!noted.answered, "lost: {shed:?} answered twice");
            assert!(
                !noted.ran && noted.state == State::Held,
                "a req that ran was turned away"
            );
            (noted.answered, noted.state) = (true, State::Over);
            self.shed.push(shed);
        }
        for (id, span) in results.retain_key {
            self.keys.insert(id, self.now + span);
        }
        for id in results.release_key {
            assert!(
                self.keys.remove(&id).is_some(),
                "released what was not kept"
            );
        }
        for id in results.start {
            let (noted, left) = (&self.reqs[&id], self.left);
            assert_eq!(noted.state, State::Held, "started what is not held");
            assert!(!noted.ran, "effect twice: {id:?} started again");
            assert!(
                left.is_none_or(|(at, _)| noted.arrived <= at + GRACE),
                "drain: ran what came late"
            );
            let twin = self
                .reqs
                .values()
                .find(|n| n.ran && n.mark.is_some() && n.mark == noted.mark);
            let clear = twin.is_none_or(|n| noted.arrived - n.arrived > WINDOW);
            assert!(
                clear || noted.kind != Idempotency::Keyed,
                "effect twice: a repeat ran within its window"
            );
            let noted = self.reqs.get_mut(&id).unwrap();
            (noted.state, noted.ran) = (State::OnCore, true);
        }
        for id in results.coalesce {
            let noted = self.reqs.get_mut(&id).unwrap();
            assert_eq!(noted.state, State::Held, "joined what is not held");
            noted.state = State::Joined;
        }
        for (id, cap) in results.call {
            let noted = self.reqs.get_mut(&id).unwrap();
            assert_eq!(noted.state, State::Wanting, "a call that nothing waits for");
            assert!(cap > Time(0));
            self.caps.push(cap);
            let safe = noted.kind == Idempotency::Idempotent || !noted.calls_unknown;
            assert!(safe, "effect twice: a call made again that may have run");
            noted.state = State::Calling;
        }
        for id in results.skip_call {
            let noted = self.reqs.get_mut(&id).unwrap();
            assert!(
                self.set.skip > 0.0 && noted.state == State::Wanting,
                "a skip that is not allowed"
            );
            noted.state = State::OnCore;
        }
        self.advice = results.advice.unwrap_or(self.advice);
        self.trim = results.idle_timeout.unwrap_or(self.trim);
        self.wakes
            .extend(results.next_tick.map(|span| self.now + span));
        self.check();
        for id in ended {
            self.end(id, RunOutcome::Cancelled);
        }
    }

    fn check(&self) {
        let now = self.now;
        let slack = Time(400);
        for (id, noted) in &self.reqs {
            assert!(
                noted.answered || noted.due + slack >= now,
                "lost: {id:?} {noted:?} at {now:?}"
            );
            let stop = self.left.map_or(Time::MAX, |(_, stop)| stop);
            assert!(
                noted.answered || now < stop,
                "drain: {id:?} unanswered when stopped"
            );
        }
        let warm = if self.set.cold {
            (now - Time(50_000)).as_f64() / WARM.as_f64()
        } else {
            1.0
        };
        let ceiling = 1.0 + (FACTOR - 1.0) * (FIRST + (1.0 - FIRST) * warm).min(1.0);
        let on_core = self
            .seen
            .unwrap_or(f64::MAX)
            .min(self.count(State::OnCore) as f64);
        assert!(
            on_core <= CORES as f64 * ceiling,
            "fall-over: {on_core} on the cores"
        );
        // What all call dies when the shares add up; one call may pass a share below one.
        let calling = self.count(State::Calling) as f64;
        assert!(
            self.set.share.is_none_or(|s| calling <= s.max(1.0)),
            "fall-over: {calling} calls in hand"
        );
        let need = |n: &Noted| match n.state {
            State::Over => 0.0,
            State::Held | State::Joined => n.kb,
            _ => n.kb * BLOWUP,
        };
        let need = self.reqs.values().map(need).sum::<f64>()
            + self.keys.values().filter(|end| **end > now).count() as f64 * PER_KEY;
        assert!(need <= self.set.limit_kb, "fall-over: {need} kB");
    }
}
