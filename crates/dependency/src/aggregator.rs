//! Composes pages: one run for each started req, with a step in hand for each of its parts. Every call that goes
//! out ends once, by `ended` or by being given up without listening; every run ends once, by `Action::Ended`.
use crate::gate::{CallSignal, DependencyGate, Permit};
use crate::lease::SendTimestamp;
use crate::messages::{
    Action, AggregationRequest, AggregationResult, CallId, CallResult, DependencyUsage, PartResult,
    PartSource,
};
use crate::plan::{Fallback, PartSpec, Plan, RESERVE};
use crate::stale_cache::{Key, StaleCache};
use cottondyke_types::{RequestId, Time};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Part of its budget for which a call that got no answer in time is still listened to.
const LISTEN: f64 = 0.5;
/// Calls that one step makes, the first among them.
const TRIES: u32 = 3;

type GateId = usize;

#[derive(Debug)]
enum Phase {
    Waiting,
    Calling,
    Settled(PartSource, Option<Rc<[u8]>>),
}

#[derive(Debug)]
struct Step {
    /// 0 for the part's own dependency, then one for each fall-back.
    number: usize,
    gate: GateId,
    until: Time,
    tries: u32,
    calls: Vec<CallId>,
    phase: Phase,
}

#[derive(Debug)]
struct Run {
    start: AggregationRequest,
    force: Rc<PlanInForce>,
    steps: Vec<Step>,
}

#[derive(Debug)]
struct Call {
    run: RequestId,
    part: usize,
    gate: GateId,
    since: Time,
    within: Time,
    probe: bool,
    stamp: Rc<SendTimestamp>,
    /// Its part waits no longer, and what it can teach about being late was learned.
    left: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    /// The end of a part's step.
    Step(RequestId, usize, usize),
    /// From then on a part that waits could not be answered in what is left.
    Wait(RequestId, usize, usize),
    /// A second call for one that is still out.
    Hedge(CallId),
    /// A held call is over by itself.
    Frees(GateId),
}

fn gate_changed(gate: &DependencyGate) -> Action {
    let (dependency, stage, limit) = (
        gate.spec.name.clone(),
        gate.circuit_state(),
        gate.limit.calls(),
    );
    Action::GateChanged {
        dependency,
        stage,
        limit,
    }
}

/// A plan, and the gates of its dependencies.
#[derive(Debug)]
struct PlanInForce {
    plan: Plan,
    gates: Vec<GateId>,
}

#[derive(Debug)]
pub struct Aggregator {
    force: Rc<PlanInForce>,
    gates: BTreeMap<GateId, DependencyGate>,
    next_gate: GateId,
    runs: BTreeMap<RequestId, Run>,
    calls: BTreeMap<CallId, Call>,
    next_call: u64,
    timers: BTreeSet<(Time, Timer)>,
    kept: StaleCache,
    /// After the notice to leave: when all must be answered.
    leave: Time,
    random: fastrand::Rng,
}

impl Aggregator {
    /// `restarted`: whether a former life of this instance may have left calls at the dependencies.
    pub fn new(now: Time, plan: Plan, seed: u64, restarted: bool) -> Self {
        let mut pages = Aggregator {
            force: Rc::new(PlanInForce {
                plan: Plan::default(),
                gates: Vec::new(),
            }),
            gates: BTreeMap::new(),
            next_gate: 0,
            runs: BTreeMap::new(),
            calls: BTreeMap::new(),
            next_call: 0,
            timers: BTreeSet::new(),
            kept: StaleCache::default(),
            leave: Time::MAX,
            random: fastrand::Rng::with_seed(seed),
        };
        pages.take(now, plan, restarted);
        pages
    }

    /// Another plan is in force for what starts from now on; runs end under the one they began with. What was
    /// learned of a dependency, and what is held there, goes with its name.
    pub fn install(&mut self, now: Time, plan: Plan) -> Vec<Action> {
        self.take(now, plan, false);
        let mut out = Vec::new();
        for gate in self.force.clone().gates.iter() {
            self.drain(now, *gate, &mut out);
        }
        out
    }

    fn take(&mut self, now: Time, plan: Plan, restarted: bool) {
        let gates = plan.dependencies.iter().map(|spec| {
            let known = self
                .gates
                .iter_mut()
                .find(|(_, g)| g.spec.name == spec.name);
            if let Some((id, gate)) = known {
                gate.renew(now, spec.clone(), plan.safeguards);
                return *id;
            }
            let id = self.next_gate;
            self.next_gate += 1;
            self.gates.insert(
                id,
                DependencyGate::new(now, spec.clone(), plan.safeguards, restarted),
            );
            if let Some(at) = self.gates[&id].frees(now) {
                self.timers.insert((at, Timer::Frees(id)));
            }
            id
        });
        let gates = gates.collect();
        self.kept.bound(if plan.safeguards.stale_cache {
            plan.stale_cache_bytes
        } else {
            0
        });
        self.force = Rc::new(PlanInForce { plan, gates });
        let in_use = |id: &GateId| {
            self.force.gates.contains(id)
                || self.runs.values().any(|run| run.force.gates.contains(id))
        };
        self.gates
            .retain(|id, gate| in_use(id) || gate.in_flight(now) > 0 || gate.sent_lately(now) > 0);
    }

    pub fn start(&mut self, now: Time, start: AggregationRequest) -> Vec<Action> {
        let mut out = Vec::new();
        let (id, force) = (start.request, self.force.clone());
        let Some(page) = force.plan.aggregations.get(start.aggregation) else {
            return vec![Action::Completed {
                run: id,
                answer: AggregationResult::Failed,
            }];
        };
        let step = |part: &PartSpec| Step {
            number: 0,
            gate: force.gates[part.dependency],
            until: now,
            tries: 0,
            calls: Vec::new(),
            phase: Phase::Waiting,
        };
        let steps = page.parts.iter().map(step).collect();
        self.runs.insert(
            id,
            Run {
                start,
                force: force.clone(),
                steps,
            },
        );
        for (place, part) in page.parts.iter().enumerate() {
            if !self.begin(now, id, place, part.dependency, &mut out) {
                self.fall_back(now, id, place, &mut out);
            }
        }
        self.finish(now, id, &mut out);
        out
    }

    /// Ends a run at once; its calls in hand are given up.
    pub fn cancel(&mut self, now: Time, id: RequestId) -> Vec<Action> {
        let mut out = Vec::new();
        if self.runs.contains_key(&id) {
            self.end(now, id, AggregationResult::Cancelled, &mut out);
        }
        out
    }

    /// All is to be answered by `until`: steps in hand are cut to it.
    pub fn start_draining(&mut self, until: Time) {
        self.leave = until;
        let cut = self.runs.iter_mut().flat_map(|(id, run)| {
            run.steps
                .iter_mut()
                .enumerate()
                .map(move |(place, step)| (*id, place, step))
        });
        for (id, place, step) in cut {
            if step.until > until {
                step.until = until;
                self.timers
                    .insert((until, Timer::Step(id, place, step.number)));
            }
        }
    }

    /// When `timer` is to be called.
    pub fn next_timer(&self) -> Option<Time> {
        self.timers.first().map(|(at, _)| *at)
    }

    pub fn handle_timer(&mut self, now: Time) -> Vec<Action> {
        let mut out = Vec::new();
        while let Some((_, timer)) = self.timers.first().copied().filter(|(at, _)| *at <= now) {
            self.timers.pop_first();
            match timer {
                Timer::Step(id, place, number) => {
                    self.out_of_time(now, id, place, number, &mut out)
                }
                Timer::Wait(id, place, number) => {
                    self.waits_no_longer(now, id, place, number, &mut out)
                }
                Timer::Hedge(call) => self.hedge(now, call, &mut out),
                Timer::Frees(gate) => self.drain(now, gate, &mut out),
            }
        }
        out
    }

    /// A call has ended, or is listened to no longer.
    pub fn handle_call_result(
        &mut self,
        now: Time,
        id: CallId,
        outcome: CallResult,
    ) -> Vec<Action> {
        let mut out = Vec::new();
        let Some(call) = self.calls.remove(&id) else {
            return out;
        };
        call.stamp.finish();
        let goes_on = outcome == CallResult::TimedOut;
        let took = now - call.since;
        if let Some(gate) = self.gates.get_mut(&call.gate) {
            gate.hedging.retain(|call| *call != id);
            gate.over(now, goes_on);
            if matches!(outcome, CallResult::Success(_)) {
                gate.latency.learn(now, took, !call.left);
            }
        }
        if goes_on {
            self.frees(now, call.gate);
        }
        let learnt = match outcome {
            _ if call.left => None,
            CallResult::Success(_) => Some(CallSignal::Success),
            CallResult::Failure => Some(CallSignal::Failure),
            CallResult::Rejected | CallResult::TimedOut => Some(CallSignal::Overload),
            CallResult::InvalidRequest | CallResult::StaleConnection | CallResult::LeaseExpired => {
                Some(CallSignal::Ignored)
            }
        };
        if let Some(learnt) = learnt {
            self.learn(now, call.gate, call.probe, learnt, &mut out);
            self.settle_call(now, id, &call, outcome, &mut out);
            self.finish(now, call.run, &mut out);
        }
        self.drain(now, call.gate, &mut out);
        out
    }

    fn learn(
        &mut self,
        now: Time,
        gate: GateId,
        probe: bool,
        learnt: CallSignal,
        out: &mut Vec<Action>,
    ) {
        let draw = self.random.f64();
        let Some(gate) = self.gates.get_mut(&gate) else {
            return;
        };
        if gate.learn(now, probe, learnt, draw) {
            out.push(gate_changed(gate));
        }
    }

    /// What the end of a call means for the part that waits for it.
    fn settle_call(
        &mut self,
        now: Time,
        id: CallId,
        call: &Call,
        outcome: CallResult,
        out: &mut Vec<Action>,
    ) {
        let Some(run) = self.runs.get_mut(&call.run) else {
            return;
        };
        let (force, may_repeat) = (run.force.clone(), run.start.may_repeat);
        let Some(step) = run.steps.get_mut(call.part) else {
            return;
        };
        step.calls.retain(|other| *other != id);
        match outcome {
            CallResult::Success(body) => {
                let spec = &self.gates[&call.gate].spec;
                let state = if step.number == 0 {
                    PartSource::Primary
                } else {
                    PartSource::Secondary(spec.name.clone())
                };
                if let Some(place) = force.gates.iter().position(|g| *g == call.gate) {
                    if force.plan.uses_stale_cache(place) {
                        let key = (spec.name.clone(), run.start.tenant, run.start.body.clone());
                        self.kept.keep(now, key, body.clone());
                    }
                }
                self.settle(now, call.run, call.part, state, Some(body), out);
            }
            // The second call of the step is still out.
            _ if !step.calls.is_empty() => {}
            outcome => {
                let unsent = matches!(outcome, CallResult::Rejected | CallResult::LeaseExpired);
                let safe = may_repeat && outcome != CallResult::InvalidRequest || unsent;
                let usual = self.gates[&call.gate].latency.usual().unwrap_or(Time(1));
                let (tries, until) = (step.tries, step.until);
                let again = safe && tries < TRIES && until - now > usual;
                if again && self.gates.get_mut(&call.gate).is_some_and(|g| g.again(now)) {
                    self.gates
                        .entry(call.gate)
                        .and_modify(|g| g.counters.retries += 1);
                    self.call(now, call.run, call.part, false, out);
                } else {
                    self.fall_back(now, call.run, call.part, out);
                }
            }
        }
    }

    /// The end of a step on the dependency at `place` of the plan: its own budget, what is left to the response
    /// target (to the due time where that is past), whichever is less; where fall-backs on other dependencies
    /// follow, they get their share of what is left.
    fn step_end(&self, now: Time, run: &Run, part: &PartSpec, number: usize, place: usize) -> Time {
        let plan = &run.force.plan;
        let due = run.start.deadline.min(self.leave) - RESERVE;
        if !plan.safeguards.time_budget {
            return due;
        }
        let target = run.start.target - RESERVE;
        let last = if target > now { target.min(due) } else { due };
        let own = plan.dependencies[place].time_budget;
        let later = part.fallbacks.iter().skip(number).filter_map(|f| match f {
            Fallback::Secondary(place) if plan.safeguards.fallback => {
                Some(plan.dependencies[*place].time_budget)
            }
            _ => None,
        });
        let all = later.fold(own, |sum, budget| sum + budget);
        let left = last - now;
        now + if all > left {
            own.scaled((left.as_f64() / all.as_f64()).max(0.0))
        } else {
            own
        }
    }

    /// Begins a step on a dependency: a call, or a place in its queue. False where neither can be had.
    fn begin(
        &mut self,
        now: Time,
        id: RequestId,
        place: usize,
        dependency: usize,
        out: &mut Vec<Action>,
    ) -> bool {
        let Some(run) = self.runs.get(&id) else {
            return false;
        };
        let force = run.force.clone();
        let part = &force.plan.aggregations[run.start.aggregation].parts[place];
        let number = run.steps[place].number;
        let until = self.step_end(now, run, part, number, dependency);
        let gate_id = force.gates[dependency];
        let Some(gate) = self.gates.get_mut(&gate_id) else {
            return false;
        };
        if until <= now {
            return false;
        }
        let verdict = gate.verdict(now);
        let last_start = until - gate.needs();
        match verdict {
            Permit::CircuitOpen => {
                gate.counters.circuit_open += 1;
                return false;
            }
            // One that cannot be answered in what would be left is better off with its fall-back.
            Permit::LimitReached
                if gate.waiting.len() >= gate.spec.max_waiting || last_start <= now =>
            {
                gate.counters.limit_reached += 1;
                return false;
            }
            Permit::LimitReached => {
                gate.waiting.push_back((id, place));
                self.timers
                    .insert((last_start, Timer::Wait(id, place, number)));
            }
            Permit::Granted { .. } => {}
        }
        let Some(run) = self.runs.get_mut(&id) else {
            return false;
        };
        let step = &mut run.steps[place];
        (step.gate, step.until, step.tries, step.phase) = (gate_id, until, 0, Phase::Waiting);
        self.timers.insert((until, Timer::Step(id, place, number)));
        if let Permit::Granted { probe } = verdict {
            self.first_call(now, id, place, probe, out);
        }
        true
    }

    fn first_call(
        &mut self,
        now: Time,
        id: RequestId,
        place: usize,
        probe: bool,
        out: &mut Vec<Action>,
    ) {
        let gate = self.runs[&id].steps[place].gate;
        if let Some(gate) = self.gates.get_mut(&gate) {
            gate.retries.first();
            gate.counters.first_attempts += 1;
        }
        let call = self.call(now, id, place, probe, out);
        let run = &self.runs[&id];
        let (until, may_repeat) = (run.steps[place].until, run.start.may_repeat);
        if may_repeat && run.force.plan.safeguards.hedge {
            if let Some(after) = self
                .gates
                .get_mut(&gate)
                .and_then(DependencyGate::hedge_after)
            {
                if now + after < until {
                    self.timers.insert((now + after, Timer::Hedge(call)));
                }
            }
        }
    }

    fn call(
        &mut self,
        now: Time,
        id: RequestId,
        place: usize,
        probe: bool,
        out: &mut Vec<Action>,
    ) -> CallId {
        self.next_call += 1;
        let call = CallId(self.next_call);
        if let Some(run) = self.runs.get_mut(&id) {
            let step = &mut run.steps[place];
            step.phase = Phase::Calling;
            step.tries += 1;
            step.calls.push(call);
            let (within, gate_id) = (step.until - now, step.gate);
            let (body, reuse) = (run.start.body.clone(), run.start.may_repeat);
            let since = now;
            let Some(gate) = self.gates.get_mut(&gate_id) else {
                return call;
            };
            let to = run.force.gates.iter().position(|g| *g == gate_id);
            let to = to.map_or(gate.spec.clone(), |at| {
                run.force.plan.dependencies[at].clone()
            });
            let stamp = Rc::new(to.issue_timestamp());
            if gate.sent(now, probe, &stamp) {
                out.push(gate_changed(gate));
            }
            out.push(Action::Call {
                call,
                run: id,
                to,
                body,
                within,
                reuse,
                stamp: stamp.clone(),
            });
            let call_of = Call {
                run: id,
                part: place,
                gate: gate_id,
                since,
                within,
                probe,
                stamp,
                left: false,
            };
            self.calls.insert(call, call_of);
        }
        call
    }

    /// A second call for one that takes longer than nearly all; where the limit is reached, as soon as there is a
    /// place: what takes long is itself what fills it, and has less time left than what waits.
    fn hedge(&mut self, now: Time, id: CallId, out: &mut Vec<Action>) {
        let Some(gate) = self.calls.get(&id).filter(|c| !c.left).map(|c| c.gate) else {
            return;
        };
        self.gates
            .entry(gate)
            .and_modify(|g| g.hedging.push_back(id));
        self.drain(now, gate, out);
    }

    /// Makes the second call, where the first is still alone, there is time for it, and the retry budget pays.
    fn second(&mut self, now: Time, id: CallId, out: &mut Vec<Action>) {
        let Some(call) = self.calls.get(&id).filter(|c| !c.left) else {
            return;
        };
        let (run, part) = (call.run, call.part);
        let (Some(step), Some(gate)) = (
            self.runs.get(&run).map(|r| &r.steps[part]),
            self.gates.get_mut(&call.gate),
        ) else {
            return;
        };
        let in_time = step.until - now > gate.needs();
        if step.calls == [id] && step.tries < TRIES && in_time && gate.retries.take() {
            gate.counters.hedges += 1;
            self.call(now, run, part, false, out);
        }
    }

    /// A step's time is over: what waits leaves the queue, what is out is listened to a little longer.
    fn out_of_time(
        &mut self,
        now: Time,
        id: RequestId,
        place: usize,
        number: usize,
        out: &mut Vec<Action>,
    ) {
        let Some(run) = self.runs.get(&id) else {
            return;
        };
        let step = &run.steps[place];
        let open = matches!(step.phase, Phase::Waiting | Phase::Calling);
        if !open || step.number != number || step.until > now {
            return;
        }
        let gate = step.gate;
        for call in step.calls.clone() {
            self.late(now, call, out);
        }
        self.leave_queue(gate, id, place);
        self.fall_back(now, id, place, out);
        self.finish(now, id, out);
        self.drain(now, gate, out);
    }

    fn waits_no_longer(
        &mut self,
        now: Time,
        id: RequestId,
        place: usize,
        number: usize,
        out: &mut Vec<Action>,
    ) {
        let Some(step) = self.runs.get(&id).map(|run| &run.steps[place]) else {
            return;
        };
        if step.number == number && matches!(step.phase, Phase::Waiting) {
            let gate = step.gate;
            self.gates
                .entry(gate)
                .and_modify(|g| g.counters.limit_reached += 1);
            self.leave_queue(gate, id, place);
            self.fall_back(now, id, place, out);
            self.finish(now, id, out);
        }
    }

    fn leave_queue(&mut self, gate: GateId, id: RequestId, place: usize) {
        if let Some(gate) = self.gates.get_mut(&gate) {
            gate.waiting.retain(|waits| *waits != (id, place));
        }
    }

    /// A call got no answer in its time.
    fn late(&mut self, now: Time, id: CallId, out: &mut Vec<Action>) {
        let Some((gate, within)) = self.calls.get(&id).map(|c| (c.gate, c.within)) else {
            return;
        };
        let fair = self.gates.get_mut(&gate).is_some_and(|g| {
            g.counters.timeouts += 1;
            g.fair(within)
        });
        let learnt = if fair {
            CallSignal::Overload
        } else {
            CallSignal::Ignored
        };
        self.give_up(now, id, learnt, within.scaled(LISTEN), out);
    }

    /// A call is not needed any more, which says nothing of its dependency: it is listened to for what is left of
    /// its time, since one that ends frees its place at once.
    fn drop_call(&mut self, now: Time, id: CallId, listens: bool, out: &mut Vec<Action>) {
        let Some(left) = self.calls.get(&id).map(|c| c.since + c.within - now) else {
            return;
        };
        let listen = if listens { left.max(Time(0)) } else { Time(0) };
        self.give_up(now, id, CallSignal::Ignored, listen, out);
    }

    /// A call's part waits no longer. Where it is not listened to, its connection is closed: it may go on unseen.
    fn give_up(
        &mut self,
        now: Time,
        id: CallId,
        learnt: CallSignal,
        listen: Time,
        out: &mut Vec<Action>,
    ) {
        let Some(call) = self.calls.get_mut(&id).filter(|c| !c.left) else {
            return;
        };
        call.left = true;
        let (gate, probe) = (call.gate, call.probe);
        self.gates
            .entry(gate)
            .and_modify(|g| g.hedging.retain(|call| *call != id));
        self.learn(now, gate, probe, learnt, out);
        out.push(Action::Abandon { call: id, listen });
        if listen <= Time(0) {
            self.calls
                .remove(&id)
                .into_iter()
                .for_each(|call| call.stamp.finish());
            self.gates.entry(gate).and_modify(|g| g.over(now, true));
            self.frees(now, gate);
        }
    }

    fn frees(&mut self, now: Time, gate: GateId) {
        if let Some(at) = self.gates.get(&gate).and_then(|g| g.frees(now)) {
            self.timers.insert((at, Timer::Frees(gate)));
        }
    }

    /// Takes the part's next fall-backs until one brings something or is begun.
    fn fall_back(&mut self, now: Time, id: RequestId, place: usize, out: &mut Vec<Action>) {
        loop {
            let Some(run) = self.runs.get_mut(&id) else {
                return;
            };
            let force = run.force.clone();
            let part = &force.plan.aggregations[run.start.aggregation].parts[place];
            let step = &mut run.steps[place];
            step.number += 1;
            step.calls.clear();
            let fallback = part
                .fallbacks
                .get(step.number - 1)
                .filter(|_| force.plan.safeguards.fallback);
            match fallback {
                None | Some(Fallback::Omit) => {
                    return self.settle(now, id, place, PartSource::Missing, None, out);
                }
                Some(Fallback::Default(body)) => {
                    return self.settle(
                        now,
                        id,
                        place,
                        PartSource::Default,
                        Some(body.clone()),
                        out,
                    );
                }
                Some(Fallback::Cached(most)) => {
                    let name = force.plan.dependencies[part.dependency].name.clone();
                    let key: Key = (name, run.start.tenant, run.start.body.clone());
                    if let Some((age, body)) = self.kept.find(now, &key, *most) {
                        return self.settle(
                            now,
                            id,
                            place,
                            PartSource::Cached(age),
                            Some(body),
                            out,
                        );
                    }
                }
                Some(Fallback::Secondary(dependency)) => {
                    if self.begin(now, id, place, *dependency, out) {
                        return;
                    }
                }
            }
        }
    }

    fn settle(
        &mut self,
        now: Time,
        id: RequestId,
        place: usize,
        state: PartSource,
        body: Option<Rc<[u8]>>,
        out: &mut Vec<Action>,
    ) {
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        let step = &mut run.steps[place];
        step.phase = Phase::Settled(state, body);
        for call in std::mem::take(&mut step.calls) {
            self.drop_call(now, call, true, out);
        }
    }

    /// Ends a run once all its parts are settled, or one that it cannot do without is missing.
    fn finish(&mut self, now: Time, id: RequestId, out: &mut Vec<Action>) {
        let Some(run) = self.runs.get(&id) else {
            return;
        };
        let page = &run.force.plan.aggregations[run.start.aggregation];
        let needs_all = !run.force.plan.safeguards.fallback;
        let settled = |step: &Step| match &step.phase {
            Phase::Settled(state, body) => Some((state.clone(), body.clone())),
            _ => None,
        };
        let ends: Vec<_> = run.steps.iter().map(settled).collect();
        let lacks = |(part, end): (&PartSpec, &Option<(PartSource, _)>)| {
            (part.required || needs_all)
                && end
                    .as_ref()
                    .is_some_and(|(state, _)| *state == PartSource::Missing)
        };
        if page.parts.iter().zip(&ends).any(lacks) {
            return self.end(now, id, AggregationResult::Failed, out);
        }
        if ends.iter().all(Option::is_some) {
            let parts = page.parts.iter().zip(ends).filter_map(|(part, end)| {
                let (state, body) = end?;
                let own = &run.force.plan.dependencies[part.dependency];
                let json = match &state {
                    PartSource::Secondary(name) => {
                        let other = run.force.plan.dependencies.iter().find(|d| d.name == *name);
                        other.is_some_and(|d| d.json)
                    }
                    _ => own.json,
                };
                Some(PartResult {
                    name: part.name.clone(),
                    source: state,
                    body,
                    json,
                })
            });
            let answer = AggregationResult::Parts(parts.collect());
            self.end(now, id, answer, out);
        }
    }

    fn end(&mut self, now: Time, id: RequestId, answer: AggregationResult, out: &mut Vec<Action>) {
        let Some(run) = self.runs.remove(&id) else {
            return;
        };
        let stopped = answer == AggregationResult::Cancelled;
        out.push(Action::Completed { run: id, answer });
        for (place, step) in run.steps.iter().enumerate() {
            self.leave_queue(step.gate, id, place);
            for call in &step.calls {
                self.drop_call(now, *call, !stopped, out);
            }
        }
        let gates: BTreeSet<_> = run.steps.iter().map(|step| step.gate).collect();
        gates
            .into_iter()
            .for_each(|gate| self.drain(now, gate, out));
    }

    /// Lets what waits for a dependency go, as far as there is room: second calls first, then the oldest.
    fn drain(&mut self, now: Time, id: GateId, out: &mut Vec<Action>) {
        while let Some(gate) = self.gates.get_mut(&id) {
            let verdict = gate.verdict(now);
            if verdict != Permit::LimitReached {
                if let Some(call) = gate.hedging.pop_front() {
                    if verdict == (Permit::Granted { probe: false }) {
                        self.second(now, call, out);
                    }
                    continue;
                }
            }
            let Some((run, place)) = gate.waiting.front().copied() else {
                if !gate.hedging.is_empty() {
                    self.frees(now, id);
                }
                return;
            };
            match verdict {
                Permit::LimitReached => return self.frees(now, id),
                Permit::CircuitOpen => {
                    gate.waiting.pop_front();
                    gate.counters.circuit_open += 1;
                    self.fall_back(now, run, place, out);
                    self.finish(now, run, out);
                }
                Permit::Granted { probe } => {
                    gate.waiting.pop_front();
                    let until = self.runs.get(&run).map(|r| r.steps[place].until);
                    // Its timer has not fired yet, or takes what is left of its time.
                    if until.is_some_and(|until| until > now) {
                        self.first_call(now, run, place, probe, out);
                    } else {
                        self.fall_back(now, run, place, out);
                        self.finish(now, run, out);
                    }
                }
            }
        }
    }

    /// Shares that are lent may have changed: what waits goes, as far as there is room now. With it, what is used of
    /// each dependency at this moment.
    pub fn poll_usage(&mut self, now: Time) -> (Vec<Action>, Vec<DependencyUsage>) {
        let mut out = Vec::new();
        let ids: Vec<GateId> = self
            .gates
            .iter()
            .filter(|(_, g)| g.spec.leased_calls.is_some() || g.spec.leased_rate.is_some())
            .map(|(id, _)| *id)
            .collect();
        for id in &ids {
            self.gates.entry(*id).and_modify(|gate| gate.follow(now));
            self.drain(now, *id, &mut out);
        }
        let mut uses = Vec::new();
        for gate in ids.iter().filter_map(|id| self.gates.get(id)) {
            let dependency = gate.spec.name.clone();
            if gate.spec.leased_rate.is_some() {
                let held = gate.sent_lately(now);
                let need = held + gate.waiting.len();
                uses.push(DependencyUsage {
                    dependency: dependency.clone(),
                    rate: true,
                    in_flight: held,
                    needed: need,
                });
            }
            if gate.spec.leased_calls.is_some() {
                uses.push(DependencyUsage {
                    dependency,
                    rate: false,
                    in_flight: gate.in_flight(now),
                    needed: gate.need(now),
                });
            }
        }
        (out, uses)
    }

    /// The dependencies that a page's parts ask first.
    pub fn dependencies(&self, page: usize) -> impl Iterator<Item = &str> {
        let plan = &self.force.plan;
        let parts = plan
            .aggregations
            .get(page)
            .into_iter()
            .flat_map(|page| &page.parts);
        parts.map(|part| &*plan.dependencies[part.dependency].name)
    }

    pub fn open_runs(&self) -> usize {
        self.runs.len()
    }

    pub fn kept_bytes(&self) -> usize {
        self.kept.bytes()
    }

    /// For the log: each dependency's gate, to take its sums and what changed since they were last taken.
    pub fn gates(&mut self) -> impl Iterator<Item = &mut DependencyGate> {
        self.gates.values_mut()
    }

    /// What must hold after every input, in words where it does not.
    pub fn audit(&self, now: Time) -> Result<(), String> {
        for (id, gate) in &self.gates {
            let of = |c: &&Call| c.gate == *id;
            let in_hand = self.calls.values().filter(of).count();
            if in_hand != gate.in_hand() {
                return Err(format!(
                    "{}: {in_hand} calls, {} counted",
                    gate.spec.name,
                    gate.in_hand()
                ));
            }
            if gate.waiting.len() > gate.most_waiting() {
                return Err(format!("{}: {} wait", gate.spec.name, gate.waiting.len()));
            }
            let out = |call: &CallId| {
                self.calls
                    .get(call)
                    .is_some_and(|c| c.gate == *id && !c.left)
            };
            if !gate.hedging.iter().all(out) {
                return Err(format!(
                    "{}: a second call waits for one that is not out",
                    gate.spec.name
                ));
            }
            for (run, place) in &gate.waiting {
                let step = self.runs.get(run).map(|r| &r.steps[*place]);
                if !step.is_some_and(|s| s.gate == *id && matches!(s.phase, Phase::Waiting)) {
                    return Err(format!("{}: what waits there does not", gate.spec.name));
                }
            }
        }
        for (id, run) in &self.runs {
            let mut open = false;
            for (place, step) in run.steps.iter().enumerate() {
                let calls = step
                    .calls
                    .iter()
                    .all(|c| self.calls.get(c).is_some_and(|c| !c.left));
                let sound = match &step.phase {
                    Phase::Waiting => {
                        let gate = self.gates.get(&step.gate);
                        step.calls.is_empty()
                            && gate.is_some_and(|g| g.waiting.contains(&(*id, place)))
                    }
                    Phase::Calling => calls && !step.calls.is_empty() && step.calls.len() <= 2,
                    Phase::Settled(..) => step.calls.is_empty(),
                };
                if !sound {
                    return Err(format!("run {id:?}, part {place}: {step:?}"));
                }
                let waits = !matches!(step.phase, Phase::Settled(..));
                open |= waits;
                if waits
                    && (step.until <= now
                        || step.until > run.start.deadline.min(self.leave).max(now))
                {
                    return Err(format!(
                        "run {id:?}, part {place}: its step ends {:?}",
                        step.until
                    ));
                }
                if waits
                    && !self
                        .timers
                        .contains(&(step.until, Timer::Step(*id, place, step.number)))
                {
                    return Err(format!("run {id:?}, part {place}: no timer"));
                }
            }
            if !open {
                return Err(format!("run {id:?} has nothing open and has not ended"));
            }
        }
        if self.kept.bytes() != self.kept.counted() {
            return Err(format!(
                "{} bytes kept, {} counted",
                self.kept.counted(),
                self.kept.bytes()
            ));
        }
        Ok(())
    }
}
