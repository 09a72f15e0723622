//! Timers: deadlines of steps, hedges, and the release of calls at the gates.
use super::state::{Phase, Step, StepId, Timer};
use super::Aggregator;
use crate::gate::CallSignal;
use crate::messages::{Action, CallId};
use cottondyke_types::Time;

/// How long the driver keeps waiting for the response of a call that timed out, as a fraction of its timeout: most
/// late responses arrive within this time, and each frees its slot at once and adds a latency sample.
const LATE_RESPONSE_WAIT_RATIO: f64 = 0.5;

impl Aggregator {
    /// When [`handle_timer`](Self::handle_timer) is to be called next.
    pub fn next_timer(&self) -> Option<Time> {
        self.timers.first().map(|(at, _)| *at)
    }

    /// Handles all timers that are due at `now`.
    pub fn handle_timer(&mut self, now: Time) -> Vec<Action> {
        while let Some((_, timer)) = self.timers.first().copied().filter(|(at, _)| *at <= now) {
            self.timers.pop_first();
            match timer {
                Timer::StepDeadline(step) => self.expire_step(now, step),
                Timer::WaitDeadline(step) => self.expire_wait(now, step),
                Timer::Hedge(call) => self.queue_hedge(now, call),
                Timer::Release(gate) => self.dispatch_waiting(now, gate),
            }
        }
        self.take_actions()
    }

    fn current_step(&self, id: StepId) -> Option<&Step> {
        let step = &self.runs.get(&id.part.request)?.steps[id.part.index];
        (step.number == id.number).then_some(step)
    }

    /// Handles a step's deadline: a waiting part leaves the queue, active calls time out (late responses are still
    /// awaited for a while), and the part falls back.
    fn expire_step(&mut self, now: Time, id: StepId) {
        let Some(step) = self.current_step(id) else {
            return;
        };
        if step.is_settled() || step.deadline > now {
            return;
        }
        let gate = step.gate;
        for call in step.calls.clone() {
            self.time_out_call(now, call);
        }
        self.remove_from_wait_queue(gate, id.part);
        self.fall_back(now, id.part);
        self.complete_if_settled(now, id.part.request);
        self.dispatch_waiting(now, gate);
    }

    /// Handles a wait deadline: a step that still waits has too little time left for a response and falls back.
    fn expire_wait(&mut self, now: Time, id: StepId) {
        let Some(step) = self.current_step(id) else {
            return;
        };
        if !matches!(step.phase, Phase::Waiting) {
            return;
        }
        let gate_id = step.gate;
        if let Some(gate) = self.gates.get_mut(&gate_id) {
            gate.counters.limit_reached += 1;
        }
        self.remove_from_wait_queue(gate_id, id.part);
        self.fall_back(now, id.part);
        self.complete_if_settled(now, id.part.request);
    }

    fn time_out_call(&mut self, now: Time, id: CallId) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let timeout = call.timeout;
        let mut signal = CallSignal::Ignored;
        if let Some(gate) = self.gates.get_mut(&call.gate) {
            gate.counters.timeouts += 1;
            if gate.timeout_indicates_overload(timeout) {
                signal = CallSignal::Overload;
            }
        }
        self.abandon(now, id, signal, timeout.scaled(LATE_RESPONSE_WAIT_RATIO));
    }
}
