//! Calls to the records service, each on a connection of its own: what comes after a reply is read by no other
//! call, and one that was forgotten by the service is not written to.
use crate::time::{duration, ms};
use crate::wire::http::{self, Decoder};
use crate::wire::WireId;
use async_io::{Async, Timer};
use cottondyke_decide::types::{CallEnd, Time};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use std::cell::Cell;
use std::net::{SocketAddr, TcpStream};

const PATH: &str = "/records/op";
const READ: usize = 4_096;

/// Why a call brought no result, told by how far it had come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallError {
    NotBegun(&'static str),
    /// It may go on.
    MaybeBegun(&'static str),
    /// It was begun, and goes on no longer.
    Ended(&'static str),
}

impl CallError {
    pub fn end(self) -> CallEnd {
        match self {
            CallError::NotBegun(_) => CallEnd::NeverRan,
            CallError::MaybeBegun(_) => CallEnd::Unknown,
            CallError::Ended(_) => CallEnd::Spoilt,
        }
    }
}

/// Makes a call, for `cap` at the most. Dropping the future closes the connection, which gives it up.
pub async fn call(addr: SocketAddr, of: WireId, body: Vec<u8>, cap: Time) -> Result<Vec<u8>, CallError> {
    let sending = Cell::new(false);
    let late = async {
        Timer::after(duration(cap)).await;
        Err(if sending.get() { CallError::MaybeBegun("timed out") } else { CallError::NotBegun("timed out") })
    };
    attempt(addr, of, body, cap, &sending).or(late).await
}

async fn attempt(
    addr: SocketAddr, of: WireId, body: Vec<u8>, cap: Time, sending: &Cell<bool>,
) -> Result<Vec<u8>, CallError> {
    let refused = |_| CallError::NotBegun("no connection");
    let mut stream = Async::<TcpStream>::connect(addr).await.map_err(refused)?;
    let _ = stream.get_ref().set_nodelay(true);
    let wait = (ms(cap).ceil() as u64).to_string();
    let headers = [("Op-Of", of.as_str()), ("Op-Wait-Ms", wait.as_str())];
    let mut bytes = Vec::new();
    http::request("POST", PATH, &addr.to_string(), &headers, &body, &mut bytes);
    sending.set(true);
    stream.write_all(&bytes).await.map_err(|_| CallError::MaybeBegun("broke while it was sent"))?;
    let reply = read_reply(&mut stream).await?;
    match reply.status {
        200 => Ok(reply.body),
        503 | 409 if reply.not_begun => Err(CallError::NotBegun("turned away")),
        504 => Err(CallError::MaybeBegun("ran out of time there")),
        _ => Err(CallError::Ended("answered with an error")),
    }
}

async fn read_reply(stream: &mut Async<TcpStream>) -> Result<http::Reply, CallError> {
    let mut decoder = Decoder::default();
    let mut bytes = [0; READ];
    loop {
        let broke = |_| CallError::Ended("broke before its reply");
        let count = stream.read(&mut bytes).await.map_err(broke)?;
        if count == 0 {
            return Err(CallError::Ended("closed before its reply"));
        }
        decoder.feed(&bytes[..count]);
        let malformed = |_| CallError::Ended("a malformed reply");
        if let Some(reply) = decoder.reply().map_err(malformed)? {
            return Ok(reply);
        }
    }
}
