//! The queues of the gates: hedges and first calls that wait for capacity.
use super::call::MAX_ATTEMPTS;
use super::state::{GateId, Timer};
use super::Aggregator;
use crate::circuit_breaker::CallKind;
use crate::gate::Permit;
use crate::messages::{CallId, PartId};
use cottondyke_types::Time;

impl Aggregator {
    /// Issues the calls that wait at a gate while it has capacity: hedges first, then waiting parts, oldest first.
    pub(super) fn dispatch_waiting(&mut self, now: Time, gate_id: GateId) {
        while let Some(gate) = self.gates.get_mut(&gate_id) {
            let permit = gate.request_permit(now);
            if permit != Permit::LimitReached {
                if let Some(call) = gate.hedge_queue.pop_front() {
                    if permit == Permit::Granted(CallKind::Regular) {
                        self.try_hedge(now, call);
                    }
                    continue;
                }
            }
            let Some(part) = gate.wait_queue.front().copied() else {
                if !gate.hedge_queue.is_empty() {
                    self.schedule_release(now, gate_id);
                }
                return;
            };
            match permit {
                Permit::LimitReached => return self.schedule_release(now, gate_id),
                Permit::CircuitOpen => {
                    gate.wait_queue.pop_front();
                    gate.counters.circuit_open += 1;
                    self.fall_back(now, part);
                    self.complete_if_settled(now, part.request);
                }
                Permit::Granted(kind) => {
                    gate.wait_queue.pop_front();
                    self.issue_waiting(now, part, kind);
                }
            }
        }
    }

    fn issue_waiting(&mut self, now: Time, part: PartId, kind: CallKind) {
        let deadline = self
            .runs
            .get(&part.request)
            .map(|run| run.steps[part.index].deadline);
        // The deadline may have passed although its timer has not fired yet.
        if deadline.is_some_and(|deadline| deadline > now) {
            self.issue_first_call(now, part, kind);
        } else {
            self.fall_back(now, part);
            self.complete_if_settled(now, part.request);
        }
    }

    /// Queues a hedge for a call that is slower than nearly all others; it is issued as soon as the gate has capacity.
    /// Hedges precede waiting first calls: the slow call itself occupies a slot, and it has less time left than the
    /// parts that wait.
    pub(super) fn queue_hedge(&mut self, now: Time, id: CallId) {
        let Some(call) = self.calls.get(&id).filter(|call| !call.is_abandoned) else {
            return;
        };
        let gate_id = call.gate;
        if let Some(gate) = self.gates.get_mut(&gate_id) {
            gate.hedge_queue.push_back(id);
        }
        self.dispatch_waiting(now, gate_id);
    }

    /// Issues a second call if the first is still the only active one, enough time is left, and the retry budget allows
    /// it.
    fn try_hedge(&mut self, now: Time, id: CallId) {
        let Some(call) = self.calls.get(&id).filter(|call| !call.is_abandoned) else {
            return;
        };
        let part = call.part;
        let Some(run) = self.runs.get(&part.request) else {
            return;
        };
        let Some(gate) = self.gates.get_mut(&call.gate) else {
            return;
        };
        let step = &run.steps[part.index];
        let has_time = step.deadline - now > gate.required_time();
        let is_alone = step.calls == [id];
        let may_hedge = is_alone && step.attempts < MAX_ATTEMPTS && has_time;
        if may_hedge && gate.retry_budget.try_withdraw() {
            gate.counters.hedges += 1;
            self.issue_call(now, part, CallKind::Regular);
        }
    }

    /// Removes a part from the wait queue of a gate, if it is queued there.
    pub(super) fn remove_from_wait_queue(&mut self, gate: GateId, part: PartId) {
        if let Some(gate) = self.gates.get_mut(&gate) {
            gate.wait_queue.retain(|waiting| *waiting != part);
        }
    }

    /// Sets the timer for the end of the next grace period or rate window, when a call stops counting at a gate.
    pub(super) fn schedule_release(&mut self, now: Time, gate_id: GateId) {
        let gate = self.gates.get(&gate_id);
        if let Some(at) = gate.and_then(|gate| gate.next_release(now)) {
            self.timers.insert((at, Timer::Release(gate_id)));
        }
    }
}
