//! Calls to the dependencies of pages: what is asked, and what a reply says of the dependency.
use crate::clock::{ms, Clock};
use crate::event::CallError;
use crate::outbound::http_client::{self, ConnectionPool};
use crate::protocol::{http, WireId};
use cottondyke_dependency::{CallResult, Dependency, SendTimestamp};
use cottondyke_types::Time;
use std::cell::Cell;
use std::rc::Rc;

/// Asks `to`. Dropping the future closes its connection. Nothing here limits its time: who waits does.
pub async fn fetch(
    pool: Rc<ConnectionPool>,
    (clock, stamp): (Clock, Rc<SendTimestamp>),
    to: Rc<Dependency>,
    of: WireId,
    body: Rc<[u8]>,
    within: Time,
    reuse: bool,
) -> CallResult {
    let mut bytes = Vec::with_capacity(256 + body.len());
    let left = (ms(within).floor() as u64).to_string();
    let headers = [("Req-Id", of.as_str()), ("Time-Left-Ms", left.as_str())];
    http::request(
        "POST",
        &to.path,
        &to.addr.to_string(),
        &headers,
        &body,
        &mut bytes,
    );
    let pooled = if reuse { pool.take(to.addr) } else { None };
    let (used, connected) = match pooled {
        Some(stream) => (true, Ok(stream)),
        None => (false, http_client::connect(to.addr).await),
    };
    let Ok(mut stream) = connected else {
        return CallResult::Rejected;
    };
    // The last look at a share that is lent, in the same step as the first byte: connecting may have taken long, and
    // so may a stop of the whole process.
    let now = clock.now();
    if !to.may_send(&stamp, now) {
        return CallResult::LeaseExpired;
    }
    stamp.record_send(now);
    let (sending, heard) = (Cell::new(false), Cell::new(false));
    let (reply, again) = match http_client::exchange(&mut stream, &bytes, &sending, &heard).await {
        Ok(got) => got,
        Err(_) if used && !heard.get() => return CallResult::StaleConnection,
        Err(CallError::NotBegun(_)) => return CallResult::Rejected,
        Err(CallError::MaybeBegun(_)) => return CallResult::TimedOut,
        Err(CallError::Ended(_)) => return CallResult::Failure,
    };
    if again {
        pool.give(to.addr, stream, to.max_calls);
    }
    match reply.status {
        200 if fits(&to, &reply.body) => CallResult::Success(reply.body.into()),
        429 => CallResult::Rejected,
        503 | 409 if reply.not_begun => CallResult::Rejected,
        400..=499 if reply.status != 408 => CallResult::InvalidRequest,
        504 => CallResult::TimedOut,
        _ => CallResult::Failure,
    }
}

/// Whether a body is what the file says that replies are.
fn fits(to: &Dependency, body: &[u8]) -> bool {
    if to.json {
        serde_json::from_slice::<serde::de::IgnoredAny>(body).is_ok()
    } else {
        std::str::from_utf8(body).is_ok()
    }
}
