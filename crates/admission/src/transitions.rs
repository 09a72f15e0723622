//! Effects that make no decision: they only move a request to its next phase.

use crate::actions::Actions;
use crate::controller::AdmissionController;
use crate::request::Phase;
use cottondyke_types::{RequestId, Time};

impl AdmissionController {
    /// Lets a duplicate wait for the response of the request that it repeats.
    pub(crate) fn coalesce(&mut self, _: Time, id: RequestId, actions: &mut Actions) {
        if let Some(request) = self.requests.get_mut(id) {
            request.phase = Phase::Coalesced;
            actions.coalesce.push(id);
        }
    }

    /// Puts a queued request on the cores.
    pub(crate) fn start(&mut self, now: Time, id: RequestId, actions: &mut Actions) {
        let work = self.requests.get(id).map(|r| self.full_speed_work(now, r));
        if let Some(request) = self.requests.get_mut(id) {
            request.start(now, self.costs.core_clock);
            self.slow_start
                .add_started(now, work.unwrap_or(0.0), &self.concurrency);
            self.concurrency.runnable = self.concurrency.runnable.map(|runnable| runnable + 1.0);
            actions.start.push(id);
        }
    }

    /// Lets a run continue without the call that it waits for.
    pub(crate) fn skip_call(&mut self, _: Time, id: RequestId, actions: &mut Actions) {
        if let Some(request) = self.requests.get_mut(id) {
            request.resume(self.costs.core_clock);
            actions.skip_call.push(id);
        }
    }
}
