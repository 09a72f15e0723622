//! One sidecar's connection: reads frames and hands them to the desk, writes what the desk answers.
use crate::answer::{self, Outgoing, Progress, Written};
use crate::input::{ConnId, Input};
use crate::room::Room;
use crate::wire::sidecar::{Decoder, Message, Names};
use crate::wire::Malformed;
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
pub struct Front {
    pub names: Rc<Names>,
    pub room: Rc<Room>,
    pub desk: Sender<Input>,
    /// How long a sidecar may take nothing of what is written to it.
    pub write_timeout: Duration,
}

/// How a sidecar stopped sending.
enum End {
    /// It has sent its last, and may still read.
    Finished,
    /// The connection is no more.
    Gone,
}

pub async fn serve(conn: ConnId, stream: Async<TcpStream>, front: &Front) {
    let _ = stream.get_ref().set_nodelay(true);
    let (writer, outgoing) = async_channel::bounded::<Outgoing>(MOST_WAITING);
    if front.desk.send(Input::Opened(conn, writer)).await.is_err() {
        return;
    }
    let progress = Progress::default();
    let over = outgoing.clone();
    let reading = async {
        let last = match read(conn, &stream, front, &progress, &over).await {
            Ok(End::Gone) => return Written::Broken,
            Ok(End::Finished) => Input::Finished(conn),
            Err(Malformed(why)) => Input::Malformed(conn, why),
        };
        let _ = front.desk.send(last).await;
        // The writer ends the connection once the desk has settled what is open.
        std::future::pending().await
    };
    let ended = reading
        .or(answer::write(
            &stream,
            outgoing,
            &progress,
            front.write_timeout,
        ))
        .await;
    drop(over);
    // From here on nothing that comes is handed on: what is read after the half-close could not be answered.
    if ended == Written::All && stream.get_ref().shutdown(Shutdown::Write).is_ok() {
        let late = async {
            Timer::after(LINGER).await;
        };
        linger(&stream, front).or(late).await;
    }
}

async fn linger(stream: &Async<TcpStream>, front: &Front) {
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
    conn: ConnId,
    stream: &Async<TcpStream>,
    front: &Front,
    progress: &Progress,
    over: &Receiver<Outgoing>,
) -> Result<End, Malformed> {
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
                take(stream.get_ref()).map_err(|_| Malformed("no whole frame in time"))?
            }
            Ok(count) => count,
            Err(_) => return Ok(End::Gone),
        };
        if count == 0 {
            let midway = decoder.midway() > 0;
            return if midway {
                Err(Malformed("the connection ended in a frame"))
            } else {
                Ok(End::Finished)
            };
        }
        // Nothing more is taken from a sidecar that was cut off.
        if over.is_closed() {
            return Ok(End::Finished);
        }
        let mut any = false;
        while let Some(message) = decoder.message()? {
            any = true;
            let input = match message {
                Message::Req(req) if progress.open.get() < MOST_OPEN => Input::Req(conn, req),
                Message::Req(req) => Input::Surplus(conn, req.stream),
                Message::Unfit(stream, why) => Input::Unfit(conn, stream, why),
                Message::Check { stream, deep } => Input::Check { conn, stream, deep },
                Message::Cancel(stream) => Input::Cancelled(conn, stream),
            };
            if !matches!(input, Input::Check { .. } | Input::Cancelled(..)) {
                progress.open.set(progress.open.get() + 1);
            }
            progress.read.set(progress.read.get() + 1);
            if front.desk.send(input).await.is_err() {
                return Ok(End::Finished);
            }
        }
        progress.midway.set(decoder.midway() > 0);
        whole_by = match (decoder.midway(), any) {
            (0, true) => None,
            (_, true) => Some(Instant::now() + WHOLE_WITHIN),
            (_, false) => whole_by.or_else(|| Some(Instant::now() + WHOLE_WITHIN)),
        };
        if !part.set(decoder.midway().saturating_sub(SMALL)) {
            return Err(Malformed("too much lies here in unfinished frames"));
        }
        // One that sends without a pause takes its turn beside the others.
        future::yield_now().await;
    }
}
