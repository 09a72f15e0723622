//! Calls to the records service, each on a connection of its own: what comes after a response is read by no other
//! call, and a connection that the service has closed is not written to.
use crate::clock::{duration, ms};
use crate::event::CallError;
use crate::outbound::http_client::{self, ExchangeProgress};
use crate::protocol::http;
use crate::protocol::WireId;
use async_io::Timer;
use cottondyke_types::Time;
use futures_lite::FutureExt;
use std::net::SocketAddr;

const PATH: &str = "/records/op";

/// A call of a run.
#[derive(Debug)]
pub struct RecordsCall {
    /// The request whose run it belongs to.
    pub request: WireId,
    /// What is sent.
    pub body: Vec<u8>,
    /// How long it may take.
    pub timeout: Time,
}

/// Makes a call. Dropping the future closes the connection, which cancels the call.
pub async fn call(addr: SocketAddr, call: RecordsCall) -> Result<Vec<u8>, CallError> {
    let progress = ExchangeProgress::default();
    let timeout = async {
        Timer::after(duration(call.timeout)).await;
        Err(if progress.is_sending.get() {
            CallError::MaybeBegun("timed out")
        } else {
            CallError::NotBegun("timed out")
        })
    };
    attempt(addr, &call, &progress).or(timeout).await
}

async fn attempt(
    addr: SocketAddr,
    call: &RecordsCall,
    progress: &ExchangeProgress,
) -> Result<Vec<u8>, CallError> {
    let mut stream = http_client::connect(addr).await?;
    let wait_ms = (ms(call.timeout).ceil() as u64).to_string();
    let headers = [
        ("Op-Of", call.request.as_str()),
        ("Op-Wait-Ms", wait_ms.as_str()),
    ];
    let host = addr.to_string();
    let mut bytes = Vec::new();
    http::encode_request("POST", PATH, &host, &headers, &call.body, &mut bytes);
    let exchange = http_client::exchange(&mut stream, &bytes, progress).await?;
    let response = exchange.response;
    match response.status {
        200 => Ok(response.body),
        503 | 409 if response.not_executed => Err(CallError::NotBegun("turned away")),
        504 => Err(CallError::MaybeBegun("ran out of time there")),
        _ => Err(CallError::Ended("answered with an error")),
    }
}
