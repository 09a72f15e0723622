//! Arriving requests, duplicates among them, and callers that cancel or disconnect.
use super::requests::InFlightRequest;
use super::{rejection, RequestDispatcher};
use crate::clock::time_from_ms;
use crate::config::CallerSource;
use crate::connection_account::RequestReservation;
use crate::dedup::{DedupWindow, IdempotencyKey};
use crate::event::ConnectionId;
use crate::protocol::sidecar::{Request, Response, StreamId};
use cottondyke_admission::Arrival;
use cottondyke_types::{CallerId, HandlerId, Idempotency, RequestId, Time};

/// Tolerance that the protocol grants on every time limit where it is spoken over sockets. Dedup windows are extended
/// by it, so that no duplicate is missed.
pub(super) const TIME_LIMIT_SLACK: Time = Time(500);

/// A request that was read.
pub(super) struct ReceivedRequest {
    pub(super) connection: ConnectionId,
    pub(super) request: Request,
    pub(super) reservation: RequestReservation,
}

/// How long a request waited to be read after it reached the machine.
#[derive(Clone, Copy)]
struct QueueingDelay {
    /// As its timestamp reports.
    reported: Time,
    /// The same, capped at the last delay on a verified connection.
    observed: Time,
}

/// The result of looking up whether a request is a duplicate.
struct DedupLookup {
    /// The request of which it is a duplicate; `None` for a first attempt.
    original: Option<RequestId>,
    key: Option<IdempotencyKey>,
}

impl RequestDispatcher {
    pub(super) fn handle_request(&mut self, now: Time, mut received: ReceivedRequest) {
        let connection = received.connection;
        let request = &mut received.request;
        // A request on a connection that can carry no response must not run: its sidecar, which saw the connection
        // fail, may send it again elsewhere, and its effects would occur twice.
        if !self.connections.record_request(now, connection) {
            tracing::debug!(connection = connection.0, id = ?request.id, "request on a dropped connection");
            self.counters.invalid += 1;
            return;
        }
        if self.requests.contains_wire_id(request.id) || self.recent_ids.contains(request.id) {
            tracing::debug!(connection = connection.0, id = ?request.id, "request id already in use");
            self.counters.invalid += 1;
            let (connection, stream) = self.resolve_id_conflict(connection, request);
            self.connections
                .send(now, connection, &Response::Failed(stream));
            return;
        }
        let id = self.requests.allocate_id(|id| self.dedup.contains(id));
        let delay = self.timestamp_clock.age(request.arrived_unix_ms);
        let key = self.take_idempotency_key(request);
        let Some(lookup) = self.look_up_original(now, connection, now - delay, key, request) else {
            tracing::debug!(connection = connection.0, id = ?request.id, "duplicate on an unverified connection");
            self.counters.invalid += 1;
            let response = Response::Failed(request.stream);
            self.connections.send(now, connection, &response);
            return;
        };
        if lookup.original.is_none() {
            if !self.has_memory_for(lookup.key.as_ref()) {
                self.counters.over_memory += 1;
                let response = rejection(request.stream);
                self.connections.send(now, connection, &response);
                return;
            }
            self.open_dedup_window(now, id, lookup.key.as_ref());
        }
        let delay = self.observe_delay(connection, delay);
        self.admit(now, id, received, delay, lookup);
    }

    /// Timestamps show how long requests wait to be read only on verified connections. On any other, the delay counts
    /// no more than the last one that was observed on a verified connection.
    fn observe_delay(&mut self, connection: ConnectionId, reported: Time) -> QueueingDelay {
        if self.connections.is_verified(connection) {
            self.recent_delay = reported;
        }
        QueueingDelay {
            reported,
            observed: reported.min(self.recent_delay),
        }
    }

    /// Removes the idempotency key from a request and returns it, if the request is keyed or its response may be
    /// shared. Duplicates of a keyed request have the same tenant; responses of idempotent handlers are shared between
    /// tenants.
    fn take_idempotency_key(&self, request: &mut Request) -> Option<IdempotencyKey> {
        let idempotency = self.config.idempotency[request.handler.0];
        let is_keyed = idempotency == Idempotency::Keyed;
        let is_shared_read =
            idempotency == Idempotency::Idempotent && self.config.read_cache_ttl > Time(0);
        let key = request.idempotency_key.take();
        key.filter(|_| is_shared_read || is_keyed)
            .map(|key| IdempotencyKey {
                handler: request.handler,
                tenant: request.tenant.filter(|_| is_keyed),
                key,
            })
    }

    /// Looks up the request of which this one is a duplicate, the original; `None` if the request must fail, because it
    /// may neither share the original's response nor run.
    ///
    /// Protects responses from clients that copy a key: a duplicate gets its response from the table, and no engine
    /// checks whether it recognizes the request. So it gets that response only on the original's connection while the
    /// original is in flight, or on a verified connection. On any other connection, a request to an idempotent handler
    /// runs by itself; a keyed request, which must not run again, fails.
    fn look_up_original(
        &mut self,
        now: Time,
        connection: ConnectionId,
        arrived: Time,
        key: Option<IdempotencyKey>,
        request: &Request,
    ) -> Option<DedupLookup> {
        let original = key
            .as_ref()
            .and_then(|key| self.dedup.find_original(now, arrived, key));
        let may_be_copied = original.is_some_and(|original| {
            let first = self.requests.get(original);
            let is_same = first.is_some_and(|first| first.connection == connection);
            !self.connections.is_verified(connection) && !is_same
        });
        if !may_be_copied {
            return Some(DedupLookup { original, key });
        }
        if self.config.idempotency[request.handler.0] == Idempotency::Keyed {
            return None;
        }
        Some(DedupLookup {
            original: None,
            key: None,
        })
    }

    fn admit(
        &mut self,
        now: Time,
        id: RequestId,
        received: ReceivedRequest,
        delay: QueueingDelay,
        lookup: DedupLookup,
    ) {
        let ReceivedRequest {
            connection,
            request,
            reservation,
        } = received;
        let counts_connections = self.config.caller_source == CallerSource::Connections;
        let client_time_left = request
            .client_wait_ms
            .map(|ms| (time_from_ms(ms) - delay.reported).max(Time(0)));
        let arrival = Arrival {
            id,
            handler: request.handler,
            tenant: request.tenant,
            caller: counts_connections.then_some(CallerId(connection.0)),
            cost_hint: request.cost_hint_ms.map(time_from_ms),
            is_retry: request.is_retry,
            duplicate_of: lookup.original,
            memory_kb: request.memory_kb,
            queueing_delay: delay.reported,
            observed_delay: delay.observed,
            client_time_left,
        };
        let in_flight = InFlightRequest {
            reservation,
            connection,
            stream: request.stream,
            wire_id: request.id,
            arrival,
            arrived: now - delay.reported,
            key: lookup.key,
            body: request.body.into(),
            is_answered: false,
            is_running: false,
            has_run: false,
            is_overdue: false,
            coalesced_with: None,
        };
        self.requests.insert(id, in_flight);
        let actions = self.admission.arrival(now, arrival);
        self.perform_all(now, actions);
    }

    /// Decides which of two requests with the same id is the copy, and returns where its failure is sent. Protects
    /// sidecars from a client that copies their requests and is read first: if only the later connection is verified
    /// and the bodies are equal, the later request takes the place of the earlier one, and its response.
    fn resolve_id_conflict(
        &mut self,
        connection: ConnectionId,
        request: &Request,
    ) -> (ConnectionId, StreamId) {
        let later = (connection, request.stream);
        if !self.connections.is_verified(connection) {
            return later;
        }
        let earlier = self
            .requests
            .find_mut(|other| other.wire_id == request.id && !other.is_answered);
        let Some(earlier) = earlier else {
            return later;
        };
        let is_verified = self.connections.is_verified(earlier.connection);
        if is_verified || earlier.body[..] != request.body[..] {
            return later;
        }
        let copy = (earlier.connection, earlier.stream);
        (earlier.connection, earlier.stream) = later;
        copy
    }

    /// Inserts a first attempt into the dedup table. The window should start when the attempt reached the machine, but
    /// timestamps may be wrong: so that no effect occurs twice, the window starts now, which is never too early. The
    /// entry is kept even if the admission controller no longer accounts for the key: otherwise two attempts that both
    /// waited unread until a short window had passed would each run.
    fn open_dedup_window(&mut self, now: Time, id: RequestId, key: Option<&IdempotencyKey>) {
        let Some(key) = key else { return };
        let HandlerId(handler) = key.handler;
        let window = match self.config.idempotency[handler] {
            Idempotency::Keyed => DedupWindow {
                until: Some(now + self.config.times[handler].dedup_window + TIME_LIMIT_SLACK),
                grace: time_from_ms(self.config.max_client_timeout_ms),
            },
            _ => DedupWindow {
                until: None,
                grace: Time(0),
            },
        };
        self.dedup.insert(id, key.clone(), window);
    }

    /// Submits an unanswered request to the admission controller again, with its current delay: as a first attempt, or
    /// as a duplicate of the new first attempt.
    pub(super) fn readmit(&mut self, now: Time, id: RequestId) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let key = request.key.clone();
        let original = key
            .as_ref()
            .and_then(|key| self.dedup.find_original(now, request.arrived, key));
        if original.is_none() {
            self.open_dedup_window(now, id, key.as_ref());
        }
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        request.is_running = false;
        request.has_run = false;
        request.is_overdue = false;
        request.coalesced_with = None;
        let delay = now - request.arrived;
        let earlier = request.arrival;
        let client_time_left = earlier
            .client_time_left
            .map(|wait| (wait + earlier.queueing_delay - delay).max(Time(0)));
        request.arrival = Arrival {
            queueing_delay: delay,
            observed_delay: Time(0),
            client_time_left,
            duplicate_of: original,
            ..earlier
        };
        let actions = self.admission.arrival(now, request.arrival);
        self.perform_all(now, actions);
    }

    /// Handles the cancellation of a request by its sidecar: it is answered at once, and the admission controller is
    /// told. A request with an idempotency key continues, for its duplicates.
    pub(super) fn handle_cancel(&mut self, now: Time, connection: ConnectionId, stream: StreamId) {
        self.connections.record_event(now, connection);
        let cancelled = self.requests.find_id(|request| {
            request.connection == connection
                && request.stream == stream
                && request.is_open_without_key()
        });
        if let Some(id) = cancelled {
            self.handle_caller_gone(now, id, stream);
        }
    }

    /// Whether the result of a request may answer others than its own caller: it has an idempotency key, and it runs or
    /// others wait for it.
    fn is_of_use_to_duplicates(&self, id: RequestId) -> bool {
        let Some(request) = self
            .requests
            .get(id)
            .filter(|request| request.key.is_some())
        else {
            return false;
        };
        let mut others = self.requests.values();
        request.has_run || others.any(|other| other.coalesced_with == Some(id))
    }

    /// Handles the end of a connection. Nobody reads its outstanding responses: the admission controller is told that
    /// the callers of its unanswered requests are gone. A request with an idempotency key continues for its duplicates,
    /// if a run of it has begun or a duplicate waits for it.
    pub(super) fn handle_connection_closed(&mut self, now: Time, connection: ConnectionId) {
        self.connections.remove(connection);
        let open = self
            .requests
            .ids_where(|request| request.connection == connection && !request.is_answered);
        let (mut dropped, mut continued) = (0, 0);
        for id in open {
            if self.is_of_use_to_duplicates(id) {
                continued += 1;
            } else {
                dropped += 1;
                self.dedup.release(id);
                self.handle_caller_gone(now, id, StreamId(0));
            }
        }
        tracing::debug!(
            connection = connection.0,
            dropped,
            continued,
            "connection closed"
        );
    }

    fn handle_caller_gone(&mut self, now: Time, id: RequestId, stream: StreamId) {
        self.answer(now, id, Response::Failed(stream));
        let actions = self.admission.request_abandoned(now, id);
        self.perform_all(now, actions);
    }
}
