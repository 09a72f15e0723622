//! The table of connections, as the dispatcher knows them: from their opening until they are closed, their last bytes
//! written. Says which of them are to close, and when.
use crate::event::{ConnectionId, Outgoing};
use crate::protocol::sidecar::Response;
use crate::protocol::ProtocolError;
use crate::resource_limits::ConnectionCount;
use async_channel::Sender;
use cottondyke_types::{Time, SECOND};
use std::collections::BTreeMap;

/// From telling a sidecar to send no more to closing; what crosses takes at most 50 ms. The shorter time holds where
/// other connections need the place, and during a shutdown.
const CLOSE_DELAY: Time = SECOND;
const MIN_CLOSE_DELAY: Time = Time(1_000);
/// Eviction is asked for again no sooner than this.
const EVICTION_INTERVAL: Time = Time(100);
/// A connection that has sent nothing yet is not evicted before others for this long.
const SILENT_GRACE: Time = Time(1_000);

struct Connection {
    /// None once the dispatcher has nothing more to say here: the writer writes what it has and closes.
    outgoing: Option<Sender<Outgoing>>,
    /// Requests and checks that wait for their response.
    in_flight: usize,
    /// Events taken from it.
    taken: u64,
    /// Whether it has ever carried anything.
    was_used: bool,
    /// Whether the engine has known a request of it.
    is_proven: bool,
    /// When it last carried something, or was opened.
    last_used: Time,
    /// When the sidecar was told to send no more.
    go_away_at: Option<Time>,
    /// Whether it was asked to close, and nothing came since.
    is_closing: bool,
    /// To be closed once nothing is in flight: nothing more is read from it.
    is_ending: bool,
}

impl Connection {
    fn is_idle(&self) -> bool {
        self.in_flight == 0 && !self.is_closing && self.outgoing.is_some()
    }

    /// Whether it was told to go, or goes already.
    fn is_going(&self) -> bool {
        self.go_away_at.is_some() || self.is_closing || self.outgoing.is_none()
    }
}

/// The connections of sidecars.
#[derive(Default)]
pub struct ConnectionTable {
    connections: BTreeMap<ConnectionId, Connection>,
    /// The load advice that goes out with every response and health status.
    pub advice: Option<f64>,
}

impl ConnectionTable {
    /// A connection stands; its writer takes what is sent to `outgoing`.
    pub fn opened(&mut self, now: Time, id: ConnectionId, outgoing: Sender<Outgoing>) {
        let connection = Connection {
            outgoing: Some(outgoing),
            in_flight: 0,
            taken: 0,
            was_used: false,
            is_proven: false,
            last_used: now,
            go_away_at: None,
            is_closing: false,
            is_ending: false,
        };
        self.connections.insert(id, connection);
    }

    /// The connection is no more.
    pub fn closed(&mut self, id: ConnectionId) {
        self.connections.remove(&id);
    }

    /// A request or a health check was read from it. False where it can carry no response any more: what was read must
    /// not run.
    pub fn record_request(&mut self, now: Time, id: ConnectionId) -> bool {
        let is_live = self.record_event(now, id);
        if let Some(connection) = self.connections.get_mut(&id).filter(|_| is_live) {
            connection.in_flight += 1;
        }
        is_live
    }

    /// Something was read from it, be it what needs no response. False where it can carry none any more.
    pub fn record_event(&mut self, now: Time, id: ConnectionId) -> bool {
        let connection = self.connections.get_mut(&id);
        let Some(connection) = connection.filter(|c| c.outgoing.is_some()) else {
            return false;
        };
        connection.taken += 1;
        connection.was_used = true;
        connection.last_used = now;
        connection.is_closing = false;
        true
    }

    /// The engine has known a request of it.
    pub fn mark_proven(&mut self, id: ConnectionId) {
        self.connections
            .entry(id)
            .and_modify(|connection| connection.is_proven = true);
    }

    /// Whether the engine has known a request of it.
    pub fn is_proven(&self, id: ConnectionId) -> bool {
        self.connections.get(&id).is_some_and(|c| c.is_proven)
    }

    /// Sends a response where the connection still stands. A sidecar whose queue is full reads too slowly: its
    /// connection is dropped.
    pub fn send(&mut self, now: Time, id: ConnectionId, response: &Response) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        let Some(outgoing) = &connection.outgoing else {
            return;
        };
        let mut bytes = Vec::new();
        response.encode(self.advice, &mut bytes);
        let message = Outgoing::Response {
            bytes,
            settles_request: response.settles_request(),
        };
        if outgoing.try_send(message).is_err() {
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
        self.end_if_settled(id);
    }

    /// Tells the sidecar why its connection ends, and ends it.
    pub fn fail(&mut self, now: Time, id: ConnectionId, error: ProtocolError) {
        self.send(now, id, &Response::ConnectionError(error.message()));
        self.end(id);
    }

    /// Closes the connection, from which nothing more is read, once nothing is in flight on it.
    pub fn end(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.is_ending = true;
        }
        self.end_if_settled(id);
    }

    fn end_if_settled(&mut self, id: ConnectionId) {
        let connection = self.connections.get_mut(&id);
        if let Some(connection) = connection.filter(|c| c.is_ending && c.in_flight == 0) {
            connection.outgoing = None;
        }
    }

    /// Tells every sidecar that was not told yet to send no more.
    pub fn send_go_away_to_all(&mut self, now: Time) {
        let untold: Vec<_> = self
            .connections
            .iter()
            .filter(|(_, connection)| connection.go_away_at.is_none())
            .map(|(id, _)| *id)
            .collect();
        for id in untold {
            self.send_go_away(now, id);
        }
    }

    fn send_go_away(&mut self, now: Time, id: ConnectionId) {
        tracing::debug!(connection = id.0, "telling a sidecar to send no more");
        self.send(now, id, &Response::GoAway);
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.go_away_at = Some(now);
        }
    }

    /// Asks those idle connections to close that `selects` picks. One on which something was read meanwhile stays until
    /// that is answered.
    fn close_where(&mut self, selects: impl Fn(&Connection) -> bool) {
        let idle = self.connections.iter_mut().filter(|(_, c)| c.is_idle());
        for (id, connection) in idle.filter(|(_, c)| selects(c)) {
            tracing::debug!(connection = id.0, "closing an idle connection");
            let close = Outgoing::Close {
                taken: connection.taken,
            };
            connection.is_closing = connection
                .outgoing
                .as_ref()
                .is_some_and(|outgoing| outgoing.try_send(close).is_ok());
        }
    }

    /// Evicts the connections past the target, the least useful first: those that never sent anything, at once; then
    /// the idle, the longest unused first, once nothing can cross the close any longer. Returns when this is to be
    /// asked again.
    pub fn evict_excess(&mut self, now: Time, count: ConnectionCount) -> Option<Time> {
        let excess = count
            .open
            .checked_sub(count.target)
            .filter(|excess| *excess > 0)?;
        let going = self.connections.values().filter(|c| c.is_going()).count();
        let candidates = self
            .connections
            .iter()
            .filter(|(_, c)| c.is_idle() && !c.is_going());
        let mut candidates: Vec<_> = candidates
            .map(|(id, c)| {
                let is_useful = c.was_used || now - c.last_used < SILENT_GRACE;
                (is_useful, c.last_used, *id)
            })
            .collect();
        candidates.sort_unstable();
        for (is_useful, _, id) in candidates.into_iter().take(excess.saturating_sub(going)) {
            self.send_go_away(now, id);
            if let Some(connection) = self.connections.get_mut(&id).filter(|_| !is_useful) {
                // It has sent nothing for so long that it counts as told for long enough.
                connection.go_away_at = Some(now - MIN_CLOSE_DELAY);
            }
        }
        self.close_where(|c| c.go_away_at.is_some_and(|at| now - at >= MIN_CLOSE_DELAY));
        let waiting = self.connections.values().filter(|c| c.is_idle());
        // One whose queue takes no close is asked again a little later.
        waiting
            .filter_map(|c| c.go_away_at)
            .min()
            .map(|at| (at + MIN_CLOSE_DELAY).max(now + EVICTION_INTERVAL))
    }

    /// Closes connections that were told to go, after what may cross: the longer time, or the shorter one once the
    /// server `is_closing` and has stopped listening.
    pub fn maintain(&mut self, now: Time, is_closing: bool) {
        let delay = if is_closing {
            MIN_CLOSE_DELAY
        } else {
            CLOSE_DELAY
        };
        self.close_where(|c| {
            c.go_away_at
                .is_some_and(|at| now - c.last_used.max(at) >= delay)
        });
    }

    /// Closes all that are idle, whenever they were told.
    pub fn close_idle(&mut self) {
        self.close_where(|_| true);
    }

    /// How many still stand.
    pub fn count(&self) -> usize {
        self.connections.len()
    }
}
