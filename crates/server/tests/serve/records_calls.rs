//! Calls from runs to the records service.
use crate::rig::*;
use cottondyke_test_support::fakes::*;
use std::io::{Read, Write};

/// Starts a run of this handler that waits for its call.
fn start_run_with_call(rig: &Rig, class: &str) -> (FakeEngine, FakeSidecar) {
    let (mut link, mut sidecar) = rig.connect_engine_and_sidecar();
    send_request(&mut sidecar, 1, class, &[], b"");
    let run = expect_start(&mut link);
    link.send_line_with_body(&format!("NEED 1 {run}"), b"body")
        .unwrap();
    (link, sidecar)
}

/// Side effects must not be repeated: for a request that is not idempotent, a call that may have been executed is not
/// made again.
#[test]
fn does_not_repeat_a_call_that_may_have_been_executed() {
    for reply in [
        "HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 504 x\r\n\r\n",
        "garbage\r\n\r\n",
        "HT",
        "HTTP/1.1 200 OK\r\n\r\ncut sho",
        "HTTP/1.1 200 OK\r\nContent-Length: +3\r\n\r\nabc",
    ] {
        let rig = Rig::start();
        let (_link, mut sidecar) = start_run_with_call(&rig, NON_IDEMPOTENT);
        let mut service = FakeService::accept(&rig.records).unwrap();
        service.receive_request().unwrap();
        service.0.get_mut().write_all(reply.as_bytes()).unwrap();
        drop(service);
        assert_eq!(sidecar.receive().unwrap().code, 9, "{reply}");
    }
}

/// A call that is known not to have been executed must be made again instead of failing the request.
#[test]
fn repeats_a_call_that_was_not_executed() {
    for status in ["503 Busy", "409 Conflict"] {
        let rig = Rig::start();
        let (mut link, _sidecar) = start_run_with_call(&rig, NON_IDEMPOTENT);
        let mut service = FakeService::accept(&rig.records).unwrap();
        service.receive_request().unwrap();
        service.reply(status, "Op-Not-Begun: 1\r\n", b"").unwrap();
        // A response may arrive byte by byte, with chunked encoding.
        let mut service = FakeService::accept(&rig.records).unwrap();
        service.receive_request().unwrap();
        for byte in b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nab\r\r\n2\r\n\nc\r\n0\r\n\r\n"
        {
            // A chunk that ends in CR, followed by one that starts with LF, breaks parsers that search bodies for CRLF.
            if service.0.get_mut().write_all(&[*byte]).is_err() {
                break;
            }
        }
        let (words, body) = link.receive_command().unwrap();
        assert_eq!(
            (words[0].as_str(), body.as_slice()),
            ("FEED", &b"ab\r\nc"[..])
        );
    }
}

/// A call must not wait forever: at its timeout the connection is closed, which cancels the call.
#[test]
fn closes_the_connection_when_a_call_gets_no_response() {
    let rig = Rig::start();
    let (mut link, mut sidecar) = start_run_with_call(&rig, IDEMPOTENT);
    let mut service = FakeService::accept(&rig.records).unwrap();
    service.receive_request().unwrap();
    assert_eq!(
        service.0.read(&mut [0]).unwrap_or(0),
        0,
        "the connection is closed"
    );
    // This handler's calls can be skipped. The SKIP command carries the number of the message that requested the call.
    let (words, _) = link.receive_command().unwrap();
    assert_eq!(words, ["SKIP", &id(1), "1"]);
    link.send_line_with_body(&format!("DONE 2 {} fine 1", id(1)), b"poorer")
        .unwrap();
    assert_eq!(sidecar.receive().unwrap().body, b"poorer");
}

/// A call must not outlive its run: when the run ends while the call is in flight, the call is cancelled.
#[test]
fn cancels_a_call_when_its_run_ends() {
    let rig = Rig::start();
    let (mut link, mut sidecar) = start_run_with_call(&rig, NON_IDEMPOTENT);
    let mut service = FakeService::accept(&rig.records).unwrap();
    service.receive_request().unwrap();
    link.send_line_with_body(&format!("DONE 2 {} fault 1", id(1)), b"")
        .unwrap();
    assert_eq!(sidecar.receive().unwrap().code, 9);
    assert_eq!(service.0.read(&mut [0]).unwrap_or(0), 0);
}

/// Bytes that follow a complete response, immediately or later, must not be read by another call.
#[test]
fn ignores_what_follows_a_response() {
    let rig = Rig::start();
    let (mut link, mut sidecar) = start_run_with_call(&rig, NON_IDEMPOTENT);
    let complete_response =
        |body: &str| format!("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{body}");
    let mut first = FakeService::accept(&rig.records).unwrap();
    first.receive_request().unwrap();
    let reply = format!("HTTP/1.1 102 Wait\r\n\r\n{}", complete_response("one"));
    first.0.get_mut().write_all(reply.as_bytes()).unwrap();
    assert_eq!(link.receive_command().unwrap().1, b"one");
    send_request(&mut sidecar, 2, NON_IDEMPOTENT, &[], b"");
    let run = expect_start(&mut link);
    link.send_line_with_body(&format!("NEED 2 {run}"), b"body")
        .unwrap();
    let mut second = FakeService::accept(&rig.records).unwrap();
    second.receive_request().unwrap();
    let _ = first
        .0
        .get_mut()
        .write_all(complete_response("two").as_bytes());
    second
        .0
        .get_mut()
        .write_all(complete_response("new").as_bytes())
        .unwrap();
    assert_eq!(link.receive_command().unwrap().1, b"new");
}
