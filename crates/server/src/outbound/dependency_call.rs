//! Calls from aggregations to their dependencies: the encoding of requests and the classification of responses.
use crate::clock::{to_ms, Clock};
use crate::event::CallError;
use crate::outbound::http_client::{self, ConnectionPool, Exchange, ExchangeProgress};
use crate::protocol::http::{self, Response};
use crate::protocol::WireId;
use cottondyke_dependency::{CallResult, Dependency, SendTimestamp};
use cottondyke_types::Time;
use std::rc::Rc;

/// A call to a dependency.
pub struct DependencyCall {
    /// The dependency to call.
    pub dependency: Rc<Dependency>,
    /// The request whose aggregation makes the call.
    pub request: WireId,
    /// The body to send.
    pub body: Rc<[u8]>,
    /// The time left for the call, which is sent to the dependency.
    pub remaining: Time,
    /// Whether a pooled connection may be used.
    pub may_reuse: bool,
    /// Records the time at which the call is sent.
    pub timestamp: Rc<SendTimestamp>,
}

/// Makes a call. Dropping the future closes the connection. The caller is responsible for the timeout.
pub async fn call(pool: Rc<ConnectionPool>, clock: Clock, call: DependencyCall) -> CallResult {
    let dependency = &*call.dependency;
    let pooled = call.may_reuse.then(|| pool.take(dependency.addr)).flatten();
    let is_reused = pooled.is_some();
    let connected = match pooled {
        Some(stream) => Ok(stream),
        None => http_client::connect(dependency.addr).await,
    };
    let Ok(mut stream) = connected else {
        return CallResult::Rejected;
    };
    let request = encode(&call);
    // The final check of the leased quota, in the same poll in which the first byte is sent: opening the connection may
    // have taken long, and the whole process may have been suspended for long.
    let now = clock.now();
    if !dependency.may_send(&call.timestamp, now) {
        return CallResult::LeaseExpired;
    }
    call.timestamp.record_send(now);
    let progress = ExchangeProgress::default();
    let exchange = match http_client::exchange(&mut stream, &request, &progress).await {
        Ok(exchange) => exchange,
        Err(_) if is_reused && !progress.has_received.get() => return CallResult::StaleConnection,
        Err(CallError::NotExecuted(_)) => return CallResult::Rejected,
        Err(CallError::Indeterminate(_)) => return CallResult::TimedOut,
        Err(CallError::Failed(_)) => return CallResult::Failure,
        Err(CallError::Interrupted(_)) => return CallResult::Interrupted,
    };
    let Exchange {
        response,
        is_reusable,
    } = exchange;
    if is_reusable {
        pool.put(dependency.addr, stream, dependency.max_calls);
    }
    classify(dependency, response)
}

fn encode(call: &DependencyCall) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(256 + call.body.len());
    let remaining_ms = (to_ms(call.remaining).floor() as u64).to_string();
    let headers = [
        ("Req-Id", call.request.as_str()),
        ("Time-Left-Ms", remaining_ms.as_str()),
    ];
    let dependency = &call.dependency;
    let host = dependency.addr.to_string();
    http::encode_request(
        "POST",
        &dependency.path,
        &host,
        &headers,
        &call.body,
        &mut bytes,
    );
    bytes
}

fn classify(dependency: &Dependency, response: Response) -> CallResult {
    match response.status {
        200 if is_valid(dependency, &response.body) => CallResult::Success(response.body.into()),
        429 => CallResult::Rejected,
        503 | 409 if response.not_executed => CallResult::Rejected,
        400..=499 if response.status != 408 => CallResult::InvalidRequest,
        504 => CallResult::TimedOut,
        _ => CallResult::Failure,
    }
}

/// Whether a response body has the format that the operator's file declares.
fn is_valid(dependency: &Dependency, body: &[u8]) -> bool {
    if dependency.json {
        serde_json::from_slice::<serde::de::IgnoredAny>(body).is_ok()
    } else {
        std::str::from_utf8(body).is_ok()
    }
}
