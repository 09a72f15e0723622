//! Seeded random runs of the aggregator against a model that counts independently: calls in flight at each dependency,
//! calls sent in any second, and the results of runs. The invariants are checked after every step.

use cottondyke_dependency::*;
use cottondyke_types::{RequestId, TenantId, Time, SECOND};
use std::collections::BTreeMap;
use std::rc::Rc;

const STEPS: usize = 1_000_000;
const SEEDS: u64 = 100;
const STEPS_PER_SEED: usize = STEPS / SEEDS as usize;
/// Maximum number of runs open at once.
const MAX_OPEN_RUNS: usize = 12;
const AGGREGATIONS: usize = 3;
const MAX_PARTS: usize = 4;

fn random_dependency(name: &str, random: &mut fastrand::Rng) -> Rc<Dependency> {
    let max_calls = random.usize(1..9);
    Rc::new(Dependency {
        name: name.into(),
        addr: ([127, 0, 0, 1], 1).into(),
        path: "/".into(),
        json: false,
        time_budget: Time(random.i64(50..3_000)),
        max_calls,
        leased_calls: None,
        max_rate: [None, Some(random.usize(1..40))][random.usize(0..2)],
        leased_rate: None,
        min_limit: random.usize(1..=max_calls),
        post_cancel_grace: Time(random.i64(1..2_000)),
        max_waiting: random.usize(0..6),
        retry_ratio: [0.0, 0.1, 0.5][random.usize(0..3)],
        hedge_quantile: [None, Some(0.5), Some(0.95)][random.usize(0..3)],
    })
}

fn random_fallback(dependencies: usize, random: &mut fastrand::Rng) -> Fallback {
    match random.u8(0..4) {
        0 => Fallback::Cached(Time(random.i64(1..50_000))),
        1 => Fallback::Secondary(random.usize(0..dependencies)),
        2 => Fallback::Default((*b"fixed").into()),
        _ => Fallback::Omit,
    }
}

fn random_part(index: usize, dependencies: usize, random: &mut fastrand::Rng) -> PartSpec {
    let required = random.u8(0..5) == 0;
    let fallbacks = if required {
        Vec::new()
    } else {
        (0..3)
            .map(|_| random_fallback(dependencies, random))
            .collect()
    };
    PartSpec {
        name: format!("part{index}").into(),
        dependency: index % dependencies,
        required,
        fallbacks,
    }
}

fn random_plan(random: &mut fastrand::Rng, safeguards: Safeguards) -> Plan {
    let names = ["catalogue", "prices", "stock", "backup"];
    let count = random.usize(1..=names.len());
    let dependencies = names[..count]
        .iter()
        .map(|name| random_dependency(name, random))
        .collect();
    let aggregations = (0..AGGREGATIONS)
        .map(|_| {
            let parts = (0..random.usize(1..=MAX_PARTS))
                .map(|index| random_part(index, count, random))
                .collect();
            Aggregation { parts }
        })
        .collect();
    Plan {
        dependencies,
        aggregations,
        stale_cache_bytes: random.usize(0..4_000),
        safeguards,
    }
}

/// All safeguards enabled; for one seed in four, some of them are disabled at random.
fn random_safeguards(seed: u64, random: &mut fastrand::Rng) -> Safeguards {
    let mut safeguards = Safeguards::default();
    if seed % 4 == 3 {
        let switched = [
            &mut safeguards.time_budget,
            &mut safeguards.adapt,
            &mut safeguards.breaker,
            &mut safeguards.stale_cache,
        ];
        for safeguard in switched {
            *safeguard = random.bool();
        }
    }
    safeguards
}

/// A call that the driver has open.
struct OpenCall {
    dependency: Rc<str>,
    /// When the driver stops waiting for its response, if the aggregator has abandoned it.
    wait_until: Option<Time>,
}

/// An abandoned call that keeps running unobserved for its whole grace period: the worst case at a dependency.
struct AbandonedCall {
    dependency: Rc<str>,
    runs_until: Time,
}

/// A call whose first byte was sent.
struct SentCall {
    dependency: Rc<str>,
    sent_at: Time,
}

/// The driver of an aggregator and the independent counts that its behavior is checked against.
struct Model {
    random: fastrand::Rng,
    now: Time,
    aggregator: Aggregator,
    plan: Plan,
    /// Every dependency of any plan installed so far, as first configured.
    known_dependencies: Vec<Rc<Dependency>>,
    next_request: u32,
    /// Open runs and their deadlines.
    runs: BTreeMap<RequestId, Time>,
    open_calls: BTreeMap<CallId, OpenCall>,
    abandoned_calls: Vec<AbandonedCall>,
    /// Calls whose first byte has not been sent yet.
    unsent: BTreeMap<CallId, Rc<SendTimestamp>>,
    /// Calls sent in the last second.
    sent_calls: Vec<SentCall>,
    completed_runs: u64,
}

impl Model {
    fn new(seed: u64) -> Self {
        let mut random = fastrand::Rng::with_seed(seed);
        let safeguards = random_safeguards(seed, &mut random);
        let plan = random_plan(&mut random, safeguards);
        let startup = if seed.is_multiple_of(2) {
            Startup::Restarted
        } else {
            Startup::First
        };
        Model {
            random,
            now: Time(0),
            aggregator: Aggregator::new(Time(0), plan.clone(), seed, startup),
            known_dependencies: plan.dependencies.clone(),
            plan,
            next_request: 0,
            runs: BTreeMap::new(),
            open_calls: BTreeMap::new(),
            abandoned_calls: Vec::new(),
            unsent: BTreeMap::new(),
            sent_calls: Vec::new(),
            completed_runs: 0,
        }
    }

    fn known_dependency(&self, name: &str) -> Option<&Rc<Dependency>> {
        self.known_dependencies
            .iter()
            .find(|dependency| *dependency.name == *name)
    }

    fn carry_out(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Call {
                    call,
                    request,
                    dependency,
                    timeout,
                    timestamp,
                    ..
                } => {
                    assert!(
                        self.runs.contains_key(&request),
                        "call issued for a run that has ended"
                    );
                    assert!(
                        timeout > Time(0) && self.now + timeout <= self.runs[&request],
                        "call timeout is not positive or ends after the deadline of its run"
                    );
                    self.open_call(call, &dependency.name, timestamp);
                }
                Action::Abandon {
                    call,
                    late_response_wait,
                } => self.abandon_call(call, late_response_wait),
                Action::Completed { request, result } => self.complete_run(request, result),
                Action::CircuitStateChanged { .. } => {}
            }
        }
    }

    fn open_call(&mut self, id: CallId, dependency: &Rc<str>, timestamp: Rc<SendTimestamp>) {
        let call = OpenCall {
            dependency: dependency.clone(),
            wait_until: None,
        };
        self.open_calls.insert(id, call);
        self.unsent.insert(id, timestamp);
        if self.plan.safeguards.limit {
            self.assert_within_max_calls(dependency);
        }
    }

    fn abandon_call(&mut self, id: CallId, late_response_wait: Time) {
        let mut call = self
            .open_calls
            .remove(&id)
            .expect("a call is abandoned once, while it is open");
        if late_response_wait > Time(0) {
            call.wait_until = Some(self.now + late_response_wait);
            self.open_calls.insert(id, call);
        } else {
            self.unsent.remove(&id);
            self.leave_running(call.dependency);
        }
    }

    fn complete_run(&mut self, request: RequestId, result: AggregationResult) {
        let deadline = self.runs.remove(&request).expect("a run ends once");
        assert!(self.now <= deadline, "a run ended after its deadline");
        self.completed_runs += 1;
        let AggregationResult::Parts(parts) = result else {
            return;
        };
        for part in parts {
            let is_missing = part.source == PartSource::Missing;
            assert_eq!(is_missing, part.body.is_none(), "{part:?}");
        }
    }

    /// Sends the first byte of a call, some time after the call was issued, and asserts that the calls sent within any
    /// second stay within the rate limit.
    fn send_first_byte(&mut self, id: CallId) {
        let Some(timestamp) = self.unsent.remove(&id) else {
            return;
        };
        let now = self.now;
        let dependency = self.open_calls[&id].dependency.clone();
        timestamp.record_send(now);
        self.sent_calls.retain(|call| now - call.sent_at < SECOND);
        self.sent_calls.push(SentCall {
            dependency: dependency.clone(),
            sent_at: now,
        });
        let sent = self
            .sent_calls
            .iter()
            .filter(|call| call.dependency == dependency)
            .count();
        let max_rate = self
            .known_dependency(&dependency)
            .and_then(|spec| spec.max_rate);
        if let Some(max_rate) = max_rate {
            assert!(
                sent <= max_rate,
                "{sent} calls sent to {dependency} in a second, rate {max_rate}"
            );
        }
    }

    fn leave_running(&mut self, dependency: Rc<str>) {
        let grace = self
            .known_dependency(&dependency)
            .map_or(Time(0), |spec| spec.post_cancel_grace);
        self.abandoned_calls.push(AbandonedCall {
            dependency,
            runs_until: self.now + grace,
        });
    }

    /// Asserts that the calls in flight stay within the dependency's maximum, which `install_plan` never changes.
    fn assert_within_max_calls(&mut self, dependency: &Rc<str>) {
        let now = self.now;
        self.abandoned_calls.retain(|call| call.runs_until > now);
        let open = self
            .open_calls
            .values()
            .filter(|call| call.dependency == *dependency)
            .count();
        let abandoned = self
            .abandoned_calls
            .iter()
            .filter(|call| call.dependency == *dependency)
            .count();
        let in_flight = open + abandoned;
        if let Some(spec) = self.known_dependency(dependency) {
            assert!(
                in_flight <= spec.max_calls,
                "{in_flight} calls in flight at {dependency}, maximum {}",
                spec.max_calls
            );
        }
    }

    fn step(&mut self) {
        self.now += Time(self.random.i64(0..60));
        self.run_due_timers();
        self.stop_due_waits();
        if let Some(call) = self.choose(self.unsent.keys().copied().collect()) {
            self.send_first_byte(call);
        }
        match self.random.u8(0..100) {
            0..40 if self.runs.len() < MAX_OPEN_RUNS => self.start_run(),
            40..44 => self.cancel_run(),
            44 if self.random.u8(0..4) == 0 => self.install_plan(),
            _ => self.end_random_call(),
        }
        if let Err(violation) = self.aggregator.check_invariants(self.now) {
            panic!("{violation}");
        }
        assert_eq!(self.aggregator.open_runs(), self.runs.len());
        assert!(self.aggregator.cached_bytes() <= self.plan.stale_cache_bytes);
    }

    fn choose<T>(&mut self, from: Vec<T>) -> Option<T> {
        self.random.choice(from)
    }

    /// Handles each timer at the time at which it is due, as a driver does.
    fn run_due_timers(&mut self) {
        while let Some(at) = self.aggregator.next_timer().filter(|at| *at <= self.now) {
            let now = std::mem::replace(&mut self.now, at);
            let actions = self.aggregator.handle_timer(at);
            self.carry_out(actions);
            self.now = now;
        }
    }

    /// Times out the abandoned calls whose responses the driver has awaited for long enough.
    fn stop_due_waits(&mut self) {
        let is_due = |call: &OpenCall| call.wait_until.is_some_and(|until| until <= self.now);
        let due: Vec<CallId> = self
            .open_calls
            .iter()
            .filter(|(_, call)| is_due(call))
            .map(|(id, _)| *id)
            .collect();
        for id in due {
            self.end_call(id, CallResult::TimedOut);
        }
    }

    fn start_run(&mut self) {
        let request = RequestId(self.next_request);
        self.next_request += 1;
        let target = self.now + Time(self.random.i64(-100..3_000));
        let deadline = target.max(self.now) + Time(self.random.i64(101..2_000));
        let start = AggregationRequest {
            request,
            aggregation: self.random.usize(0..AGGREGATIONS),
            body: self.random.u8(0..6).to_string().into_bytes().into(),
            tenant: [None, Some(TenantId(1))][self.random.usize(0..2)],
            target,
            deadline,
            may_repeat: self.random.bool(),
        };
        self.runs.insert(request, deadline);
        let actions = self.aggregator.start(self.now, start);
        self.carry_out(actions);
    }

    fn cancel_run(&mut self) {
        if let Some(run) = self.choose(self.runs.keys().copied().collect()) {
            let actions = self.aggregator.cancel(self.now, run);
            self.carry_out(actions);
            assert!(
                !self.runs.contains_key(&run),
                "a cancelled run ends at once"
            );
        }
    }

    /// Installs another random plan: aggregations and time budgets change, and often the set of dependencies.
    fn install_plan(&mut self) {
        let mut next = random_plan(&mut self.random, self.plan.safeguards);
        for spec in &mut next.dependencies {
            // Calls in flight above a lowered maximum may run to their end, and the model does not count what must hold
            // meanwhile. So the limits of a known dependency stay the same.
            if let Some(old) = self.known_dependency(&spec.name) {
                *spec = Rc::new(Dependency {
                    max_calls: old.max_calls,
                    min_limit: old.min_limit,
                    post_cancel_grace: old.post_cancel_grace,
                    max_rate: old.max_rate,
                    ..(**spec).clone()
                });
            } else {
                self.known_dependencies.push(spec.clone());
            }
        }
        self.plan = next.clone();
        let actions = self.aggregator.install(self.now, next);
        self.carry_out(actions);
    }

    fn end_random_call(&mut self) {
        let Some(call) = self.choose(self.open_calls.keys().copied().collect()) else {
            return;
        };
        let result = match self.random.u8(0..10) {
            0..6 => CallResult::Success(vec![0; self.random.usize(0..600)].into()),
            6 => CallResult::Failure,
            7 => CallResult::InvalidRequest,
            8 => CallResult::Rejected,
            _ => [
                CallResult::StaleConnection,
                CallResult::Interrupted,
                CallResult::TimedOut,
            ][self.random.usize(0..3)]
            .clone(),
        };
        self.end_call(call, result);
    }

    fn end_call(&mut self, id: CallId, result: CallResult) {
        if result == CallResult::Rejected {
            self.unsent.remove(&id);
        } else {
            self.send_first_byte(id);
        }
        let call = self.open_calls.remove(&id).expect("the call is open");
        let may_still_run = [
            CallResult::StaleConnection,
            CallResult::Interrupted,
            CallResult::TimedOut,
        ];
        if may_still_run.contains(&result) {
            self.leave_running(call.dependency);
        }
        let actions = self.aggregator.handle_call_result(self.now, id, result);
        self.carry_out(actions);
    }

    /// Handles timers until none is left: all runs must end without further input and without any reply.
    fn run_until_idle(&mut self) {
        while let Some(at) = self.aggregator.next_timer() {
            self.now = self.now.max(at);
            let actions = self.aggregator.handle_timer(self.now);
            self.carry_out(actions);
        }
        assert!(self.runs.is_empty(), "{} runs never ended", self.runs.len());
    }
}

/// Prints the seed when the test panics.
struct PrintSeedOnPanic(u64);

impl Drop for PrintSeedOnPanic {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("seed {}", self.0);
        }
    }
}

/// Guards the whole package against exceeded limits, rates and budgets, inconsistent state, and runs or calls that do
/// not end exactly once. Checked after every step of random inputs, across changes of the plan.
#[test]
fn keeps_every_limit_and_ends_each_run_once_when_inputs_are_random() {
    let mut completed_runs = 0;
    for seed in 0..SEEDS {
        let _seed = PrintSeedOnPanic(seed);
        let mut model = Model::new(seed);
        for _ in 0..STEPS_PER_SEED {
            model.step();
        }
        model.run_until_idle();
        completed_runs += model.completed_runs;
    }
    assert!(
        completed_runs > STEPS as u64 / 10,
        "only {completed_runs} runs ended: too few to be meaningful"
    );
}
