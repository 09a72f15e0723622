//! Composes responses: one run per request, with one current step per part.
//!
//! Every call ends exactly once: by [`Aggregator::handle_call_result`], or by an [`Action::Abandon`] whose
//! `late_response_wait` is zero. Every run ends exactly once, by [`Action::Completed`].
//!
//! This module holds the state and installs plans. Runs and their steps are in `run`, calls in `call`, the queues of
//! the gates in `queue`, timers in `timers`, fallbacks in `fallback`, the usage of leased quotas in `usage`, and the
//! invariant checks in `audit`.
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
use state::{Call, GateId, InstalledPlan, Run, Timer};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Composes responses from the responses of a plan's dependencies.
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
/// let response = CallResult::Success((*b"[3]").into());
/// let actions = aggregator.handle_call_result(Time(100), call, response);
/// let [Action::Completed { result: AggregationResult::Parts(parts), .. }] = &actions[..] else {
///     panic!("the run completes with its only part");
/// };
/// assert_eq!(parts[0].body.as_deref(), Some(&b"[3]"[..]));
/// ```
#[derive(Debug)]
pub struct Aggregator {
    installed_plan: Rc<InstalledPlan>,
    gates: BTreeMap<GateId, DependencyGate>,
    next_gate_id: usize,
    runs: BTreeMap<RequestId, Run>,
    calls: BTreeMap<CallId, Call>,
    last_call_id: u64,
    timers: BTreeSet<(Time, Timer)>,
    stale_cache: StaleCache,
    /// When all runs must have ended; [`Time::MAX`] unless draining.
    drain_deadline: Time,
    random: fastrand::Rng,
    /// Actions that the current input has produced so far.
    actions: Vec<Action>,
}

impl Aggregator {
    /// Creates an aggregator without runs. `seed` determines the jitter of the circuit breakers.
    pub fn new(now: Time, plan: Plan, seed: u64, startup: Startup) -> Self {
        let mut aggregator = Aggregator {
            installed_plan: Rc::default(),
            gates: BTreeMap::new(),
            next_gate_id: 0,
            runs: BTreeMap::new(),
            calls: BTreeMap::new(),
            last_call_id: 0,
            timers: BTreeSet::new(),
            stale_cache: StaleCache::default(),
            drain_deadline: Time::MAX,
            random: fastrand::Rng::with_seed(seed),
            actions: Vec::new(),
        };
        aggregator.set_plan(now, plan, startup);
        aggregator
    }

    /// Installs another plan for runs that start from now on; open runs continue under the plan they started with. The
    /// state of a gate (calls in flight, latency, limit, circuit breaker) is carried over by the dependency's name.
    pub fn install(&mut self, now: Time, plan: Plan) -> Vec<Action> {
        self.set_plan(now, plan, Startup::First);
        for gate in &self.installed_plan.clone().gates {
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
        self.installed_plan = Rc::new(InstalledPlan { plan, gates });
        self.remove_unused_gates(now);
    }

    fn install_gate(
        &mut self,
        now: Time,
        spec: &Rc<Dependency>,
        plan: &Plan,
        startup: Startup,
    ) -> GateId {
        let existing = self
            .gates
            .iter_mut()
            .find(|(_, gate)| gate.spec.name == spec.name);
        if let Some((id, gate)) = existing {
            gate.reconfigure(now, spec.clone(), plan.safeguards);
            return *id;
        }
        let id = GateId(self.next_gate_id);
        self.next_gate_id += 1;
        let gate = DependencyGate::new(now, spec.clone(), plan.safeguards, startup);
        self.gates.insert(id, gate);
        self.schedule_release(now, id);
        id
    }

    fn remove_unused_gates(&mut self, now: Time) {
        let is_used = |id: &GateId| {
            self.installed_plan.gates.contains(id)
                || self
                    .runs
                    .values()
                    .any(|run| run.installed_plan.gates.contains(id))
        };
        self.gates.retain(|id, gate| {
            is_used(id) || gate.in_flight(now) > 0 || gate.recently_sent(now) > 0
        });
    }

    /// The primary dependencies of an aggregation's parts, by name.
    pub fn dependencies(&self, aggregation: usize) -> impl Iterator<Item = &str> {
        let plan = &self.installed_plan.plan;
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

    /// Bytes that cached responses take.
    pub fn cached_bytes(&self) -> usize {
        self.stale_cache.bytes()
    }

    /// The gates of all dependencies, mutable so that logging can take their counters and limit changes.
    pub fn gates(&mut self) -> impl Iterator<Item = &mut DependencyGate> {
        self.gates.values_mut()
    }

    fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }
}

fn circuit_change_action(gate: &DependencyGate, state: CircuitState) -> Action {
    Action::CircuitStateChanged {
        dependency: gate.spec.name.clone(),
        state,
        limit: gate.limiter.limit(),
    }
}
