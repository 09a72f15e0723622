//! Sends one request as a sidecar does, and prints its answer.
use cottondyke_test_support::fakes::{unix_ms, FakeSidecar};
use std::io;

const SERVER_ADDRESS: &str = "127.0.0.1:6565";
/// Frame type of a request.
const REQUEST_FRAME: u8 = 1;
/// Streams are numbered from 1; 0 is the connection itself.
const FIRST_STREAM: u32 = 1;

/// Sends a request for a handler and prints the answer.
pub(crate) fn send_request(handler: &str, text: &str) -> io::Result<()> {
    let address = SERVER_ADDRESS.parse().map_err(io::Error::other)?;
    let mut sidecar = FakeSidecar::connect(address)?;
    // The process id keeps the ids of requests that are sent in the same millisecond apart.
    let id = format!("{:08x}{:08x}", std::process::id(), unix_ms() as u32);
    let at = unix_ms().to_string();
    let fields = [
        ("class", handler),
        ("id", &id),
        ("at", &at),
        ("from", "0"),
        ("cost", "5.00"),
        ("kb", "8.0"),
        ("rank", "0.5000"),
    ];
    sidecar.send(REQUEST_FRAME, FIRST_STREAM, &fields, text.as_bytes())?;
    let answer = sidecar.receive()?;
    let outcome = match answer.code {
        0 => "shed",
        1 => "done",
        _ => "errored",
    };
    let body = String::from_utf8_lossy(&answer.body);
    println!("{outcome} {:?}: {body}", answer.fields);
    Ok(())
}
