//! Shutdown on SIGTERM.
use crate::rig::*;
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
