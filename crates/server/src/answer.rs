//! The way back to the sidecars: who is connected, what is said to them, and the writing of it.
use crate::input::ConnId;
use crate::wire::sidecar::Reply;
use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use cottondyke_decide::types::{Time, SECOND};
use futures_lite::{AsyncWriteExt, FutureExt};
use std::cell::Cell;
use std::collections::BTreeMap;
use std::io;
use std::net::TcpStream;
use std::time::Duration;

/// A sidecar that takes nothing for this long is given up.
const STUCK: Duration = Duration::from_secs(5);
/// From telling a sidecar to send no more to closing; what crosses takes at most 50 ms. The second holds where
/// other connections need the room.
const CROSSING: Time = SECOND;
const CROSSING_AT_LEAST: Time = Time(1_000);
/// A connection that has sent nothing yet is no worse than others for this long.
const YOUNG: Time = Time(1_000);

/// An encoded reply, and whether it settles a req.
pub struct Parcel {
    bytes: Vec<u8>,
    settles: bool,
}

/// Writes what the desk hands over, until it hands over no more.
pub async fn write(stream: &Async<TcpStream>, parcels: Receiver<Parcel>, open: &Cell<usize>) {
    let mut bytes = Vec::new();
    while let Ok(first) = parcels.recv().await {
        let mut settled = 0;
        bytes.clear();
        for parcel in std::iter::once(first).chain(std::iter::from_fn(|| parcels.try_recv().ok())) {
            bytes.extend_from_slice(&parcel.bytes);
            settled += usize::from(parcel.settles);
        }
        let stuck = async {
            Timer::after(STUCK).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        if (&mut &*stream).write_all(&bytes).or(stuck).await.is_err() {
            return;
        }
        open.set(open.get().saturating_sub(settled));
    }
}

struct Outlet {
    parcels: Sender<Parcel>,
    open: usize,
    /// Whether it has ever carried anything.
    heard: bool,
    /// Whether the engine has known a req of it.
    proven: bool,
    /// When it last carried something.
    used: Time,
    /// When the sidecar was told to send no more.
    told: Option<Time>,
    /// To be closed once nothing is open.
    ending: bool,
}

/// The connections, as the desk knows them.
#[derive(Default)]
pub struct Outlets {
    conns: BTreeMap<ConnId, Outlet>,
    /// The free value that goes out with every answer and check.
    pub say: Option<f64>,
}

impl Outlets {
    pub fn opened(&mut self, now: Time, conn: ConnId, parcels: Sender<Parcel>) {
        self.conns.insert(
            conn,
            Outlet { parcels, open: 0, heard: false, proven: false, used: now, told: None, ending: false },
        );
    }

    pub fn closed(&mut self, conn: ConnId) {
        self.conns.remove(&conn);
    }

    pub fn took(&mut self, now: Time, conn: ConnId) {
        if let Some(outlet) = self.conns.get_mut(&conn) {
            outlet.open += 1;
            outlet.heard = true;
            outlet.used = now;
        }
    }

    pub fn prove(&mut self, conn: ConnId) {
        self.conns.entry(conn).and_modify(|o| o.proven = true);
    }

    pub fn proven(&self, conn: ConnId) -> bool {
        self.conns.get(&conn).is_some_and(|o| o.proven)
    }

    /// Sends a reply where the connection still stands. One whose queue is full reads nothing: it is dropped.
    pub fn send(&mut self, now: Time, conn: ConnId, reply: &Reply) {
        let Some(outlet) = self.conns.get_mut(&conn) else { return };
        let mut bytes = Vec::new();
        let settles = reply.settles();
        reply.encode(self.say, &mut bytes);
        if outlet.parcels.try_send(Parcel { bytes, settles }).is_err() {
            tracing::warn!(conn = conn.0, "a sidecar reads nothing; its connection is dropped");
            self.conns.remove(&conn);
            return;
        }
        outlet.used = now;
        outlet.heard = true;
        outlet.open -= usize::from(settles).min(outlet.open);
        self.end_if_settled(conn);
    }

    pub fn fault(&mut self, now: Time, conn: ConnId, why: &'static str) {
        self.send(now, conn, &Reply::Fault(why));
        self.end(conn);
    }

    /// Closes the connection once nothing is open on it.
    pub fn end(&mut self, conn: ConnId) {
        if let Some(outlet) = self.conns.get_mut(&conn) {
            outlet.ending = true;
        }
        self.end_if_settled(conn);
    }

    fn end_if_settled(&mut self, conn: ConnId) {
        if self.conns.get(&conn).is_some_and(|o| o.ending && o.open == 0) {
            self.conns.remove(&conn);
        }
    }

    /// Tells every sidecar that was not told yet to send no more.
    pub fn no_more(&mut self, now: Time) {
        let untold: Vec<_> = self.conns.iter().filter(|(_, o)| o.told.is_none()).map(|(c, _)| *c).collect();
        untold.into_iter().for_each(|conn| self.tell(now, conn));
    }

    fn tell(&mut self, now: Time, conn: ConnId) {
        self.send(now, conn, &Reply::NoMore);
        if let Some(outlet) = self.conns.get_mut(&conn) {
            outlet.told = Some(now);
        }
    }

    /// Of `taken` connections, closing ones among them, `most` may stay: those of least use go. First those that
    /// never sent anything; of the idle the longest unused are told, and closed once nothing can cross any longer.
    pub fn make_room(&mut self, now: Time, taken: usize, most: usize) {
        let Some(over) = taken.checked_sub(most).filter(|over| *over > 0) else { return };
        self.conns.retain(|_, o| o.open > 0 || o.told.is_none_or(|at| now - at < CROSSING_AT_LEAST));
        let told = self.conns.values().filter(|o| o.told.is_some()).count();
        let going = taken.saturating_sub(self.conns.len()) + told;
        let idle = self.conns.iter().filter(|(_, o)| o.open == 0 && o.told.is_none());
        let mut idle: Vec<_> =
            idle.map(|(conn, o)| (o.heard || now - o.used < YOUNG, o.used, *conn)).collect();
        idle.sort_unstable();
        for (heard, _, conn) in idle.into_iter().take(over.saturating_sub(going)) {
            if heard {
                self.tell(now, conn);
            } else {
                self.fault(now, conn, "no room for a connection that sends nothing");
            }
        }
    }

    /// Connections told to close are closed after what may cross.
    pub fn chores(&mut self, now: Time) {
        self.conns.retain(|_, o| o.open > 0 || o.told.is_none_or(|at| now - o.used.max(at) < CROSSING));
    }

    /// Whether nothing is open or waits to be written.
    pub fn settled(&self) -> bool {
        self.conns.values().all(|o| o.open == 0 && o.parcels.is_empty())
    }

    pub fn count(&self) -> usize {
        self.conns.len()
    }
}
