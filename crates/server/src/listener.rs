//! Accepts connections from sidecars, within the limit on descriptors.
use crate::connection::reader::{self, ConnectionContext};
use crate::event::{ConnectionId, Event};
use crate::memory_plan::MemoryPlan;
use crate::socket_io;
use async_channel::Receiver;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::FutureExt;
use std::future::Future;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::panic::AssertUnwindSafe;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Pause after a failed `accept`, for example when the system has no descriptor left.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);
/// Minimum time between log lines about a reached connection limit.
const FULL_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Listens on an address, with the listen queue and the kernel buffers of this plan.
pub fn bind(addr: SocketAddr, plan: MemoryPlan) -> io::Result<Async<TcpListener>> {
    let listener = Async::<TcpListener>::bind(addr)?;
    socket_io::limit_buffers(&listener, plan.socket_buffers);
    let length = i32::try_from(plan.listen_queue).unwrap_or(i32::MAX);
    rustix::net::listen(&listener, length)?;
    Ok(listener)
}

/// Accepts connections until `stop` is closed. Connections that are in the listen queue by then are still accepted: the
/// kernel has already established them.
pub async fn listen(
    executor: Rc<LocalExecutor<'static>>,
    listener: Async<TcpListener>,
    context: Rc<ConnectionContext>,
    stop: Receiver<()>,
) {
    let mut spawner = ConnectionSpawner {
        executor,
        context,
        next_id: 0,
    };
    let stopped = async {
        let _ = stop.recv().await;
        None
    };
    futures_lite::pin!(stopped);
    let mut full_logged_at = None;
    loop {
        let limits = &spawner.context.limits;
        let now = Instant::now();
        if limits.is_full() && full_logged_at.is_none_or(|at| now - at > FULL_LOG_INTERVAL) {
            full_logged_at = Some(now);
            tracing::warn!("connection limit reached; evicting the least useful connections");
        }
        let accepting = async {
            limits.wait_for_capacity().await;
            Some(socket_io::accept(&listener).await)
        };
        match accepting.or(stopped.as_mut()).await {
            Some(Ok((stream, _))) => spawner.serve(stream),
            Some(Err(error)) => {
                tracing::warn!(%error, "cannot accept connections; pausing");
                Timer::after(ACCEPT_BACKOFF).await;
            }
            None => break,
        }
    }
    accept_backlog(listener, &mut spawner);
}

/// Accepts the connections left in the listen queue, then closes the listener. The close directly follows the `accept`
/// that finds the queue empty, so that a connection that arrives at this moment, perhaps with a request on it, is not
/// reset.
fn accept_backlog(listener: Async<TcpListener>, spawner: &mut ConnectionSpawner) {
    let Ok(listener) = listener.into_inner() else {
        return;
    };
    while let Some(accepted) = next_in_backlog(&listener) {
        match accepted {
            Ok(stream) => spawner.serve(stream),
            Err(error) => {
                return tracing::warn!(%error, "cannot accept connections left in the backlog")
            }
        }
    }
}

/// The next connection from the listen queue; `None` if the queue is empty.
fn next_in_backlog(listener: &TcpListener) -> Option<io::Result<Async<TcpStream>>> {
    match socket_io::accept_now(listener) {
        Ok((stream, _)) => Some(Async::new(stream)),
        Err(e) if e.kind() == io::ErrorKind::WouldBlock => None,
        Err(e) => Some(Err(e)),
    }
}

/// Spawns a task for each accepted connection.
struct ConnectionSpawner {
    executor: Rc<LocalExecutor<'static>>,
    context: Rc<ConnectionContext>,
    next_id: u64,
}

impl ConnectionSpawner {
    fn serve(&mut self, stream: Async<TcpStream>) {
        let id = ConnectionId(self.next_id);
        self.next_id += 1;
        let permit = self.context.limits.acquire_connection();
        let context = self.context.clone();
        let task = async move {
            // Boxed, since each future that a future is passed to would hold it twice.
            let serving = Box::pin(reader::serve(id, stream, &context));
            contain_panic(id, serving).await;
            let _ = context.events.send(Event::Closed(id)).await;
            drop(permit);
        };
        self.executor.spawn(task).detach();
    }
}

/// Runs a connection's handler; a panic in it ends only that connection.
pub async fn contain_panic(id: ConnectionId, serving: impl Future<Output = ()>) {
    if AssertUnwindSafe(serving).catch_unwind().await.is_err() {
        tracing::error!(
            connection = id.0,
            "connection handler panicked; closing the connection"
        );
    }
}
