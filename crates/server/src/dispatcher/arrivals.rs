//! Requests that arrive, repeats among them, and callers that go.
use super::requests::InFlightRequest;
use super::RequestDispatcher;
use crate::clock::time_of_ms;
use crate::config::CallerSource;
use crate::dedup::{DedupWindow, IdempotencyKey};
use crate::event::ConnectionId;
use crate::protocol::sidecar::{Request, Response, StreamId};
use cottondyke_admission::Arrival;
use cottondyke_types::{CallerId, HandlerId, Idempotency, RequestId, Time};

/// By which each time limit is longer on sockets (protocol page): a dedup window, which that makes stricter, too.
const TIME_LIMIT_SLACK: Time = Time(500);

/// A request's delay before it was read, and what is believed of it.
#[derive(Clone, Copy)]
struct QueueingDelay {
    /// As its stamp says.
    stamped: Time,
    /// No more than the last proven connection had.
    observed: Time,
}

/// The request that another repeats, and the key that both have.
struct Repetition {
    original: Option<RequestId>,
    key: Option<IdempotencyKey>,
}

impl RequestDispatcher {
    pub(super) fn handle_request(
        &mut self,
        now: Time,
        connection: ConnectionId,
        mut request: Request,
    ) {
        // Guards effects: what was read on a connection that carries no response any more would run for nobody, and
        // its sidecar, which saw the connection fail, may send it again elsewhere.
        if !self.connections.record_request(now, connection) {
            tracing::debug!(connection = connection.0, id = ?request.id, "request on a dropped connection");
            self.counters.invalid += 1;
            return;
        }
        if self.requests.contains_wire_id(request.id) {
            tracing::debug!(connection = connection.0, id = ?request.id, "request id already in flight");
            self.counters.invalid += 1;
            let (connection, stream) = self.fail_copy(connection, &request);
            self.connections
                .send(now, connection, &Response::Failed(stream));
            return;
        }
        let id = self.requests.allocate_id(|id| self.dedup.contains(id));
        let delay = self.stamp_clock.since(request.arrived_unix_ms);
        let key = self.take_idempotency_key(&mut request);
        let Some(repetition) = self.find_repetition(now, connection, now - delay, key, &request)
        else {
            tracing::debug!(connection = connection.0, id = ?request.id, "repeat on an unproven connection");
            self.counters.invalid += 1;
            let response = Response::Failed(request.stream);
            self.connections.send(now, connection, &response);
            return;
        };
        if repetition.original.is_none() {
            self.open_dedup_window(now, id, repetition.key.as_ref());
        }
        let delay = self.learn_delay(connection, delay);
        self.admit(now, id, connection, request, delay, repetition);
    }

    /// A stamp teaches how long requests lie unread where the engine has known a request of that connection; else no
    /// more than what was learned so counts.
    fn learn_delay(&mut self, connection: ConnectionId, stamped: Time) -> QueueingDelay {
        if self.connections.is_proven(connection) {
            self.recent_delay = stamped;
        }
        QueueingDelay {
            stamped,
            observed: stamped.min(self.recent_delay),
        }
    }

    /// A keyed request is another attempt of one of its own tenant; a read is shared by handler and key alone.
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

    /// What a request repeats; none where it may not be answered like the original, nor run.
    ///
    /// Guards results against clients that copy a key: a repeat takes its response from the table, where no engine says
    /// whether it knows the request. So it takes it only on the connection of the open first attempt, or on one of
    /// which the engine has known a request. A read on any other runs by itself; a keyed request, which may not run
    /// again, fails.
    fn find_repetition(
        &mut self,
        now: Time,
        connection: ConnectionId,
        arrived: Time,
        key: Option<IdempotencyKey>,
        request: &Request,
    ) -> Option<Repetition> {
        let original = key
            .as_ref()
            .and_then(|key| self.dedup.find_original(now, arrived, key));
        let is_copied = original.is_some_and(|original| {
            let first = self.requests.get(original);
            let is_same = first.is_some_and(|first| first.connection == connection);
            !self.connections.is_proven(connection) && !is_same
        });
        if !is_copied {
            return Some(Repetition { original, key });
        }
        if self.config.idempotency[request.handler.0] == Idempotency::Keyed {
            return None;
        }
        Some(Repetition {
            original: None,
            key: None,
        })
    }

    fn admit(
        &mut self,
        now: Time,
        id: RequestId,
        connection: ConnectionId,
        request: Request,
        delay: QueueingDelay,
        repetition: Repetition,
    ) {
        let counts_connections = self.config.caller_source == CallerSource::Connections;
        let client_wait = request
            .client_wait_ms
            .map(|ms| (time_of_ms(ms) - delay.stamped).max(Time(0)));
        let arrival = Arrival {
            id,
            handler: request.handler,
            tenant: request.tenant,
            caller: counts_connections.then_some(CallerId(connection.0)),
            cost_hint: request.cost_hint_ms.map(time_of_ms),
            is_retry: request.is_retry,
            duplicate_of: repetition.original,
            memory_kb: request.memory_kb,
            queueing_delay: delay.stamped,
            observed_delay: delay.observed,
            client_wait,
        };
        let in_flight = InFlightRequest {
            connection,
            stream: request.stream,
            wire_id: request.id,
            arrival,
            arrived: now - delay.stamped,
            key: repetition.key,
            body: request.body.into(),
            is_answered: false,
            is_running: false,
            is_overdue: false,
            coalesced_with: None,
        };
        self.requests.insert(id, in_flight);
        let actions = self.admission.arrival(now, arrival);
        self.perform_all(now, actions);
    }

    /// Which of two requests with one id is the copy, and fails. Guards sidecars against a client that copies their
    /// requests and is read first: where the engine has known a request of the later connection and none of the
    /// earlier, the later takes the place of the earlier, and its response.
    fn fail_copy(
        &mut self,
        connection: ConnectionId,
        request: &Request,
    ) -> (ConnectionId, StreamId) {
        let later = (connection, request.stream);
        if !self.connections.is_proven(connection) {
            return later;
        }
        let earlier = self
            .requests
            .find_mut(|other| other.wire_id == request.id && !other.is_answered);
        let Some(earlier) = earlier else {
            return later;
        };
        let is_proven = self.connections.is_proven(earlier.connection);
        if is_proven || earlier.body[..] != request.body[..] {
            return later;
        }
        let copy = (earlier.connection, earlier.stream);
        (earlier.connection, earlier.stream) = later;
        copy
    }

    /// Enters a request that repeats none in the table. Guards effects: the window opens when the attempt that runs
    /// reached the machine, and stamps may be odd, so it is taken to open now at the earliest. It does not rest on
    /// whether the admission controller still books an entry: of two attempts that lay unread past a short window each
    /// would run.
    fn open_dedup_window(&mut self, now: Time, id: RequestId, key: Option<&IdempotencyKey>) {
        let Some(key) = key else { return };
        let HandlerId(handler) = key.handler;
        let window = match self.config.idempotency[handler] {
            Idempotency::Keyed => DedupWindow {
                until: Some(now + self.config.times[handler].dedup_window + TIME_LIMIT_SLACK),
                tail: time_of_ms(self.config.max_client_timeout_ms),
            },
            _ => DedupWindow {
                until: None,
                tail: Time(0),
            },
        };
        self.dedup.insert(id, key.clone(), window);
    }

    /// An open request whose first attempt was none arrives again, as it stands now: as the first attempt, or as a
    /// repeat of the next.
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
        request.is_overdue = false;
        request.coalesced_with = None;
        let delay = now - request.arrived;
        let earlier = request.arrival;
        let client_wait = earlier
            .client_wait
            .map(|wait| (wait + earlier.queueing_delay - delay).max(Time(0)));
        request.arrival = Arrival {
            queueing_delay: delay,
            observed_delay: Time(0),
            client_wait,
            duplicate_of: original,
            ..earlier
        };
        let actions = self.admission.arrival(now, request.arrival);
        self.perform_all(now, actions);
    }

    /// The sidecar waits for a request no longer: it is answered at once, and the admission controller told. One with a
    /// key goes on, for its repeats.
    pub(super) fn handle_cancel(&mut self, now: Time, connection: ConnectionId, stream: StreamId) {
        self.connections.record_event(now, connection);
        let cancelled = self.requests.find_id(|request| {
            request.connection == connection
                && request.stream == stream
                && request.is_open_without_key()
        });
        if let Some(id) = cancelled {
            self.drop_caller(now, id, stream);
        }
    }

    /// Nobody reads what a lost connection still owes: the admission controller is told of all that was open on it. A
    /// request with a key goes on, for its repeats.
    pub(super) fn handle_connection_closed(&mut self, now: Time, connection: ConnectionId) {
        self.connections.closed(connection);
        let open = self
            .requests
            .ids_where(|request| request.connection == connection && request.is_open_without_key());
        tracing::debug!(
            connection = connection.0,
            dropped = open.len(),
            "connection closed"
        );
        for id in open {
            self.drop_caller(now, id, StreamId(0));
        }
    }

    fn drop_caller(&mut self, now: Time, id: RequestId, stream: StreamId) {
        self.answer(now, id, Response::Failed(stream));
        let actions = self.admission.caller_gone(now, id);
        self.perform_all(now, actions);
    }
}
