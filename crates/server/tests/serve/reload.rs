//! The configuration read again on SIGHUP.
use crate::rig::*;
use cottondyke_test_support::fakes::*;
use serde_json::json;
use std::net::TcpListener;

/// Guards a server whose peers move while it serves: it lives, nothing open is lost, each peer is met at its new
/// address, and the new engine is told which messages were read.
#[test]
fn follows_new_addresses_while_requests_are_in_flight() {
    let rig = Rig::start();
    let (mut link, mut sidecar) = rig.ready();
    for n in [1, 2] {
        send_request(&mut sidecar, n, PAY, &[], b"");
        expect_start(&mut link);
    }
    link.send_line_with_body(&format!("NEED 1 {}", id(1)), b"first")
        .unwrap();
    let mut service = FakeService::accept(&rig.records).unwrap();
    service.receive_request().unwrap();
    let bind = || TcpListener::bind("127.0.0.1:0").unwrap();
    let (engine, records, control) = (bind(), bind(), bind());
    let mut conf = rig.conf.clone();
    for (key, listener) in [
        ("engine", &engine),
        ("records", &records),
        ("control", &control),
    ] {
        conf[key] = json!(listener.local_addr().unwrap().to_string());
    }
    conf["listen"] = json!("127.0.0.1:1");
    rig.reload(&conf.to_string(), "cannot change while the server runs");
    let mut link = Rig::hello(&engine, 1);
    assert_eq!(
        FakeService::accept(&control)
            .unwrap()
            .receive_request()
            .unwrap()
            .line,
        "PUT /v2/endpoints/toy HTTP/1.1"
    );
    // The call in hand ends where it began, the next goes to the new address.
    service.reply("200 OK", "", b"old").unwrap();
    let (words, body) = link.receive_command().unwrap();
    assert_eq!((words[0].as_str(), body.as_slice()), ("FEED", &b"old"[..]));
    link.send_line_with_body(&format!("NEED 2 {}", id(2)), b"second")
        .unwrap();
    let mut service = FakeService::accept(&records).unwrap();
    service.receive_request().unwrap();
    service.reply("200 OK", "", b"new").unwrap();
    assert_eq!(link.receive_command().unwrap().1, b"new");
    for n in [1, 2] {
        link.send_line_with_body(&format!("DONE {} {} fine 1", n + 2, id(n)), b"")
            .unwrap();
        assert_eq!(sidecar.receive().unwrap().code, 1);
    }
}

/// Guards what is in force against a file that is missing, half written or wrong, and against signals in a row.
#[test]
fn keeps_the_old_configuration_when_the_new_one_is_invalid() {
    let mut rig = Rig::start();
    let (mut link, mut sidecar) = rig.ready();
    let whole = rig.conf.to_string();
    for bad in ["", &whole[..whole.len() / 2], "{}"] {
        rig.reload(bad, "configuration is invalid; keeping the old one");
    }
    expect_served(&mut link, &mut sidecar, 1, READ, &[]);
    (0..5).for_each(|_| rig.signal("-HUP"));
    rig.reload(&whole, "configuration reloaded");
    rig.signal("-TERM");
    rig.wait_for_log("shutting down");
    rig.signal("-HUP");
    assert_eq!(
        rig.wait_for_exit().0.code(),
        Some(0),
        "the same during a drain"
    );
}

/// Guards an engine that moves away and back, while the link to the new address is still being made: it is met where it
/// is, and told which messages were read.
#[test]
fn follows_an_engine_that_moves_away_and_back() {
    let rig = Rig::start();
    let (mut link, mut sidecar) = rig.ready();
    send_request(&mut sidecar, 1, PAY, &[], b"");
    expect_start(&mut link);
    let elsewhere = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut conf = rig.conf.clone();
    conf["engine"] = json!(elsewhere.local_addr().unwrap().to_string());
    rig.reload(&conf.to_string(), "engine address changed");
    let mut half_made = FakeEngine::accept(&elsewhere).unwrap();
    assert_eq!(half_made.command().unwrap().0[0], "ATTACH");
    rig.reload(&rig.conf.to_string(), "engine address changed");
    let mut link = rig.link(0);
    complete_run(&mut link, &mut sidecar, 1);
    assert!(half_made.command().is_err(), "nothing more is said there");
}
