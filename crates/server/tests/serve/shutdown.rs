//! Shutdown on SIGTERM.
use crate::rig::*;
use cottondyke_test_support::fakes::{FakeEngine, FakeSidecar, ReceivedFrame};
use serde_json::json;
use std::time::Duration;

/// Guards against requests lost in a drain: all requests that were read are answered, new ones are rejected or answered,
/// and the process exits in time.
#[test]
fn answers_all_that_was_read_before_the_end() {
    let mut rig = Rig::with(|conf| conf["stop_ms"] = json!(1_500));
    let (mut link, mut sidecar) = rig.connect_engine_and_sidecar();
    send_request(&mut sidecar, 1, NON_IDEMPOTENT, &[], b"");
    send_request(&mut sidecar, 2, NON_IDEMPOTENT, &[], b"");
    let (first, _hangs) = (expect_start(&mut link), expect_start(&mut link));
    rig.signal("-TERM");
    let notice = sidecar.receive().unwrap();
    assert_eq!((notice.kind, notice.stream), (6, 0));
    rig.signal("-TERM");
    rig.wait_for_log("repeated shutdown signal");
    let mut late = rig.connect_sidecar();
    assert_ne!(
        check_health(&mut late),
        1,
        "health checks fail during the drain"
    );
    send_request(&mut late, 3, IDEMPOTENT, &[], b"");
    link.send_line_with_body(&format!("DONE 1 {first} fine 1"), b"done")
        .unwrap();
    assert_eq!(sidecar.receive().unwrap().body, b"done");
    // The second run never ends: its request is answered as failed before the exit.
    let hung = sidecar.receive().unwrap();
    assert_eq!((hung.stream, hung.code), (2, 9));
    let answered = std::iter::from_fn(|| late.receive().ok())
        .filter(|frame| frame.kind == 2)
        .map(|frame| frame.stream);
    assert_eq!(answered.collect::<Vec<_>>(), [3], "one answer of any kind");
    let (status, _) = rig.wait_for_exit();
    assert_eq!(status.code(), Some(0));
}

/// Guards against waiting without need: once nothing is connected, the server exits before its shutdown timeout.
#[test]
fn ends_in_time_when_idle() {
    let mut rig = Rig::with(|conf| conf["stop_ms"] = json!(2_000));
    drop(rig.connect_engine_and_sidecar());
    rig.signal("-TERM");
    let (status, time) = rig.wait_for_exit();
    assert!(
        status.code() == Some(0) && time < Duration::from_millis(2_000),
        "{time:?}"
    );
}

/// Type of a frame with a response to a request.
const RESPONSE: u8 = 2;
const STOP_MS: u64 = 1_600;
const GRACE_MS: u64 = 400;

/// A server that was told to shut down before its engine was up, and whose engine comes up `delay` after the notice.
fn drain_before_engine_is_up(grace_ms: u64, delay: Duration) -> (Rig, FakeEngine) {
    let rig = Rig::with(|conf| {
        conf["stop_ms"] = json!(STOP_MS);
        conf["settings"]["obligations"]["drain_grace_ms"] = json!(grace_ms as f64);
    });
    let mut sidecar = rig.connect_sidecar();
    assert_ne!(check_health(&mut sidecar), 1, "no engine yet");
    rig.signal("-TERM");
    rig.wait_for_log("shutting down");
    std::thread::sleep(delay);
    let link = rig.accept_engine(0);
    (rig, link)
}

/// The next response, past notices that the connection takes no new request.
fn receive_response(sidecar: &mut FakeSidecar) -> ReceivedFrame {
    let mut frames = std::iter::repeat_with(|| sidecar.receive().unwrap());
    frames.find(|frame| frame.kind == RESPONSE).unwrap()
}

/// Guards against work that arrives after the grace of a drain and runs: the grace was counted from the engine's first
/// hello where that came after the notice.
#[test]
fn runs_nothing_after_the_grace_when_the_engine_comes_up_during_the_drain() {
    let (mut rig, _link) =
        drain_before_engine_is_up(GRACE_MS, Duration::from_millis(GRACE_MS + 200));
    let mut late = rig.connect_sidecar();
    send_request(&mut late, 1, IDEMPOTENT, &[], b"");
    let response = receive_response(&mut late);
    assert_eq!((response.stream, response.code), (1, 0), "rejected");
    assert_ne!(check_health(&mut late), 1);
    assert_eq!(rig.wait_for_exit().0.code(), Some(0));
}

/// Guards against requests that are run and never answered: the time to answer was counted from the engine's first hello
/// where that came after the notice, and ended after the process.
#[test]
fn answers_what_it_runs_when_the_engine_comes_up_late_in_the_drain() {
    let (mut rig, mut link) =
        drain_before_engine_is_up(STOP_MS, Duration::from_millis(STOP_MS * 4 / 5));
    let mut sidecar = rig.connect_sidecar();
    send_request(&mut sidecar, 1, IDEMPOTENT, &[], b"");
    assert_eq!(expect_start(&mut link), id(1), "within the grace");
    let response = receive_response(&mut sidecar);
    assert_eq!((response.stream, response.code), (1, 9), "the run hangs");
    assert_eq!(rig.wait_for_exit().0.code(), Some(0));
}
