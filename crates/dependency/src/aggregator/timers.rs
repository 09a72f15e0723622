//! Timers: deadlines of steps, and what falls due at the gates.
use super::state::{Phase, Step, StepId, Timer};
use super::Aggregator;
use crate::gate::CallSignal;
use crate::messages::{Action, CallId};
use cottondyke_types::Time;

/// Fraction of its timeout for which a call that timed out is still listened to: most late answers come then, free their
/// place at once, and teach their latency.
const LISTEN_RATIO: f64 = 0.5;

impl Aggregator {
    /// When [`handle_timer`](Self::handle_timer) is to be called next.
    pub fn next_timer(&self) -> Option<Time> {
        self.timers.first().map(|(at, _)| *at)
    }

    /// Does what is due at `now`.
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

    /// The deadline of a step has come: what waits leaves the queue, what is active is listened to a little longer.
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
        self.leave_wait_queue(gate, id.part);
        self.fall_back(now, id.part);
        self.complete_if_settled(now, id.part.request);
        self.dispatch_waiting(now, gate);
    }

    /// A step that still waits could not be answered any more in the time left.
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
        self.leave_wait_queue(gate_id, id.part);
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
            if gate.is_fair_timeout(timeout) {
                signal = CallSignal::Overload;
            }
        }
        self.abandon(now, id, signal, timeout.scaled(LISTEN_RATIO));
    }
}
