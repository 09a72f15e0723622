//! The one HTTP/1.1 client: calls to the records service, each on a connection of its own, and calls to dependencies,
//! on pooled ones. A connection is used again only after a response that ended where it said, with nothing behind it;
//! one that has been closed or written to meanwhile is found out before it is used.
use crate::event::CallError;
use crate::protocol::http::{Decoder, Response};
use async_io::Async;
use futures_lite::{future, AsyncReadExt, AsyncWriteExt, FutureExt};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

const READ_BYTES: usize = 4_096;
/// A connection unused for this long is closed: most services keep theirs open a little longer.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// A connection to a service.
pub type HttpConnection = Async<TcpStream>;

/// How far an exchange has come, for who gives it up.
#[derive(Debug, Default)]
pub struct ExchangeProgress {
    /// Set before the first byte goes out.
    pub is_sending: Cell<bool>,
    /// Set with the first byte that comes back.
    pub has_received: Cell<bool>,
}

/// A response, and what became of its connection.
#[derive(Debug)]
pub struct Exchange {
    /// The response.
    pub response: Response,
    /// Whether the connection may be used again.
    pub is_reusable: bool,
}

/// Connects to a service.
pub async fn connect(addr: SocketAddr) -> Result<HttpConnection, CallError> {
    let stream = HttpConnection::connect(addr)
        .await
        .map_err(|_| CallError::NotBegun("no connection"))?;
    let _ = stream.get_ref().set_nodelay(true);
    Ok(stream)
}

/// One request and its response. A service may answer before it has read the request, and close: that response counts,
/// though the rest can no longer be written.
pub async fn exchange(
    stream: &mut HttpConnection,
    request: &[u8],
    progress: &ExchangeProgress,
) -> Result<Exchange, CallError> {
    progress.is_sending.set(true);
    let stream = &*stream;
    // None while it is written, then whether all of it was.
    let sent = Cell::new(None);
    let writing = async {
        sent.set(Some((&mut &*stream).write_all(request).await.is_ok()));
        future::pending().await
    };
    // Guards what is called: a connection that breaks proves nothing of what was sent on it, until a reply has begun.
    let broken = |why| match sent.get() {
        Some(true) if progress.has_received.get() => CallError::Ended(why),
        Some(true) => CallError::Interrupted(why),
        _ => CallError::MaybeBegun("broke while it was sent"),
    };
    let reading = async {
        let mut decoder = Decoder::default();
        let mut bytes = [0; READ_BYTES];
        loop {
            let count = (&mut &*stream)
                .read(&mut bytes)
                .await
                .map_err(|_| broken("broke before its reply"))?;
            if count == 0 {
                return Err(broken("closed before its reply"));
            }
            progress.has_received.set(true);
            decoder.feed(&bytes[..count]);
            let response = decoder
                .next_response()
                .map_err(|_| CallError::Ended("a malformed reply"))?;
            if let Some(response) = response {
                let is_reusable = !response.close && decoder.is_empty() && sent.get() == Some(true);
                return Ok(Exchange {
                    response,
                    is_reusable,
                });
            }
        }
    };
    reading.or(writing).await
}

/// A connection that is not in use, and since when.
type IdleConnection = (HttpConnection, Instant);

/// Connections that are not in use, by address; those used last are used first.
#[derive(Default)]
pub struct ConnectionPool {
    idle: RefCell<BTreeMap<SocketAddr, Vec<IdleConnection>>>,
}

impl ConnectionPool {
    /// A connection on which nothing has come, not even its end.
    pub fn take(&self, addr: SocketAddr) -> Option<HttpConnection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&addr)?;
        while let Some((stream, since)) = connections.pop() {
            let peeked = stream.get_ref().peek(&mut [0]);
            let is_quiet = peeked.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock);
            if since.elapsed() < IDLE_TIMEOUT && is_quiet {
                return Some(stream);
            }
        }
        None
    }

    /// Puts a connection back, of which `max_idle` may be idle.
    pub fn put(&self, addr: SocketAddr, stream: HttpConnection, max_idle: usize) {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(addr).or_default();
        if connections.len() < max_idle {
            connections.push((stream, Instant::now()));
        }
    }

    /// Closes what has been idle for too long.
    pub fn close_expired(&self) {
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|(_, since)| since.elapsed() < IDLE_TIMEOUT);
            !connections.is_empty()
        });
    }
}
