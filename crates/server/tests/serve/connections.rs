//! Sidecar connections that are slow, malformed, idle or too numerous.
use crate::rig::*;
use cottondyke_test_support::fakes::*;
use serde_json::json;
use std::io::Write;

/// Guards the server's other connections against one that sends a malformed frame: the sidecar is sent the error, and
/// the connection is closed once the requests in flight on it are answered.
#[test]
fn closes_a_connection_after_a_malformed_frame_once_requests_are_answered() {
    let rig = Rig::start();
    let (mut link, _other) = rig.connect_engine_and_sidecar();
    let malformed = [
        encode_frame(1, 0, &encode_payload(&[], b"")),
        encode_frame(77, 9, b""),
        vec![0, 0, 0, 4, 1, 0, 0, 0],
        vec![0, 4, 0, 1, 1, 0, 0, 0],
        encode_frame(1, 1, &encode_payload(&[], b"")),
    ];
    for (n, bytes) in malformed.iter().enumerate() {
        let mut sidecar = rig.connect_sidecar();
        let id = id(n as u64 + 50);
        let at = unix_ms().to_string();
        let fields = [
            ("class", IDEMPOTENT),
            ("id", &id),
            ("at", &at),
            ("from", "1"),
            ("kb", "1.0"),
        ];
        sidecar.send(1, 1, &fields, b"").unwrap();
        let run = expect_start(&mut link);
        sidecar.0.write_all(bytes).unwrap();
        let error = sidecar.receive().unwrap();
        assert_eq!((error.kind, error.stream), (2, 0), "{bytes:?}");
        link.send_line_with_body(&format!("DONE {} {run} fine 1", n + 1), b"r")
            .unwrap();
        assert_eq!(sidecar.receive().unwrap().body, b"r");
        assert!(sidecar.receive().is_err(), "the connection was not closed");
    }
}

/// Guards the dispatcher against a connection that is lost while its request runs: the run's result is discarded and
/// other connections are served.
#[test]
fn serves_others_when_a_connection_is_reset() {
    let rig = Rig::start();
    let (mut link, mut other) = rig.connect_engine_and_sidecar();
    let mut lost = rig.connect_sidecar();
    send_request(&mut lost, 1, IDEMPOTENT, &[], b"");
    let run = expect_start(&mut link);
    // An incomplete frame, then the end of the connection.
    lost.0.write_all(&[0, 0]).unwrap();
    drop(lost);
    link.send_line_with_body(&format!("DONE 1 {run} fine 1"), &[7; 4_096])
        .unwrap();
    send_request(&mut other, 2, IDEMPOTENT, &[], b"");
    execute_next_run(&mut link, 2, b"fine");
    assert_eq!(other.receive().unwrap().body, b"fine");
}

/// Guards against a sidecar that sends and never reads: its connection is dropped, and others are served.
#[test]
fn drops_the_connection_of_a_sidecar_that_reads_nothing() {
    let rig = Rig::start();
    let (mut link, mut other) = rig.connect_engine_and_sidecar();
    let mut stalled = rig.connect_sidecar();
    stalled
        .0
        .set_write_timeout(Some(std::time::Duration::from_secs(1)))
        .unwrap();
    let checks: Vec<u8> = (0..4_096)
        .flat_map(|_| encode_frame(4, 0, &encode_payload(&[], b"")))
        .collect();
    while stalled.0.write_all(&checks).is_ok() {}
    rig.wait_for_log("sidecar reads too slowly");
    expect_served(&mut link, &mut other, 1, IDEMPOTENT, &[]);
}

/// Guards memory: none is reserved for a frame's announced length, and the incomplete frames of all connections share
/// one limit.
#[test]
fn takes_no_memory_for_frames_that_are_only_announced() {
    let rig = Rig::start();
    let (_link, mut other) = rig.connect_engine_and_sidecar();
    let incomplete: Vec<u8> = [0, 4, 0, 0].into_iter().chain([1; 200_000]).collect();
    let mut many: Vec<_> = (0..200).map(|_| rig.connect_sidecar()).collect();
    assert!(
        many.iter_mut()
            .filter_map(|sidecar| sidecar.0.write_all(&incomplete).ok())
            .count()
            > 100
    );
    rig.wait_for_log("invalid input");
    assert_eq!(check_health(&mut other), 1);
}

/// Guards against idle connections that keep new ones out: near the limit on descriptors the longest idle connection is
/// sent go-away and closed, one with a request in flight stays open, and new connections are accepted.
#[test]
fn evicts_the_longest_idle_connection_when_full() {
    let rig = Rig::with(|conf| conf["limits"]["sockets"] = json!(100));
    let (mut link, mut idle) = rig.connect_engine_and_sidecar();
    let mut busy = rig.connect_sidecar();
    send_request(&mut busy, 1, IDEMPOTENT, &[], b"");
    expect_start(&mut link);
    let mut others = [rig.connect_sidecar(), rig.connect_sidecar()];
    others
        .iter_mut()
        .for_each(|other| assert_eq!(check_health(other), 1));
    assert_eq!(idle.receive().unwrap().kind, 6);
    assert!(idle.receive().is_err());
    link.send_line_with_body(&format!("DONE 1 {} fine 1", id(1)), b"kept")
        .unwrap();
    assert_eq!(busy.receive().unwrap().body, b"kept");
}

/// Guards descriptors against a connection that sends nothing or stops in the middle of a frame: it is sent an error
/// and closed.
#[test]
fn closes_a_connection_without_a_complete_frame_in_time() {
    let rig = Rig::start();
    let (_link, mut other) = rig.connect_engine_and_sidecar();
    let (mut silent, mut incomplete) = (rig.connect_sidecar(), rig.connect_sidecar());
    assert_eq!(check_health(&mut incomplete), 1);
    incomplete
        .0
        .write_all(&encode_frame(4, 0, b"\0")[..7])
        .unwrap();
    for sidecar in [&mut silent, &mut incomplete] {
        let error = sidecar.receive().unwrap();
        assert_eq!((error.kind, error.stream), (2, 0));
        assert!(sidecar.receive().is_err());
    }
    assert_eq!(
        check_health(&mut other),
        1,
        "a connection that is idle between frames was closed"
    );
}

/// Guards the error frame that is sent before a connection is closed: what a peer keeps sending at full speed is read
/// and discarded, because closing with unread input would reset the connection and destroy the frame.
#[test]
fn sends_the_error_when_the_peer_keeps_sending_an_oversized_frame() {
    let rig = Rig::start();
    let (_link, _other) = rig.connect_engine_and_sidecar();
    let mut sidecar = rig.connect_sidecar();
    let body = vec![7; 1 << 20];
    sidecar.0.write_all(&[3, 0x93, 0x87, 0]).unwrap();
    (0..60).for_each(|_| sidecar.0.write_all(&body).unwrap());
    let error = sidecar.receive().unwrap();
    assert_eq!((error.kind, error.stream), (2, 0));
    assert!(sidecar.receive().is_err());
}

/// Guards capacity: the run of a request whose connection was reset is cancelled.
#[test]
fn cancels_runs_when_their_connection_is_lost() {
    let rig = Rig::start();
    let (mut link, mut lost) = rig.connect_engine_and_sidecar();
    send_request(&mut lost, 1, IDEMPOTENT, &[], b"");
    let run = expect_start(&mut link);
    // Closing with an unread response resets the connection.
    lost.send(4, 0, &[], b"").unwrap();
    while lost.0.peek(&mut [0]).unwrap() == 0 {}
    drop(lost);
    assert_eq!(link.receive_command().unwrap().0, ["HALT", &run]);
}

/// Guards serving and reporting against a control plane that closes the connection, sends invalid responses or sends
/// nothing.
#[test]
fn goes_on_reporting_whatever_the_control_plane_does() {
    let rig = Rig::start();
    let (mut link, mut sidecar) = rig.connect_engine_and_sidecar();
    let report = |reply: &str| {
        let mut service = FakeService::accept(&rig.control).unwrap();
        let request = service.receive_request().unwrap();
        assert_eq!(request.line, "PUT /v2/endpoints/toy HTTP/1.1");
        let body = String::from_utf8(request.body).unwrap();
        assert!(
            [r#"{"condition":"Ready"}"#, r#"{"condition":"NotReady"}"#].contains(&body.as_str())
        );
        service.0.get_mut().write_all(reply.as_bytes()).unwrap();
        service
    };
    for reply in [
        "",
        "nonsense\r\n\r\n",
        "HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n",
    ] {
        report(reply);
    }
    drop(report("HTTP/1.1 204 No Content\r\n\r\n"));
    expect_served(&mut link, &mut sidecar, 1, IDEMPOTENT, &[]);
}
