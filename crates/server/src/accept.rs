//! Takes connections from sidecars, within the budget of descriptors.
use crate::desk::{ConnId, Input};
use crate::intake::{self, Parts};
use crate::wire::sidecar::Names;
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use async_lock::Semaphore;
use futures_lite::future;
use futures_lite::FutureExt;
use std::future::Future;
use std::net::TcpListener;
use std::panic::AssertUnwindSafe;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Accepting rests this long when the system has no descriptor left.
const REST: Duration = Duration::from_millis(50);

/// Accepts until `close` ends. What waits to be accepted by then is still taken: the machine has accepted it.
pub async fn listen(
    executor: Rc<LocalExecutor<'static>>, listener: Async<TcpListener>, most: usize, names: Rc<Names>,
    desk: Sender<Input>, close: Receiver<()>,
) {
    let room = Arc::new(Semaphore::new(most));
    let (mut next, parts) = (0, Parts::default());
    let closed = async {
        let _ = close.recv().await;
        None
    };
    futures_lite::pin!(closed);
    loop {
        if room.try_acquire().is_none() {
            tracing::warn!(connections = most, "no room for further connections; accepting pauses");
        }
        let taken = async {
            let place = room.acquire_arc().await;
            Some((listener.accept().await, place))
        };
        let (accepted, place) = match taken.or(closed.as_mut()).await {
            Some((accepted, place)) => (accepted, place),
            None => match (future::poll_once(listener.accept()).await, room.try_acquire_arc()) {
                (Some(accepted), Some(place)) => (accepted, place),
                _ => return,
            },
        };
        match accepted {
            Ok((stream, _)) => {
                let (conn, names, parts, desk) = (ConnId(next), names.clone(), parts.clone(), desk.clone());
                next += 1;
                let task = async move {
                    let serve = intake::serve(conn, stream, names, parts, desk.clone());
                    guarded(conn, serve).await;
                    let _ = desk.send(Input::Closed(conn)).await;
                    drop(place);
                };
                executor.spawn(task).detach();
            }
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

    /// Guards the other connections: the executor goes on after one of its tasks panicked.
    #[test]
    fn a_panic_stays_with_its_connection() {
        let executor = LocalExecutor::new();
        executor.spawn(guarded(ConnId(1), async { panic!("on purpose") })).detach();
        let other = executor.spawn(guarded(ConnId(2), async {}));
        future::block_on(executor.run(other));
    }
}
