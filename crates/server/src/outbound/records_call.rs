//! Calls to the records service. Each call has a connection of its own, so that bytes after a response are never read
//! by another call, and no request is written to a connection that the service has closed.
use crate::clock::{to_duration, to_ms};
use crate::event::CallError;
use crate::outbound::http_client::{self, ExchangeProgress};
use crate::protocol::http;
use crate::protocol::WireId;
use async_io::Timer;
use cottondyke_types::Time;
use futures_lite::FutureExt;
use std::net::SocketAddr;

const PATH: &str = "/records/op";

/// A call that a run makes to the records service.
#[derive(Debug)]
pub struct RecordsCall {
    /// The request whose run makes the call.
    pub request: WireId,
    /// The body to send.
    pub body: Vec<u8>,
    /// The call's timeout.
    pub timeout: Time,
}

/// Makes a call. Dropping the future closes the connection, which cancels the call.
pub async fn call(addr: SocketAddr, call: RecordsCall) -> Result<Vec<u8>, CallError> {
    let progress = ExchangeProgress::default();
    let timeout = async {
        Timer::after(to_duration(call.timeout)).await;
        Err(if progress.is_sending.get() {
            CallError::Indeterminate("timed out")
        } else {
            CallError::NotExecuted("timed out")
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
    let wait_ms = (to_ms(call.timeout).ceil() as u64).to_string();
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
        503 | 409 if response.not_executed => {
            Err(CallError::NotExecuted("rejected by the service"))
        }
        504 => Err(CallError::Indeterminate("timed out at the service")),
        _ => Err(CallError::Failed("error response")),
    }
}
