//! The table of requests, which holds each from its arrival until it is answered and its run, if any, has ended.
use crate::connection_account::RequestReservation;
use crate::dedup::IdempotencyKey;
use crate::event::ConnectionId;
use crate::protocol::sidecar::StreamId;
use crate::protocol::WireId;
use cottondyke_admission::Arrival;
use cottondyke_types::{RequestId, Time};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// A request that is queued, runs, or waits for the run of another.
pub(super) struct InFlightRequest {
    /// What it holds; its slot is released when it is answered.
    pub(super) reservation: RequestReservation,
    /// Where its response goes.
    pub(super) connection: ConnectionId,
    pub(super) stream: StreamId,
    pub(super) wire_id: WireId,
    /// As it was submitted to the admission controller.
    pub(super) arrival: Arrival,
    /// When it reached the machine.
    pub(super) arrived: Time,
    pub(super) key: Option<IdempotencyKey>,
    pub(super) body: Rc<[u8]>,
    pub(super) is_answered: bool,
    /// Whether its run has started and not ended, also while the run waits for a call.
    pub(super) is_running: bool,
    /// Whether a run of it may have begun: its id must not run again.
    pub(super) has_run: bool,
    /// Whether its run continues long after it was answered, and the admission controller was told so.
    pub(super) is_overdue: bool,
    /// The request whose response it waits for.
    pub(super) coalesced_with: Option<RequestId>,
}

impl InFlightRequest {
    /// When it must be answered: at the end of the wait that its caller states, or else of the client timeout.
    pub(super) fn deadline(&self, client_timeout: Time) -> Time {
        let wait = match self.arrival.client_time_left {
            Some(wait) => wait + self.arrival.queueing_delay,
            None => client_timeout,
        };
        self.arrived + wait
    }

    /// Whether it is unanswered and its result is of use to its own caller alone.
    pub(super) fn is_open_without_key(&self) -> bool {
        !self.is_answered && self.key.is_none()
    }
}

/// The requests, by id.
#[derive(Default)]
pub(super) struct RequestTable {
    requests: BTreeMap<RequestId, InFlightRequest>,
    /// Their ids on the wire.
    wire_ids: BTreeSet<WireId>,
    last_id: Option<RequestId>,
}

impl RequestTable {
    pub(super) fn len(&self) -> usize {
        self.requests.len()
    }

    pub(super) fn get(&self, id: RequestId) -> Option<&InFlightRequest> {
        self.requests.get(&id)
    }

    pub(super) fn get_mut(&mut self, id: RequestId) -> Option<&mut InFlightRequest> {
        self.requests.get_mut(&id)
    }

    pub(super) fn contains(&self, id: RequestId) -> bool {
        self.requests.contains_key(&id)
    }

    pub(super) fn contains_wire_id(&self, wire_id: WireId) -> bool {
        self.wire_ids.contains(&wire_id)
    }

    pub(super) fn insert(&mut self, id: RequestId, request: InFlightRequest) {
        self.wire_ids.insert(request.wire_id);
        self.requests.insert(id, request);
    }

    pub(super) fn remove(&mut self, id: RequestId) -> Option<InFlightRequest> {
        let request = self.requests.remove(&id)?;
        self.wire_ids.remove(&request.wire_id);
        Some(request)
    }

    /// The next id that is neither in the table nor `is_taken`.
    pub(super) fn allocate_id(&mut self, is_taken: impl Fn(RequestId) -> bool) -> RequestId {
        loop {
            let id = match self.last_id {
                Some(RequestId(last)) => RequestId(last.wrapping_add(1)),
                None => RequestId(0),
            };
            self.last_id = Some(id);
            if !self.contains(id) && !is_taken(id) {
                return id;
            }
        }
    }

    /// The ids of the requests that `matches` accepts, in ascending order.
    pub(super) fn ids_where(&self, matches: impl Fn(&InFlightRequest) -> bool) -> Vec<RequestId> {
        let selected = self.requests.iter().filter(|(_, request)| matches(request));
        selected.map(|(id, _)| *id).collect()
    }

    /// The id of the first request that `matches` accepts.
    pub(super) fn find_id(&self, matches: impl Fn(&InFlightRequest) -> bool) -> Option<RequestId> {
        let mut requests = self.requests.iter();
        let found = requests.find(|(_, request)| matches(request));
        found.map(|(id, _)| *id)
    }

    /// The first request that `matches` accepts.
    pub(super) fn find_mut(
        &mut self,
        matches: impl Fn(&InFlightRequest) -> bool,
    ) -> Option<&mut InFlightRequest> {
        self.requests.values_mut().find(|request| matches(request))
    }

    pub(super) fn values(&self) -> impl Iterator<Item = &InFlightRequest> {
        self.requests.values()
    }

    /// Removes the answered requests, including those that still run.
    pub(super) fn remove_answered(&mut self) {
        self.requests.retain(|_, request| !request.is_answered);
        self.wire_ids = self.values().map(|request| request.wire_id).collect();
    }
}
