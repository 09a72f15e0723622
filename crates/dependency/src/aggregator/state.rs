//! What the aggregator holds of each aggregation, step and call.
use crate::circuit_breaker::CallKind;
use crate::lease::SendTimestamp;
use crate::messages::{AggregationRequest, CallId, PartId, PartResult, PartSource};
use crate::plan::{Aggregation, Dependency, PartSpec, Plan};
use cottondyke_types::Time;
use std::rc::Rc;

/// Names the gate of one dependency; never used again once the gate is gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct GateId(pub(super) usize);

/// A plan, and the gates of its dependencies in the plan's order.
#[derive(Debug, Default)]
pub(super) struct PlanInForce {
    pub(super) plan: Plan,
    pub(super) gates: Vec<GateId>,
}

impl PlanInForce {
    /// Index in the plan of the dependency behind a gate.
    pub(super) fn dependency_index(&self, gate: GateId) -> Option<usize> {
        self.gates.iter().position(|other| *other == gate)
    }

    fn dependency_named(&self, name: &str) -> Option<&Rc<Dependency>> {
        self.plan
            .dependencies
            .iter()
            .find(|dependency| *dependency.name == *name)
    }
}

#[derive(Debug)]
pub(super) enum Phase {
    /// In the wait queue of its gate.
    Waiting,
    /// A call is active, or two.
    Calling,
    /// The part has its source, and its body unless it is missing.
    Settled(PartSource, Option<Rc<[u8]>>),
}

/// What a part is doing: its dependency is the first step, and each fallback is one more.
#[derive(Debug)]
pub(super) struct Step {
    /// 0 for the part's own dependency, then one for each fallback.
    pub(super) number: usize,
    pub(super) gate: GateId,
    /// When the step must have an answer.
    pub(super) deadline: Time,
    /// Calls made by this step.
    pub(super) attempts: u32,
    /// Calls that the step waits for.
    pub(super) calls: Vec<CallId>,
    pub(super) phase: Phase,
}

impl Step {
    pub(super) fn is_settled(&self) -> bool {
        matches!(self.phase, Phase::Settled(..))
    }
}

/// Names a step; a timer set for an earlier step of the part is thereby recognized.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct StepId {
    pub(super) part: PartId,
    pub(super) number: usize,
}

/// An aggregation that is running.
#[derive(Debug)]
pub(super) struct Run {
    pub(super) request: AggregationRequest,
    /// The plan that it began under, and ends under.
    pub(super) in_force: Rc<PlanInForce>,
    /// The current step of each part.
    pub(super) steps: Vec<Step>,
}

impl Run {
    fn aggregation(&self) -> &Aggregation {
        &self.in_force.plan.aggregations[self.request.aggregation]
    }

    /// The configuration of one part.
    pub(super) fn part(&self, index: usize) -> &PartSpec {
        &self.aggregation().parts[index]
    }

    /// Whether a part without which the aggregation fails is missing.
    pub(super) fn lacks_required_part(&self) -> bool {
        let all_required = !self.in_force.plan.safeguards.fallback;
        self.aggregation()
            .parts
            .iter()
            .zip(&self.steps)
            .any(|(part, step)| {
                let is_missing = matches!(step.phase, Phase::Settled(PartSource::Missing, _));
                is_missing && (part.required || all_required)
            })
    }

    /// All parts, once each is settled.
    pub(super) fn settled_parts(&self) -> Option<Vec<PartResult>> {
        self.aggregation()
            .parts
            .iter()
            .zip(&self.steps)
            .map(|(part, step)| match &step.phase {
                Phase::Settled(source, body) => Some(PartResult {
                    name: part.name.clone(),
                    source: source.clone(),
                    body: body.clone(),
                    json: self.is_json(part, source),
                }),
                Phase::Waiting | Phase::Calling => None,
            })
            .collect()
    }

    fn is_json(&self, part: &PartSpec, source: &PartSource) -> bool {
        match source {
            PartSource::Secondary(name) => self
                .in_force
                .dependency_named(name)
                .is_some_and(|dependency| dependency.json),
            _ => self.in_force.plan.dependencies[part.dependency].json,
        }
    }
}

/// A call whose end has not been reported.
#[derive(Debug)]
pub(super) struct Call {
    pub(super) part: PartId,
    pub(super) gate: GateId,
    pub(super) issued_at: Time,
    /// How long its step would wait for it.
    pub(super) timeout: Time,
    pub(super) kind: CallKind,
    pub(super) timestamp: Rc<SendTimestamp>,
    /// Its part no longer waits for it, and the gate has learned from that.
    pub(super) is_abandoned: bool,
}

/// What is due at a time. Timers are not removed when they become pointless, but ignored when they fire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// The step's deadline.
    StepDeadline(StepId),
    /// From now on the step could not be answered in the time left if it still waits for its first call.
    WaitDeadline(StepId),
    /// The call is hedged if it is still active.
    Hedge(CallId),
    /// A call that nobody listens to ceases to count at the gate.
    Release(GateId),
}
