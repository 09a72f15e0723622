//! The way back to the sidecars: who is connected, what is said to them, and the writing of it.
use crate::event::{ConnectionId, Outgoing};
use crate::protocol::sidecar::Response;
use async_channel::Sender;
use cottondyke_types::{Time, SECOND};
use std::collections::BTreeMap;

/// From telling a sidecar to send no more to closing; what crosses takes at most 50 ms. The second holds where
/// other connections need the room.
const CROSSING: Time = SECOND;
const CROSSING_AT_LEAST: Time = Time(1_000);
/// Making room is asked for again no sooner than this.
const ROOM_AGAIN: Time = Time(100);
/// A connection that has sent nothing yet is no worse than others for this long.
const YOUNG: Time = Time(1_000);

struct Connection {
    /// None once the desk has nothing more to say here: the writer writes what it has and closes.
    outgoing: Option<Sender<Outgoing>>,
    /// Reqs and checks that wait for their answer.
    open: usize,
    /// Inputs taken from it.
    taken: u64,
    /// Whether it has ever carried anything.
    heard: bool,
    /// Whether the engine has known a req of it.
    proven: bool,
    /// When it last carried something.
    used: Time,
    /// When the sidecar was told to send no more.
    told: Option<Time>,
    /// Whether it was asked to close, and nothing came since.
    closing: bool,
    /// To be closed once nothing is open: nothing more is read from it.
    ending: bool,
}

impl Connection {
    fn idle(&self) -> bool {
        self.open == 0 && !self.closing && self.outgoing.is_some()
    }
}

/// The connections, as the desk knows them: from their opening until they are closed, their last bytes written.
#[derive(Default)]
pub struct ConnectionTable {
    conns: BTreeMap<ConnectionId, Connection>,
    /// The free value that goes out with every answer and check.
    pub say: Option<f64>,
}

impl ConnectionTable {
    pub fn opened(&mut self, now: Time, conn: ConnectionId, outgoing: Sender<Outgoing>) {
        let connection = Connection {
            outgoing: Some(outgoing),
            open: 0,
            taken: 0,
            heard: false,
            proven: false,
            used: now,
            told: None,
            closing: false,
            ending: false,
        };
        self.conns.insert(conn, connection);
    }

    pub fn closed(&mut self, conn: ConnectionId) {
        self.conns.remove(&conn);
    }

    /// A req or a check came on it. False where it can carry no answer any more: what came must not run.
    pub fn took(&mut self, now: Time, conn: ConnectionId) -> bool {
        let live = self.heard(now, conn);
        if let Some(connection) = self.conns.get_mut(&conn).filter(|_| live) {
            connection.open += 1;
        }
        live
    }

    /// Something came on it, be it what needs no answer. False where it can carry none any more.
    pub fn heard(&mut self, now: Time, conn: ConnectionId) -> bool {
        let Some(connection) = self.conns.get_mut(&conn).filter(|o| o.outgoing.is_some()) else {
            return false;
        };
        connection.taken += 1;
        (connection.heard, connection.used, connection.closing) = (true, now, false);
        true
    }

    pub fn prove(&mut self, conn: ConnectionId) {
        self.conns.entry(conn).and_modify(|o| o.proven = true);
    }

    pub fn proven(&self, conn: ConnectionId) -> bool {
        self.conns.get(&conn).is_some_and(|o| o.proven)
    }

    /// Sends a reply where the connection still stands. One whose queue is full reads nothing: it is dropped.
    pub fn send(&mut self, now: Time, conn: ConnectionId, reply: &Response) {
        let Some(connection) = self.conns.get_mut(&conn) else {
            return;
        };
        let Some(outgoing) = &connection.outgoing else {
            return;
        };
        let mut bytes = Vec::new();
        let settles = reply.settles();
        reply.encode(self.say, &mut bytes);
        if outgoing
            .try_send(Outgoing::Response { bytes, settles })
            .is_err()
        {
            tracing::warn!(
                conn = conn.0,
                "a sidecar reads nothing; its connection is dropped"
            );
            connection.outgoing = None;
            return;
        }
        (connection.used, connection.heard) = (now, true);
        connection.open -= usize::from(reply.answers()).min(connection.open);
        self.end_if_settled(conn);
    }

    pub fn fault(&mut self, now: Time, conn: ConnectionId, why: &'static str) {
        self.send(now, conn, &Response::Fault(why));
        self.end(conn);
    }

    /// Closes the connection, from which nothing more is read, once nothing is open on it.
    pub fn end(&mut self, conn: ConnectionId) {
        if let Some(connection) = self.conns.get_mut(&conn) {
            connection.ending = true;
        }
        self.end_if_settled(conn);
    }

    fn end_if_settled(&mut self, conn: ConnectionId) {
        if let Some(connection) = self
            .conns
            .get_mut(&conn)
            .filter(|o| o.ending && o.open == 0)
        {
            connection.outgoing = None;
        }
    }

    /// Tells every sidecar that was not told yet to send no more.
    pub fn no_more(&mut self, now: Time) {
        let untold: Vec<_> = self
            .conns
            .iter()
            .filter(|(_, o)| o.told.is_none())
            .map(|(c, _)| *c)
            .collect();
        untold.into_iter().for_each(|conn| self.tell(now, conn));
    }

    fn tell(&mut self, now: Time, conn: ConnectionId) {
        self.send(now, conn, &Response::NoMore);
        if let Some(connection) = self.conns.get_mut(&conn) {
            connection.told = Some(now);
        }
    }

    /// Asks the connections that are idle and to `go` to close. One on which something was read meanwhile stays
    /// until that is answered.
    fn close(&mut self, go: impl Fn(&Connection) -> bool) {
        for connection in self.conns.values_mut().filter(|o| o.idle() && go(o)) {
            let close = Outgoing::Close {
                taken: connection.taken,
            };
            connection.closing = connection
                .outgoing
                .as_ref()
                .is_some_and(|outgoing| outgoing.try_send(close).is_ok());
        }
    }

    /// Of `taken` connections, closing ones among them, `most` may stay: those of least use are told and go. First
    /// those that never sent anything, at once; of the idle the longest unused, once nothing can cross any longer: then
    /// this is to be asked again.
    pub fn make_room(&mut self, now: Time, taken: usize, most: usize) -> Option<Time> {
        let over = taken.checked_sub(most).filter(|over| *over > 0)?;
        let goes = |o: &Connection| o.told.is_some() || o.closing || o.outgoing.is_none();
        let going = self.conns.values().filter(|o| goes(o)).count();
        let idle = self.conns.iter().filter(|(_, o)| o.idle() && !goes(o));
        let mut idle: Vec<_> = idle
            .map(|(conn, o)| (o.heard || now - o.used < YOUNG, o.used, *conn))
            .collect();
        idle.sort_unstable();
        for (heard, _, conn) in idle.into_iter().take(over.saturating_sub(going)) {
            self.tell(now, conn);
            if let Some(connection) = self.conns.get_mut(&conn).filter(|_| !heard) {
                // It has sent nothing for so long that it counts as told for long enough.
                connection.told = Some(now - CROSSING_AT_LEAST);
            }
        }
        self.close(|o| o.told.is_some_and(|at| now - at >= CROSSING_AT_LEAST));
        let told = self
            .conns
            .values()
            .filter(|o| o.idle())
            .filter_map(|o| o.told);
        // One whose queue takes no close is asked again a little later.
        told.min()
            .map(|at| (at + CROSSING_AT_LEAST).max(now + ROOM_AGAIN))
    }

    /// Connections told to close are closed after what may cross: the longer time, or where the server leaves and
    /// has stopped listening the shorter one.
    pub fn chores(&mut self, now: Time, leaves: bool) {
        let crossing = if leaves { CROSSING_AT_LEAST } else { CROSSING };
        self.close(|o| o.told.is_some_and(|at| now - o.used.max(at) >= crossing));
    }

    /// All that are idle close, whenever they were told.
    pub fn close_idle(&mut self) {
        self.close(|_| true);
    }

    /// How many still stand.
    pub fn count(&self) -> usize {
        self.conns.len()
    }
}
