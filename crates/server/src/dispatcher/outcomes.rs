//! Events of executors: ends of runs, calls, load samples and self-tests; and the final response of each request, sent
//! once.
use super::RequestDispatcher;
use crate::clock::time_from_ms;
use crate::dedup::RetentionLimits;
use crate::execution::ExecutionEvent;
use crate::protocol::sidecar::{Response, RunOutput};
use cottondyke_admission::{Actions, LoadSample, RunOutcome};
use cottondyke_types::{RequestId, Time};
use std::rc::Rc;

/// Multiple of the longest client timeout after which a run that nobody waits for is overdue.
const OVERDUE_AFTER: f64 = 4.0;

impl RequestDispatcher {
    pub(super) fn handle_execution_events(
        &mut self,
        now: Time,
        events: impl IntoIterator<Item = ExecutionEvent>,
    ) {
        for event in events {
            if let Some(actions) = self.handle_execution_event(now, event) {
                self.perform_all(now, actions);
            }
        }
    }

    /// Handles an event of an executor and returns the actions of the admission controller, if there are any.
    pub(super) fn handle_execution_event(
        &mut self,
        now: Time,
        event: ExecutionEvent,
    ) -> Option<Actions> {
        match event {
            ExecutionEvent::Ended(id, outcome, output) => {
                self.handle_run_ended(now, id, outcome, output)
            }
            ExecutionEvent::Cancelled(id) => self.handle_run_cancelled(now, id),
            ExecutionEvent::CallRequested(id) => Some(self.admission.call_requested(now, id)),
            ExecutionEvent::CallEnded(id, outcome) => {
                Some(self.admission.call_ended(now, id, outcome))
            }
            ExecutionEvent::CallResultPossiblyLost(id) => {
                Some(self.admission.call_result_possibly_lost(now, id))
            }
            ExecutionEvent::LoadSample(cpu_utilization) => {
                self.load_query_until = None;
                let sample = LoadSample {
                    cpu_utilization,
                    runnable_tasks: None,
                };
                Some(self.admission.tick(now, sample))
            }
            ExecutionEvent::Progressed(id) => {
                if let Some(request) = self.requests.get(id) {
                    self.connections.mark_verified(request.connection);
                }
                None
            }
            ExecutionEvent::SelfTested(tag, healthy) => {
                if let Some(check) = self.health.finish_test(tag) {
                    self.answer_health_check(now, check, healthy);
                }
                None
            }
        }
    }

    fn handle_run_cancelled(&mut self, now: Time, id: RequestId) -> Option<Actions> {
        let request = self.requests.get_mut(id).filter(|r| r.is_running)?;
        request.is_running = false;
        self.executors.forget(id);
        Some(self.admission.run_cancelled(now, id))
    }

    fn handle_run_ended(
        &mut self,
        now: Time,
        id: RequestId,
        outcome: RunOutcome,
        output: RunOutput,
    ) -> Option<Actions> {
        let coalesced = match outcome {
            RunOutcome::NotStarted => self.record_not_started(id),
            _ => Vec::new(),
        };
        let actions = self.end_run(now, id, outcome, output)?;
        if coalesced.is_empty() {
            return Some(actions);
        }
        // The actions for the ended run come before those for the requests that are submitted again.
        self.perform_all(now, actions);
        for id in coalesced {
            self.readmit(now, id);
        }
        None
    }

    /// Records that no run of a request has begun, and returns the requests that were coalesced with it.
    fn record_not_started(&mut self, id: RequestId) -> Vec<RequestId> {
        if let Some(request) = self.requests.get_mut(id) {
            request.has_run = false;
        }
        self.detach_coalesced(id)
    }

    /// Removes the dedup entry of a request that was not started, because the engine does not recognize it, and returns
    /// the requests that were coalesced with it. These do not fail with it: otherwise a client could make the requests
    /// of others fail by using their key first.
    fn detach_coalesced(&mut self, id: RequestId) -> Vec<RequestId> {
        self.dedup.release(id);
        let coalesced = self
            .requests
            .ids_where(|request| !request.is_answered && request.coalesced_with == Some(id));
        for coalesced in &coalesced {
            if let Some(request) = self.requests.get_mut(*coalesced) {
                request.coalesced_with = None;
            }
        }
        coalesced
    }

    /// Handles the end of a run: outstanding responses are sent first, then the admission controller is told.
    fn end_run(
        &mut self,
        now: Time,
        id: RequestId,
        outcome: RunOutcome,
        output: RunOutput,
    ) -> Option<Actions> {
        let request = self.requests.get_mut(id).filter(|r| r.is_running)?;
        request.is_running = false;
        tracing::debug!(id = ?request.wire_id, ?outcome, "run ended");
        let (connection, stream) = (request.connection, request.stream);
        let handler = request.arrival.handler;
        let is_shared = request.key.is_some();
        let is_completed = outcome == RunOutcome::Completed;
        self.executors.forget(id);
        if is_completed && self.executors.verifies_connections(handler) {
            self.connections.mark_verified(connection);
        }
        let retained = (is_completed && is_shared).then(|| Rc::new(output.clone()));
        let response = match is_completed {
            true => Response::Completed(stream, output),
            false => Response::Failed(stream),
        };
        self.answer(now, id, response);
        if is_shared {
            let limits = RetentionLimits {
                read_ttl: self.config.read_cache_ttl,
                max_bytes: self.max_result_bytes(),
            };
            self.dedup.record_outcome(now, id, retained.clone(), limits);
            self.answer_coalesced(now, id, retained);
        }
        Some(self.admission.run_ended(now, id, outcome))
    }

    /// Handles runs that have not ended long after their clients gave up. A run whose command may have been lost is
    /// abandoned, which frees its place. Any other still occupies the machine: it is counted as overdue, so that runs
    /// started beside runs that hang do not overload the machine.
    pub(super) fn settle_overdue_runs(&mut self, now: Time) {
        let max_age = time_from_ms(self.config.max_client_timeout_ms).scaled(OVERDUE_AFTER);
        let overdue = self.requests.ids_where(|request| {
            request.is_running
                && request.is_answered
                && !request.is_overdue
                && now - request.arrived > max_age
        });
        for id in overdue {
            let wire_id = self.requests.get(id).map(|request| request.wire_id);
            if self.executors.can_be_abandoned(id) {
                tracing::warn!(id = ?wire_id, "abandoning a run that never ended");
                self.abandon_run(now, id);
            } else {
                tracing::warn!(id = ?wire_id, "a run is overdue; it still counts towards the concurrency ceiling");
                self.mark_overdue(now, id);
            }
        }
    }

    /// Ends a run as never started. It may have run all the same, so its entry in the dedup table stays.
    fn abandon_run(&mut self, now: Time, id: RequestId) {
        let output = RunOutput::default();
        if let Some(actions) = self.end_run(now, id, RunOutcome::NotStarted, output) {
            self.perform_all(now, actions);
        }
    }

    fn mark_overdue(&mut self, now: Time, id: RequestId) {
        if let Some(request) = self.requests.get_mut(id) {
            request.is_overdue = true;
        }
        let actions = self.admission.run_overdue(now, id);
        self.perform_all(now, actions);
    }

    /// Answers the requests that wait for the response of `original`.
    pub(super) fn answer_coalesced(
        &mut self,
        now: Time,
        original: RequestId,
        result: Option<Rc<RunOutput>>,
    ) {
        let coalesced = self
            .requests
            .ids_where(|request| !request.is_answered && request.coalesced_with == Some(original));
        for id in coalesced {
            let Some(request) = self.requests.get(id) else {
                continue;
            };
            let stream = request.stream;
            let (response, outcome) = match &result {
                Some(result) => (
                    Response::Completed(stream, RunOutput::clone(result)),
                    RunOutcome::Completed,
                ),
                None => (Response::Failed(stream), RunOutcome::Failed),
            };
            self.answer(now, id, response);
            self.coalesced_outcomes.push_back((id, outcome));
        }
    }

    /// Removes a request that is answered and does not run. If it may have run, its id is remembered.
    fn remove_request(&mut self, now: Time, id: RequestId) {
        let request = self.requests.remove(id);
        if let Some(request) = request.filter(|request| request.has_run) {
            let until = now + self.id_retention();
            self.recent_ids.insert(request.wire_id, until);
        }
    }

    /// Sends the final response, unless one was sent already.
    pub(super) fn answer(&mut self, now: Time, id: RequestId, response: Response) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        if !request.is_answered {
            request.is_answered = true;
            let slot = request.reservation.slot.take();
            if let (Some(slot), Response::Completed(..)) = (slot, &response) {
                slot.release_completed();
            }
            self.connections.send(now, request.connection, &response);
        }
        if request.is_running {
            self.executors.mark_answered(id);
        } else {
            self.remove_request(now, id);
        }
    }
}
