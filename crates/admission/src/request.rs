//! The record of a request from its arrival to its end.

use crate::arrival::Arrival;
use crate::handler::Handler;
use cottondyke_types::{RequestId, Time};

/// The phase of a request between its arrival and its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    Queued,
    /// Waits for the response of the request it repeats.
    Coalesced,
    /// Started, and neither waiting for a call nor making one. It counts as on the cores even while it waits for a core
    /// or for the disk.
    OnCore,
    /// Started and answered, but long past its deadline without an end: whether it still uses a core is unknown.
    Overdue,
    /// Waits to make a call.
    AwaitingCall,
    Calling,
}

/// The shutdown of the server, once it has begun.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Drain {
    pub(crate) started_at: Time,
    /// When all requests must be answered.
    pub(crate) answer_by: Time,
}

/// A request that has not ended.
#[derive(Clone, Debug)]
pub(crate) struct RequestRecord {
    pub(crate) arrival: Arrival,
    /// The hinted cost in tenths of a millisecond, or an estimate where there is no hint.
    pub(crate) base_cost: f64,
    pub(crate) arrived_at: Time,
    /// When its response target ends.
    pub(crate) target_at: Time,
    /// When the client stops waiting.
    pub(crate) deadline: Time,
    pub(crate) phase: Phase,
    pub(crate) answered: bool,
    /// Whether it was started before. If it is queued again, it may have run.
    pub(crate) was_started: bool,
    pub(crate) started_at: Time,
    /// When the request arrived, was started, or last requested, began or ended a call. Skipping a call does not change
    /// it.
    pub(crate) phase_since: Time,
    /// The cost estimator's clock when the request was last put on the cores.
    pub(crate) core_clock: f64,
    /// Core time that it used before the current phase.
    pub(crate) core_time: f64,
    /// Time that it spent waiting for and making calls before the current phase, without waits for skipped calls.
    pub(crate) off_core_time: f64,
    /// Attempts of the current call.
    pub(crate) attempts: u32,
    /// Calls wanted since the start.
    pub(crate) calls_wanted: f64,
}

impl RequestRecord {
    pub(crate) fn new(arrival: Arrival, now: Time, base_cost: f64, handler: &Handler) -> Self {
        let arrived_at = now - arrival.queueing_delay;
        let target = handler.response_target + Time((handler.target_stretch * base_cost) as i64);
        let client_deadline = arrival
            .client_time_left
            .map_or(arrived_at + handler.client_timeout, |wait| now + wait);
        RequestRecord {
            arrival,
            base_cost,
            arrived_at,
            target_at: arrived_at + target.min(handler.client_timeout),
            deadline: client_deadline.max(now),
            phase: Phase::Queued,
            answered: false,
            was_started: false,
            started_at: now,
            phase_since: now,
            core_clock: 0.0,
            core_time: 0.0,
            off_core_time: 0.0,
            attempts: 0,
            calls_wanted: 0.0,
        }
    }

    pub(crate) fn id(&self) -> RequestId {
        self.arrival.id
    }

    pub(crate) fn handler_index(&self) -> usize {
        self.arrival.handler.0
    }

    /// Whether it is in this phase and not yet answered.
    pub(crate) fn is_unanswered_in(&self, phase: Phase) -> bool {
        self.phase == phase && !self.answered
    }

    /// The core time that it has used, by the cost estimator's clock.
    pub(crate) fn core_time_at(&self, core_clock: f64) -> f64 {
        let is_on_core = self.phase == Phase::OnCore;
        self.core_time
            + if is_on_core {
                core_clock - self.core_clock
            } else {
                0.0
            }
    }

    pub(crate) fn start(&mut self, now: Time, core_clock: f64) {
        self.was_started = true;
        self.started_at = now;
        self.phase_since = now;
        self.resume(core_clock);
    }

    /// Its run was cancelled, and what it did is discarded: it waits to be started once more.
    pub(crate) fn queue_again(&mut self, now: Time) {
        self.phase = Phase::Queued;
        self.phase_since = now;
        self.core_time = 0.0;
        self.off_core_time = 0.0;
        self.attempts = 0;
        self.calls_wanted = 0.0;
    }

    /// Puts it on the cores.
    pub(crate) fn resume(&mut self, core_clock: f64) {
        self.phase = Phase::OnCore;
        self.core_clock = core_clock;
    }

    pub(crate) fn want_call(&mut self, now: Time, core_clock: f64) {
        self.core_time = self.core_time_at(core_clock);
        self.phase = Phase::AwaitingCall;
        self.phase_since = now;
        self.attempts = 0;
        self.calls_wanted += 1.0;
    }

    pub(crate) fn begin_call(&mut self, now: Time) {
        self.off_core_time += (now - self.phase_since).as_f64();
        self.phase = Phase::Calling;
        self.phase_since = now;
        self.attempts += 1;
    }

    /// Returns how long the call took.
    pub(crate) fn end_call(&mut self, now: Time) -> Time {
        let call_time = now - self.phase_since;
        self.off_core_time += call_time.as_f64();
        self.phase_since = now;
        call_time
    }

    /// When it must be answered, taking the server's shutdown into account.
    pub(crate) fn deadline_during(&self, drain: Option<Drain>) -> Time {
        drain.map_or(self.deadline, |drain| self.deadline.min(drain.answer_by))
    }
}
