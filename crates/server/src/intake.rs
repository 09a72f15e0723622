//! One sidecar's connection: reads frames and hands them to the desk, writes what the desk answers.
use crate::answer::{self, Parcel};
use crate::desk::{ConnId, Input};
use crate::wire::sidecar::{Decoder, Message, Names};
use crate::wire::Malformed;
use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, FutureExt};
use std::cell::Cell;
use std::net::{Shutdown, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// Reqs that may be open on one connection.
const MOST_OPEN: usize = 32;
/// Replies that may wait to be written to one connection, checks and faults among them.
const MOST_WAITING: usize = 4 * MOST_OPEN;
const READ: usize = 8_192;
/// What frames that came in part may take on all connections together, each one's first `READ` apart.
const MOST_PARTS: usize = 32 << 20;
/// After the last answer, how long what the peer still sends is read and thrown away.
const LINGER: Duration = Duration::from_millis(500);

/// The room that frames in part take on all connections.
#[derive(Clone, Default)]
pub struct Parts(Rc<Cell<usize>>);

/// One connection's share of it, given back at its end.
struct Part(Parts, usize);

impl Part {
    /// Takes `size` in place of what was taken; false where there is no room.
    fn set(&mut self, size: usize) -> bool {
        let Parts(all) = &self.0;
        all.set(all.get() - self.1 + size);
        self.1 = size;
        size == 0 || all.get() <= MOST_PARTS
    }
}

impl Drop for Part {
    fn drop(&mut self) {
        self.set(0);
    }
}

pub async fn serve(
    conn: ConnId, stream: Async<TcpStream>, names: Rc<Names>, parts: Parts, desk: Sender<Input>,
) {
    let _ = stream.get_ref().set_nodelay(true);
    let (outlet, parcels) = async_channel::bounded::<Parcel>(MOST_WAITING);
    if desk.send(Input::Opened(conn, outlet)).await.is_err() {
        return;
    }
    let open = Cell::new(0);
    let over = parcels.clone();
    let reading = async {
        let last = match read(conn, &stream, names, Part(parts, 0), &desk, &open, &over).await {
            Ok(()) => Input::Finished(conn),
            Err(Malformed(why)) => Input::Malformed(conn, why),
        };
        let _ = desk.send(last).await;
        // The writer ends the connection once the desk has settled what is open.
        std::future::pending::<()>().await
    };
    reading.or(answer::write(&stream, parcels, &open)).await;
    if stream.get_ref().shutdown(Shutdown::Write).is_ok() {
        let rest = async {
            let mut bytes = [0; 1_024];
            while matches!((&stream).read(&mut bytes).await, Ok(count) if count > 0) {}
        };
        let late = async {
            Timer::after(LINGER).await;
        };
        rest.or(late).await;
    }
}

/// Reads until the sidecar ends its side, or the desk has let it go.
async fn read(
    conn: ConnId, stream: &Async<TcpStream>, names: Rc<Names>, mut part: Part, desk: &Sender<Input>,
    open: &Cell<usize>, over: &Receiver<Parcel>,
) -> Result<(), Malformed> {
    let mut decoder = Decoder::new(names);
    let mut bytes = vec![0; READ];
    loop {
        let count = (&mut &*stream).read(&mut bytes).await.unwrap_or(0);
        if count == 0 {
            let midway = decoder.midway() > 0;
            return if midway { Err(Malformed("the connection ended in a frame")) } else { Ok(()) };
        }
        // Nothing more is taken from a sidecar that was cut off.
        if over.is_closed() {
            return Ok(());
        }
        decoder.feed(&bytes[..count]);
        while let Some(message) = decoder.message()? {
            let input = match message {
                Message::Req(req) if open.get() < MOST_OPEN => Input::Req(conn, req),
                Message::Req(req) => Input::Surplus(conn, req.stream),
                Message::Unfit(stream, why) => Input::Unfit(conn, stream, why),
                Message::Check { stream, deep } => Input::Check { conn, stream, deep },
            };
            if !matches!(input, Input::Check { .. }) {
                open.set(open.get() + 1);
            }
            if desk.send(input).await.is_err() {
                return Ok(());
            }
        }
        if !part.set(decoder.midway().saturating_sub(READ)) {
            return Err(Malformed("too much lies here in unfinished frames"));
        }
    }
}
