//! Connections of sidecars that are slow, rude, idle or too many.
use crate::rig::*;
use cottondyke_test_support::fakes::*;
use serde_json::json;
use std::io::Write;

/// Guards the server's other connections: what cannot be decoded is told and closed, after the open requests.
#[test]
fn closes_a_connection_after_a_malformed_frame_once_requests_are_answered() {
    let rig = Rig::start();
    let (mut link, _other) = rig.ready();
    let bad = [
        frame(1, 0, &payload(&[], b"")),
        frame(77, 9, b""),
        vec![0, 0, 0, 4, 1, 0, 0, 0],
        vec![0, 4, 0, 1, 1, 0, 0, 0],
        frame(1, 1, &payload(&[], b"")),
    ];
    for (n, bytes) in bad.iter().enumerate() {
        let mut sidecar = rig.sidecar();
        let id = id(n as u64 + 50);
        let at = unix_ms().to_string();
        let fields = [
            ("class", READ),
            ("id", &id),
            ("at", &at),
            ("from", "1"),
            ("kb", "1.0"),
        ];
        sidecar.send(1, 1, &fields, b"").unwrap();
        let run = expect_start(&mut link);
        sidecar.0.write_all(bytes).unwrap();
        let told = sidecar.receive().unwrap();
        assert_eq!((told.kind, told.stream), (2, 0), "{bytes:?}");
        link.send_line_with_body(&format!("DONE {} {run} fine 1", n + 1), b"r")
            .unwrap();
        assert_eq!(sidecar.receive().unwrap().body, b"r");
        assert!(sidecar.receive().is_err(), "then it is closed");
    }
}

/// Guards the dispatcher against a connection that is gone: its run is settled, with nobody to tell.
#[test]
fn serves_others_when_a_connection_is_reset() {
    let rig = Rig::start();
    let (mut link, mut other) = rig.ready();
    let mut gone = rig.sidecar();
    send_request(&mut gone, 1, READ, &[], b"");
    let run = expect_start(&mut link);
    // Half a frame, then the end.
    gone.0.write_all(&[0, 0]).unwrap();
    drop(gone);
    link.send_line_with_body(&format!("DONE 1 {run} fine 1"), &[7; 4_096])
        .unwrap();
    send_request(&mut other, 2, READ, &[], b"");
    run_through(&mut link, 2, b"fine");
    assert_eq!(other.receive().unwrap().body, b"fine");
}

/// Guards against a sidecar that asks and never reads: it is cut off, the others are served.
#[test]
fn drops_the_connection_of_a_sidecar_that_reads_nothing() {
    let rig = Rig::start();
    let (mut link, mut other) = rig.ready();
    let mut rude = rig.sidecar();
    rude.0
        .set_write_timeout(Some(std::time::Duration::from_secs(1)))
        .unwrap();
    let checks: Vec<u8> = (0..4_096)
        .flat_map(|_| frame(4, 0, &payload(&[], b"")))
        .collect();
    while rude.0.write_all(&checks).is_ok() {}
    rig.wait_for_log("sidecar reads too slowly");
    expect_served(&mut link, &mut other, 1, READ, &[]);
}

/// Guards memory: a length is no reason to take room, and frames in part have one bound for all.
#[test]
fn takes_no_memory_for_frames_that_are_only_announced() {
    let rig = Rig::start();
    let (_link, mut other) = rig.ready();
    let half: Vec<u8> = [0, 4, 0, 0].into_iter().chain([1; 200_000]).collect();
    let mut many: Vec<_> = (0..200).map(|_| rig.sidecar()).collect();
    assert!(
        many.iter_mut()
            .filter_map(|sidecar| sidecar.0.write_all(&half).ok())
            .count()
            > 100
    );
    rig.wait_for_log("invalid input");
    assert_eq!(check_health(&mut other), 1);
}

/// Guards sidecars against connections that hold on: near the budget of descriptors the longest idle is told and
/// closed, what has a request open stays, and accepting does not stop.
#[test]
fn evicts_the_longest_idle_connection_when_full() {
    let rig = Rig::with(|conf| conf["limits"]["sockets"] = json!(100));
    let (mut link, mut idle) = rig.ready();
    let mut busy = rig.sidecar();
    send_request(&mut busy, 1, READ, &[], b"");
    expect_start(&mut link);
    let mut others = [rig.sidecar(), rig.sidecar()];
    others
        .iter_mut()
        .for_each(|other| assert_eq!(check_health(other), 1));
    assert_eq!(idle.receive().unwrap().kind, 6);
    assert!(idle.receive().is_err());
    link.send_line_with_body(&format!("DONE 1 {} fine 1", id(1)), b"kept")
        .unwrap();
    assert_eq!(busy.receive().unwrap().body, b"kept");
}

/// Guards descriptors against a connection that sends nothing, or stops within a frame: it is told and closed.
#[test]
fn closes_a_connection_without_a_complete_frame_in_time() {
    let rig = Rig::start();
    let (_link, mut good) = rig.ready();
    let (mut silent, mut half) = (rig.sidecar(), rig.sidecar());
    assert_eq!(check_health(&mut half), 1);
    half.0.write_all(&frame(4, 0, b"\0")[..7]).unwrap();
    for rude in [&mut silent, &mut half] {
        let told = rude.receive().unwrap();
        assert_eq!((told.kind, told.stream), (2, 0));
        assert!(rude.receive().is_err());
    }
    assert_eq!(
        check_health(&mut good),
        1,
        "idle between frames is no fault"
    );
}

/// Guards the word why: what a peer sends at full speed after it is read and thrown away, not reset.
#[test]
fn tells_why_when_a_message_does_not_end() {
    let rig = Rig::start();
    let (_link, _other) = rig.ready();
    let mut rude = rig.sidecar();
    let body = vec![7; 1 << 20];
    rude.0.write_all(&[3, 0x93, 0x87, 0]).unwrap();
    (0..60).for_each(|_| rude.0.write_all(&body).unwrap());
    let told = rude.receive().unwrap();
    assert_eq!((told.kind, told.stream), (2, 0));
    assert!(rude.receive().is_err());
}

/// Guards capacity: the run of a request whose connection was reset is stopped.
#[test]
fn cancels_runs_when_their_connection_is_lost() {
    let rig = Rig::start();
    let (mut link, mut gone) = rig.ready();
    send_request(&mut gone, 1, READ, &[], b"");
    let run = expect_start(&mut link);
    // Closing with an answer unread resets the connection.
    gone.send(4, 0, &[], b"").unwrap();
    while gone.0.peek(&mut [0]).unwrap() == 0 {}
    drop(gone);
    assert_eq!(link.receive_command().unwrap().0, ["HALT", &run]);
}

/// Guards serving and reporting against a control plane that closes, answers oddly or says nothing.
#[test]
fn goes_on_reporting_whatever_the_control_plane_does() {
    let rig = Rig::start();
    let (mut link, mut sidecar) = rig.ready();
    let report = |reply: &str| {
        let mut service = FakeService::accept(&rig.control).unwrap();
        let asked = service.receive_request().unwrap();
        assert_eq!(asked.line, "PUT /v2/endpoints/toy HTTP/1.1");
        let body = String::from_utf8(asked.body).unwrap();
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
    expect_served(&mut link, &mut sidecar, 1, READ, &[]);
}
