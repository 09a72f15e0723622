//! The executor for aggregations, whose responses the server composes from dependency calls. The decisions are made in
//! `cottondyke_dependency`; this module runs its actions as tasks and converts its results to responses.
use super::{response_body, ExecutionEvent, ExecutionRequest};
use crate::clock::{to_ms, Clock};
use crate::cluster::{ClusterDriver, USAGE_INTERVAL};
use crate::event::Event;
use crate::outbound::dependency_call::{self, DependencyCall};
use crate::outbound::http_client::ConnectionPool;
use crate::protocol::sidecar::RunOutput;
use crate::protocol::WireId;
use async_channel::Sender;
use async_executor::{LocalExecutor, Task};
use cottondyke_admission::RunOutcome;
use cottondyke_dependency::circuit_breaker::CircuitState;
use cottondyke_dependency::gate::{DependencyGate, GateCounters};
use cottondyke_dependency::{
    Action, AggregationRequest, AggregationResult, Aggregator, CallId, CallResult, Plan, Startup,
};
use cottondyke_types::{HandlerId, RequestId, Time};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// The weight of a handler for which the operator's file sets none.
const DEFAULT_WEIGHT: f64 = 1.0;

/// The aggregations from the operator's file, by handler.
pub struct AggregationPlan {
    /// The aggregations and the dependencies that they call.
    pub plan: Plan,
    /// The index in the plan of each handler's aggregation, indexed by `HandlerId`.
    pub by_handler: Vec<Option<usize>>,
}

/// Configuration of an [`AggregationExecutor`].
pub struct AggregationExecutorConfig {
    /// The initial plan.
    pub plan: AggregationPlan,
    /// The weight of each handler's requests in the demand for leased quotas, indexed by `HandlerId`: their value in
    /// the operator file.
    pub weights: Vec<f64>,
    /// Seed of the random numbers for hedges and retries.
    pub seed: u64,
}

/// Runs requests by calling dependencies.
pub struct AggregationExecutor {
    aggregator: Aggregator,
    by_handler: Vec<Option<usize>>,
    wire_ids: BTreeMap<RequestId, WireId>,
    /// Calls in flight; dropping a task closes its connection.
    calls: BTreeMap<CallId, Task<()>>,
    /// Calls that no run waits for any longer, each with the time until which its response is still read.
    abandoned: BTreeSet<(Time, CallId)>,
    pool: Rc<ConnectionPool>,
    clock: Clock,
    /// Leases the quotas of dependencies, if the instance is part of a cluster.
    cluster: Option<Rc<ClusterDriver>>,
    /// The weight of each handler's requests in the demand for leased quotas.
    weights: Vec<f64>,
    /// When the usage of the quotas is reported next.
    next_usage_report: Time,
    tasks: Rc<LocalExecutor<'static>>,
    events: Sender<Event>,
}

impl AggregationExecutor {
    /// Creates an executor for the aggregations in the operator's file.
    pub fn new(
        clock: Clock,
        config: AggregationExecutorConfig,
        cluster: Option<Rc<ClusterDriver>>,
        tasks: Rc<LocalExecutor<'static>>,
        events: Sender<Event>,
    ) -> Self {
        let now = clock.now();
        let AggregationPlan {
            mut plan,
            by_handler,
        } = config.plan;
        if let Some(cluster) = &cluster {
            cluster.attach_quotas(&mut plan);
        }
        AggregationExecutor {
            aggregator: Aggregator::new(now, plan, config.seed, Startup::Restarted),
            by_handler,
            wire_ids: BTreeMap::new(),
            calls: BTreeMap::new(),
            abandoned: BTreeSet::new(),
            pool: Rc::default(),
            clock,
            cluster,
            weights: config.weights,
            next_usage_report: now,
            tasks,
            events,
        }
    }

    /// Installs a new plan. It applies to runs that start from now on.
    pub fn install(&mut self, now: Time, plan: AggregationPlan) -> Vec<ExecutionEvent> {
        let AggregationPlan {
            mut plan,
            by_handler,
        } = plan;
        if let Some(cluster) = &self.cluster {
            cluster.attach_quotas(&mut plan);
        }
        self.by_handler = by_handler;
        let actions = self.aggregator.install(now, plan);
        self.perform_all(now, actions)
    }

    /// Whether the handler's requests are answered by an aggregation.
    pub fn handles(&self, handler: HandlerId) -> bool {
        self.aggregation_of(handler).is_some()
    }

    fn aggregation_of(&self, HandlerId(handler): HandlerId) -> Option<usize> {
        self.by_handler.get(handler).copied().flatten()
    }

    /// Starts a run.
    pub fn start(
        &mut self,
        now: Time,
        id: RequestId,
        request: &ExecutionRequest,
        may_repeat: bool,
    ) -> Vec<ExecutionEvent> {
        let HandlerId(handler) = request.handler;
        let Some(aggregation) = self.aggregation_of(request.handler) else {
            let output = RunOutput::default();
            return vec![ExecutionEvent::Ended(id, RunOutcome::Failed, output)];
        };
        self.wire_ids.insert(id, request.wire_id);
        if let Some(cluster) = &self.cluster {
            let weight = self.weights.get(handler).copied();
            let weight = weight.unwrap_or(DEFAULT_WEIGHT);
            for dependency in self.aggregator.dependencies(aggregation) {
                cluster.record_start(dependency, weight);
            }
        }
        let start = AggregationRequest {
            request: id,
            aggregation,
            body: request.body.clone(),
            tenant: request.tenant,
            target: request.target,
            deadline: request.deadline,
            may_repeat,
        };
        let actions = self.aggregator.start(now, start);
        self.perform_all(now, actions)
    }

    /// Cancels a run.
    pub fn cancel(&mut self, now: Time, id: RequestId) -> Vec<ExecutionEvent> {
        let actions = self.aggregator.cancel(now, id);
        self.perform_all(now, actions)
    }

    /// Cancels all runs without emitting events.
    pub fn forget_all(&mut self, now: Time) {
        for id in self.wire_ids.keys().copied().collect::<Vec<_>>() {
            let _ = self.cancel(now, id);
        }
    }

    /// The server is draining: all aggregations must end by `until`, with the parts that are available then.
    pub fn start_draining(&mut self, now: Time, until: Time) {
        self.aggregator.start_draining(until);
        if let Some(cluster) = &self.cluster {
            cluster.start_draining(now);
        }
    }

    /// When [`AggregationExecutor::handle_timer`] has to be called next.
    pub fn next_timer(&self) -> Option<Time> {
        let abandoned = self.abandoned.first().map(|(until, _)| *until);
        let usage_report = self.cluster.as_ref().map(|_| self.next_usage_report);
        [self.aggregator.next_timer(), abandoned, usage_report]
            .into_iter()
            .flatten()
            .min()
    }

    /// Handles the timers that are due.
    pub fn handle_timer(&mut self, now: Time) -> Vec<ExecutionEvent> {
        let actions = self.aggregator.handle_timer(now);
        let mut events = self.perform_all(now, actions);
        if self.next_usage_report <= now {
            events.extend(self.report_usage(now));
        }
        while let Some((until, call)) = self.abandoned.first().copied() {
            if until > now {
                break;
            }
            self.abandoned.pop_first();
            events.extend(self.handle_call_ended(now, call, CallResult::TimedOut));
        }
        events
    }

    /// Reports the usage of the leased quotas to the cluster.
    fn report_usage(&mut self, now: Time) -> Vec<ExecutionEvent> {
        let Some(cluster) = self.cluster.clone() else {
            return Vec::new();
        };
        self.next_usage_report = now + USAGE_INTERVAL;
        let (actions, usages) = self.aggregator.apply_leases(now);
        let events = self.perform_all(now, actions);
        cluster.record_usage(now, &usages);
        events
    }

    /// Handles the end of a call. A result that the call's task sent before it was dropped is ignored.
    pub fn handle_call_ended(
        &mut self,
        now: Time,
        call: CallId,
        result: CallResult,
    ) -> Vec<ExecutionEvent> {
        if self.calls.remove(&call).is_none() {
            return Vec::new();
        }
        let actions = self.aggregator.handle_call_result(now, call, result);
        self.perform_all(now, actions)
    }

    /// Called once a second: logs one line for each dependency that was called, and closes expired idle connections.
    pub fn maintain(&mut self, now: Time) {
        self.pool.close_expired();
        for gate in self.aggregator.gates() {
            log_gate(gate, now);
        }
    }

    fn perform_all(&mut self, now: Time, actions: Vec<Action>) -> Vec<ExecutionEvent> {
        actions
            .into_iter()
            .filter_map(|action| self.perform(now, action))
            .collect()
    }

    fn perform(&mut self, now: Time, action: Action) -> Option<ExecutionEvent> {
        match action {
            Action::Call {
                call,
                request,
                dependency,
                body,
                timeout,
                may_reuse_connection,
                timestamp,
            } => {
                let wire_id = self.wire_ids.get(&request).copied()?;
                let outgoing = DependencyCall {
                    dependency,
                    request: wire_id,
                    body,
                    remaining: timeout,
                    may_reuse: may_reuse_connection,
                    timestamp,
                };
                self.start_call(call, outgoing);
                None
            }
            Action::Abandon {
                call,
                late_response_wait,
            } => {
                self.abandon_call(now, call, late_response_wait);
                None
            }
            Action::Completed { request, result } => {
                self.wire_ids.remove(&request);
                Some(run_ended_event(request, result))
            }
            Action::CircuitStateChanged {
                dependency,
                state,
                limit,
            } => {
                log_circuit_change(now, &dependency, state, limit);
                None
            }
        }
    }

    fn start_call(&mut self, id: CallId, call: DependencyCall) {
        let (pool, clock, events) = (self.pool.clone(), self.clock, self.events.clone());
        let task = self.tasks.spawn(async move {
            let result = dependency_call::call(pool, clock, call).await;
            let event = Event::DependencyCallEnded(id, result);
            let _ = events.send(event).await;
        });
        self.calls.insert(id, task);
    }

    /// No run waits for the call any longer. Its response is still read for `read_for`, so that its result is known.
    fn abandon_call(&mut self, now: Time, call: CallId, read_for: Time) {
        if read_for > Time(0) {
            self.abandoned.insert((now + read_for, call));
        } else {
            self.calls.remove(&call);
        }
    }
}

fn run_ended_event(id: RequestId, result: AggregationResult) -> ExecutionEvent {
    let (outcome, output) = match result {
        AggregationResult::Parts(parts) => (RunOutcome::Completed, response_body::encode(&parts)),
        AggregationResult::Failed => (RunOutcome::Failed, RunOutput::default()),
        AggregationResult::Cancelled => (RunOutcome::Cancelled, RunOutput::default()),
    };
    ExecutionEvent::Ended(id, outcome, output)
}

fn log_gate(gate: &mut DependencyGate, now: Time) {
    let dependency = gate.spec.name.clone();
    let in_flight = gate.in_flight(now);
    let is_open = gate.circuit_state() != CircuitState::Closed;
    if let Some((old_limit, limit)) = gate.take_limit_change() {
        let max_calls = gate.spec.max_calls;
        tracing::info!(%dependency, old_limit, limit, max_calls, "dependency limit changed");
    }
    let counters = std::mem::take(&mut gate.counters);
    if counters == GateCounters::default() {
        return;
    }
    let GateCounters {
        first_attempts,
        hedges,
        retries,
        successes,
        failures,
        timeouts,
        limit_reached,
        circuit_open,
    } = counters;
    tracing::info!(
        %dependency,
        first_attempts,
        hedges,
        retries,
        successes,
        failures,
        timeouts,
        limit_reached,
        circuit_open,
        limit = gate.limiter.limit(),
        in_flight,
        is_open,
        "dependency calls in the last second"
    );
}

fn log_circuit_change(now: Time, dependency: &str, state: CircuitState, limit: usize) {
    match state {
        CircuitState::Open { until } => {
            let open_ms = to_ms(until - now);
            tracing::warn!(%dependency, open_ms, limit, "circuit breaker opened");
        }
        CircuitState::HalfOpen { .. } => {
            tracing::info!(%dependency, "circuit breaker half-open; sending probes")
        }
        CircuitState::Closed => tracing::info!(%dependency, limit, "circuit breaker closed"),
    }
}
