//! The one HTTP/1.1 client: calls to the records service, each on a connection of its own, and calls to
//! dependencies, on pooled ones. A connection is used again only after a reply that ended where it said, with
//! nothing behind it; one that has been forgotten or written to meanwhile is found out before it is used.
use crate::event::CallError;
use crate::protocol::http::{self, Decoder};
use async_io::Async;
use futures_lite::{future, AsyncReadExt, AsyncWriteExt, FutureExt};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

const READ: usize = 4_096;
/// A connection unused for this long is closed: most services keep theirs a little longer.
const IDLE: Duration = Duration::from_secs(4);

pub type HttpConnection = Async<TcpStream>;

pub async fn connect(addr: SocketAddr) -> Result<HttpConnection, CallError> {
    let stream = HttpConnection::connect(addr)
        .await
        .map_err(|_| CallError::NotBegun("no connection"))?;
    let _ = stream.get_ref().set_nodelay(true);
    Ok(stream)
}

/// One request and its reply. `sending` is set before the first byte goes out, `heard` with the first that comes
/// back. With the reply, whether the connection may be used again. A service may answer before it has read the
/// request, and close: that reply counts, though the rest can no longer be written.
pub async fn exchange(
    stream: &mut HttpConnection,
    request: &[u8],
    sending: &Cell<bool>,
    heard: &Cell<bool>,
) -> Result<(http::Response, bool), CallError> {
    sending.set(true);
    let (stream, sent) = (&*stream, Cell::new(None));
    let writing = async {
        sent.set(Some((&mut &*stream).write_all(request).await.is_ok()));
        future::pending().await
    };
    let broke = |why| match sent.get() {
        Some(true) => CallError::Ended(why),
        _ => CallError::MaybeBegun("broke while it was sent"),
    };
    let reading = async {
        let mut decoder = Decoder::default();
        let mut bytes = [0; READ];
        loop {
            let count = (&mut &*stream)
                .read(&mut bytes)
                .await
                .map_err(|_| broke("broke before its reply"))?;
            if count == 0 {
                return Err(broke("closed before its reply"));
            }
            heard.set(true);
            decoder.feed(&bytes[..count]);
            let malformed = |_| CallError::Ended("a malformed reply");
            if let Some(reply) = decoder.reply().map_err(malformed)? {
                let again = !reply.close && decoder.is_empty() && sent.get() == Some(true);
                return Ok((reply, again));
            }
        }
    };
    reading.or(writing).await
}

/// Connections that are not in use, by address; those used last are used first.
#[derive(Default)]
pub struct ConnectionPool {
    idle: RefCell<BTreeMap<SocketAddr, Vec<(HttpConnection, Instant)>>>,
}

impl ConnectionPool {
    /// A connection on which nothing has come, not even its end.
    pub fn take(&self, addr: SocketAddr) -> Option<HttpConnection> {
        let mut idle = self.idle.borrow_mut();
        let of = idle.get_mut(&addr)?;
        while let Some((stream, since)) = of.pop() {
            let quiet = stream.get_ref().peek(&mut [0]);
            if since.elapsed() < IDLE && quiet.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
            {
                return Some(stream);
            }
        }
        None
    }

    /// Keeps a connection, of which `most` may lie idle.
    pub fn give(&self, addr: SocketAddr, stream: HttpConnection, most: usize) {
        let mut idle = self.idle.borrow_mut();
        let of = idle.entry(addr).or_default();
        if of.len() < most {
            of.push((stream, Instant::now()));
        }
    }

    /// Closes what has lain idle for too long.
    pub fn trim(&self) {
        self.idle.borrow_mut().retain(|_, of| {
            of.retain(|(_, since)| since.elapsed() < IDLE);
            !of.is_empty()
        });
    }
}
