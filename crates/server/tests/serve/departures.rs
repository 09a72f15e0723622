//! Callers that leave with their answers unread, and what they had sent.
use crate::rig::*;
use cottondyke_test_support::fakes::*;
use std::io::{BufRead, Read, Write};
use std::time::{Duration, Instant};

/// How long the engine must receive no run.
const QUIET: Duration = Duration::from_millis(300);

/// Resets a connection: it is closed with an unread answer.
fn reset(mut sidecar: FakeSidecar) {
    sidecar.send(4, 0, &[], b"").unwrap();
    while sidecar.0.peek(&mut [0]).unwrap() == 0 {}
}

/// The ids of the runs that the engine is told to start within `QUIET`, in which it also answers load queries.
fn started_runs(link: &mut FakeEngine) -> Vec<String> {
    let poll = Duration::from_millis(20);
    link.0.get_ref().set_read_timeout(Some(poll)).unwrap();
    let (mut started, until) = (Vec::new(), Instant::now() + QUIET);
    while Instant::now() < until {
        if link.0.fill_buf().is_err() {
            continue;
        }
        let (words, _) = link.receive_any_command().unwrap();
        match words[0].as_str() {
            "RUN" => started.push(words[1].clone()),
            "STAT" => link
                .send_line(&format!("STATS {} 0.5 1 0.1 3", words[1]))
                .unwrap(),
            _ => {}
        }
    }
    link.0.get_ref().set_read_timeout(Some(IO_TIMEOUT)).unwrap();
    started
}

/// Guards against a second run of an id that comes again after its client has left and its run has ended, whether the
/// run was completed or cancelled: the protocol gives each attempt a new id, so it is a copy.
#[test]
fn runs_no_id_again_after_its_client_has_left() {
    for (class, ends_first) in [
        (IDEMPOTENT, true),
        (IDEMPOTENT, false),
        (NON_IDEMPOTENT, true),
    ] {
        let rig = Rig::start();
        let (mut link, mut other) = rig.connect_engine_and_sidecar();
        let mut lost = rig.connect_sidecar();
        send_request(&mut lost, 1, class, &[], b"");
        let run = expect_start(&mut link);
        let done = format!("DONE 1 {run} fine 1");
        if ends_first {
            link.send_line_with_body(&done, b"done").unwrap();
            lost.receive().unwrap();
            reset(lost);
        } else {
            reset(lost);
            assert_eq!(link.receive_command().unwrap().0, ["HALT", &run]);
            link.send_line_with_body(&format!("DONE 1 {run} broken_off 1"), b"")
                .unwrap();
        }
        check_health(&mut other);
        let mut again = rig.connect_sidecar();
        send_request(&mut again, 1, class, &[], b"");
        assert_eq!(again.receive().unwrap().code, 9, "{class}");
        assert!(started_runs(&mut link).is_empty(), "{class}: ran again");
    }
}

/// Guards against running what a client had sent before it left: requests that were queued or still unread are
/// discarded, with or without an idempotency key.
#[test]
fn starts_no_run_for_a_client_that_has_left() {
    const REQUESTS: u32 = 32;
    for class in [IDEMPOTENT, KEYED] {
        let rig = Rig::start();
        let (mut link, mut other) = rig.connect_engine_and_sidecar();
        let mut lost = rig.connect_sidecar();
        let mut sent = Vec::new();
        for number in 1..=REQUESTS {
            let (id, at) = (id(number.into()), unix_ms().to_string());
            let mut fields = vec![
                ("class", class),
                ("id", &id),
                ("at", &at),
                ("from", "1"),
                ("kb", "10.0"),
            ];
            if class == KEYED {
                fields.push(("once", &id));
            }
            sent.extend(encode_frame(1, number, &encode_payload(&fields, b"")));
        }
        lost.0.write_all(&sent).unwrap();
        let running = started_runs(&mut link);
        assert!(running.len() < REQUESTS as usize, "all of them run already");
        reset(lost);
        check_health(&mut other);
        for (index, run) in running.iter().enumerate() {
            let line = format!("DONE {} {run} fine 1", index + 1);
            link.send_line_with_body(&line, b"done").unwrap();
        }
        let started = started_runs(&mut link);
        assert!(
            started.is_empty(),
            "{class}: {} of {REQUESTS} ran after the client had left",
            started.len()
        );
    }
}

/// Guards the deadline of an answer against a service that reads the large request of a call slowly.
#[test]
fn answers_in_time_when_a_service_reads_a_large_request_slowly() {
    const CALL_BYTES: usize = 250_000;
    const CLIENT_TIMEOUT: Duration = Duration::from_millis(2_000);
    const SLACK: Duration = Duration::from_millis(400);
    for class in [IDEMPOTENT, KEYED, NON_IDEMPOTENT] {
        let rig = Rig::start();
        let (mut link, mut sidecar) = rig.connect_engine_and_sidecar();
        let start = Instant::now();
        let key = [("once", "key")];
        send_request(
            &mut sidecar,
            1,
            class,
            if class == KEYED { &key } else { &[] },
            b"",
        );
        let run = expect_start(&mut link);
        link.send_line_with_body(&format!("NEED 1 {run}"), &vec![b'x'; CALL_BYTES])
            .unwrap();
        let mut service = FakeService::accept(&rig.records).unwrap();
        std::thread::spawn(move || {
            let mut piece = [0; 1_024];
            while service.0.read(&mut piece).is_ok_and(|count| count > 0) {
                std::thread::sleep(Duration::from_millis(40));
            }
        });
        sidecar.receive().unwrap();
        let elapsed = start.elapsed();
        assert!(
            elapsed <= CLIENT_TIMEOUT + SLACK,
            "{class}: answered after {elapsed:?}"
        );
    }
}

/// Guards long replies of a service that it writes slowly: they are not cut off while the request has time.
#[test]
fn waits_for_a_long_reply_that_is_written_slowly() {
    const REPLY_BYTES: usize = 200_000;
    const PIECES: usize = 20;
    let rig = Rig::start();
    let (mut link, mut sidecar) = rig.connect_engine_and_sidecar();
    send_request(&mut sidecar, 1, NON_IDEMPOTENT, &[], b"");
    let run = expect_start(&mut link);
    link.send_line_with_body(&format!("NEED 1 {run}"), b"call")
        .unwrap();
    let mut service = FakeService::accept(&rig.records).unwrap();
    service.receive_request().unwrap();
    let reply = vec![b'r'; REPLY_BYTES];
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {REPLY_BYTES}\r\n\r\n");
    let stream = service.0.get_mut();
    stream.write_all(head.as_bytes()).unwrap();
    for piece in reply.chunks(REPLY_BYTES / PIECES) {
        stream.write_all(piece).unwrap();
        std::thread::sleep(Duration::from_millis(50));
    }
    let (words, body) = link.receive_command().unwrap();
    assert_eq!((words[0].as_str(), body.len()), ("FEED", REPLY_BYTES));
}
