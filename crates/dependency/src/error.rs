//! The invariant violations that [`Aggregator::check_invariants`](crate::Aggregator::check_invariants) can detect. Each
//! of them indicates a bug in this package.
use crate::messages::PartId;
use cottondyke_types::{RequestId, Time};
use std::rc::Rc;

/// An invariant of the aggregator that does not hold.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvariantViolation {
    /// The number of awaited calls that a gate counts differs from the actual one.
    #[error("{dependency}: gate counts {counted} awaited calls, expected {actual}")]
    AwaitedCallCountMismatch {
        /// The dependency's name.
        dependency: Rc<str>,
        /// Calls to it whose responses are awaited.
        actual: usize,
        /// Calls that the gate counts.
        counted: usize,
    },
    /// The wait queue of a gate holds more parts than it may.
    #[error("{dependency}: too many parts in the wait queue: {waiting}")]
    TooManyWaiting {
        /// The dependency's name.
        dependency: Rc<str>,
        /// Parts in the wait queue.
        waiting: usize,
    },
    /// A hedge is queued for a call that is no longer active.
    #[error("{dependency}: a hedge is queued for a call that is not active")]
    HedgeWithoutActiveCall {
        /// The dependency's name.
        dependency: Rc<str>,
    },
    /// A part is in the wait queue of a gate, but its current step is not waiting at that gate.
    #[error("{dependency}: a part in the wait queue has a step that is not waiting at this gate")]
    QueuedPartNotWaiting {
        /// The dependency's name.
        dependency: Rc<str>,
    },
    /// The phase of a step and its calls do not agree.
    #[error("run {:?}, part {}: step phase and calls do not agree: {step}", .part.request, .part.index)]
    InconsistentStep {
        /// The part.
        part: PartId,
        /// The step's state, for debugging.
        step: String,
    },
    /// The deadline of an unsettled step has passed, or is later than that of its run.
    #[error("run {:?}, part {}: step deadline out of range: {deadline:?}", .part.request, .part.index)]
    StepDeadlineOutOfRange {
        /// The part.
        part: PartId,
        /// The deadline of its step.
        deadline: Time,
    },
    /// No timer is set for the deadline of an unsettled step.
    #[error("run {:?}, part {}: no timer set for the step deadline", .part.request, .part.index)]
    MissingDeadlineTimer {
        /// The part.
        part: PartId,
    },
    /// All parts of a run are settled, but the run has not ended.
    #[error("run {request:?}: all parts are settled, but the run has not ended")]
    RunNotCompleted {
        /// The request that the run answers.
        request: RequestId,
    },
    /// The number of bytes that the stale cache counts differs from what its entries take.
    #[error("stale cache counts {counted} bytes, expected {actual}")]
    CacheSizeMismatch {
        /// Bytes that the entries take.
        actual: usize,
        /// Bytes that the cache counts.
        counted: usize,
    },
}
