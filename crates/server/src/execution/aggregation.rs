//! Pages composed by the program. What is decided of them is in `cottondyke_dependency`; here its actions become
//! tasks, and answers become bytes.
use super::{ExecutionEvent, ExecutionRequest};
use crate::clock::Clock;
use crate::cluster::{self, ClusterDriver};
use crate::event::Event;
use crate::outbound::dependency_call::fetch;
use crate::outbound::http_client::ConnectionPool;
use crate::protocol::sidecar::RunOutput;
use crate::protocol::WireId;
use async_channel::Sender;
use async_executor::{LocalExecutor, Task};
use cottondyke_admission::RunOutcome;
use cottondyke_dependency::circuit_breaker::CircuitState;
use cottondyke_dependency::gate::GateCounters;
use cottondyke_dependency::{
    Action, AggregationRequest, AggregationResult, Aggregator, CallId, CallResult, PartResult,
    PartSource, Plan, Startup,
};
use cottondyke_types::{RequestId, Time};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

pub struct AggregationExecutor {
    pages: Aggregator,
    /// The page of each handler that has one.
    by_handler: Vec<Option<usize>>,
    wires: BTreeMap<RequestId, WireId>,
    calls: BTreeMap<CallId, Task<()>>,
    /// Calls that nobody waits for, listened to until then.
    listening: BTreeSet<(Time, CallId)>,
    pool: Rc<ConnectionPool>,
    clock: Clock,
    /// Where shares of dependencies are lent.
    fleet: Option<Rc<ClusterDriver>>,
    /// The value of each handler's reqs.
    values: Vec<f64>,
    /// When use is to be looked at next.
    look: Time,
    executor: Rc<LocalExecutor<'static>>,
    inputs: Sender<Event>,
}

impl AggregationExecutor {
    /// `by_handler`: the place in the plan of each handler's page.
    pub fn new(
        clock: Clock,
        (mut plan, by_handler): (Plan, Vec<Option<usize>>),
        (seed, values): (u64, Vec<f64>),
        fleet: Option<Rc<ClusterDriver>>,
        executor: Rc<LocalExecutor<'static>>,
        inputs: Sender<Event>,
    ) -> Self {
        let now = clock.now();
        if let Some(fleet) = &fleet {
            fleet.lend(&mut plan);
        }
        AggregationExecutor {
            clock,
            fleet,
            values,
            look: now,
            pages: Aggregator::new(now, plan, seed, Startup::Restarted),
            by_handler,
            wires: BTreeMap::new(),
            calls: BTreeMap::new(),
            listening: BTreeSet::new(),
            pool: Rc::default(),
            executor,
            inputs,
        }
    }

    /// Another file is in force for what starts from now on.
    pub fn install(
        &mut self,
        now: Time,
        mut plan: Plan,
        by_handler: Vec<Option<usize>>,
    ) -> Vec<ExecutionEvent> {
        if let Some(fleet) = &self.fleet {
            fleet.lend(&mut plan);
        }
        self.by_handler = by_handler;
        let actions = self.pages.install(now, plan);
        self.carry(now, actions)
    }

    pub fn has(&self, handler: usize) -> bool {
        self.by_handler.get(handler).is_some_and(Option::is_some)
    }

    pub fn start(
        &mut self,
        now: Time,
        id: RequestId,
        job: &ExecutionRequest,
        may_repeat: bool,
    ) -> Vec<ExecutionEvent> {
        let Some(page) = self.by_handler.get(job.handler.0).copied().flatten() else {
            return vec![ExecutionEvent::Ended(
                id,
                RunOutcome::Failed,
                RunOutput::default(),
            )];
        };
        self.wires.insert(id, job.wire);
        if let Some(fleet) = &self.fleet {
            let value = self.values.get(job.handler.0).copied().unwrap_or(1.0);
            self.pages
                .dependencies(page)
                .for_each(|name| fleet.starts(name, value));
        }
        let start = AggregationRequest {
            request: id,
            aggregation: page,
            body: job.body.clone(),
            tenant: job.customer,
            target: job.target,
            deadline: job.due,
            may_repeat,
        };
        let actions = self.pages.start(now, start);
        self.carry(now, actions)
    }

    pub fn stop(&mut self, now: Time, id: RequestId) -> Vec<ExecutionEvent> {
        let actions = self.pages.cancel(now, id);
        self.carry(now, actions)
    }

    /// All runs end, and nobody is told.
    pub fn forget_all(&mut self, now: Time) {
        for id in self.wires.keys().copied().collect::<Vec<_>>() {
            let _ = self.stop(now, id);
        }
    }

    pub fn leaving(&mut self, now: Time, until: Time) {
        self.pages.start_draining(until);
        if let Some(fleet) = &self.fleet {
            fleet.leave(now);
        }
    }

    pub fn next(&self) -> Option<Time> {
        let listening = self.listening.first().map(|(at, _)| *at);
        let look = self.fleet.as_ref().map(|_| self.look);
        [self.pages.next_timer(), listening, look]
            .into_iter()
            .flatten()
            .min()
    }

    pub fn timer(&mut self, now: Time) -> Vec<ExecutionEvent> {
        let actions = self.pages.handle_timer(now);
        let mut events = self.carry(now, actions);
        if let Some(fleet) = self.fleet.clone().filter(|_| self.look <= now) {
            self.look = now + cluster::LOOK;
            let (actions, uses) = self.pages.poll_usage(now);
            events.extend(self.carry(now, actions));
            fleet.used(now, &uses);
        }
        while let Some((_, call)) = self.listening.first().copied().filter(|(at, _)| *at <= now) {
            self.listening.pop_first();
            // Dropping the task closes the connection.
            if self.calls.remove(&call).is_some() {
                let actions = self
                    .pages
                    .handle_call_result(now, call, CallResult::TimedOut);
                events.extend(self.carry(now, actions));
            }
        }
        events
    }

    pub fn fetched(&mut self, now: Time, call: CallId, outcome: CallResult) -> Vec<ExecutionEvent> {
        // One whose task was dropped may have sent its end before.
        if self.calls.remove(&call).is_none() {
            return Vec::new();
        }
        let actions = self.pages.handle_call_result(now, call, outcome);
        self.carry(now, actions)
    }

    /// One line a second for each dependency that was asked; idle connections that are too old go.
    pub fn chores(&mut self, now: Time) {
        self.pool.trim();
        for gate in self.pages.gates() {
            let (dependency, held, open) = (
                gate.spec.name.clone(),
                gate.in_flight(now),
                gate.circuit_state() != CircuitState::Closed,
            );
            if let Some((before, limit)) = gate.take_limit_change() {
                tracing::info!(%dependency, before, limit, share = gate.spec.max_calls, "its limit changed");
            }
            let sums = std::mem::take(&mut gate.counters);
            if sums != GateCounters::default() {
                let GateCounters {
                    first_attempts: first,
                    hedges,
                    retries: repeats,
                    successes: well,
                    failures: ill,
                    timeouts: late,
                    limit_reached: full,
                    circuit_open: shut,
                } = sums;
                let limit = gate.limit.calls();
                tracing::info!(
                    %dependency, first, hedges, repeats, well, ill, late, full, shut, limit, held, open,
                    "calls in the last second"
                );
            }
        }
    }

    fn carry(&mut self, now: Time, actions: Vec<Action>) -> Vec<ExecutionEvent> {
        let mut events = Vec::new();
        for action in actions {
            match action {
                Action::Call {
                    call,
                    run,
                    to,
                    body,
                    within,
                    reuse,
                    stamp,
                } => {
                    let Some(wire) = self.wires.get(&run).copied() else {
                        continue;
                    };
                    let (pool, clock, inputs) =
                        (self.pool.clone(), self.clock, self.inputs.clone());
                    let task = self.executor.spawn(async move {
                        let outcome =
                            fetch(pool, (clock, stamp), to, wire, body, within, reuse).await;
                        let _ = inputs.send(Event::DependencyCallEnded(call, outcome)).await;
                    });
                    self.calls.insert(call, task);
                }
                Action::Abandon { call, listen } if listen > Time(0) => {
                    self.listening.insert((now + listen, call));
                }
                Action::Abandon { call, .. } => drop(self.calls.remove(&call)),
                Action::Completed { run, answer } => {
                    self.wires.remove(&run);
                    let (end, output) = match answer {
                        AggregationResult::Parts(parts) => {
                            (RunOutcome::Completed, composed(&parts))
                        }
                        AggregationResult::Failed => (RunOutcome::Failed, RunOutput::default()),
                        AggregationResult::Cancelled => {
                            (RunOutcome::Cancelled, RunOutput::default())
                        }
                    };
                    events.push(ExecutionEvent::Ended(run, end, output));
                }
                Action::GateChanged {
                    dependency,
                    state,
                    limit,
                } => match state {
                    CircuitState::Open { until } => {
                        let rest_ms = crate::clock::ms(until - now);
                        tracing::warn!(%dependency, rest_ms, limit, "its breaker opened");
                    }
                    CircuitState::HalfOpen { .. } => {
                        tracing::info!(%dependency, "its breaker lets probes through")
                    }
                    CircuitState::Closed => {
                        tracing::info!(%dependency, limit, "its breaker closed")
                    }
                },
            }
        }
        events
    }
}

/// The answer's body: each part with its state, and the names of those that are not whole.
fn composed(parts: &[PartResult]) -> RunOutput {
    let partial: Vec<&str> = parts
        .iter()
        .filter(|p| p.source != PartSource::Primary)
        .map(|p| &*p.name)
        .collect();
    let mut body = Vec::with_capacity(
        64 + parts
            .iter()
            .map(|p| p.body.as_ref().map_or(64, |b| b.len() + 64))
            .sum::<usize>(),
    );
    let quoted = |text: &str| serde_json::Value::from(text).to_string();
    body.extend(
        format!(
            "{{\"partial\":{},\"parts\":{{",
            serde_json::Value::from(partial.clone())
        )
        .bytes(),
    );
    for (place, part) in parts.iter().enumerate() {
        body.extend(if place > 0 { &b","[..] } else { b"" });
        let state = match &part.source {
            PartSource::Primary => "\"whole\"".to_string(),
            PartSource::Cached(age) => format!("\"kept\",\"age_ms\":{}", age.0 / 10),
            PartSource::Secondary(name) => format!("\"other\",\"from\":{}", quoted(name)),
            PartSource::Default => "\"fixed\"".to_string(),
            PartSource::Missing => "\"missing\"".to_string(),
        };
        body.extend(format!("{}:{{\"state\":{state}", quoted(&part.name)).bytes());
        if let Some(bytes) = &part.body {
            body.extend(b",\"body\":");
            if part.json {
                body.extend_from_slice(bytes);
            } else {
                body.extend(quoted(&String::from_utf8_lossy(bytes)).bytes());
            }
        }
        body.push(b'}');
    }
    body.extend(b"}}");
    let partial = (!partial.is_empty()).then(|| partial.join(",").into());
    RunOutput { body, partial }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards clients: the body is JSON whatever the parts hold, and says what each part is.
    #[test]
    fn an_answer_tells_the_state_of_each_part() {
        let part = |name: &str, state, body: Option<&str>, json| PartResult {
            name: name.into(),
            source: state,
            body: body.map(|b| b.as_bytes().into()),
            json,
        };
        let whole = [
            part("a", PartSource::Primary, Some("{\"x\":1}"), true),
            part("b", PartSource::Primary, Some("a\"b\n"), false),
        ];
        let output = composed(&whole);
        assert_eq!(output.partial, None);
        let read: serde_json::Value = serde_json::from_slice(&output.body).unwrap();
        assert_eq!(
            (
                &read["parts"]["a"]["body"]["x"],
                &read["parts"]["b"]["body"]
            ),
            (&1.into(), &"a\"b\n".into())
        );
        let parts = [
            part("a", PartSource::Cached(Time(1_230)), Some("[]"), true),
            part(
                "b",
                PartSource::Secondary("backup".into()),
                Some("x"),
                false,
            ),
            part("c", PartSource::Default, Some("null"), true),
            part("d", PartSource::Missing, None, false),
            part("e", PartSource::Primary, Some(""), false),
        ];
        let output = composed(&parts);
        assert_eq!(output.partial.as_deref(), Some("a,b,c,d"));
        let read: serde_json::Value = serde_json::from_slice(&output.body).unwrap();
        assert_eq!(read["partial"], serde_json::json!(["a", "b", "c", "d"]));
        assert_eq!(
            read["parts"]["a"],
            serde_json::json!({ "state": "kept", "age_ms": 123, "body": [] })
        );
        assert_eq!(
            read["parts"]["b"],
            serde_json::json!({ "state": "other", "from": "backup", "body": "x" })
        );
        assert_eq!(
            read["parts"]["d"],
            serde_json::json!({ "state": "missing" })
        );
    }
}
