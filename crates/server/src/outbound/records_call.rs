//! Calls to the records service, each on a connection of its own: what comes after a reply is read by no other
//! call, and one that was forgotten by the service is not written to.
use crate::clock::{duration, ms};
use crate::event::CallError;
use crate::outbound::http_client;
use crate::protocol::http;
use crate::protocol::WireId;
use async_io::Timer;
use cottondyke_types::Time;
use futures_lite::FutureExt;
use std::cell::Cell;
use std::net::SocketAddr;

const PATH: &str = "/records/op";

/// Makes a call, for `cap` at the most. Dropping the future closes the connection, which gives it up.
pub async fn call(
    addr: SocketAddr,
    of: WireId,
    body: Vec<u8>,
    cap: Time,
) -> Result<Vec<u8>, CallError> {
    let sending = Cell::new(false);
    let late = async {
        Timer::after(duration(cap)).await;
        Err(if sending.get() {
            CallError::MaybeBegun("timed out")
        } else {
            CallError::NotBegun("timed out")
        })
    };
    attempt(addr, of, body, cap, &sending).or(late).await
}

async fn attempt(
    addr: SocketAddr,
    of: WireId,
    body: Vec<u8>,
    cap: Time,
    sending: &Cell<bool>,
) -> Result<Vec<u8>, CallError> {
    let mut stream = http_client::connect(addr).await?;
    let wait = (ms(cap).ceil() as u64).to_string();
    let headers = [("Op-Of", of.as_str()), ("Op-Wait-Ms", wait.as_str())];
    let mut bytes = Vec::new();
    http::request("POST", PATH, &addr.to_string(), &headers, &body, &mut bytes);
    let (reply, _) = http_client::exchange(&mut stream, &bytes, sending, &Cell::new(false)).await?;
    match reply.status {
        200 => Ok(reply.body),
        503 | 409 if reply.not_begun => Err(CallError::NotBegun("turned away")),
        504 => Err(CallError::MaybeBegun("ran out of time there")),
        _ => Err(CallError::Ended("answered with an error")),
    }
}
