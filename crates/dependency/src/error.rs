//! What [`Aggregator::audit`](crate::Aggregator::audit) can find violated. None of these occurs unless this package is
//! faulty.
use crate::messages::PartId;
use cottondyke_types::{RequestId, Time};
use std::rc::Rc;

/// An invariant of the aggregator that does not hold.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvariantViolation {
    /// A gate counts another number of active calls than there are.
    #[error("{dependency}: {actual} calls, {counted} counted")]
    ActiveCalls {
        /// The dependency's name.
        dependency: Rc<str>,
        /// Active calls to it.
        actual: usize,
        /// Calls that the gate counts.
        counted: usize,
    },
    /// More parts wait at a gate than may.
    #[error("{dependency}: {waiting} wait")]
    TooManyWaiting {
        /// The dependency's name.
        dependency: Rc<str>,
        /// Parts that wait.
        waiting: usize,
    },
    /// A hedge is queued for a call that is no longer active.
    #[error("{dependency}: a second call waits for one that is not out")]
    HedgeWithoutCall {
        /// The dependency's name.
        dependency: Rc<str>,
    },
    /// A part is in the wait queue of a gate and its step does not wait there.
    #[error("{dependency}: what waits there does not")]
    QueuedPartNotWaiting {
        /// The dependency's name.
        dependency: Rc<str>,
    },
    /// The phase of a step and its calls do not agree.
    #[error("run {:?}, part {}: {step}", .part.request, .part.index)]
    InconsistentStep {
        /// The part.
        part: PartId,
        /// The step's state, for debugging.
        step: String,
    },
    /// The deadline of an open step has passed, or lies after that of its run.
    #[error("run {:?}, part {}: its step ends {deadline:?}", .part.request, .part.index)]
    StepDeadline {
        /// The part.
        part: PartId,
        /// The deadline of its step.
        deadline: Time,
    },
    /// No timer is set for the deadline of an open step.
    #[error("run {:?}, part {}: no timer", .part.request, .part.index)]
    MissingTimer {
        /// The part.
        part: PartId,
    },
    /// All parts of a run are settled, and it has not ended.
    #[error("run {request:?} has nothing open and has not ended")]
    NotCompleted {
        /// The request that it answers.
        request: RequestId,
    },
    /// The cache counts another number of bytes than its entries take.
    #[error("{actual} bytes kept, {counted} counted")]
    CacheBytes {
        /// Bytes that the entries take.
        actual: usize,
        /// Bytes that the cache counts.
        counted: usize,
    },
}
