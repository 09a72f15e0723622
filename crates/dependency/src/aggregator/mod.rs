//! Composes answers: one run for each request, with a current step for each of its parts.
//!
//! Every call ends once, by [`Aggregator::handle_call_result`] or by an [`Action::Abandon`] that does not listen; every
//! run ends once, by [`Action::Completed`].
//!
//! This module holds the state and installs plans. Runs and their steps are in `run`, calls in `call`, the queues of the
//! gates in `queue`, timers in `timers`, fallbacks in `fallback`, the usage of leased quotas in `usage`, and the check of
//! the invariants in `audit`.
mod audit;
mod call;
mod fallback;
mod queue;
mod run;
mod state;
mod timers;
mod usage;

use crate::circuit_breaker::CircuitState;
use crate::gate::DependencyGate;
use crate::messages::{Action, CallId, Startup};
use crate::plan::{Dependency, Plan};
use crate::stale_cache::StaleCache;
use cottondyke_types::{RequestId, Time};
use state::{Call, GateId, PlanInForce, Run, Timer};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Composes answers from the dependencies of a plan.
///
/// ```
/// use cottondyke_dependency::{
///     Action, Aggregation, AggregationRequest, AggregationResult, Aggregator, CallResult,
///     Dependency, PartSpec, Plan, Startup,
/// };
/// use cottondyke_types::{RequestId, Time};
/// use std::rc::Rc;
///
/// let stock = Dependency {
///     name: "stock".into(),
///     addr: ([127, 0, 0, 1], 8080).into(),
///     path: "/stock".into(),
///     json: true,
///     time_budget: Time(2_000),
///     max_calls: 8,
///     leased_calls: None,
///     max_rate: None,
///     leased_rate: None,
///     min_limit: 1,
///     post_cancel_grace: Time(10_000),
///     max_waiting: 8,
///     retry_ratio: 0.1,
///     hedge_quantile: Some(0.95),
/// };
/// let part = PartSpec {
///     name: "availability".into(),
///     dependency: 0,
///     required: true,
///     fallbacks: vec![],
/// };
/// let plan = Plan {
///     dependencies: vec![Rc::new(stock)],
///     aggregations: vec![Aggregation { parts: vec![part] }],
///     ..Plan::default()
/// };
/// let mut aggregator = Aggregator::new(Time(0), plan, 1, Startup::First);
///
/// let request = AggregationRequest {
///     request: RequestId(1),
///     aggregation: 0,
///     body: (*b"{}").into(),
///     tenant: None,
///     target: Time(5_000),
///     deadline: Time(10_000),
///     may_repeat: true,
/// };
/// let actions = aggregator.start(Time(0), request);
/// let [Action::Call { call, .. }] = actions[..] else {
///     panic!("one part makes one call");
/// };
///
/// let reply = CallResult::Success((*b"[3]").into());
/// let actions = aggregator.handle_call_result(Time(100), call, reply);
/// let [Action::Completed { answer: AggregationResult::Parts(parts), .. }] = &actions[..] else {
///     panic!("the only part is there");
/// };
/// assert_eq!(parts[0].body.as_deref(), Some(&b"[3]"[..]));
/// ```
#[derive(Debug)]
pub struct Aggregator {
    in_force: Rc<PlanInForce>,
    gates: BTreeMap<GateId, DependencyGate>,
    next_gate: usize,
    runs: BTreeMap<RequestId, Run>,
    calls: BTreeMap<CallId, Call>,
    last_call: u64,
    timers: BTreeSet<(Time, Timer)>,
    stale_cache: StaleCache,
    /// While draining: when all runs must have ended.
    drain_deadline: Time,
    random: fastrand::Rng,
    /// Actions of the input being handled.
    actions: Vec<Action>,
}

impl Aggregator {
    /// An aggregator without runs. `seed` determines the jitter of the circuit breakers.
    pub fn new(now: Time, plan: Plan, seed: u64, startup: Startup) -> Self {
        let mut aggregator = Aggregator {
            in_force: Rc::default(),
            gates: BTreeMap::new(),
            next_gate: 0,
            runs: BTreeMap::new(),
            calls: BTreeMap::new(),
            last_call: 0,
            timers: BTreeSet::new(),
            stale_cache: StaleCache::default(),
            drain_deadline: Time::MAX,
            random: fastrand::Rng::with_seed(seed),
            actions: Vec::new(),
        };
        aggregator.set_plan(now, plan, startup);
        aggregator
    }

    /// Puts another plan in force for what starts from now on; runs end under the plan they began with. What was learned
    /// of a dependency, and what is in flight there, is carried over by the dependency's name.
    pub fn install(&mut self, now: Time, plan: Plan) -> Vec<Action> {
        self.set_plan(now, plan, Startup::First);
        for gate in &self.in_force.clone().gates {
            self.dispatch_waiting(now, *gate);
        }
        self.take_actions()
    }

    fn set_plan(&mut self, now: Time, plan: Plan, startup: Startup) {
        let gates = plan
            .dependencies
            .iter()
            .map(|spec| self.install_gate(now, spec, &plan, startup))
            .collect();
        let cache_bytes = if plan.safeguards.stale_cache {
            plan.stale_cache_bytes
        } else {
            0
        };
        self.stale_cache.set_capacity(cache_bytes);
        self.in_force = Rc::new(PlanInForce { plan, gates });
        self.remove_unused_gates(now);
    }

    fn install_gate(
        &mut self,
        now: Time,
        spec: &Rc<Dependency>,
        plan: &Plan,
        startup: Startup,
    ) -> GateId {
        let known = self
            .gates
            .iter_mut()
            .find(|(_, gate)| gate.spec.name == spec.name);
        if let Some((id, gate)) = known {
            gate.reconfigure(now, spec.clone(), plan.safeguards);
            return *id;
        }
        let id = GateId(self.next_gate);
        self.next_gate += 1;
        let gate = DependencyGate::new(now, spec.clone(), plan.safeguards, startup);
        self.gates.insert(id, gate);
        self.schedule_release(now, id);
        id
    }

    fn remove_unused_gates(&mut self, now: Time) {
        let is_used = |id: &GateId| {
            self.in_force.gates.contains(id)
                || self
                    .runs
                    .values()
                    .any(|run| run.in_force.gates.contains(id))
        };
        self.gates.retain(|id, gate| {
            is_used(id) || gate.in_flight(now) > 0 || gate.recently_sent(now) > 0
        });
    }

    /// The dependencies that the parts of an aggregation call first.
    pub fn dependencies(&self, aggregation: usize) -> impl Iterator<Item = &str> {
        let plan = &self.in_force.plan;
        plan.aggregations
            .get(aggregation)
            .into_iter()
            .flat_map(|aggregation| &aggregation.parts)
            .map(|part| &*plan.dependencies[part.dependency].name)
    }

    /// Runs that have not ended.
    pub fn open_runs(&self) -> usize {
        self.runs.len()
    }

    /// Bytes that cached answers take.
    pub fn cached_bytes(&self) -> usize {
        self.stale_cache.bytes()
    }

    /// The gates of all dependencies, for the log to take their counters and changes.
    pub fn gates(&mut self) -> impl Iterator<Item = &mut DependencyGate> {
        self.gates.values_mut()
    }

    fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }
}

fn gate_changed(gate: &DependencyGate, state: CircuitState) -> Action {
    Action::GateChanged {
        dependency: gate.spec.name.clone(),
        state,
        limit: gate.limit.calls(),
    }
}
