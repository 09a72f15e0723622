//! Seeded random runs against a model of the dependencies that counts by itself: what is held there, extra calls,
//! and the ends of runs. Every step is audited.
#![expect(clippy::too_many_lines, reason = "tables of cases and long scenarios")]

use cottondyke_dependency::*;
use cottondyke_types::{RequestId, TenantId, Time};
use std::collections::BTreeMap;
use std::rc::Rc;

const STEPS: usize = 1_000_000;
const SEEDS: u64 = 100;

fn dependency(name: &str, random: &mut fastrand::Rng) -> Rc<Dependency> {
    let share = random.usize(1..9);
    Rc::new(Dependency {
        name: name.into(),
        addr: ([127, 0, 0, 1], 1).into(),
        path: "/".into(),
        json: false,
        time_budget: Time(random.i64(50..3_000)),
        max_calls: share,
        leased_calls: None,
        max_rate: [None, Some(random.usize(1..40))][random.usize(0..2)],
        leased_rate: None,
        min_limit: random.usize(1..=share),
        post_cancel_grace: Time(random.i64(1..2_000)),
        max_waiting: random.usize(0..6),
        retry_ratio: [0.0, 0.1, 0.5][random.usize(0..3)],
        hedge_quantile: [None, Some(0.5), Some(0.95)][random.usize(0..3)],
    })
}

fn plan(random: &mut fastrand::Rng, defences: Safeguards) -> Plan {
    let names = ["catalogue", "prices", "stock", "backup"];
    let count = random.usize(1..=names.len());
    let dependencies: Vec<_> = names[..count]
        .iter()
        .map(|name| dependency(name, random))
        .collect();
    let part = |place: usize, random: &mut fastrand::Rng| {
        let required = random.u8(0..5) == 0;
        let mut fallback = || match random.u8(0..4) {
            0 => Fallback::Cached(Time(random.i64(1..50_000))),
            1 => Fallback::Secondary(random.usize(0..count)),
            2 => Fallback::Default((*b"fixed").into()),
            _ => Fallback::Omit,
        };
        let fallbacks = if required {
            Vec::new()
        } else {
            vec![fallback(), fallback(), fallback()]
        };
        PartSpec {
            name: format!("part{place}").into(),
            dependency: place % count,
            required,
            fallbacks,
        }
    };
    let pages = (0..3).map(|_| {
        let parts = (0..random.usize(1..5))
            .map(|place| part(place, random))
            .collect();
        Aggregation { parts }
    });
    let pages = pages.collect();
    Plan {
        dependencies,
        aggregations: pages,
        stale_cache_bytes: random.usize(0..4_000),
        safeguards: defences,
    }
}

struct Model {
    random: fastrand::Rng,
    now: Time,
    pages: Aggregator,
    plan: Plan,
    /// Every dependency that was ever in force.
    all: Vec<Rc<Dependency>>,
    next_run: u32,
    /// Open runs and when they are due.
    runs: BTreeMap<RequestId, Time>,
    /// Calls that the driver has in hand, and the dependency, whether listened to until a time.
    calls: BTreeMap<CallId, (Rc<str>, Option<Time>)>,
    /// Calls that were given up and go on unseen: the worst that a dependency may do.
    unseen: Vec<(Rc<str>, Time)>,
    /// Calls whose first byte is not out yet, and those that came in the last second.
    stamps: BTreeMap<CallId, Rc<SendTimestamp>>,
    came: Vec<(Rc<str>, Time)>,
    ends: u64,
}

impl Model {
    fn carry(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Call {
                    call,
                    run,
                    to,
                    within,
                    stamp,
                    ..
                } => {
                    assert!(
                        self.runs.contains_key(&run),
                        "a call for a run that has ended"
                    );
                    assert!(
                        within > Time(0) && self.now + within <= self.runs[&run],
                        "past the due time"
                    );
                    self.calls.insert(call, (to.name.clone(), None));
                    self.stamps.insert(call, stamp);
                    if self.plan.safeguards.limit {
                        self.check_held(&to.name);
                    }
                }
                Action::Abandon { call, listen } => {
                    let (name, _) = self
                        .calls
                        .remove(&call)
                        .expect("given up once, while it is out");
                    if listen > Time(0) {
                        self.calls.insert(call, (name, Some(self.now + listen)));
                    } else {
                        self.stamps.remove(&call);
                        self.linger(name);
                    }
                }
                Action::Completed { run, answer } => {
                    let due = self.runs.remove(&run).expect("a run ends once");
                    assert!(self.now <= due, "ended after it was due");
                    self.ends += 1;
                    if let AggregationResult::Parts(parts) = answer {
                        for part in parts {
                            assert_eq!(
                                part.source == PartSource::Missing,
                                part.body.is_none(),
                                "{part:?}"
                            );
                        }
                    }
                }
                Action::GateChanged { .. } => {}
            }
        }
    }

    /// The first byte of a call goes out, some time after it was let out. Never over the rate in any second.
    fn send(&mut self, call: CallId) {
        let Some(stamp) = self.stamps.remove(&call) else {
            return;
        };
        let (now, name) = (self.now, self.calls[&call].0.clone());
        stamp.record_send(now);
        self.came.retain(|(_, at)| now - *at < Time(10_000));
        self.came.push((name.clone(), now));
        let lately = self.came.iter().filter(|(of, _)| *of == name).count();
        if let Some(rate) = self
            .all
            .iter()
            .find(|d| d.name == name)
            .and_then(|spec| spec.max_rate)
        {
            assert!(
                lately <= rate,
                "{lately} calls of a second at {name}, rate {rate}"
            );
        }
    }

    fn linger(&mut self, name: Rc<str>) {
        let spec = self.all.iter().find(|d| d.name == name);
        let linger = spec.map_or(Time(0), |d| d.post_cancel_grace);
        self.unseen.push((name, self.now + linger));
    }

    /// Never over the share of the file in force, but for what was held when it shrank.
    fn check_held(&mut self, name: &Rc<str>) {
        let now = self.now;
        self.unseen.retain(|(_, end)| *end > now);
        let held = self.calls.values().filter(|(of, _)| of == name).count()
            + self.unseen.iter().filter(|(of, _)| of == name).count();
        if let Some(spec) = self.all.iter().find(|d| d.name == *name) {
            assert!(
                held <= spec.max_calls,
                "{held} held at {name}, share {}",
                spec.max_calls
            );
        }
    }

    fn step(&mut self) {
        self.now += Time(self.random.i64(0..60));
        // The driver calls the timer in time, and stops listening when it should.
        while let Some(at) = self.pages.next_timer().filter(|at| *at <= self.now) {
            let now = std::mem::replace(&mut self.now, at);
            let actions = self.pages.handle_timer(at);
            self.carry(actions);
            self.now = now;
        }
        let over: Vec<_> = self
            .calls
            .iter()
            .filter(|(_, c)| c.1.is_some_and(|at| at <= self.now))
            .collect();
        let over: Vec<_> = over.into_iter().map(|(id, _)| *id).collect();
        for id in over {
            self.end(id, CallResult::TimedOut);
        }
        if let Some(call) = self
            .random
            .choice(self.stamps.keys().copied().collect::<Vec<_>>())
        {
            self.send(call);
        }
        match self.random.u8(0..100) {
            0..40 if self.runs.len() < 12 => {
                let run = RequestId(self.next_run);
                self.next_run += 1;
                let target = self.now + Time(self.random.i64(-100..3_000));
                let due = target.max(self.now) + Time(self.random.i64(101..2_000));
                let start = AggregationRequest {
                    request: run,
                    aggregation: self.random.usize(0..3),
                    body: self.random.u8(0..6).to_string().into_bytes().into(),
                    tenant: [None, Some(TenantId(1))][self.random.usize(0..2)],
                    target,
                    deadline: due,
                    may_repeat: self.random.bool(),
                };
                self.runs.insert(run, due);
                let actions = self.pages.start(self.now, start);
                self.carry(actions);
            }
            40..44 => {
                if let Some(run) = self
                    .random
                    .choice(self.runs.keys().copied().collect::<Vec<_>>())
                {
                    let actions = self.pages.cancel(self.now, run);
                    self.carry(actions);
                    assert!(!self.runs.contains_key(&run), "a stopped run ends at once");
                }
            }
            44 if self.random.u8(0..4) == 0 => self.reload(),
            _ => {
                if let Some(call) = self
                    .random
                    .choice(self.calls.keys().copied().collect::<Vec<_>>())
                {
                    let outcome = match self.random.u8(0..10) {
                        0..6 => CallResult::Success(vec![0; self.random.usize(0..600)].into()),
                        6 => CallResult::Failure,
                        7 => CallResult::InvalidRequest,
                        8 => CallResult::Rejected,
                        _ if self.random.bool() => CallResult::StaleConnection,
                        _ => CallResult::TimedOut,
                    };
                    self.end(call, outcome);
                }
            }
        }
        if let Err(wrong) = self.pages.audit(self.now) {
            panic!("{wrong}");
        }
        assert_eq!(self.pages.open_runs(), self.runs.len());
        assert!(self.pages.cached_bytes() <= self.plan.stale_cache_bytes);
    }

    /// Another file: other pages and budgets, and sometimes a dependency less, or again one more.
    fn reload(&mut self) {
        let mut next = plan(&mut self.random, self.plan.safeguards);
        for spec in &mut next.dependencies {
            // A share that shrinks leaves what is held over it to end: what must hold then is not counted here.
            if let Some(old) = self.all.iter().find(|old| old.name == spec.name) {
                let kept = Dependency {
                    max_calls: old.max_calls,
                    min_limit: old.min_limit,
                    post_cancel_grace: old.post_cancel_grace,
                    max_rate: old.max_rate,
                    ..(**spec).clone()
                };
                *spec = Rc::new(kept);
            } else {
                self.all.push(spec.clone());
            }
        }
        self.plan = next.clone();
        let actions = self.pages.install(self.now, next);
        self.carry(actions);
    }

    fn end(&mut self, id: CallId, outcome: CallResult) {
        if outcome == CallResult::Rejected {
            self.stamps.remove(&id);
        } else {
            self.send(id);
        }
        let (name, _) = self.calls.remove(&id).expect("it is out");
        if outcome == CallResult::TimedOut {
            self.linger(name);
        }
        let actions = self.pages.handle_call_result(self.now, id, outcome);
        self.carry(actions);
    }
}

/// Guards the whole of the package: limits, budgets and exactly one end for each run and call, after every step and
/// across files read anew.
#[test]
fn random_runs_keep_every_promise() {
    let mut ends = 0;
    for seed in 0..SEEDS {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut defences = Safeguards::default();
        if seed % 4 == 3 {
            let off = [
                &mut defences.time_budget,
                &mut defences.adapt,
                &mut defences.breaker,
                &mut defences.stale_cache,
            ];
            off.into_iter().for_each(|defence| *defence = random.bool());
        }
        let plan = plan(&mut random, defences);
        let pages = Aggregator::new(
            Time(0),
            plan.clone(),
            seed,
            if seed % 2 == 0 {
                Startup::Restarted
            } else {
                Startup::First
            },
        );
        let (runs, calls) = (BTreeMap::new(), BTreeMap::new());
        let (unseen, now) = (Vec::new(), Time(0));
        let all = plan.dependencies.clone();
        let (stamps, came) = (BTreeMap::new(), Vec::new());
        let mut model = Model {
            random,
            now,
            pages,
            plan,
            all,
            next_run: 0,
            runs,
            calls,
            unseen,
            stamps,
            came,
            ends: 0,
        };
        (0..STEPS / SEEDS as usize).for_each(|_| model.step());
        // Everything ends by itself once nothing new comes and no call is answered.
        while let Some(at) = model.pages.next_timer() {
            model.now = model.now.max(at);
            let actions = model.pages.handle_timer(model.now);
            model.carry(actions);
        }
        assert!(
            model.runs.is_empty(),
            "{} runs never ended",
            model.runs.len()
        );
        ends += model.ends;
    }
    assert!(
        ends > STEPS as u64 / 10,
        "only {ends} runs ended: the model is too idle to show anything"
    );
}
