//! The link to the engine: an engine that starts late, broken links, refused and unreadable messages.
use crate::rig::*;
use cottondyke_test_support::fakes::{
    unix_ms, EngineCommand, FakeEngine, FakeService, FakeSidecar,
};
use serde_json::json;
use std::io::Write;
use std::net::TcpListener;

/// Before the engine is up, health checks must be answered, and requests must be answered at their deadline.
#[test]
fn queues_requests_and_reports_unhealthy_until_the_engine_is_up() {
    let rig = Rig::start();
    let mut sidecar = rig.connect_sidecar();
    assert_ne!(check_health(&mut sidecar), 1);
    send_request(&mut sidecar, 1, SHORT_TIMEOUT, &[], b"");
    let response = sidecar.receive().unwrap();
    assert_ne!(
        (response.stream, response.code),
        (1, 1),
        "the request reached its deadline meanwhile"
    );
    send_request(&mut sidecar, 2, IDEMPOTENT, &[], b"");
    assert_ne!(check_health(&mut sidecar), 1);
    let mut link = rig.accept_engine(0);
    assert_eq!(
        expect_start(&mut link),
        id(2),
        "the pending request runs once the engine is up"
    );
    link.send_line_with_body(&format!("DONE 1 {} fine 1", id(2)), b"")
        .unwrap();
    assert_eq!(sidecar.receive().unwrap().code, 1);
    assert_eq!(check_health(&mut sidecar), 1);
    // The request that was answered at its deadline left no state behind, so its id can be used again.
    let (id, at) = (id(1), unix_ms().to_string());
    let fields = [
        ("class", IDEMPOTENT),
        ("id", &id),
        ("at", &at),
        ("from", "1"),
        ("kb", "1.0"),
    ];
    sidecar.send(1, 3, &fields, b"").unwrap();
    execute_next_run(&mut link, 2, b"");
    assert_eq!(sidecar.receive().unwrap().code, 1);
}

/// No message may be lost or handled twice when the link breaks in the middle of a body.
#[test]
fn resumes_after_the_last_complete_message_when_the_link_breaks() {
    let rig = Rig::start();
    let (mut link, mut sidecar) = rig.connect_engine_and_sidecar();
    send_request(&mut sidecar, 1, IDEMPOTENT, &[], b"a");
    send_request(&mut sidecar, 2, IDEMPOTENT, &[], b"b");
    let (first, second) = (expect_start(&mut link), expect_start(&mut link));
    link.send_line_with_body(&format!("DONE 1 {first} fine 1"), b"whole")
        .unwrap();
    let incomplete = format!("DONE 2 {second} fine 1 9\r\nhal");
    link.0.get_mut().write_all(incomplete.as_bytes()).unwrap();
    assert_eq!(sidecar.receive().unwrap().body, b"whole");
    drop(link);
    let mut link = rig.accept_engine(1);
    link.send_line_with_body(&format!("DONE 1 {first} fine 1"), b"again")
        .unwrap();
    link.send_line_with_body(&format!("DONE 2 {second} fine 1"), b"half done")
        .unwrap();
    let response = sidecar.receive().unwrap();
    assert_eq!(
        (response.stream, response.body.as_slice()),
        (2, &b"half done"[..])
    );
}

/// Side effects must not be repeated: after a link breaks, only idempotent runs are started again, and the others are
/// left to end.
#[test]
fn repeats_a_possibly_lost_run_only_when_it_is_idempotent() {
    let rig = Rig::start();
    let (mut link, mut sidecar) = rig.connect_engine_and_sidecar();
    // The idempotent run comes last: the answer to a later query would show that its command was read.
    for (n, class) in [(2, KEYED), (3, NON_IDEMPOTENT), (1, IDEMPOTENT)] {
        send_request(&mut sidecar, n, class, &[], b"");
        assert_eq!(expect_start(&mut link), id(n.into()));
    }
    drop(link);
    let mut link = rig.accept_engine(0);
    assert_eq!(expect_start(&mut link), id(1));
    for n in 1..=3 {
        link.send_line_with_body(&format!("DONE {n} {} fine 1", id(n)), b"")
            .unwrap();
        assert_eq!(sidecar.receive().unwrap().stream, n as u32);
    }
    send_request(&mut sidecar, 4, IDEMPOTENT, &[], b"");
    assert_eq!(
        expect_start(&mut link),
        id(4),
        "no other run was started again"
    );
}

/// A request whose run on `link` has received the result of its first call. Returns the id of the run.
fn run_past_first_call(
    rig: &Rig,
    link: &mut FakeEngine,
    sidecar: &mut FakeSidecar,
    class: &str,
) -> String {
    send_request(sidecar, 1, class, &[], b"");
    let run = expect_start(link);
    link.send_line_with_body(&format!("NEED 1 {run}"), b"first")
        .unwrap();
    let mut service = FakeService::accept(&rig.records).unwrap();
    assert_eq!(service.receive_request().unwrap().body, b"first");
    service.reply("200 OK", "", b"first reply").unwrap();
    let (words, body) = receive_without_answering_queries(link);
    assert_eq!(
        (words[0].as_str(), &body[..]),
        ("FEED", &b"first reply"[..])
    );
    run
}

/// Receives the next command other than `STAT`. As no `STAT` is answered, the server cannot know that it was read.
fn receive_without_answering_queries(link: &mut FakeEngine) -> EngineCommand {
    std::iter::repeat_with(|| link.receive_any_command().unwrap())
        .find(|(words, _)| words[0] != "STAT")
        .unwrap()
}

/// Guards against the result of a call that reaches the run as the result of its next call: it was sent again on the
/// next link, after a break and after a move of the engine, although the run had received it and gone on.
#[test]
fn gives_a_run_no_old_call_result_when_its_link_was_replaced() {
    for (class, has_moved) in [IDEMPOTENT, KEYED, NON_IDEMPOTENT]
        .into_iter()
        .flat_map(|class| [(class, false), (class, true)])
    {
        let mut rig = Rig::start();
        let (mut link, mut sidecar) = rig.connect_engine_and_sidecar();
        let run = run_past_first_call(&rig, &mut link, &mut sidecar, class);
        let mut link = if has_moved {
            let moved = TcpListener::bind("127.0.0.1:0").unwrap();
            rig.conf["engine"] = json!(moved.local_addr().unwrap().to_string());
            rig.reload(&rig.conf.to_string(), "engine address changed");
            Rig::accept_engine_on(&moved, 1)
        } else {
            drop(link);
            rig.accept_engine(1)
        };
        // The run asks for its next call as soon as the server knows that it has read all earlier notices.
        link.send_line_with_body(&format!("NEED 2 {run}"), b"second")
            .unwrap();
        let mut service = FakeService::accept(&rig.records).unwrap();
        assert_eq!(service.receive_request().unwrap().body, b"second");
        service.reply("200 OK", "", b"second reply").unwrap();
        let (words, body) = std::iter::repeat_with(|| link.receive_command().unwrap())
            .find(|(words, _)| words[0] != "SKIP")
            .unwrap();
        assert_eq!(
            (words[..2].join(" "), String::from_utf8(body).unwrap()),
            (format!("FEED {run}"), "second reply".to_string()),
            "{class}, moved: {has_moved}"
        );
        link.send_line_with_body(&format!("DONE 3 {run} fine 1"), b"result")
            .unwrap();
        assert_eq!(sidecar.receive().unwrap().body, b"result");
    }
}

/// A run must not hang if the call result that it waits for was completely written but lost with the link. If its call
/// can be skipped, it is, by a command that names the call, and the engine's refusal of that command does not end the
/// run. Else nothing is sent, and the request is answered once: with the run's result, or as failed at its deadline.
#[test]
fn resumes_or_answers_a_run_whose_call_result_may_have_been_lost() {
    for (class, may_skip, is_lost) in [
        (IDEMPOTENT, true, true),
        (IDEMPOTENT, true, false),
        (NON_IDEMPOTENT, false, true),
        (NON_IDEMPOTENT, false, false),
    ] {
        let rig = Rig::start();
        let (mut link, mut sidecar) = rig.connect_engine_and_sidecar();
        let run = run_past_first_call(&rig, &mut link, &mut sidecar, class);
        drop(link);
        let mut link = rig.accept_engine(1);
        if may_skip {
            let (words, _) = link.receive_command().unwrap();
            assert_eq!(words, ["SKIP", &run, "1"]);
            link.send_line(&format!("NO SKIP {run}")).unwrap();
        }
        if may_skip || !is_lost {
            link.send_line_with_body(&format!("DONE 2 {run} fine 1"), b"went on")
                .unwrap();
            assert_eq!(sidecar.receive().unwrap().body, b"went on");
        } else {
            let response = sidecar.receive().unwrap();
            assert_eq!((response.stream, response.code), (1, 9), "at its deadline");
            link.send_line_with_body(&format!("DONE 2 {run} broken_off 1"), b"")
                .unwrap();
        }
        drop(link);
        let mut link = rig.accept_engine(2);
        send_request(&mut sidecar, 2, IDEMPOTENT, &[], b"");
        assert_eq!(
            expect_start(&mut link),
            id(2),
            "no command of the run that ended is sent again"
        );
    }
}

/// A run must not hang until its deadline if its call cannot be skipped and it may be run again: it is cancelled and, once
/// the engine has said so, started again. If it had received the result after all and ends first, that end counts.
#[test]
fn runs_again_when_a_call_result_may_have_been_lost() {
    for is_lost in [true, false] {
        let rig = Rig::start();
        let (mut link, mut sidecar) = rig.connect_engine_and_sidecar();
        let run = run_past_first_call(&rig, &mut link, &mut sidecar, SHORT_TIMEOUT);
        drop(link);
        let mut link = rig.accept_engine(1);
        assert_eq!(link.receive_command().unwrap().0, ["HALT", &run]);
        if is_lost {
            link.send_line_with_body(&format!("DONE 2 {run} broken_off 1"), b"")
                .unwrap();
            assert_eq!(expect_start(&mut link), run);
        } else {
            link.send_line(&format!("NO HALT {run}")).unwrap();
        }
        link.send_line_with_body(&format!("DONE 3 {run} fine 1"), b"result")
            .unwrap();
        assert_eq!(sidecar.receive().unwrap().body, b"result");
        expect_served(&mut link, &mut sidecar, 4, IDEMPOTENT, &[]);
    }
}

/// Sets one core, an overdue time of 0.8 s for runs, and the `overload_factor` that determines the concurrency ceiling.
fn one_core(conf: &mut serde_json::Value, overload_factor: f64) {
    for class in conf["settings"]["classes"].as_array_mut().unwrap() {
        class["deadline_ms"] = 200.0.into();
    }
    conf["settings"]["family_info"]["n_cores"] = 1.into();
    conf["settings"]["obligations"]["overload_factor"] = overload_factor.into();
}

/// A run whose start command was lost with the link must not occupy capacity long after its client gave up.
#[test]
fn abandons_a_run_whose_command_may_have_been_lost() {
    let rig = Rig::with(|conf| one_core(conf, 2.0));
    let (mut link, mut sidecar) = rig.connect_engine_and_sidecar();
    send_request(&mut sidecar, 1, NON_IDEMPOTENT, &[], b"");
    expect_start(&mut link);
    drop(link);
    let mut link = rig.accept_engine(0);
    assert_eq!(sidecar.receive().unwrap().code, 9);
    rig.wait_for_log("abandoning a run that never ended");
    send_request(&mut sidecar, 2, NON_IDEMPOTENT, &[], b"");
    assert_eq!(expect_start(&mut link), id(2), "its capacity is free");
}

/// Runs that hang must not overload the machine. They count towards the concurrency ceiling until the engine reports
/// their end, while other runs may start beside them.
#[test]
fn counts_overdue_runs_towards_the_concurrency_ceiling() {
    let rig = Rig::with(|conf| one_core(conf, 4.0));
    let (mut link, mut sidecar) = rig.connect_engine_and_sidecar();
    // With the safety margin, the concurrency ceiling of one core is three runs.
    for number in 1..=3 {
        send_request(&mut sidecar, number, NON_IDEMPOTENT, &[], b"");
        assert_eq!(expect_start(&mut link), id(number.into()));
        assert_eq!(sidecar.receive().unwrap().code, 9);
        rig.wait_for_log("a run is overdue");
    }
    send_request(&mut sidecar, 4, NON_IDEMPOTENT, &[], b"");
    let response = sidecar.receive().unwrap();
    assert_eq!((response.stream, response.code), (4, 0), "it is not run");
    // A link that breaks long after the commands were written does not show that the runs were lost.
    drop(link);
    let mut link = rig.accept_engine(0);
    send_request(&mut sidecar, 5, NON_IDEMPOTENT, &[], b"");
    let response = sidecar.receive().unwrap();
    assert_eq!((response.stream, response.code), (5, 0), "it is not run");
    link.send_line_with_body(&format!("DONE 1 {} fine 1", id(1)), b"")
        .unwrap();
    send_request(&mut sidecar, 6, NON_IDEMPOTENT, &[], b"");
    assert_eq!(expect_start(&mut link), id(6), "capacity is free");
}

/// A request whose run the engine refuses must be answered, and the server must continue to serve others.
#[test]
fn fails_the_request_when_its_command_is_refused() {
    let rig = Rig::start();
    let (mut link, mut sidecar) = rig.connect_engine_and_sidecar();
    send_request(&mut sidecar, 1, NON_IDEMPOTENT, &[], b"");
    let run = expect_start(&mut link);
    link.send_line(&format!("NO RUN {run}")).unwrap();
    assert_eq!(sidecar.receive().unwrap().code, 9);
    link.send_line("SOMETHING new").unwrap();
    link.send_line(&format!("NO HALT {run}")).unwrap();
    expect_served(&mut link, &mut sidecar, 2, IDEMPOTENT, &[]);
    rig.wait_for_log("unknown engine message");
}

/// Requests and health checks must be answered on time even if the engine reads commands but sends nothing more.
#[test]
fn keeps_timers_and_checks_going_when_the_engine_is_silent() {
    let rig = Rig::start();
    let (mut link, mut sidecar) = rig.connect_engine_and_sidecar();
    send_request(&mut sidecar, 1, SHORT_TIMEOUT, &[], b"");
    expect_start(&mut link);
    // From here on the engine does not even answer load queries.
    assert_eq!(sidecar.receive().unwrap().code, 9);
    assert_eq!(
        check_health(&mut sidecar),
        1,
        "health checks get the state that the admission controller set"
    );
}

/// A link on which bytes arrive that are not a valid message must be closed and opened again.
#[test]
fn replaces_a_link_that_sends_unreadable_messages() {
    let rig = Rig::start();
    let (mut link, mut sidecar) = rig.connect_engine_and_sidecar();
    send_request(&mut sidecar, 1, KEYED, &[], b"");
    let run = expect_start(&mut link);
    link.send_line("DONE 1 nobody fine 1 0\r\n").unwrap();
    let mut link = rig.accept_engine(0);
    link.send_line_with_body(&format!("DONE 1 {run} fine 1"), b"")
        .unwrap();
    assert_eq!(sidecar.receive().unwrap().code, 1);
}

/// A HALT may cross the end of its run. Whether the end or the refusal of the HALT arrives first, the request must get
/// exactly one response, and the next request must be served.
#[test]
fn ignores_a_cancel_that_crosses_the_end_of_its_run() {
    for refused_first in [false, true] {
        let rig = Rig::start();
        let (mut link, mut sidecar) = rig.connect_engine_and_sidecar();
        send_request(&mut sidecar, 1, SHORT_TIMEOUT, &[], b"");
        let run = expect_start(&mut link);
        assert_eq!(sidecar.receive().unwrap().code, 9);
        assert_eq!(link.receive_command().unwrap().0, ["HALT", &run]);
        if refused_first {
            link.send_line(&format!("NO HALT {run}")).unwrap();
        }
        link.send_line_with_body(&format!("DONE 1 {run} fine 600"), b"late")
            .unwrap();
        link.send_line(&format!("NO HALT {run}")).unwrap();
        expect_served(&mut link, &mut sidecar, 2, IDEMPOTENT, &[]);
    }
}
