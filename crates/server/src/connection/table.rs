//! The dispatcher's table of connections. A connection is listed from its opening until its last bytes are written and
//! it is closed. The table decides which connections to close, and when.
use super::reader::MAX_IN_FLIGHT;
use crate::connection_account::ConnectionAccount;
use crate::event::{ConnectionHandle, ConnectionId, Outgoing};
use crate::protocol::sidecar::Response;
use crate::protocol::ProtocolError;
use crate::resource_limits::ConnectionCount;
use async_channel::Sender;
use cottondyke_types::{Time, SECOND};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Time between sending go-away to a sidecar and closing its connection. Requests that are in transit when go-away is
/// sent arrive within 50 ms. `MIN_CLOSE_DELAY` applies when connections are evicted to make room for others, and during
/// a shutdown.
const CLOSE_DELAY: Time = SECOND;
const MIN_CLOSE_DELAY: Time = Time(1_000);
/// Maximum number of messages that wait for a connection's writer; health statuses and errors count too.
const MAX_PENDING_RESPONSES: usize = 4 * MAX_IN_FLIGHT;
/// Minimum time until eviction is attempted again.
const EVICTION_INTERVAL: Time = Time(100);
/// For this long after it was opened, a connection that has sent nothing yet is not evicted before others.
const UNUSED_GRACE_PERIOD: Time = Time(1_000);

/// For this long after it was last used, a connection of a client that the engine knows is not evicted.
const ACTIVE_PERIOD: Time = SECOND;

/// How useful a connection is, the least useful first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Usefulness {
    /// Nothing was sent or received since it was opened, at least `UNUSED_GRACE_PERIOD` ago.
    Unused,
    /// It was used, or opened only just now.
    Usual,
    /// The engine knows its client, and it was used within `ACTIVE_PERIOD`.
    Active,
}

struct Connection {
    /// `None` once the dispatcher sends nothing more here: the writer then writes its queue and closes the connection.
    outgoing: Option<Sender<Outgoing>>,
    account: Rc<ConnectionAccount>,
    /// Requests and health checks that have not been answered.
    in_flight: usize,
    /// Number of events that the dispatcher has processed from this connection.
    events_processed: u64,
    /// Whether anything was ever sent or received on it.
    was_used: bool,
    /// Whether it is verified: the engine has recognized a request that was read from it.
    is_verified: bool,
    /// When something was last sent or received on it, or when it was opened.
    last_used: Time,
    /// When go-away was sent, which asks the sidecar to send no more requests.
    go_away_at: Option<Time>,
    /// Whether its writer was asked to close it and nothing has been read from it since.
    close_requested: bool,
    /// Whether it is to be closed once nothing is in flight. Nothing more is read from it.
    is_draining: bool,
}

impl Connection {
    fn is_idle(&self) -> bool {
        self.in_flight == 0 && !self.close_requested && self.outgoing.is_some()
    }

    fn usefulness(&self, now: Time) -> Usefulness {
        let unused_for = now - self.last_used;
        if !self.was_used && unused_for >= UNUSED_GRACE_PERIOD {
            Usefulness::Unused
        } else if self.is_verified && unused_for < ACTIVE_PERIOD {
            Usefulness::Active
        } else {
            Usefulness::Usual
        }
    }

    /// Whether a response can reach the sidecar: the dispatcher has not dropped the connection, and it is not broken.
    fn can_send(&self) -> bool {
        let outgoing = self.outgoing.as_ref();
        outgoing.is_some_and(|outgoing| !outgoing.is_closed())
    }

    /// Whether go-away was sent or the connection is already being closed.
    fn is_scheduled_to_close(&self) -> bool {
        self.go_away_at.is_some() || self.close_requested || self.outgoing.is_none()
    }
}

/// The open connections of sidecars.
#[derive(Default)]
pub struct ConnectionTable {
    connections: BTreeMap<ConnectionId, Connection>,
    /// The load advice that is sent with every response and health status.
    pub advice: Option<f64>,
}

impl ConnectionTable {
    /// Adds a new connection.
    pub fn insert(&mut self, now: Time, id: ConnectionId, handle: ConnectionHandle) {
        let connection = Connection {
            outgoing: Some(handle.outgoing),
            account: handle.account,
            in_flight: 0,
            events_processed: 0,
            was_used: false,
            is_verified: false,
            last_used: now,
            go_away_at: None,
            close_requested: false,
            is_draining: false,
        };
        self.connections.insert(id, connection);
    }

    /// Removes a connection that has been closed.
    pub fn remove(&mut self, id: ConnectionId) {
        self.connections.remove(&id);
    }

    /// Records that a request or a health check was read. Returns false if the connection can carry no response any
    /// more, in which case the request must not run.
    pub fn record_request(&mut self, now: Time, id: ConnectionId) -> bool {
        let is_live = self.record_event(now, id);
        if let Some(connection) = self.connections.get_mut(&id).filter(|_| is_live) {
            connection.in_flight += 1;
        }
        is_live
    }

    /// Records that any frame was read, including one that needs no response. Returns false if the connection can carry
    /// no response any more.
    pub fn record_event(&mut self, now: Time, id: ConnectionId) -> bool {
        let connection = self.connections.get_mut(&id);
        let Some(connection) = connection.filter(|c| c.can_send()) else {
            return false;
        };
        connection.events_processed += 1;
        connection.was_used = true;
        connection.last_used = now;
        connection.close_requested = false;
        true
    }

    /// Records that the engine has recognized a request that was read from this connection.
    pub fn mark_verified(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.is_verified = true;
            connection.account.set_verified(true);
        }
    }

    /// Whether this connection is verified.
    pub fn is_verified(&self, id: ConnectionId) -> bool {
        self.connections.get(&id).is_some_and(|c| c.is_verified)
    }

    /// Sends a response if the connection is still open. A full queue means that the sidecar reads too slowly: its
    /// connection is dropped.
    pub fn send(&mut self, now: Time, id: ConnectionId, response: &Response) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        let Some(outgoing) = &connection.outgoing else {
            return;
        };
        let message = encode(&connection.account, response, self.advice);
        if outgoing.len() >= MAX_PENDING_RESPONSES || outgoing.try_send(message).is_err() {
            tracing::warn!(
                connection = id.0,
                "sidecar reads too slowly; dropping its connection"
            );
            connection.outgoing = None;
            return;
        }
        connection.last_used = now;
        connection.was_used = true;
        connection.in_flight -= usize::from(response.is_answer()).min(connection.in_flight);
        self.close_if_drained(id);
    }

    /// Sends the error to the sidecar, then drains and closes the connection.
    pub fn close_with_error(&mut self, now: Time, id: ConnectionId, error: ProtocolError) {
        self.send(now, id, &Response::ConnectionError(error.message()));
        self.close_when_drained(id);
    }

    /// Closes the connection, from which nothing more is read, as soon as nothing is in flight on it.
    pub fn close_when_drained(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.is_draining = true;
        }
        self.close_if_drained(id);
    }

    fn close_if_drained(&mut self, id: ConnectionId) {
        let connection = self.connections.get_mut(&id);
        if let Some(connection) = connection.filter(|c| c.is_draining && c.in_flight == 0) {
            connection.outgoing = None;
        }
    }

    /// Sends go-away on every connection on which it has not been sent yet.
    pub fn send_go_away_to_all(&mut self, now: Time) {
        let pending: Vec<_> = self
            .connections
            .iter()
            .filter(|(_, connection)| connection.go_away_at.is_none())
            .map(|(id, _)| *id)
            .collect();
        for id in pending {
            self.send_go_away(now, id);
        }
    }

    fn send_go_away(&mut self, now: Time, id: ConnectionId) {
        tracing::debug!(connection = id.0, "sending go-away to a sidecar");
        self.send(now, id, &Response::GoAway);
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.go_away_at = Some(now);
        }
    }

    /// Asks the writers of the idle connections that match `predicate` to close them. A connection on which something
    /// was read in the meantime stays open until that is answered.
    fn close_idle_where(&mut self, predicate: impl Fn(&Connection) -> bool) {
        let idle = self.connections.iter_mut().filter(|(_, c)| c.is_idle());
        for (id, connection) in idle.filter(|(_, c)| predicate(c)) {
            tracing::debug!(connection = id.0, "closing an idle connection");
            let close = Outgoing::Close {
                events_processed: connection.events_processed,
            };
            connection.close_requested = connection
                .outgoing
                .as_ref()
                .is_some_and(|outgoing| outgoing.try_send(close).is_ok());
        }
    }

    /// Evicts idle connections in excess of the target, the least useful first. Connections on which nothing was sent
    /// or received since they were opened, at least `UNUSED_GRACE_PERIOD` ago, are closed at once; then the others, the least
    /// recently used first and not those of active known clients, are sent go-away and closed after `MIN_CLOSE_DELAY`, when no request can be in
    /// transit any more. Returns when to call this again.
    pub fn evict_excess(&mut self, now: Time, count: ConnectionCount) -> Option<Time> {
        let excess = count
            .open
            .checked_sub(count.target)
            .filter(|excess| *excess > 0)?;
        let closing = self
            .connections
            .values()
            .filter(|c| c.is_scheduled_to_close())
            .count();
        let candidates = self
            .connections
            .iter()
            .filter(|(_, c)| c.is_idle() && !c.is_scheduled_to_close());
        let mut candidates: Vec<_> = candidates
            .map(|(id, c)| (c.usefulness(now), c.last_used, *id))
            .filter(|(usefulness, _, _)| *usefulness < Usefulness::Active)
            .collect();
        candidates.sort_unstable();
        for (usefulness, _, id) in candidates.into_iter().take(excess.saturating_sub(closing)) {
            self.send_go_away(now, id);
            let connection = self.connections.get_mut(&id);
            if let Some(connection) = connection.filter(|_| usefulness == Usefulness::Unused) {
                // It has sent nothing for so long that no request can be in transit: close it without the delay.
                connection.go_away_at = Some(now - MIN_CLOSE_DELAY);
            }
        }
        self.close_idle_where(|c| c.go_away_at.is_some_and(|at| now - at >= MIN_CLOSE_DELAY));
        let waiting = self.connections.values().filter(|c| c.is_idle());
        // If a connection's queue is full and takes no close, the next call tries again after `EVICTION_INTERVAL`.
        waiting
            .filter_map(|c| c.go_away_at)
            .min()
            .map(|at| (at + MIN_CLOSE_DELAY).max(now + EVICTION_INTERVAL))
    }

    /// Closes idle connections on which go-away was sent, after a delay for requests that are still in transit:
    /// `CLOSE_DELAY`, or `MIN_CLOSE_DELAY` once the server `is_closing` and has stopped listening.
    pub fn close_after_go_away(&mut self, now: Time, is_closing: bool) {
        let delay = if is_closing {
            MIN_CLOSE_DELAY
        } else {
            CLOSE_DELAY
        };
        self.close_idle_where(|c| {
            c.go_away_at
                .is_some_and(|at| now - c.last_used.max(at) >= delay)
        });
    }

    /// Closes all idle connections, whether or not go-away was sent on them and however recently.
    pub fn close_idle(&mut self) {
        self.close_idle_where(|_| true);
    }

    /// Number of open connections.
    pub fn count(&self) -> usize {
        self.connections.len()
    }
}

/// Encodes a response and counts its memory. If there is none for a large result, its request is answered as failed.
fn encode(account: &ConnectionAccount, response: &Response, advice: Option<f64>) -> Outgoing {
    let bytes = response.to_bytes(advice);
    let memory = match (account.charge_answer(bytes.capacity()), response) {
        (Some(memory), _) => memory,
        (None, Response::Completed(stream, _)) => {
            tracing::warn!(
                bytes = bytes.len(),
                "no memory for a result; its request fails"
            );
            return encode(account, &Response::Failed(*stream), advice);
        }
        // Only results are large.
        (None, _) => account.memory().charge(bytes.capacity()),
    };
    Outgoing::Response {
        bytes,
        settles: response.settled_stream(),
        memory,
    }
}
