//! Takes connections from sidecars, within the budget of descriptors.
use crate::input::{ConnId, Input};
use crate::intake::{self, Front};
use async_channel::Receiver;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::future;
use futures_lite::FutureExt;
use std::future::Future;
use std::io;
use std::net::TcpListener;
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
    executor: Rc<LocalExecutor<'static>>, listener: Async<TcpListener>, front: Rc<Front>, close: Receiver<()>,
) {
    let mut next = 0;
    let closed = async {
        let _ = close.recv().await;
        None
    };
    futures_lite::pin!(closed);
    let (mut told, mut closing) = (None, false);
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
        // The end of `closed` is seen once; from then on only what waits already is taken, room or not.
        let one = if closing { None } else { taken.or(closed.as_mut()).await };
        closing = one.is_none();
        let accepted = match one {
            Some(accepted) => accepted,
            None => match future::poll_once(listener.accept()).await {
                Some(accepted) => accepted,
                None => return,
            },
        };
        match accepted {
            Ok((stream, _)) => {
                let (conn, place, front) = (ConnId(next), front.room.place(), front.clone());
                next += 1;
                let task = async move {
                    guarded(conn, intake::serve(conn, stream, &front)).await;
                    let _ = front.desk.send(Input::Closed(conn)).await;
                    drop(place);
                };
                executor.spawn(task).detach();
            }
            Err(_) if closing => return,
            Err(error) => {
                tracing::warn!(%error, "cannot accept; resting");
                Timer::after(REST).await;
            }
        }
    }
}

/// Serves a connection; a panic in its handling ends that connection alone.
async fn guarded(conn: ConnId, serving: impl Future<Output = ()>) {
    if AssertUnwindSafe(serving).catch_unwind().await.is_err() {
        tracing::error!(conn = conn.0, "a connection's handling panicked; it is closed");
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::room::Room;

    /// Guards the server against a panic in one connection's handling: it ends there.
    #[test]
    fn a_panic_stays_with_its_connection() {
        future::block_on(guarded(ConnId(1), async { panic!("on purpose") }));
    }

    /// Guards connections that the machine had accepted when the server stopped listening: looking at the end
    /// again after it was seen panicked here, and one past the room was dropped with what it had sent.
    #[test]
    fn what_waits_at_the_end_is_still_taken() {
        let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).unwrap();
        let addr = listener.get_ref().local_addr().unwrap();
        let clients: Vec<_> = (0..3).map(|_| std::net::TcpStream::connect(addr).unwrap()).collect();
        let (desk, inputs) = async_channel::unbounded();
        let (_, close) = async_channel::bounded(1);
        let executor = Rc::new(LocalExecutor::new());
        let front = Front { names: Rc::default(), room: Room::new(1, 0), desk };
        let listening = listen(executor.clone(), listener, Rc::new(front), close);
        async_io::block_on(executor.run(async {
            listening.await;
            for _ in &clients {
                assert!(matches!(inputs.recv().await, Ok(Input::Opened(..))));
            }
        }));
    }
}
