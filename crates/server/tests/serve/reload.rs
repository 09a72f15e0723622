//! Reload of the configuration on SIGHUP.
use crate::rig::*;
use cottondyke_test_support::fakes::*;
use serde_json::json;
use std::net::TcpListener;

/// Guards against losing requests when engine, records service and control plane move to new addresses: the server keeps
/// running, connects to each at its new address, and tells the new engine which messages it has read.
#[test]
fn follows_new_addresses_while_requests_are_in_flight() {
    let rig = Rig::start();
    let (mut link, mut sidecar) = rig.connect_engine_and_sidecar();
    for n in [1, 2] {
        send_request(&mut sidecar, n, NON_IDEMPOTENT, &[], b"");
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
    let mut link = Rig::accept_engine_on(&engine, 1);
    assert_eq!(
        FakeService::accept(&control)
            .unwrap()
            .receive_request()
            .unwrap()
            .line,
        "PUT /v2/endpoints/toy HTTP/1.1"
    );
    // The call in flight completes at the old address; the next one goes to the new address.
    service.reply("200 OK", "", b"old").unwrap();
    let (command, body) = link.receive_command().unwrap();
    assert_eq!(
        (command[0].as_str(), body.as_slice()),
        ("FEED", &b"old"[..])
    );
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

/// Guards the configuration in force against a new file that is empty, half written or invalid, and against several
/// SIGHUPs in a row.
#[test]
fn keeps_the_old_configuration_when_the_new_one_is_invalid() {
    let mut rig = Rig::start();
    let (mut link, mut sidecar) = rig.connect_engine_and_sidecar();
    let valid = rig.conf.to_string();
    for invalid in ["", &valid[..valid.len() / 2], "{}"] {
        rig.reload(invalid, "configuration is invalid; keeping the old one");
    }
    expect_served(&mut link, &mut sidecar, 1, IDEMPOTENT, &[]);
    (0..5).for_each(|_| rig.signal("-HUP"));
    rig.reload(&valid, "configuration reloaded");
    rig.signal("-TERM");
    rig.wait_for_log("shutting down");
    rig.signal("-HUP");
    assert_eq!(
        rig.wait_for_exit().0.code(),
        Some(0),
        "a SIGHUP while draining"
    );
}

/// Guards against a link to the wrong address when the engine moves away and back while the link to the new address is
/// still being set up: the server connects to the old address again and tells the engine which messages it has read.
#[test]
fn follows_an_engine_that_moves_away_and_back() {
    let rig = Rig::start();
    let (mut link, mut sidecar) = rig.connect_engine_and_sidecar();
    send_request(&mut sidecar, 1, NON_IDEMPOTENT, &[], b"");
    expect_start(&mut link);
    let other = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut conf = rig.conf.clone();
    conf["engine"] = json!(other.local_addr().unwrap().to_string());
    rig.reload(&conf.to_string(), "engine address changed");
    let mut unfinished = FakeEngine::accept(&other).unwrap();
    assert_eq!(unfinished.receive_any_command().unwrap().0[0], "ATTACH");
    rig.reload(&rig.conf.to_string(), "engine address changed");
    let mut link = rig.accept_engine(0);
    complete_run(&mut link, &mut sidecar, 1);
    assert!(
        unfinished.receive_any_command().is_err(),
        "nothing more is sent there"
    );
}
