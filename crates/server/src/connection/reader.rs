//! One sidecar's connection: reads frames and hands them to the desk, writes what the desk answers.
use crate::connection::writer::{self, Progress, WriteOutcome};
use crate::event::{ConnectionId, Event, Outgoing};
use crate::protocol::sidecar::{Decoder, Frame, NameTable};
use crate::protocol::ProtocolError;
use crate::resource_limits::ResourceLimits;
use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use futures_lite::{future, FutureExt};
use std::io::{self, Read};
use std::net::{Shutdown, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Reqs that may be open on one connection.
const MOST_OPEN: usize = 32;
/// Replies that may wait to be written to one connection, checks and faults among them.
const MOST_WAITING: usize = 4 * MOST_OPEN;
/// A frame in part that takes more than this counts against the room for such.
const SMALL: usize = 8_192;
/// From opening, or from a frame's first byte, to a frame's last.
const WHOLE_WITHIN: Duration = Duration::from_millis(1_500);
/// After its half of a connection is closed, what the peer still sends is read and thrown away: a close with bytes
/// unread resets the connection, and may destroy answers that the peer has not taken. It ends with the peer, when
/// nothing has come for the first of these, at the second, or when there is no room.
const LINGER_QUIET: Duration = Duration::from_millis(250);
const LINGER: Duration = Duration::from_millis(2_000);

/// What every connection is served with.
pub struct ConnectionContext {
    pub names: Rc<NameTable>,
    pub room: Rc<ResourceLimits>,
    pub desk: Sender<Event>,
    /// How long a sidecar may take nothing of what is written to it.
    pub write_timeout: Duration,
}

/// How a sidecar stopped sending.
enum End {
    /// It has sent its last, and may still read.
    HalfClosed,
    /// The connection is no more.
    Gone,
}

pub async fn serve(conn: ConnectionId, stream: Async<TcpStream>, front: &ConnectionContext) {
    let _ = stream.get_ref().set_nodelay(true);
    let (writer, outgoing) = async_channel::bounded::<Outgoing>(MOST_WAITING);
    if front.desk.send(Event::Opened(conn, writer)).await.is_err() {
        return;
    }
    let progress = Progress::default();
    let over = outgoing.clone();
    let reading = async {
        let last = match read(conn, &stream, front, &progress, &over).await {
            Ok(End::Gone) => return WriteOutcome::Broken,
            Ok(End::HalfClosed) => Event::HalfClosed(conn),
            Err(ProtocolError(why)) => Event::ProtocolError(conn, why),
        };
        let _ = front.desk.send(last).await;
        // The writer ends the connection once the desk has settled what is open.
        std::future::pending().await
    };
    let ended = reading
        .or(writer::write(
            &stream,
            outgoing,
            &progress,
            front.write_timeout,
        ))
        .await;
    drop(over);
    // From here on nothing that comes is handed on: what is read after the half-close could not be answered.
    if ended == WriteOutcome::All && stream.get_ref().shutdown(Shutdown::Write).is_ok() {
        let late = async {
            Timer::after(LINGER).await;
        };
        linger(&stream, front).or(late).await;
    }
}

async fn linger(stream: &Async<TcpStream>, front: &ConnectionContext) {
    let quiet = || async {
        Timer::after(LINGER_QUIET).await;
        Ok(0)
    };
    let some = |stream: &TcpStream| front.room.read(|bytes| (&mut &*stream).read(bytes), |_| {});
    while !front.room.full()
        && stream
            .read_with(some)
            .or(quiet())
            .await
            .is_ok_and(|count| count > 0)
    {
        future::yield_now().await;
    }
}

/// Reads until the sidecar ends its side, or the desk has let it go.
async fn read(
    conn: ConnectionId,
    stream: &Async<TcpStream>,
    front: &ConnectionContext,
    progress: &Progress,
    over: &Receiver<Outgoing>,
) -> Result<End, ProtocolError> {
    let mut decoder = Decoder::new(front.names.clone());
    let mut part = front.room.part();
    let mut whole_by = Some(Instant::now() + WHOLE_WITHIN);
    loop {
        let mut take = |stream: &TcpStream| {
            front.room.read(
                |bytes| (&mut &*stream).read(bytes),
                |bytes| decoder.feed(bytes),
            )
        };
        let late = async {
            match whole_by {
                Some(by) => drop(Timer::at(by).await),
                None => future::pending().await,
            }
            Err(io::ErrorKind::TimedOut.into())
        };
        let count = match stream.read_with(&mut take).or(late).await {
            // What came in the same moment counts, though the timer was seen first.
            Err(e) if e.kind() == io::ErrorKind::TimedOut && whole_by.is_some() => {
                take(stream.get_ref()).map_err(|_| ProtocolError("no whole frame in time"))?
            }
            Ok(count) => count,
            Err(_) => return Ok(End::Gone),
        };
        if count == 0 {
            let midway = decoder.midway() > 0;
            return if midway {
                Err(ProtocolError("the connection ended in a frame"))
            } else {
                Ok(End::HalfClosed)
            };
        }
        // Nothing more is taken from a sidecar that was cut off.
        if over.is_closed() {
            return Ok(End::HalfClosed);
        }
        let mut any = false;
        while let Some(message) = decoder.message()? {
            any = true;
            let input = match message {
                Frame::Request(req) if progress.open.get() < MOST_OPEN => Event::Request(conn, req),
                Frame::Request(req) => Event::ExcessRequest(conn, req.stream),
                Frame::InvalidRequest(stream, why) => Event::InvalidRequest(conn, stream, why),
                Frame::HealthCheck { stream, deep } => Event::HealthCheck { conn, stream, deep },
                Frame::Cancel(stream) => Event::Cancelled(conn, stream),
            };
            if !matches!(input, Event::HealthCheck { .. } | Event::Cancelled(..)) {
                progress.open.set(progress.open.get() + 1);
            }
            progress.read.set(progress.read.get() + 1);
            if front.desk.send(input).await.is_err() {
                return Ok(End::HalfClosed);
            }
        }
        progress.midway.set(decoder.midway() > 0);
        whole_by = match (decoder.midway(), any) {
            (0, true) => None,
            (_, true) => Some(Instant::now() + WHOLE_WITHIN),
            (_, false) => whole_by.or_else(|| Some(Instant::now() + WHOLE_WITHIN)),
        };
        if !part.set(decoder.midway().saturating_sub(SMALL)) {
            return Err(ProtocolError("too much lies here in unfinished frames"));
        }
        // One that sends without a pause takes its turn beside the others.
        future::yield_now().await;
    }
}
