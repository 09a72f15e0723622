//! The table of requests: what stands behind each id, from its arrival until it is answered and no run of it goes on.
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
    /// Where its response goes.
    pub(super) connection: ConnectionId,
    pub(super) stream: StreamId,
    pub(super) wire_id: WireId,
    /// As the admission controller knows it.
    pub(super) arrival: Arrival,
    /// When it reached the machine.
    pub(super) arrived: Time,
    pub(super) key: Option<IdempotencyKey>,
    pub(super) body: Rc<[u8]>,
    pub(super) is_answered: bool,
    pub(super) is_running: bool,
    /// Whether it runs on the machine long after it was answered, as the admission controller was told.
    pub(super) is_overdue: bool,
    /// The request for whose response it waits.
    pub(super) coalesced_with: Option<RequestId>,
}

impl InFlightRequest {
    /// By when it must be answered: as its caller tells, else by the client timeout.
    pub(super) fn deadline(&self, client_timeout: Time) -> Time {
        let wait = match self.arrival.client_wait {
            Some(wait) => wait + self.arrival.queueing_delay,
            None => client_timeout,
        };
        self.arrived + wait
    }

    /// Whether its end is of use to its own caller alone, who has not been answered.
    pub(super) fn is_open_without_key(&self) -> bool {
        !self.is_answered && self.key.is_none()
    }
}

/// The requests, by id.
#[derive(Default)]
pub(super) struct RequestTable {
    requests: BTreeMap<RequestId, InFlightRequest>,
    /// The ids of all of them, as they stand on the wire.
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

    pub(super) fn remove(&mut self, id: RequestId) {
        if let Some(request) = self.requests.remove(&id) {
            self.wire_ids.remove(&request.wire_id);
        }
    }

    /// The next id that neither stands here nor `is_taken`.
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

    /// The ids of those that `selects` picks, in their order.
    pub(super) fn ids_where(&self, selects: impl Fn(&InFlightRequest) -> bool) -> Vec<RequestId> {
        let selected = self.requests.iter().filter(|(_, request)| selects(request));
        selected.map(|(id, _)| *id).collect()
    }

    /// The id of the first that `selects` picks.
    pub(super) fn find_id(&self, selects: impl Fn(&InFlightRequest) -> bool) -> Option<RequestId> {
        let mut requests = self.requests.iter();
        let found = requests.find(|(_, request)| selects(request));
        found.map(|(id, _)| *id)
    }

    /// The first that `selects` picks.
    pub(super) fn find_mut(
        &mut self,
        selects: impl Fn(&InFlightRequest) -> bool,
    ) -> Option<&mut InFlightRequest> {
        self.requests.values_mut().find(|request| selects(request))
    }

    pub(super) fn values(&self) -> impl Iterator<Item = &InFlightRequest> {
        self.requests.values()
    }

    /// Removes what is answered, whatever still runs.
    pub(super) fn remove_answered(&mut self) {
        self.requests.retain(|_, request| !request.is_answered);
        self.wire_ids = self.values().map(|request| request.wire_id).collect();
    }
}
