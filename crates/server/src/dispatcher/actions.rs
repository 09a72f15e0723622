//! Performs the actions of the admission controller, in the order in which they are listed, except `retain_key` and
//! `idle_timeout`.
use super::RequestDispatcher;
use crate::clock::to_ms;
use crate::dedup::DedupOutcome;
use crate::event::ReportUpdate;
use crate::execution::ExecutionRequest;
use crate::protocol::sidecar::Response;
use cottondyke_admission::{Actions, Rejection, RuleFiring};
use cottondyke_types::{RequestId, Time};

impl RequestDispatcher {
    /// Performs actions and everything that follows from them.
    pub(super) fn perform_all(&mut self, now: Time, actions: Actions) {
        self.perform(now, actions);
        loop {
            if let Some((id, outcome)) = self.coalesced_outcomes.pop_front() {
                let actions = self.admission.run_ended(now, id, outcome);
                self.perform(now, actions);
            } else if let Some(event) = self.execution_events.pop_front() {
                if let Some(actions) = self.handle_execution_event(now, event) {
                    self.perform(now, actions);
                }
            } else {
                return;
            }
        }
    }

    fn perform(&mut self, now: Time, actions: Actions) {
        for firing in actions.firings {
            self.record_firing(firing);
        }
        for id in actions.cancel {
            self.cancel_run(now, id);
        }
        for id in actions.fail {
            self.fail(now, id);
        }
        for rejection in actions.reject {
            self.reject(now, &rejection);
        }
        // `retain_key` is not performed: the admission controller accounts for what it retains, and the entry itself
        // exists since the request was read. `idle_timeout` is not performed either: idle connections are closed only
        // after go-away, on eviction or shutdown, or at the end of a shutdown.
        for id in actions.release_key {
            self.dedup.release(id);
        }
        for id in actions.start {
            self.start_run(now, id);
        }
        for id in actions.coalesce {
            self.coalesce(now, id);
        }
        if let Some(engine) = &mut self.executors.engine {
            for (id, timeout) in actions.call {
                engine.start_call(id, timeout);
            }
            for id in actions.skip_call {
                engine.skip_call(id);
            }
        }
        if let Some(healthy) = actions.health {
            self.set_healthy(healthy);
        }
        self.connections.advice = actions.advice.or(self.connections.advice);
        if let Some(delay) = actions.next_tick {
            self.ticks.insert(now + delay);
        }
    }

    /// Counts a firing, and logs why the request changes its state, with the id that its sidecar gave it.
    fn record_firing(&mut self, firing: RuleFiring) {
        self.counters.by_rule.add(firing);
        if let Some(request) = self.requests.get(firing.id) {
            tracing::debug!(id = ?request.wire_id, rule = firing.rule.name(), "request changes its state");
        }
    }

    fn cancel_run(&mut self, now: Time, id: RequestId) {
        if self.requests.get(id).is_some_and(|r| r.is_running) {
            let events = self.executors.cancel(now, id);
            self.execution_events.extend(events);
        }
    }

    fn fail(&mut self, now: Time, id: RequestId) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let (stream, is_running) = (request.stream, request.is_running);
        self.counters.failed += 1;
        self.answer(now, id, Response::Failed(stream));
        if !is_running {
            self.forget_unstarted(now, id);
        }
    }

    fn reject(&mut self, now: Time, rejection: &Rejection) {
        let Some(request) = self.requests.get(rejection.id) else {
            return;
        };
        let response = Response::Rejected {
            stream: request.stream,
            retry_after_ms: to_ms(rejection.retry_after),
            do_not_retry: rejection.do_not_retry,
        };
        self.counters.rejected += 1;
        self.answer(now, rejection.id, response);
        self.forget_unstarted(now, rejection.id);
    }

    /// Removes the dedup entry of a request that was answered before it ran, and fails the requests coalesced with it.
    fn forget_unstarted(&mut self, now: Time, id: RequestId) {
        self.dedup.release(id);
        self.answer_coalesced(now, id, None);
    }

    fn start_run(&mut self, now: Time, id: RequestId) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        request.is_running = true;
        request.has_run = true;
        let times = self.config.times[request.arrival.handler.0];
        let execution = ExecutionRequest {
            wire_id: request.wire_id,
            handler: request.arrival.handler,
            tenant: request.arrival.tenant,
            body: request.body.clone(),
            target: request.arrived + times.response_target,
            deadline: request.deadline(times.client_timeout),
        };
        let events = self.executors.start(now, id, &execution);
        self.execution_events.extend(events);
    }

    /// Lets a duplicate wait for the response of its original, or answers it if that response is known.
    fn coalesce(&mut self, now: Time, id: RequestId) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        let Some(original) = request.arrival.duplicate_of else {
            return;
        };
        request.coalesced_with = Some(original);
        let result = match self.dedup.outcome(original) {
            Some(DedupOutcome::InFlight) => return,
            Some(DedupOutcome::Completed(result)) => result.clone(),
            Some(DedupOutcome::Failed) => None,
            None if self.requests.contains(original) => return,
            None => None,
        };
        self.answer_coalesced(now, original, result);
    }

    /// Changes the answer to health checks. Ignored until requests can run.
    fn set_healthy(&mut self, healthy: bool) {
        if self.executors.is_ready() && self.health.set_healthy(healthy) {
            let _ = self.report.try_send(ReportUpdate::Health { healthy });
        }
    }
}
