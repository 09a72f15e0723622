//! Moments where two events cross, forced to come in the bad order each time.
use crate::rig::*;
use cottondyke_test_support::fakes::*;
use serde_json::{json, Value};
use std::io::{ErrorKind, Write};
use std::time::{Duration, Instant};

const KEY: &[(&str, &str)] = &[("once", "basket")];

/// A keyed request that came to the machine at `at`.
fn send_request_at(sidecar: &mut FakeSidecar, number: u32, key: &str, at: u64) {
    let (id, at) = (id(number.into()), at.to_string());
    let fields = [
        ("class", BUY),
        ("id", &id),
        ("at", &at),
        ("from", "1"),
        ("kb", "1.0"),
        ("once", key),
    ];
    sidecar.send(1, number, &fields, b"").unwrap();
}

/// A server with a dedup window of 100 ms.
fn short_window(conf: &mut Value) {
    for class in conf["settings"]["classes"].as_array_mut().unwrap() {
        class["dedup_window_ms"] = json!(100.0);
    }
}

/// A server, its engine, a sidecar of which the engine has known a request, and a client of which it never does.
fn with_stranger() -> (Rig, FakeEngine, FakeSidecar, FakeSidecar) {
    let rig = Rig::start();
    let (mut link, mut sidecar) = rig.ready();
    expect_served(&mut link, &mut sidecar, 1, READ, &[]);
    let stranger = rig.sidecar();
    (rig, link, sidecar, stranger)
}

/// Guards effects: the dedup window goes by when an attempt reached the machine. Two attempts that lay unread past a short
/// window, and are read together, run once.
#[test]
fn runs_once_when_two_attempts_are_read_after_the_window() {
    let rig = Rig::with(short_window);
    let (mut link, mut sidecar) = rig.ready();
    let now = unix_ms();
    for (number, key, at) in [
        (1, "basket", now - 300),
        (2, "basket", now - 290),
        (3, "other", now),
    ] {
        send_request_at(&mut sidecar, number, key, at);
    }
    assert_eq!(
        [expect_start(&mut link), expect_start(&mut link)],
        [id(1), id(3)],
        "the second attempt is coalesced with the first"
    );
    link.send_line_with_body(&format!("DONE 1 {} fine 1", id(1)), b"bought")
        .unwrap();
    let mut heard = [sidecar.receive().unwrap(), sidecar.receive().unwrap()];
    heard.sort_by_key(|h| h.stream);
    assert_eq!(
        heard.map(|h| (h.stream, h.code, h.body)),
        [1, 2].map(|s| (s, 1, b"bought".to_vec()))
    );
}

/// Guards effects: an attempt that reached the machine within the window, and is read after it, repeats the one that ran,
/// whether that still goes on or is over. One that came after the window is another request.
#[test]
fn does_not_run_an_attempt_within_the_window_that_is_read_after_it() {
    for over in [false, true] {
        let rig = Rig::with(short_window);
        let (mut link, mut sidecar) = rig.ready();
        let start = unix_ms();
        send_request_at(&mut sidecar, 1, "basket", start);
        assert_eq!(expect_start(&mut link), id(1));
        if over {
            complete_run(&mut link, &mut sidecar, 1);
        }
        // Past the window and the slack of sockets, by the clock that the stamps go by.
        while unix_ms() < start + 250 {
            assert_eq!(check_health(&mut sidecar), 1);
        }
        send_request_at(&mut sidecar, 2, "basket", start + 60);
        send_request_at(&mut sidecar, 3, "other", unix_ms());
        assert_eq!(
            expect_start(&mut link),
            id(3),
            "the try that was read late does not run"
        );
        if !over {
            complete_run(&mut link, &mut sidecar, 1);
        }
        let late = sidecar.receive().unwrap();
        assert_eq!(
            (late.stream, late.code, late.body.as_slice()),
            (2, 1, &b"result 1"[..])
        );
        expect_served(&mut link, &mut sidecar, 4, BUY, KEY);
    }
}

/// Guards tenants against one another: the same key of another tenant is another request.
#[test]
fn separates_idempotency_keys_of_tenants() {
    let rig = Rig::with(|conf| {
        let customer = |name: &str| json!({ "name": name, "quota_per_s": 10.0 });
        conf["settings"]["customers"] = json!([customer("acme"), customer("bolt")]);
    });
    let (mut link, mut sidecar) = rig.ready();
    for (number, customer) in [(1, "acme"), (2, "bolt")] {
        expect_served(
            &mut link,
            &mut sidecar,
            number,
            BUY,
            &[KEY[0], ("tenant", customer)],
        );
    }
}

/// Guards results against a client that copies a key it has seen: its connection, of which the engine knows no request,
/// is given no result, open or kept; the sidecar's own repeats are.
#[test]
fn gives_no_result_for_a_copied_key() {
    let (_rig, mut link, mut sidecar, mut stranger) = with_stranger();
    send_request(&mut sidecar, 2, BUY, KEY, b"");
    assert_eq!(expect_start(&mut link), id(2));
    send_request(&mut stranger, 3, BUY, KEY, b"");
    assert_eq!(
        stranger.receive().unwrap().code,
        9,
        "while the first is open"
    );
    send_request(&mut sidecar, 4, BUY, KEY, b"");
    assert_eq!(check_health(&mut stranger), 1);
    complete_run(&mut link, &mut sidecar, 2);
    assert_eq!(sidecar.receive().unwrap().body, b"result 2");
    send_request(&mut stranger, 5, BUY, KEY, b"");
    assert_eq!(stranger.receive().unwrap().code, 9, "when it is kept");
    send_request(&mut sidecar, 6, BUY, KEY, b"");
    assert_eq!(sidecar.receive().unwrap().body, b"result 2");
    expect_served(&mut link, &mut sidecar, 7, READ, &[]);
}

/// Guards keys against a client that uses them first: what the engine does not know leaves nothing behind, whether a
/// genuine attempt joined it or comes later.
#[test]
fn frees_a_key_that_an_unproven_client_used_first() {
    for joins in [true, false] {
        let (_rig, mut link, mut sidecar, mut stranger) = with_stranger();
        send_request(&mut stranger, 2, BUY, KEY, b"");
        assert_eq!(expect_start(&mut link), id(2));
        if joins {
            send_request(&mut sidecar, 3, BUY, KEY, b"");
            assert_eq!(check_health(&mut sidecar), 1, "it has been taken");
        }
        link.send_line(&format!("NO RUN {}", id(2))).unwrap();
        assert_eq!(stranger.receive().unwrap().code, 9);
        if !joins {
            send_request(&mut sidecar, 3, BUY, KEY, b"");
        }
        assert_eq!(expect_start(&mut link), id(3));
        complete_run(&mut link, &mut sidecar, 3);
    }
}

/// Guards a sidecar's request against a copy of it, whichever is read first: the copy is failed, the answer is the
/// sidecar's.
#[test]
fn gives_a_copied_request_nothing() {
    let (_rig, mut link, mut sidecar, mut stranger) = with_stranger();
    for (number, copy_first) in [(2, true), (3, false)] {
        let (first, second) = if copy_first {
            (&mut stranger, &mut sidecar)
        } else {
            (&mut sidecar, &mut stranger)
        };
        send_request(first, number, PAY, &[], b"same");
        assert_eq!(expect_start(&mut link), id(number.into()));
        send_request(second, number, PAY, &[], b"same");
        assert_eq!(stranger.receive().unwrap().code, 9);
        complete_run(&mut link, &mut sidecar, number);
    }
}

/// Guards connections against a sidecar that gives a request up and says so: the request is answered at once, its run is
/// stopped, and what follows on the connection is served.
#[test]
fn keeps_the_connection_when_a_request_is_cancelled() {
    let rig = Rig::start();
    let (mut link, mut sidecar) = rig.ready();
    send_request(&mut sidecar, 1, READ, &[], b"");
    let run = expect_start(&mut link);
    sidecar.0.write_all(&frame(3, 1, b"")).unwrap();
    let heard = sidecar.receive().unwrap();
    assert_eq!((heard.stream, heard.code), (1, 9));
    assert_eq!(link.receive_command().unwrap().0, ["HALT", &run]);
    // One that is answered already, and one that never was.
    sidecar
        .0
        .write_all(&[frame(3, 1, b""), frame(3, 77, b"")].concat())
        .unwrap();
    link.send_line_with_body(&format!("DONE 1 {run} broken_off 1"), b"")
        .unwrap();
    expect_served(&mut link, &mut sidecar, 2, READ, &[]);
}

/// Guards the due time where callers tell how long they wait: it goes before the client timeout.
#[test]
fn answers_by_the_deadline_that_the_caller_tells() {
    let rig = Rig::start();
    let (mut link, mut sidecar) = rig.ready();
    send_request(&mut sidecar, 1, BRIEF, &[], b"");
    send_request(&mut sidecar, 2, READ, &[("wait", "300")], b"");
    let _hang = (expect_start(&mut link), expect_start(&mut link));
    let heard =
        [sidecar.receive().unwrap(), sidecar.receive().unwrap()].map(|h| (h.stream, h.code));
    assert_eq!(
        heard,
        [(2, 9), (1, 9)],
        "the client timeout of the first is 600 ms"
    );
    for (number, wait) in [(3, "1e9"), (4, "soon")] {
        send_request(&mut sidecar, number, READ, &[("wait", wait)], b"");
        assert_eq!(sidecar.receive().unwrap().code, 9, "no caller means that");
    }
}

/// Guards value: a repeat that joined an attempt which fell due before the engine was there runs itself, since nothing ran.
#[test]
fn runs_a_repeat_when_the_first_attempt_never_ran() {
    let rig = Rig::start();
    let mut sidecar = rig.sidecar();
    let now = unix_ms();
    send_request_at(&mut sidecar, 1, "basket", now - 1_800);
    send_request_at(&mut sidecar, 2, "basket", now);
    let heard = sidecar.receive().unwrap();
    assert_eq!(
        (heard.stream, heard.code != 1),
        (1, true),
        "the first fell due"
    );
    let mut link = rig.link(0);
    assert_eq!(expect_start(&mut link), id(2));
    complete_run(&mut link, &mut sidecar, 2);
}

/// Guards a start against a SIGHUP that comes while the files are read: it ends nothing, and the files are read again.
#[test]
fn survives_sighup_while_the_files_are_read() {
    let (conf, _peers) = with_peers();
    let path = temporary_file("");
    std::fs::remove_file(&path).unwrap();
    assert!(std::process::Command::new("mkfifo")
        .arg(&path)
        .status()
        .unwrap()
        .success());
    let process = Process::start("--config", path);
    // Opening ends once the program opens the file to read it.
    let open = || {
        std::fs::OpenOptions::new()
            .write(true)
            .open(process.path())
            .unwrap()
    };
    let mut file = open();
    process.signal("-HUP");
    file.write_all(conf.to_string().as_bytes()).unwrap();
    drop(file);
    process.listen_addr();
    // The signal was kept: the files are read again.
    open().write_all(conf.to_string().as_bytes()).unwrap();
    process.wait_for_log("configuration reloaded");
}

/// Guards the time from the shutdown signal to the end: a short one that comes just after the start is kept.
#[test]
fn ends_in_time_when_the_shutdown_timeout_is_short() {
    let mut rig = Rig::with(|conf| conf["stop_ms"] = json!(200));
    let start = Instant::now();
    rig.signal("-TERM");
    let (status, time) = (rig.wait_for_exit().0, start.elapsed());
    assert!(
        status.code() == Some(0) && time < Duration::from_millis(350),
        "{time:?}"
    );
}

/// Guards sidecars that rest on a connection until the server ends it: they see its end in order, and a request that
/// comes after the server's half-close runs nowhere.
#[test]
fn closes_an_idle_connection_in_order() {
    let mut rig = Rig::with(|conf| conf["stop_ms"] = json!(2_000));
    let (mut link, mut resting) = rig.ready();
    expect_served(&mut link, &mut resting, 1, PAY, &[]);
    rig.signal("-TERM");
    assert_eq!(resting.receive().unwrap().kind, 6);
    assert_eq!(
        resting.receive().unwrap_err().kind(),
        ErrorKind::UnexpectedEof
    );
    // After the end of the server's half: read by nobody, and no reset.
    send_request(&mut resting, 2, PAY, &[], b"");
    assert_eq!(
        resting.receive().unwrap_err().kind(),
        ErrorKind::UnexpectedEof
    );
    drop(resting);
    assert_eq!(rig.wait_for_exit().0.code(), Some(0));
    let mut orders = std::iter::from_fn(|| link.receive_command().ok());
    assert!(!orders.any(|(words, _)| words[0] == "RUN"), "it never ran");
}
