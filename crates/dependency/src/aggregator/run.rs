//! Runs and the steps of their parts, from the start of a request to its single result.
use super::state::{Phase, Run, Step, StepId, Timer};
use super::Aggregator;
use crate::gate::Permit;
use crate::messages::{Action, AggregationRequest, AggregationResult, PartId, PartSource};
use crate::plan::{Fallback, PartSpec, RESPONSE_TIME_RESERVE};
use cottondyke_types::{RequestId, Time};
use std::collections::BTreeSet;
use std::rc::Rc;

impl Aggregator {
    /// Starts the aggregation of a request.
    pub fn start(&mut self, now: Time, request: AggregationRequest) -> Vec<Action> {
        let id = request.request;
        let installed_plan = self.installed_plan.clone();
        let Some(aggregation) = installed_plan.plan.aggregations.get(request.aggregation) else {
            return vec![Action::Completed {
                request: id,
                result: AggregationResult::Failed,
            }];
        };
        let first_step = |part: &PartSpec| Step {
            number: 0,
            gate: installed_plan.gates[part.dependency],
            deadline: now,
            attempts: 0,
            calls: Vec::new(),
            phase: Phase::Waiting,
        };
        let run = Run {
            request,
            installed_plan: installed_plan.clone(),
            steps: aggregation.parts.iter().map(first_step).collect(),
        };
        self.runs.insert(id, run);
        for (index, spec) in aggregation.parts.iter().enumerate() {
            let part = PartId { request: id, index };
            if !self.try_start_step(now, part, spec.dependency) {
                self.fall_back(now, part);
            }
        }
        self.complete_if_settled(now, id);
        self.take_actions()
    }

    /// Cancels a run; its active calls are abandoned at once.
    pub fn cancel(&mut self, now: Time, request: RequestId) -> Vec<Action> {
        self.complete(now, request, AggregationResult::Cancelled);
        self.take_actions()
    }

    /// Requires all runs to end by `deadline`; current steps that end later are shortened to it.
    pub fn start_draining(&mut self, deadline: Time) {
        self.drain_deadline = deadline;
        for (request, run) in &mut self.runs {
            for (index, step) in run.steps.iter_mut().enumerate() {
                if step.deadline > deadline {
                    step.deadline = deadline;
                    let id = StepId {
                        part: PartId {
                            request: *request,
                            index,
                        },
                        number: step.number,
                    };
                    self.timers.insert((deadline, Timer::StepDeadline(id)));
                }
            }
        }
    }

    /// The deadline of a step on the dependency at this index of the plan: `now` plus the dependency's time budget or
    /// the time left until the response target (until the request's deadline once the target has passed), whichever is
    /// less. If the time left is less than the sum of this budget and the budgets of the fallbacks to other
    /// dependencies that follow, the step gets a part of the time left in proportion to its budget.
    fn step_deadline(
        &self,
        now: Time,
        run: &Run,
        part: &PartSpec,
        step: usize,
        dependency: usize,
    ) -> Time {
        let plan = &run.installed_plan.plan;
        let latest = run.request.deadline.min(self.drain_deadline) - RESPONSE_TIME_RESERVE;
        if !plan.safeguards.time_budget {
            return latest;
        }
        let target = run.request.target - RESPONSE_TIME_RESERVE;
        let end = if target > now {
            target.min(latest)
        } else {
            latest
        };
        let budget = plan.dependencies[dependency].time_budget;
        let total_budget = part
            .fallbacks
            .iter()
            .skip(step)
            .filter_map(|fallback| match fallback {
                Fallback::Secondary(dependency) if plan.safeguards.fallback => {
                    Some(plan.dependencies[*dependency].time_budget)
                }
                _ => None,
            })
            .fold(budget, |sum, later| sum + later);
        let time_left = end - now;
        if total_budget > time_left {
            let ratio = (time_left.as_f64() / total_budget.as_f64()).max(0.0);
            now + budget.scaled(ratio)
        } else {
            now + budget
        }
    }

    /// Starts the part's current step on a dependency, with a call or with a place in the wait queue of its gate.
    /// Returns false if neither is possible.
    pub(super) fn try_start_step(&mut self, now: Time, part: PartId, dependency: usize) -> bool {
        let Some(run) = self.runs.get(&part.request) else {
            return false;
        };
        let installed_plan = run.installed_plan.clone();
        let number = run.steps[part.index].number;
        let deadline = self.step_deadline(now, run, run.part(part.index), number, dependency);
        let gate_id = installed_plan.gates[dependency];
        let step_id = StepId { part, number };
        let Some(gate) = self.gates.get_mut(&gate_id) else {
            return false;
        };
        if deadline <= now {
            return false;
        }
        let permit = gate.request_permit(now);
        let last_start = deadline - gate.required_time();
        match permit {
            Permit::CircuitOpen => {
                gate.counters.circuit_open += 1;
                return false;
            }
            // A part falls back at once if waiting would leave too little time for a response.
            Permit::LimitReached
                if gate.wait_queue.len() >= gate.spec.max_waiting || last_start <= now =>
            {
                gate.counters.limit_reached += 1;
                return false;
            }
            Permit::LimitReached => {
                gate.wait_queue.push_back(part);
                self.timers
                    .insert((last_start, Timer::WaitDeadline(step_id)));
            }
            Permit::Granted(_) => {}
        }
        let Some(run) = self.runs.get_mut(&part.request) else {
            return false;
        };
        let step = &mut run.steps[part.index];
        step.gate = gate_id;
        step.deadline = deadline;
        step.attempts = 0;
        step.phase = Phase::Waiting;
        self.timers.insert((deadline, Timer::StepDeadline(step_id)));
        if let Permit::Granted(kind) = permit {
            self.issue_first_call(now, part, kind);
        }
        true
    }

    /// Sets the source and body of a part and abandons its calls that are still active.
    pub(super) fn settle_part(
        &mut self,
        now: Time,
        part: PartId,
        source: PartSource,
        body: Option<Rc<[u8]>>,
    ) {
        let Some(run) = self.runs.get_mut(&part.request) else {
            return;
        };
        let step = &mut run.steps[part.index];
        step.phase = Phase::Settled(source, body);
        for call in std::mem::take(&mut step.calls) {
            self.abandon_unneeded(now, call);
        }
    }

    /// Ends a run if all its parts are settled or a required one is missing.
    pub(super) fn complete_if_settled(&mut self, now: Time, request: RequestId) {
        let Some(run) = self.runs.get(&request) else {
            return;
        };
        if run.lacks_required_part() {
            self.complete(now, request, AggregationResult::Failed);
        } else if let Some(parts) = run.settled_parts() {
            self.complete(now, request, AggregationResult::Parts(parts));
        }
    }

    fn complete(&mut self, now: Time, request: RequestId, result: AggregationResult) {
        let Some(run) = self.runs.remove(&request) else {
            return;
        };
        let is_cancelled = result == AggregationResult::Cancelled;
        self.actions.push(Action::Completed { request, result });
        for (index, step) in run.steps.iter().enumerate() {
            self.remove_from_wait_queue(step.gate, PartId { request, index });
            for call in &step.calls {
                if is_cancelled {
                    self.abandon_at_once(now, *call);
                } else {
                    self.abandon_unneeded(now, *call);
                }
            }
        }
        let gates: BTreeSet<_> = run.steps.iter().map(|step| step.gate).collect();
        for gate in gates {
            self.dispatch_waiting(now, gate);
        }
    }
}
