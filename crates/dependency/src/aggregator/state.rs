//! The aggregator's state per run, step and call, and its timers.
use crate::circuit_breaker::CallKind;
use crate::lease::SendTimestamp;
use crate::messages::{AggregationRequest, CallId, PartId, PartResult, PartSource};
use crate::plan::{Aggregation, Dependency, PartSpec, Plan};
use cottondyke_types::Time;
use std::rc::Rc;

/// Identifies the gate of one dependency; never reused after the gate is removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct GateId(pub(super) usize);

/// A plan and the gates of its dependencies, in the plan's order.
#[derive(Debug, Default)]
pub(super) struct InstalledPlan {
    pub(super) plan: Plan,
    pub(super) gates: Vec<GateId>,
}

impl InstalledPlan {
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
    /// One or two calls are active.
    Calling,
    /// The source of the part is decided; it has a body unless it is missing.
    Settled(PartSource, Option<Rc<[u8]>>),
}

/// The current step of a part: the first step is its own dependency, and each fallback is a further step.
#[derive(Debug)]
pub(super) struct Step {
    /// 0 for the part's own dependency, then incremented for each fallback.
    pub(super) number: usize,
    pub(super) gate: GateId,
    /// When the step must have a response.
    pub(super) deadline: Time,
    /// Number of calls that this step has made.
    pub(super) attempts: u32,
    /// Active calls whose results the step waits for.
    pub(super) calls: Vec<CallId>,
    pub(super) phase: Phase,
}

impl Step {
    pub(super) fn is_settled(&self) -> bool {
        matches!(self.phase, Phase::Settled(..))
    }
}

/// Identifies a step, so that timers set for an earlier step of the part can be recognized and ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct StepId {
    pub(super) part: PartId,
    pub(super) number: usize,
}

/// A running aggregation.
#[derive(Debug)]
pub(super) struct Run {
    pub(super) request: AggregationRequest,
    /// The plan that was installed when the run started; it applies until the run ends.
    pub(super) installed_plan: Rc<InstalledPlan>,
    /// The current step of each part.
    pub(super) steps: Vec<Step>,
}

impl Run {
    fn aggregation(&self) -> &Aggregation {
        &self.installed_plan.plan.aggregations[self.request.aggregation]
    }

    /// The configuration of one part.
    pub(super) fn part(&self, index: usize) -> &PartSpec {
        &self.aggregation().parts[index]
    }

    /// Whether a part is missing that the aggregation requires. With fallbacks disabled, all parts are required.
    pub(super) fn lacks_required_part(&self) -> bool {
        let all_required = !self.installed_plan.plan.safeguards.fallback;
        self.aggregation()
            .parts
            .iter()
            .zip(&self.steps)
            .any(|(part, step)| {
                let is_missing = matches!(step.phase, Phase::Settled(PartSource::Missing, _));
                is_missing && (part.required || all_required)
            })
    }

    /// The results of all parts, or `None` while any part is not settled.
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
                .installed_plan
                .dependency_named(name)
                .is_some_and(|dependency| dependency.json),
            _ => self.installed_plan.plan.dependencies[part.dependency].json,
        }
    }
}

/// A call whose result has not been reported.
#[derive(Debug)]
pub(super) struct Call {
    pub(super) part: PartId,
    pub(super) gate: GateId,
    pub(super) issued_at: Time,
    /// The time left until its step's deadline when it was issued.
    pub(super) timeout: Time,
    pub(super) kind: CallKind,
    pub(super) timestamp: Rc<SendTimestamp>,
    /// Whether its part no longer waits for it. The gate has then already observed its outcome, but not yet its end:
    /// the driver may still wait for its response.
    pub(super) is_abandoned: bool,
}

/// What is due at a time. Obsolete timers are not removed but ignored when they fire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// The step's deadline is reached.
    StepDeadline(StepId),
    /// If the step still waits for its first call, the time left is too short for a response.
    WaitDeadline(StepId),
    /// If the call is still active, it is hedged.
    Hedge(CallId),
    /// A grace period or rate window ends, so that a call stops counting at the gate.
    Release(GateId),
}
