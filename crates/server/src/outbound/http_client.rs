//! HTTP/1.1 client for calls to the records service, each on a connection of its own, and for calls to dependencies, on
//! pooled connections. A connection is reused only after a complete response that no bytes followed. An idle
//! connection that was closed, or on which bytes arrived, is detected and discarded before reuse.
use crate::event::CallError;
use crate::protocol::http::{Decoder, Response};
use crate::socket_io;
use async_io::Async;
use futures_lite::{future, FutureExt};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

const READ_BYTES: usize = 4_096;
/// Connections that were idle for this long are closed. Most services keep idle connections open slightly longer.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// A connection to a service.
pub type HttpConnection = Async<TcpStream>;

/// The progress of an exchange, for callers that abort it.
#[derive(Debug, Default)]
pub struct ExchangeProgress {
    /// Set before the first byte is sent.
    pub is_sending: Cell<bool>,
    /// Set when the first byte of the response is received.
    pub has_received: Cell<bool>,
}

/// A response, and whether its connection can be reused.
#[derive(Debug)]
pub struct Exchange {
    /// The response.
    pub response: Response,
    /// Whether the connection may be reused.
    pub is_reusable: bool,
}

/// Connects to a service.
pub async fn connect(addr: SocketAddr) -> Result<HttpConnection, CallError> {
    let stream = socket_io::connect(addr)
        .await
        .map_err(|_| CallError::NotExecuted("connection failed"))?;
    let _ = stream.get_ref().set_nodelay(true);
    Ok(stream)
}

/// Sends one request and receives its response. A service may respond and close the connection before it has read the
/// whole request. Such a response is valid, although the rest of the request can no longer be written.
pub async fn exchange(
    stream: &mut HttpConnection,
    request: &[u8],
    progress: &ExchangeProgress,
) -> Result<Exchange, CallError> {
    progress.is_sending.set(true);
    let stream = &*stream;
    // `None` while the request is being written, then whether all of it was written.
    let sent = Cell::new(None);
    let writing = async {
        sent.set(Some(socket_io::write_all(stream, request).await.is_ok()));
        future::pending().await
    };
    // If a connection breaks before the response has begun, the request may still be running at the service. Treating
    // it as ended would let further calls overload the service.
    let connection_error = |reason| match sent.get() {
        Some(true) if progress.has_received.get() => CallError::Failed(reason),
        Some(true) => CallError::Interrupted(reason),
        _ => CallError::Indeterminate("connection broke while the request was sent"),
    };
    let reading = async {
        let mut decoder = Decoder::default();
        let mut bytes = [0; READ_BYTES];
        loop {
            let count = socket_io::read(stream, &mut bytes)
                .await
                .map_err(|_| connection_error("connection broke before the end of the response"))?;
            if count == 0 {
                return Err(connection_error(
                    "connection closed before the end of the response",
                ));
            }
            progress.has_received.set(true);
            decoder.feed(&bytes[..count]);
            let response = decoder
                .next_response()
                .map_err(|_| CallError::Failed("malformed response"))?;
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

/// An idle connection, and since when it has been idle.
type IdleConnection = (HttpConnection, Instant);

/// Idle connections by address. The most recently used connection is reused first.
#[derive(Default)]
pub struct ConnectionPool {
    idle: RefCell<BTreeMap<SocketAddr, Vec<IdleConnection>>>,
}

impl ConnectionPool {
    /// Takes an idle connection that is still open and on which no bytes have arrived.
    pub fn take(&self, addr: SocketAddr) -> Option<HttpConnection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&addr)?;
        while let Some((stream, since)) = connections.pop() {
            let peeked = socket_io::peek_now(stream.get_ref());
            let is_clean = peeked.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock);
            if since.elapsed() < IDLE_TIMEOUT && is_clean {
                return Some(stream);
            }
        }
        None
    }

    /// Returns a connection to the pool, or closes it if `max_idle` connections to the address are idle already.
    pub fn put(&self, addr: SocketAddr, stream: HttpConnection, max_idle: usize) {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(addr).or_default();
        if connections.len() < max_idle {
            connections.push((stream, Instant::now()));
        }
    }

    /// Closes connections that have been idle for too long.
    pub fn close_expired(&self) {
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|(_, since)| since.elapsed() < IDLE_TIMEOUT);
            !connections.is_empty()
        });
    }
}
