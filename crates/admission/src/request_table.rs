//! The requests that have not ended, in the order of their ids.

use crate::request::{Phase, RequestRecord};
use cottondyke_types::RequestId;
use std::collections::BTreeMap;

/// All requests that have not ended. Iterators yield them in the order of their ids.
#[derive(Default)]
pub(crate) struct RequestTable(BTreeMap<RequestId, RequestRecord>);

impl RequestTable {
    pub(crate) fn get(&self, id: RequestId) -> Option<&RequestRecord> {
        self.0.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: RequestId) -> Option<&mut RequestRecord> {
        self.0.get_mut(&id)
    }

    pub(crate) fn insert(&mut self, request: RequestRecord) {
        self.0.insert(request.id(), request);
    }

    pub(crate) fn remove(&mut self, id: RequestId) -> Option<RequestRecord> {
        self.0.remove(&id)
    }

    /// Removes the requests that are answered and never started: no end of a run will be reported for them.
    pub(crate) fn remove_answered_unstarted(&mut self) {
        self.0.retain(|_, r| !r.answered || is_started(r));
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &RequestRecord> {
        self.0.values()
    }

    pub(crate) fn unanswered(&self) -> impl Iterator<Item = &RequestRecord> {
        self.iter().filter(|r| !r.answered)
    }

    pub(crate) fn queued(&self) -> impl Iterator<Item = &RequestRecord> {
        self.in_phase(Phase::Queued)
    }

    pub(crate) fn coalesced(&self) -> impl Iterator<Item = &RequestRecord> {
        self.in_phase(Phase::Coalesced)
    }

    /// On the cores, overdue, or waiting for or making a call; answered or not.
    pub(crate) fn started(&self) -> impl Iterator<Item = &RequestRecord> {
        self.iter().filter(|r| is_started(r))
    }

    /// On the cores, answered or not.
    pub(crate) fn on_core(&self) -> impl Iterator<Item = &RequestRecord> {
        self.in_phase(Phase::OnCore)
    }

    /// Started and answered, but long past their deadlines without an end.
    pub(crate) fn overdue(&self) -> impl Iterator<Item = &RequestRecord> {
        self.in_phase(Phase::Overdue)
    }

    /// Waiting to make a call, and not answered.
    pub(crate) fn awaiting_call(&self) -> impl Iterator<Item = &RequestRecord> {
        self.unanswered().filter(|r| r.phase == Phase::AwaitingCall)
    }

    /// With a call in flight, answered or not.
    pub(crate) fn calling(&self) -> impl Iterator<Item = &RequestRecord> {
        self.in_phase(Phase::Calling)
    }

    fn in_phase(&self, phase: Phase) -> impl Iterator<Item = &RequestRecord> {
        self.iter().filter(move |r| r.phase == phase)
    }
}

fn is_started(request: &RequestRecord) -> bool {
    !matches!(request.phase, Phase::Queued | Phase::Coalesced)
}
