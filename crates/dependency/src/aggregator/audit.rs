//! Checks of the invariants that hold after every input.
use super::state::{GateId, Phase, Run, Step, StepId, Timer};
use super::Aggregator;
use crate::error::InvariantViolation;
use crate::gate::DependencyGate;
use crate::messages::{CallId, PartId};
use cottondyke_types::{RequestId, Time};

/// Maximum number of active calls of a step: one call and its hedge.
const MAX_ACTIVE_CALLS: usize = 2;

impl Aggregator {
    /// Checks the invariants of the state after an input at `now`.
    pub fn check_invariants(&self, now: Time) -> Result<(), InvariantViolation> {
        for (id, gate) in &self.gates {
            self.check_gate(*id, gate)?;
        }
        for (request, run) in &self.runs {
            self.check_run(now, *request, run)?;
        }
        let counted = self.stale_cache.bytes();
        let actual = self.stale_cache.recount_bytes();
        if counted != actual {
            return Err(InvariantViolation::CacheSizeMismatch { actual, counted });
        }
        Ok(())
    }

    fn check_gate(&self, id: GateId, gate: &DependencyGate) -> Result<(), InvariantViolation> {
        let dependency = || gate.spec.name.clone();
        let awaited = self.calls.values().filter(|call| call.gate == id).count();
        let counted = gate.awaited_calls();
        if awaited != counted {
            return Err(InvariantViolation::AwaitedCallCountMismatch {
                dependency: dependency(),
                actual: awaited,
                counted,
            });
        }
        let waiting = gate.wait_queue.len();
        if waiting > gate.max_waiting() {
            return Err(InvariantViolation::TooManyWaiting {
                dependency: dependency(),
                waiting,
            });
        }
        let is_active = |call: &CallId| {
            self.calls
                .get(call)
                .is_some_and(|call| call.gate == id && !call.is_abandoned)
        };
        if !gate.hedge_queue.iter().all(is_active) {
            return Err(InvariantViolation::HedgeWithoutActiveCall {
                dependency: dependency(),
            });
        }
        let is_waiting = |part: &PartId| {
            self.runs.get(&part.request).is_some_and(|run| {
                let step = &run.steps[part.index];
                step.gate == id && matches!(step.phase, Phase::Waiting)
            })
        };
        if !gate.wait_queue.iter().all(is_waiting) {
            return Err(InvariantViolation::QueuedPartNotWaiting {
                dependency: dependency(),
            });
        }
        Ok(())
    }

    fn check_run(
        &self,
        now: Time,
        request: RequestId,
        run: &Run,
    ) -> Result<(), InvariantViolation> {
        for (index, step) in run.steps.iter().enumerate() {
            let part = PartId { request, index };
            if !self.is_consistent(part, step) {
                return Err(InvariantViolation::InconsistentStep {
                    part,
                    step: format!("{step:?}"),
                });
            }
            if step.is_settled() {
                continue;
            }
            let latest = run.request.deadline.min(self.drain_deadline).max(now);
            if step.deadline <= now || step.deadline > latest {
                return Err(InvariantViolation::StepDeadlineOutOfRange {
                    part,
                    deadline: step.deadline,
                });
            }
            let id = StepId {
                part,
                number: step.number,
            };
            let timer = (step.deadline, Timer::StepDeadline(id));
            if !self.timers.contains(&timer) {
                return Err(InvariantViolation::MissingDeadlineTimer { part });
            }
        }
        if run.steps.iter().all(Step::is_settled) {
            return Err(InvariantViolation::RunNotCompleted { request });
        }
        Ok(())
    }

    fn is_consistent(&self, part: PartId, step: &Step) -> bool {
        let is_active = |id: &CallId| self.calls.get(id).is_some_and(|call| !call.is_abandoned);
        match &step.phase {
            Phase::Waiting => {
                let gate = self.gates.get(&step.gate);
                step.calls.is_empty() && gate.is_some_and(|gate| gate.wait_queue.contains(&part))
            }
            Phase::Calling => {
                step.calls.iter().all(is_active)
                    && !step.calls.is_empty()
                    && step.calls.len() <= MAX_ACTIVE_CALLS
            }
            Phase::Settled(..) => step.calls.is_empty(),
        }
    }
}
