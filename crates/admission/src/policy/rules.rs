//! The rules of the policy. Each has a condition, which finds the request to which the rule applies now, if
//! any, and an effect on that request.
use crate::controller::AdmissionController;
use crate::request::{Phase, RequestRecord};
use crate::{Actions, RequestId, Rule, RuleFiring, Time};

const FREE_UTILIZATION: f64 = 0.8; // fraction of the cores in use below which every request is admitted
const TARGET_MARGIN: f64 = 0.8; // fraction of its target within which an arrival must be predicted to finish
const MEMORY_FRACTION: f64 = 0.9; // fraction of the memory limit that is used
const MAX_CALL_WAIT: f64 = 0.04; // wait before a call is skipped, as a fraction of the time to the target

type Condition = fn(&AdmissionController, Time) -> Option<RequestId>;
pub(crate) type Effect = fn(&mut AdmissionController, Time, RequestId, &mut Actions);

impl AdmissionController {
    /// Evaluated in this order after every input until none fires; each firing acts on one request.
    const RULES: [(Rule, Condition, Effect); 13] = [
        (Rule::UnstartedAtDeadline, Self::unstarted_at_deadline, Self::reject),
        (Rule::AtDeadline, Self::at_deadline, Self::terminate),
        (Rule::Duplicate, Self::duplicate, Self::coalesce),
        (Rule::PastThreshold, Self::past_threshold, Self::terminate),
        (Rule::OverConcurrencyCeiling, Self::over_concurrency_ceiling, Self::terminate),
        (Rule::OverMemoryQueued, Self::over_memory_queued, Self::reject),
        (Rule::OverMemoryRunning, Self::over_memory_running, Self::terminate),
        (Rule::PastDrainGrace, Self::past_drain_grace, Self::reject),
        (Rule::OverSlowStartBudget, Self::over_slow_start_budget, Self::reject),
        (Rule::PredictedLate, Self::predicted_late, Self::reject),
        (Rule::NextToStart, Self::next_to_start, Self::start),
        (Rule::PastCallWait, Self::past_call_wait, Self::skip_call),
        (Rule::NextToCall, Self::next_to_call, Self::call),
    ];

    /// The first rule that fires, the request it fires for, and the effect on that request.
    pub(crate) fn next_firing(&self, now: Time) -> Option<(RuleFiring, Effect)> {
        Self::RULES.iter().find_map(|(rule, condition, effect)| {
            let id = condition(self, now)?;
            Some((RuleFiring { rule: *rule, id }, *effect))
        })
    }

    /// When a request must be answered, with a margin for a late wake-up.
    pub(crate) fn answer_by(&self, now: Time, request: &RequestRecord) -> Time {
        let allowed = request.deadline - request.arrived_at;
        self.deadline(request) - self.answer_margin.before_deadline(now, allowed)
    }

    fn is_at_deadline(&self, request: &RequestRecord, now: Time) -> bool {
        self.answer_by(now, request) <= now
    }

    /// No request is lost: at its deadline it is answered, whatever else is running. A request that was not
    /// started is rejected; a duplicate is failed instead (`at_deadline`), because its original may have run.
    fn unstarted_at_deadline(&self, now: Time) -> Option<RequestId> {
        let is_first = |r: &&RequestRecord| r.arrival.duplicate_of.is_none();
        self.requests.queued().filter(is_first).find(|r| self.is_at_deadline(r, now)).map(RequestRecord::id)
    }

    fn at_deadline(&self, now: Time) -> Option<RequestId> {
        self.requests.unanswered().find(|r| self.is_at_deadline(r, now)).map(RequestRecord::id)
    }

    /// A duplicate takes the response of the request that it repeats, unless that request already waits for
    /// the duplicate's own response.
    fn duplicate(&self, _: Time) -> Option<RequestId> {
        let coalesced = |id| self.requests.get(id).filter(|r| r.phase == Phase::Coalesced);
        let waits_for = |id, other| coalesced(id).is_some_and(|r| r.arrival.duplicate_of == Some(other));
        let may_wait = |r: &&RequestRecord| r.arrival.duplicate_of.is_some_and(|id| !waits_for(id, r.id()));
        self.requests.queued().find(may_wait).map(RequestRecord::id)
    }

    /// SERT: an idempotent run past the termination threshold is terminated and not run again, but not while
    /// it can still finish within its response target.
    fn past_threshold(&self, now: Time) -> Option<RequestId> {
        let is_past = |r: &&RequestRecord| {
            let is_late = now > r.target_at;
            is_late && now - r.started_at > self.termination.threshold(now, r, self.deadline(r))
        };
        let runs = self.requests.started().filter(|r| !r.answered && r.phase != Phase::Calling);
        runs.filter(|r| self.is_cancellable(r)).find(is_past).map(RequestRecord::id)
    }

    /// The most recently started of the cancellable runs on the cores: its termination wastes the least work.
    fn youngest_cancellable(&self) -> Option<RequestId> {
        let runs = self.requests.on_core().filter(|r| !r.answered && self.is_cancellable(r));
        runs.max_by_key(|r| (r.started_at, r.id())).map(RequestRecord::id)
    }

    /// Keeps the runs on the cores within the concurrency ceiling, cold or warm: once more are seen,
    /// cancellable runs are terminated until no more run than that.
    fn over_concurrency_ceiling(&self, now: Time) -> Option<RequestId> {
        let is_not_cancelled = |r: &&RequestRecord| !(r.answered && self.is_cancellable(r));
        let not_cancelled =
            self.requests.on_core().filter(is_not_cancelled).chain(self.requests.overdue()).count() as f64;
        let runnable = self.concurrency.runnable.unwrap_or(not_cancelled);
        self.youngest_cancellable().filter(|_| runnable.min(not_cancelled) > self.concurrency.ceiling(now))
    }

    fn is_over_memory(&self) -> bool {
        self.memory_used() > self.memory.limit * MEMORY_FRACTION
    }

    /// Keeps requests and idempotency keys within the memory limit: the last request of the start order is
    /// rejected first.
    fn over_memory_queued(&self, now: Time) -> Option<RequestId> {
        self.is_over_memory().then(|| self.start_order(now).last().map(|r| r.id()))?
    }

    fn over_memory_running(&self, _: Time) -> Option<RequestId> {
        let coalesced = || self.requests.coalesced().next().map(RequestRecord::id);
        self.youngest_cancellable().or_else(coalesced).filter(|_| self.is_over_memory())
    }

    /// After the shutdown signal, requests that arrived past the drain grace are not run.
    fn past_drain_grace(&self, _: Time) -> Option<RequestId> {
        let last = self.drain?.started_at + self.drain_grace - self.schedule.resolution;
        self.requests.queued().find(|r| r.arrived_at > last).map(RequestRecord::id)
    }

    /// Predictive admission, evaluated again after every input: while the cores are in use, a queued request
    /// that would not finish within its response target behind those ahead of it is rejected early enough for
    /// another server to take it.
    fn predicted_late(&self, now: Time) -> Option<RequestId> {
        let on_core = self.requests.on_core().count() as f64;
        let runs_in_use = self.concurrency.utilization.max(on_core / self.concurrency.limit);
        if runs_in_use.max(self.call_backlog()) < FREE_UTILIZATION {
            return None;
        }
        let cores = self.concurrency.cores.min(self.effective_limit(now));
        let on_core = self.requests.on_core().filter(|r| !r.answered);
        let mut work_ahead: f64 = on_core.map(|r| self.costs.remaining(r)).sum();
        let mut calls_ahead = self.calls_of_runs();
        for request in self.start_order(now) {
            let cost = self.costs.current(request);
            let calls = self.costs.handler(request).remaining_calls(request);
            let call_wait =
                if calls > 0.0 { self.calls.expected_wait(now, calls_ahead + calls - 1.0) } else { 0.0 };
            let wait = (work_ahead / cores).max(call_wait);
            let finish = now.as_f64() + wait + cost + self.costs.handler(request).off_core_time;
            if finish > self.latest_finish(now, request).as_f64() {
                return Some(request.id());
            }
            work_ahead += cost;
            calls_ahead += calls;
        }
        None
    }

    /// The calls that runs have in flight, wait to make, or are expected to make later.
    fn calls_of_runs(&self) -> f64 {
        let at_call = |r: &RequestRecord| matches!(r.phase, Phase::AwaitingCall | Phase::Calling);
        let calls = |r: &RequestRecord| self.costs.handler(r).remaining_calls(r) + f64::from(at_call(r));
        self.requests.started().filter(|r| !r.answered).map(calls).sum()
    }

    /// The time by which a queued request must be predicted to finish, with a margin if it has just arrived.
    pub(crate) fn latest_finish(&self, now: Time, request: &RequestRecord) -> Time {
        let margin = if request.phase_since == now { TARGET_MARGIN } else { 1.0 };
        let target = request.target_at - request.arrived_at;
        let allowed = request.deadline - request.arrived_at;
        let last = self.deadline(request) - self.answer_margin.expected_delay(now, allowed);
        (request.arrived_at + target.scaled(margin)).min(last)
    }

    /// Starts as many requests as keep the cores busy, within the ceiling and the memory limit. The runs that
    /// cannot be cancelled must by themselves stay within the ceiling, because all runs that wait for the
    /// disk may return to the cores at once.
    fn next_to_start(&self, now: Time) -> Option<RequestId> {
        let on_core = self.requests.on_core().count() as f64;
        let started = self.requests.started().count() as f64;
        if on_core + 1.0 > self.effective_limit(now) || started + 1.0 > self.concurrency.max_started(now) {
            return None;
        }
        let uncancellable = self.requests.started().filter(|r| !self.is_cancellable(r)).count() as f64;
        let fits_uncancellable = uncancellable + 1.0 <= self.concurrency.ceiling(now);
        // Requests whose runs would only wait to call stay queued; those that make no calls overtake them.
        let has_call_capacity = self.call_backlog() <= 1.0;
        let free_memory = self.memory.limit * MEMORY_FRACTION - self.memory_used();
        let may_start = |request: &&RequestRecord| {
            (fits_uncancellable || self.is_cancellable(request))
                && (has_call_capacity || !self.priorities.handler(request).makes_calls)
                && self.memory.additional_running_memory(request) <= free_memory
        };
        let first = self.start_order(now).into_iter().find(may_start);
        first.filter(|r| self.fits_slow_start(now, r)).map(RequestRecord::id)
    }

    /// A run that has waited too long to call continues without the call, if a response without it has value.
    fn past_call_wait(&self, now: Time) -> Option<RequestId> {
        let may_skip = |r: &&RequestRecord| self.priorities.handler(r).skip_value > 0.0;
        let has_waited_long = |r: &&RequestRecord| {
            let time_left = r.target_at.min(self.deadline(r)) - r.phase_since;
            now - r.phase_since >= time_left.scaled(MAX_CALL_WAIT)
        };
        self.requests.awaiting_call().filter(may_skip).find(has_waited_long).map(RequestRecord::id)
    }

    /// The oldest run that waits to call. After an unsuccessful call it must have backed off first.
    fn next_to_call(&self, now: Time) -> Option<RequestId> {
        let backoff = |r: &RequestRecord| self.calls.times.long_term_mean * r.attempts as f64;
        let has_backed_off = |r: &&RequestRecord| (now - r.phase_since).as_f64() >= backoff(r);
        let waiting = self.requests.awaiting_call().filter(has_backed_off);
        let oldest = waiting.min_by_key(|r| (r.arrived_at, r.id())).map(RequestRecord::id);
        oldest.filter(|_| self.calls.may_call(now, self.requests.calling().count()))
    }
}
