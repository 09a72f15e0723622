//! The effects on a request: of the rule that fires for it, or of the end of its call.
use crate::controller::AdmissionController;
use crate::request::{Phase, RequestRecord};
use crate::{Actions, CallOutcome, Idempotency, Rejection, RequestId, Time};

const MAX_ATTEMPTS: u32 = 3; // attempts of one call, the first included
const STALL_SLOWDOWN: f64 = 2.0; // `slowdown` from which the cores count as stalled

impl AdmissionController {
    /// Answers a request with a failure, and cancels its run if it can be cancelled.
    pub(crate) fn terminate(&mut self, now: Time, id: RequestId, actions: &mut Actions) {
        let Some(request) = self.requests.get_mut(id).filter(|r| !r.answered) else { return };
        request.answered = true;
        actions.fail.push(id);
        let request = request.clone();
        if request.phase == Phase::OnCore && self.is_cancellable(&request) {
            actions.cancel.push(id);
            self.costs.learn_cancelled(&request);
            self.termination.record_run(now, &request);
        }
        let is_stalled = self.costs.slowdown >= STALL_SLOWDOWN;
        if !is_stalled && self.concurrency.capacity(now) >= 1.0 {
            self.termination.losses.add_terminated(now);
        }
        self.requests.remove_answered_unstarted();
    }

    /// Rejects a request that has not been started. One that was, and is queued again, is failed: a rejection
    /// promises that it never ran.
    pub(crate) fn reject(&mut self, now: Time, id: RequestId, actions: &mut Actions) {
        if self.requests.get(id).is_some_and(|r| r.was_started) {
            return self.terminate(now, id, actions);
        }
        let Some(request) = self.requests.remove(id) else { return };
        self.termination.losses.add_rejected(now);
        actions.release_key.extend(self.dedup_keys.remove(&id).map(|_| id));
        self.advisor.load.add_rejection(now);
        let (retry_after, do_not_retry) = if self.drain.is_some() {
            (self.advisor.config.max_retry_after, false)
        } else {
            let read_load = self.advisor.read_load(now, self.concurrency.cores);
            let min_delay = self.costs.current(&request) / self.concurrency.cores;
            let retry_after = self.advisor.retry_after(now, read_load, self.excess_load(now), min_delay);
            (retry_after, self.advisor.discourages_retries(now, read_load))
        };
        let wait = self.slow_start_wait(now, &request);
        let retry_after = retry_after.max(wait).min(self.advisor.config.max_retry_after);
        actions.reject.push(Rejection { id, retry_after, do_not_retry });
    }

    /// Makes the dependency call that a run waits for.
    pub(crate) fn call(&mut self, now: Time, id: RequestId, actions: &mut Actions) {
        let Some(timeout) = self.requests.get(id).map(|r| self.call_timeout(now, r)) else { return };
        if let Some(request) = self.requests.get_mut(id) {
            request.begin_call(now);
            actions.call.push((id, timeout));
        }
    }

    /// The timeout of the next attempt. A call that may be repeated is abandoned early: the next attempt may
    /// succeed where this one hangs. A call that can be skipped leaves time for the rest of its run; while
    /// the limit is below one call per core, it is also abandoned early.
    fn call_timeout(&self, now: Time, request: &RequestRecord) -> Time {
        let (deadline, handler) = (self.deadline(request), self.priorities.handler(request));
        let may_skip = handler.skip_value > 0.0;
        let work_after = if may_skip { Time(self.costs.remaining(request) as i64) } else { Time(0) };
        let ends = [request.target_at - work_after, request.target_at];
        let end = ends.into_iter().find(|end| *end > now).unwrap_or(deadline);
        let time_left = end.min(deadline) - now;
        let may_repeat = handler.idempotency == Idempotency::Idempotent
            && self.calls.has_spare_capacity()
            && request.attempts + 1 < MAX_ATTEMPTS;
        let skips_early = may_skip && self.calls.limit < self.calls.cores;
        let abandons_early = (may_repeat || skips_early) && self.calls.times.long_term_mean > 0.0;
        let max_wait = if abandons_early { self.calls.early_timeout(skips_early) } else { time_left };
        let timeout = time_left.min(max_wait).min(self.calls.max_call_time(now));
        timeout.max(self.schedule.resolution)
    }

    /// Continues a run after its call. An unsuccessful call is repeated if that is safe or if it was never
    /// executed, and at once if its slot is free.
    pub(crate) fn continue_after_call(
        &mut self, now: Time, id: RequestId, outcome: CallOutcome, actions: &mut Actions,
    ) {
        let Some(request) = self.requests.get(id) else { return };
        let handler = self.priorities.handler(request);
        let has_failed = matches!(outcome, CallOutcome::Failed | CallOutcome::Interrupted);
        let is_safe =
            handler.idempotency == Idempotency::Idempotent && (has_failed || self.calls.has_spare_capacity());
        let may_repeat = is_safe || outcome == CallOutcome::NotExecuted;
        let repeats = may_repeat && request.attempts < MAX_ATTEMPTS;
        let may_skip = handler.skip_value > 0.0 && !request.answered;
        let others_in_flight = self.requests.calling().count() - 1;
        // A failed call has freed its slot for the next; one whose connection broke may still hold it.
        let has_slot = outcome == CallOutcome::Failed
            || outcome == CallOutcome::Interrupted && self.calls.may_call(now, others_in_flight);
        let Some(request) = self.requests.get_mut(id) else { return };
        match outcome {
            CallOutcome::Completed => request.resume(self.costs.core_clock),
            _ if repeats && has_slot => self.call(now, id, actions),
            _ if repeats => request.phase = Phase::AwaitingCall,
            _ if may_skip => self.skip_call(now, id, actions),
            _ => self.terminate(now, id, actions),
        }
    }

    /// Decides on a run that may still wait for its call although the call completed. The call is skipped if
    /// a response without it has value. Else the run is cancelled if it may be run again and there is time.
    /// Any other run may have received the result: it is left to end, or to be answered at its deadline.
    pub(crate) fn continue_without_result(&mut self, now: Time, id: RequestId, actions: &mut Actions) {
        let Some(request) = self.requests.get(id).filter(|r| r.is_unanswered_in(Phase::OnCore)) else {
            return;
        };
        let handler = self.priorities.handler(request);
        let run_time = self.costs.current(request) + self.costs.handler(request).off_core_time;
        let has_time = now.as_f64() + run_time <= self.deadline(request).as_f64();
        if handler.skip_value > 0.0 {
            actions.skip_call.push(id);
        } else if has_time && self.termination.may_run_again(handler) {
            actions.cancel.push(id);
        }
    }

    /// Retains the idempotency key of an original request for as long as its duplicates may arrive.
    pub(crate) fn retain_key(&mut self, now: Time, request: &RequestRecord, actions: &mut Actions) {
        let handler = self.priorities.handler(request);
        let expires_at = request.arrived_at + handler.dedup_window;
        let is_first = handler.idempotency == Idempotency::Keyed && request.arrival.duplicate_of.is_none();
        if is_first && expires_at > now {
            actions.retain_key.push((request.id(), expires_at - now));
            self.dedup_keys.insert(request.id(), expires_at);
        }
    }

    /// Runs to cancel again: a cancellation has no effect while the cores stall, so it is repeated with each
    /// load sample.
    pub(crate) fn repeated_cancellations(&self) -> Vec<RequestId> {
        let answered = self.requests.on_core().filter(|r| r.answered && self.is_cancellable(r));
        answered.map(RequestRecord::id).collect()
    }
}
