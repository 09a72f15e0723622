//! Calls to the records service.
use crate::rig::*;
use cottondyke_test_support::fakes::*;
use std::io::{Read, Write};

/// A run that waits for its call.
fn waiting(rig: &Rig, class: &str) -> (FakeEngine, FakeSidecar) {
    let (mut link, mut sidecar) = rig.ready();
    send_request(&mut sidecar, 1, class, &[], b"");
    let run = expect_start(&mut link);
    link.send_line_with_body(&format!("NEED 1 {run}"), b"body")
        .unwrap();
    (link, sidecar)
}

/// Guards effects: a call that may have run is not made again for a request that must not run twice.
#[test]
fn does_not_repeat_a_call_that_may_have_been_executed() {
    for odd in [
        "HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 504 x\r\n\r\n",
        "garbage\r\n\r\n",
        "HT",
        "HTTP/1.1 200 OK\r\n\r\ncut sho",
        "HTTP/1.1 200 OK\r\nContent-Length: +3\r\n\r\nabc",
    ] {
        let rig = Rig::start();
        let (_link, mut sidecar) = waiting(&rig, PAY);
        let mut service = FakeService::accept(&rig.records).unwrap();
        service.receive_request().unwrap();
        service.0.get_mut().write_all(odd.as_bytes()).unwrap();
        drop(service);
        assert_eq!(sidecar.receive().unwrap().code, 9, "{odd}");
    }
}

/// Guards against giving up where nothing has happened: a call that never ran is made again.
#[test]
fn repeats_a_call_that_was_not_executed() {
    for status in ["503 Busy", "409 Conflict"] {
        let rig = Rig::start();
        let (mut link, _sidecar) = waiting(&rig, PAY);
        let mut service = FakeService::accept(&rig.records).unwrap();
        service.receive_request().unwrap();
        service.reply(status, "Op-Not-Begun: 1\r\n", b"").unwrap();
        // A reply may come byte by byte and in chunks.
        let mut service = FakeService::accept(&rig.records).unwrap();
        service.receive_request().unwrap();
        for byte in b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nab\r\r\n2\r\n\nc\r\n0\r\n\r\n"
        {
            // A chunk that ends in CR and one that starts with LF mislead whatever looks for line ends in bodies.
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

/// Guards against a call without an end: at its own time limit the connection is closed, which gives it up.
#[test]
fn closes_the_connection_when_a_call_gets_no_response() {
    let rig = Rig::start();
    let (mut link, mut sidecar) = waiting(&rig, READ);
    let mut service = FakeService::accept(&rig.records).unwrap();
    service.receive_request().unwrap();
    assert_eq!(
        service.0.read(&mut [0]).unwrap_or(0),
        0,
        "the connection is closed"
    );
    // This handler's calls can be skipped; the skip names the shutdown signal that asked.
    let (words, _) = link.receive_command().unwrap();
    assert_eq!(words, ["SKIP", &id(1), "1"]);
    link.send_line_with_body(&format!("DONE 2 {} fine 1", id(1)), b"poorer")
        .unwrap();
    assert_eq!(sidecar.receive().unwrap().body, b"poorer");
}

/// Guards against a call that outlives its request: when the run ends at it, the call is given up.
#[test]
fn cancels_a_call_when_its_run_ends() {
    let rig = Rig::start();
    let (mut link, mut sidecar) = waiting(&rig, PAY);
    let mut service = FakeService::accept(&rig.records).unwrap();
    service.receive_request().unwrap();
    link.send_line_with_body(&format!("DONE 2 {} fault 1", id(1)), b"")
        .unwrap();
    assert_eq!(sidecar.receive().unwrap().code, 9);
    assert_eq!(service.0.read(&mut [0]).unwrap_or(0), 0);
}

/// Guards replies against one another: what follows a good one, at once or later, is read by no other call.
#[test]
fn ignores_what_follows_a_response() {
    let rig = Rig::start();
    let (mut link, mut sidecar) = waiting(&rig, PAY);
    let good = |body: &str| format!("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{body}");
    let mut first = FakeService::accept(&rig.records).unwrap();
    first.receive_request().unwrap();
    let reply = format!("HTTP/1.1 102 Wait\r\n\r\n{}", good("one"));
    first.0.get_mut().write_all(reply.as_bytes()).unwrap();
    assert_eq!(link.receive_command().unwrap().1, b"one");
    send_request(&mut sidecar, 2, PAY, &[], b"");
    let run = expect_start(&mut link);
    link.send_line_with_body(&format!("NEED 2 {run}"), b"body")
        .unwrap();
    let mut second = FakeService::accept(&rig.records).unwrap();
    second.receive_request().unwrap();
    let _ = first.0.get_mut().write_all(good("two").as_bytes());
    second
        .0
        .get_mut()
        .write_all(good("new").as_bytes())
        .unwrap();
    assert_eq!(link.receive_command().unwrap().1, b"new");
}
