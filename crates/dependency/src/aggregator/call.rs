//! Calls: issuing and abandoning them, handling their results, and reporting their ends to the gates.
use super::state::{Call, GateId, Phase, Timer};
use super::{circuit_change_action, Aggregator};
use crate::circuit_breaker::{CallKind, UniformDraw};
use crate::gate::{CallObservation, CallSignal, DependencyGate};
use crate::latency::LatencySample;
use crate::messages::{Action, CallId, CallResult, PartId, PartSource};
use crate::stale_cache::CacheKey;
use cottondyke_types::Time;
use std::rc::Rc;

/// Maximum number of calls of one step, including the first.
pub(super) const MAX_ATTEMPTS: u32 = 3;
/// The time that a retry is assumed to need before any latency has been observed.
const INITIAL_EXPECTED_LATENCY: Time = Time(1);
const ZERO_DURATION: Time = Time(0);

fn signal_of(result: &CallResult) -> CallSignal {
    match result {
        CallResult::Success(_) => CallSignal::Success,
        CallResult::Failure | CallResult::Interrupted => CallSignal::Failure,
        CallResult::Rejected | CallResult::TimedOut => CallSignal::Overload,
        CallResult::InvalidRequest | CallResult::StaleConnection | CallResult::LeaseExpired => {
            CallSignal::Ignored
        }
    }
}

impl Aggregator {
    /// Issues the first call of a step and, if it may be hedged, sets the timer for that.
    pub(super) fn issue_first_call(&mut self, now: Time, part: PartId, kind: CallKind) {
        let gate = self.runs[&part.request].steps[part.index].gate;
        if let Some(gate) = self.gates.get_mut(&gate) {
            gate.retry_budget.deposit();
            gate.counters.first_attempts += 1;
        }
        let call = self.issue_call(now, part, kind);
        let run = &self.runs[&part.request];
        if !run.request.may_repeat || !run.installed_plan.plan.safeguards.hedge {
            return;
        }
        let deadline = run.steps[part.index].deadline;
        let hedge_delay = self
            .gates
            .get_mut(&gate)
            .and_then(DependencyGate::hedge_delay);
        if let Some(delay) = hedge_delay {
            if now + delay < deadline {
                self.timers.insert((now + delay, Timer::Hedge(call)));
            }
        }
    }

    /// Issues a call for the part's current step.
    pub(super) fn issue_call(&mut self, now: Time, part: PartId, kind: CallKind) -> CallId {
        self.last_call_id += 1;
        let id = CallId(self.last_call_id);
        let Some(run) = self.runs.get_mut(&part.request) else {
            return id;
        };
        let step = &mut run.steps[part.index];
        step.phase = Phase::Calling;
        step.attempts += 1;
        step.calls.push(id);
        let gate_id = step.gate;
        let timeout = step.deadline - now;
        let Some(gate) = self.gates.get_mut(&gate_id) else {
            return id;
        };
        let dependency = match run.installed_plan.dependency_index(gate_id) {
            Some(index) => run.installed_plan.plan.dependencies[index].clone(),
            None => gate.spec.clone(),
        };
        let timestamp = Rc::new(dependency.issue_timestamp());
        if let Some(state) = gate.record_issue(now, kind, &timestamp) {
            self.actions.push(circuit_change_action(gate, state));
        }
        self.actions.push(Action::Call {
            call: id,
            request: part.request,
            dependency,
            body: run.request.body.clone(),
            timeout,
            may_reuse_connection: run.request.may_repeat,
            timestamp: timestamp.clone(),
        });
        let call = Call {
            part,
            gate: gate_id,
            issued_at: now,
            timeout,
            kind,
            timestamp,
            is_abandoned: false,
        };
        self.calls.insert(id, call);
        id
    }

    /// Handles the end of a call, or of the driver's wait for its response ([`CallResult::TimedOut`]).
    pub fn handle_call_result(&mut self, now: Time, id: CallId, result: CallResult) -> Vec<Action> {
        let Some(call) = self.calls.remove(&id) else {
            return Vec::new();
        };
        call.timestamp.finish();
        // Calls in flight must never exceed the maximum, and a broken connection does not prove that the call sent on
        // it has ended.
        let may_still_run = matches!(
            result,
            CallResult::TimedOut | CallResult::Interrupted | CallResult::StaleConnection
        );
        if let Some(gate) = self.gates.get_mut(&call.gate) {
            gate.hedge_queue.retain(|other| *other != id);
            if may_still_run {
                gate.stop_awaiting_call(now);
            } else {
                gate.finish_call(now);
            }
            if matches!(result, CallResult::Success(_)) {
                let sample = LatencySample {
                    latency: now - call.issued_at,
                    in_time: !call.is_abandoned,
                };
                gate.latency.record(now, sample);
            }
        }
        if may_still_run {
            self.schedule_release(now, call.gate);
        }
        if !call.is_abandoned {
            self.observe(now, call.gate, call.kind, signal_of(&result));
            self.settle_call(now, id, &call, result);
            self.complete_if_settled(now, call.part.request);
        }
        self.dispatch_waiting(now, call.gate);
        self.take_actions()
    }

    fn observe(&mut self, now: Time, gate: GateId, kind: CallKind, signal: CallSignal) {
        let draw = UniformDraw(self.random.f64());
        let Some(gate) = self.gates.get_mut(&gate) else {
            return;
        };
        let observation = CallObservation { kind, signal, draw };
        if let Some(state) = gate.observe(now, observation) {
            self.actions.push(circuit_change_action(gate, state));
        }
    }

    /// Applies the result of a call to the part that waits for it.
    fn settle_call(&mut self, now: Time, id: CallId, call: &Call, result: CallResult) {
        let Some(run) = self.runs.get_mut(&call.part.request) else {
            return;
        };
        let Some(step) = run.steps.get_mut(call.part.index) else {
            return;
        };
        step.calls.retain(|other| *other != id);
        match result {
            CallResult::Success(body) => self.accept_response(now, call, body),
            // The other call of the step is still active.
            _ if !step.calls.is_empty() => {}
            result => self.retry_or_fall_back(now, call, &result),
        }
    }

    fn accept_response(&mut self, now: Time, call: &Call, body: Rc<[u8]>) {
        let run = &self.runs[&call.part.request];
        let dependency = self.gates[&call.gate].spec.name.clone();
        let source = if run.steps[call.part.index].number == 0 {
            PartSource::Primary
        } else {
            PartSource::Secondary(dependency.clone())
        };
        let is_cached = run
            .installed_plan
            .dependency_index(call.gate)
            .is_some_and(|index| run.installed_plan.plan.uses_stale_cache(index));
        if is_cached {
            let key = CacheKey {
                dependency,
                tenant: run.request.tenant,
                request_body: run.request.body.clone(),
            };
            self.stale_cache.insert(now, key, body.clone());
        }
        self.settle_part(now, call.part, source, Some(body));
    }

    fn retry_or_fall_back(&mut self, now: Time, call: &Call, result: &CallResult) {
        let run = &self.runs[&call.part.request];
        let step = &run.steps[call.part.index];
        let did_not_run = matches!(result, CallResult::Rejected | CallResult::LeaseExpired);
        let may_repeat = run.request.may_repeat && *result != CallResult::InvalidRequest;
        let Some(gate) = self.gates.get_mut(&call.gate) else {
            return;
        };
        let expected_latency = gate.latency.baseline().unwrap_or(INITIAL_EXPECTED_LATENCY);
        let may_retry = (may_repeat || did_not_run)
            && step.attempts < MAX_ATTEMPTS
            && step.deadline - now > expected_latency;
        if may_retry && gate.try_withdraw_retry(now) {
            gate.counters.retries += 1;
            self.issue_call(now, call.part, CallKind::Regular);
        } else {
            self.fall_back(now, call.part);
        }
    }

    /// Abandons a call that is no longer needed, which says nothing about its dependency. The driver keeps waiting for
    /// its response for the rest of its timeout, because a call that is known to have ended frees its slot at once.
    pub(super) fn abandon_unneeded(&mut self, now: Time, id: CallId) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let time_left = call.issued_at + call.timeout - now;
        self.abandon(now, id, CallSignal::Ignored, time_left.max(ZERO_DURATION));
    }

    /// Abandons a call whose run was cancelled; its connection is closed at once.
    pub(super) fn abandon_at_once(&mut self, now: Time, id: CallId) {
        self.abandon(now, id, CallSignal::Ignored, ZERO_DURATION);
    }

    /// Stops waiting for a call, while the driver keeps waiting for its response for `late_response_wait`. If that is
    /// zero, its connection is closed, and it may continue to run at the dependency unobserved.
    pub(super) fn abandon(
        &mut self,
        now: Time,
        id: CallId,
        signal: CallSignal,
        late_response_wait: Time,
    ) {
        let Some(call) = self.calls.get_mut(&id).filter(|call| !call.is_abandoned) else {
            return;
        };
        call.is_abandoned = true;
        let (gate_id, kind) = (call.gate, call.kind);
        if let Some(gate) = self.gates.get_mut(&gate_id) {
            gate.hedge_queue.retain(|other| *other != id);
        }
        self.observe(now, gate_id, kind, signal);
        self.actions.push(Action::Abandon {
            call: id,
            late_response_wait,
        });
        if late_response_wait > ZERO_DURATION {
            return;
        }
        if let Some(call) = self.calls.remove(&id) {
            call.timestamp.finish();
        }
        if let Some(gate) = self.gates.get_mut(&gate_id) {
            gate.stop_awaiting_call(now);
        }
        self.schedule_release(now, gate_id);
    }
}
