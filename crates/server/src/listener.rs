//! Takes connections from sidecars, within the budget of descriptors.
use crate::connection::reader::{self, ConnectionContext};
use crate::event::{ConnectionId, Event};
use async_channel::Receiver;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::FutureExt;
use std::future::Future;
use std::io;
use std::net::{TcpListener, TcpStream};
use std::panic::AssertUnwindSafe;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Accepting rests this long when the system has no descriptor left.
const REST: Duration = Duration::from_millis(50);
/// Connections that may wait to be accepted: what finds no place there is lost or late by seconds.
const BACKLOG: i32 = 1_024;
/// A pause is told at most this often.
const TOLD_EACH: Duration = Duration::from_secs(1);

pub fn bind(addr: std::net::SocketAddr) -> io::Result<Async<TcpListener>> {
    let listener = Async::<TcpListener>::bind(addr)?;
    rustix::net::listen(&listener, BACKLOG)?;
    Ok(listener)
}

/// Accepts until `close` ends. What waits to be accepted by then is still taken: the machine has accepted it.
pub async fn listen(
    executor: Rc<LocalExecutor<'static>>,
    listener: Async<TcpListener>,
    front: Rc<ConnectionContext>,
    close: Receiver<()>,
) {
    let mut next = 0;
    let closed = async {
        let _ = close.recv().await;
        None
    };
    futures_lite::pin!(closed);
    let mut told = None;
    loop {
        let now = Instant::now();
        if front.room.full() && told.is_none_or(|at| now - at > TOLD_EACH) {
            told = Some(now);
            tracing::warn!("no room for further connections; the least useful go");
        }
        let taken = async {
            front.room.free().await;
            Some(listener.accept().await)
        };
        match taken.or(closed.as_mut()).await {
            Some(Ok((stream, _))) => take(&executor, &front, &mut next, stream),
            Some(Err(error)) => {
                tracing::warn!(%error, "cannot accept; resting");
                Timer::after(REST).await;
            }
            None => break,
        }
    }
    // Guards connections that come in the moment of the close: between the look that finds none and the close there
    // is no other step, so that none is reset there with a req on it.
    let Ok(listener) = listener.into_inner() else {
        return;
    };
    while let Some(accepted) = waiting(&listener) {
        match accepted {
            Ok(stream) => take(&executor, &front, &mut next, stream),
            Err(error) => return tracing::warn!(%error, "cannot accept what waits at the end"),
        }
    }
}

/// A connection that waits to be accepted; none where none does.
fn waiting(listener: &TcpListener) -> Option<io::Result<Async<TcpStream>>> {
    loop {
        match listener.accept() {
            Ok((stream, _)) => return Some(Async::new(stream)),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => return None,
            // One that was reset while it waited says nothing of the next.
            Err(e)
                if [io::ErrorKind::Interrupted, io::ErrorKind::ConnectionAborted]
                    .contains(&e.kind()) => {}
            Err(e) => return Some(Err(e)),
        }
    }
}

/// Serves a connection in a task of its own.
fn take(
    executor: &LocalExecutor<'static>,
    front: &Rc<ConnectionContext>,
    next: &mut u64,
    stream: Async<TcpStream>,
) {
    let (conn, permit, front) = (ConnectionId(*next), front.room.permit(), front.clone());
    *next += 1;
    let task = async move {
        guarded(conn, reader::serve(conn, stream, &front)).await;
        let _ = front.desk.send(Event::Closed(conn)).await;
        drop(permit);
    };
    executor.spawn(task).detach();
}

/// Serves a connection; a panic in its handling ends that connection alone.
pub async fn guarded(conn: ConnectionId, serving: impl Future<Output = ()>) {
    if AssertUnwindSafe(serving).catch_unwind().await.is_err() {
        tracing::error!(
            conn = conn.0,
            "a connection's handling panicked; it is closed"
        );
    }
}
