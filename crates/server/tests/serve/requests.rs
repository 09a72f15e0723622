//! Requests and their answers, of which each request gets exactly one.
use crate::rig::*;
use cottondyke_test_support::fakes::*;
use std::io::Write;

/// Guards against changes to the bytes of bodies, responses and results, such as line ends and NUL bytes.
#[test]
fn passes_bodies_responses_and_results_of_any_bytes() {
    let rig = Rig::start();
    let (mut link, mut sidecar) = rig.connect_engine_and_sidecar();
    let all: Vec<u8> = (0..2_048u32)
        .map(|n| (n * 7 % 256) as u8)
        .chain(*b"\r\n")
        .take(2_048)
        .collect();
    send_request(
        &mut sidecar,
        1,
        IDEMPOTENT,
        &[("cost", "12.50"), ("rank", "0.6250")],
        &all,
    );
    let (words, body) = link.receive_command().unwrap();
    assert_eq!(
        (words.as_slice(), &body),
        (
            &["RUN", &id(1), IDEMPOTENT, "2048"].map(String::from)[..],
            &all
        )
    );
    link.send_line("NOTE 1 nothing to see").unwrap();
    link.send_line_with_body(&format!("NEED 2 {}", id(1)), &all)
        .unwrap();
    let mut service = FakeService::accept(&rig.records).unwrap();
    let asked = service.receive_request().unwrap();
    assert_eq!(asked.line, "POST /records/op HTTP/1.1");
    assert_eq!(
        (asked.header("Op-Of"), &asked.body),
        (Some(id(1).as_str()), &all)
    );
    assert!(asked.header("Op-Wait-Ms").unwrap().parse::<u64>().unwrap() > 0);
    service.reply("200 OK", "", &all).unwrap();
    let (words, body) = link.receive_command().unwrap();
    assert_eq!((words[0].as_str(), &body), ("FEED", &all));
    let result: Vec<u8> = all.iter().chain(&all).copied().collect();
    link.send_line_with_body(&format!("DONE 3 {} fine 8.5", id(1)), &result)
        .unwrap();
    let answer = sidecar.receive().unwrap();
    assert_eq!(
        (answer.kind, answer.stream, answer.code, &answer.body),
        (2, 1, 1, &result)
    );
    assert!(
        answer.field("say").unwrap().parse::<f64>().unwrap() > 0.0,
        "answers carry the advised share of traffic"
    );
}

/// Guards against frames that are misread when they arrive in pieces, and against answers that go to the wrong
/// request when runs end in another order.
#[test]
fn answers_32_requests_in_any_order_when_read_in_small_pieces() {
    let rig = Rig::with(|conf| {
        let rules = &mut conf["settings"]["obligations"];
        rules["overload_factor"] = 40.0.into();
        conf["settings"]["family_info"]["n_cores"] = 32.into();
    });
    let (mut link, mut sidecar) = rig.connect_engine_and_sidecar();
    let mut bytes = Vec::new();
    for n in 1..=32u32 {
        let (id, at) = (id(n.into()), unix_ms().to_string());
        let fields = [
            ("class", IDEMPOTENT),
            ("id", &id),
            ("at", &at),
            ("from", "1"),
            ("kb", "1.0"),
        ];
        bytes.extend(encode_frame(1, n, &encode_payload(&fields, &[n as u8])));
    }
    bytes
        .chunks(11)
        .for_each(|piece| sidecar.0.write_all(piece).unwrap());
    let mut runs: Vec<_> = (0..32).map(|_| expect_start(&mut link)).collect();
    // A request past the limit of open requests per connection is rejected; the others are not affected.
    send_request(&mut sidecar, 33, IDEMPOTENT, &[], b"");
    assert_eq!((sidecar.receive().unwrap().stream, runs.len()), (33, 32));
    runs.reverse();
    for (n, run) in runs.iter().enumerate() {
        link.send_line_with_body(&format!("DONE {} {run} fine 1", n + 1), run.as_bytes())
            .unwrap();
        let answer = sidecar.receive().unwrap();
        assert_eq!((answer.code, answer.body), (1, run.as_bytes().to_vec()));
        assert_eq!(id(answer.stream.into()), *run);
    }
}

/// Guards against an invalid request that ends its connection or fails other requests: each invalid one gets an answer.
#[test]
#[expect(clippy::too_many_lines, reason = "one table of cases")]
fn fails_only_the_request_with_an_invalid_field() {
    let rig = Rig::start();
    let (mut link, mut sidecar) = rig.connect_engine_and_sidecar();
    let at = unix_ms().to_string();
    let valid = [
        ("class", IDEMPOTENT),
        ("id", "00000000000000ff"),
        ("at", &at),
        ("from", "1"),
        ("kb", "1.0"),
    ];
    let with = |index: usize, value: &'static str| {
        let mut fields = valid.to_vec();
        fields[index].1 = value;
        fields
    };
    let twice = |name: &'static str| {
        valid
            .iter()
            .copied()
            .chain([(name, "1")])
            .collect::<Vec<_>>()
    };
    let without = |index: usize| {
        valid
            .iter()
            .copied()
            .enumerate()
            .filter(move |(n, _)| *n != index)
            .map(|f| f.1)
    };
    let mut invalid = vec![
        with(0, "nobody"),
        with(1, "12"),
        with(1, "00000000000000fg"),
        with(2, "now"),
    ];
    invalid.push(valid.iter().copied().chain([("cost", "1e300")]).collect());
    invalid.extend([
        with(3, "x"),
        with(4, "0"),
        with(4, "2000"),
        with(4, "NaN"),
        twice("kb"),
        twice("tenant"),
    ]);
    invalid.extend((0..5).map(|index| without(index).collect()));
    for (n, fields) in invalid.iter().enumerate() {
        sidecar.send(1, n as u32 + 1, fields, b"").unwrap();
        let answer = sidecar.receive().unwrap();
        assert_eq!(
            (answer.kind, answer.stream, answer.code),
            (2, n as u32 + 1, 9),
            "{fields:?}"
        );
    }
    sidecar.send(1, 90, &valid, &[0; 2_049]).unwrap();
    assert_eq!(sidecar.receive().unwrap().code, 9, "a body past 2 KiB");
    sidecar
        .0
        .write_all(&encode_frame(1, 91, &[3, 200, b'x']))
        .unwrap();
    assert_eq!(sidecar.receive().unwrap().code, 9, "fields past the frame");
    send_request(&mut sidecar, 100, IDEMPOTENT, &[], b"");
    let run = expect_start(&mut link);
    // Two open requests with the same id cannot be told apart: the second fails, the first goes on.
    sidecar
        .send(
            1,
            101,
            &[
                ("class", IDEMPOTENT),
                ("id", &run),
                ("at", &at),
                ("from", "1"),
                ("kb", "1.0"),
            ],
            b"",
        )
        .unwrap();
    assert_eq!(
        (
            sidecar.receive().unwrap().stream,
            complete_next_run(&mut link, &mut sidecar, &run)
        ),
        (101, 100)
    );
}

fn complete_next_run(link: &mut FakeEngine, sidecar: &mut FakeSidecar, run: &str) -> u32 {
    link.send_line_with_body(&format!("DONE 1 {run} fine 1"), b"")
        .unwrap();
    sidecar.receive().unwrap().stream
}

/// Guards against a second answer to a request: the result of a run that ends after the deadline is not sent.
#[test]
fn fails_a_request_once_when_its_deadline_passes() {
    let rig = Rig::start();
    let (mut link, mut sidecar) = rig.connect_engine_and_sidecar();
    send_request(&mut sidecar, 1, SHORT_TIMEOUT, &[], b"");
    let run = expect_start(&mut link);
    let answer = sidecar.receive().unwrap();
    assert_eq!((answer.stream, answer.code), (1, 9));
    assert_eq!(
        link.receive_command().unwrap().0,
        ["HALT", &run],
        "an idempotent run is stopped"
    );
    link.send_line_with_body(&format!("DONE 1 {run} fine 400"), b"too late")
        .unwrap();
    send_request(&mut sidecar, 2, IDEMPOTENT, &[], b"");
    // HALT is sent again until the engine reports the end of the run.
    let run = std::iter::repeat_with(|| link.receive_command().unwrap().0)
        .find(|words| words[0] != "HALT")
        .unwrap();
    assert_eq!(run[..2], ["RUN".to_string(), id(2)]);
    link.send_line_with_body(&format!("DONE 2 {} fine 1", run[1]), b"in time")
        .unwrap();
    assert_eq!(
        sidecar.receive().unwrap().body,
        b"in time",
        "no other answer is sent between the two"
    );
}

/// Guards against shedding load because of wrong timestamps: those of a connection of which the engine has accepted no
/// request are no evidence of a queueing delay.
#[test]
fn learns_no_queueing_delay_from_a_wrong_timestamp() {
    let rig = Rig::start();
    let (mut link, mut sidecar) = rig.connect_engine_and_sidecar();
    let mut unverified = rig.connect_sidecar();
    for n in 1..=20 {
        let (id, at) = (id(n.into()), (unix_ms() - 1_000).to_string());
        let fields = [
            ("class", IDEMPOTENT),
            ("id", &id),
            ("at", &at),
            ("from", "1"),
            ("kb", "1.0"),
        ];
        unverified.send(1, n, &fields, b"").unwrap();
        let run = expect_start(&mut link);
        link.send_line(&format!("NO RUN {run}")).unwrap();
        assert_eq!(unverified.receive().unwrap().code, 9);
    }
    send_request(&mut sidecar, 21, IDEMPOTENT, &[], b"");
    execute_next_run(&mut link, 1, b"");
    assert_eq!(
        sidecar.receive().unwrap().field("say"),
        Some("1"),
        "all of the traffic is still wanted"
    );
}

/// Guards against wrong deadlines when the client's clock is hours ahead or behind.
#[test]
fn serves_a_request_stamped_by_a_differing_clock() {
    let rig = Rig::start();
    let (mut link, mut sidecar) = rig.connect_engine_and_sidecar();
    for (n, at) in [
        (1, unix_ms() + 7_200_000),
        (2, unix_ms() - 7_200_000),
        (3, 0),
        (4, u64::MAX),
    ] {
        let (id, at) = (id(n.into()), at.to_string());
        sidecar
            .send(
                1,
                n,
                &[
                    ("class", IDEMPOTENT),
                    ("id", &id),
                    ("at", &at),
                    ("from", "1"),
                    ("kb", "1.0"),
                ],
                b"",
            )
            .unwrap();
        execute_next_run(&mut link, n.into(), b"");
        assert_eq!(sidecar.receive().unwrap().code, 1);
    }
}

/// Guards against a second run of a keyed request: repeats get the result of the first attempt, both while that is open
/// and after its result is stored.
#[test]
fn runs_a_keyed_request_once_for_all_its_attempts() {
    let rig = Rig::start();
    let (mut link, mut sidecar) = rig.connect_engine_and_sidecar();
    let once = [("once", "basket 7")];
    send_request(&mut sidecar, 1, KEYED, &once, b"buy");
    let run = expect_start(&mut link);
    send_request(&mut sidecar, 2, KEYED, &once, b"buy");
    send_request(&mut sidecar, 3, KEYED, &[("once", "basket 8")], b"buy");
    assert_eq!(
        expect_start(&mut link),
        id(3),
        "another key is another request; the repeat did not run"
    );
    link.send_line_with_body(&format!("DONE 1 {run} fine 1"), b"bought")
        .unwrap();
    let mut answers = [sidecar.receive().unwrap(), sidecar.receive().unwrap()];
    answers.sort_by_key(|answer| answer.stream);
    assert_eq!(
        answers.map(|answer| (answer.stream, answer.code, answer.body)),
        [1, 2].map(|s| (s, 1, b"bought".to_vec()))
    );
    send_request(&mut sidecar, 4, KEYED, &once, b"buy");
    let late = sidecar.receive().unwrap();
    assert_eq!(
        (late.stream, late.code, late.body.as_slice()),
        (4, 1, &b"bought"[..])
    );
}

/// Guards against coalesced requests that get no answer when the run of the first attempt fails.
#[test]
fn fails_repeats_of_a_failed_request() {
    let rig = Rig::start();
    let (mut link, mut sidecar) = rig.connect_engine_and_sidecar();
    for n in 1..=2 {
        send_request(&mut sidecar, n, KEYED, &[("once", "basket 7")], b"buy");
    }
    let run = expect_start(&mut link);
    link.send_line_with_body(&format!("DONE 1 {run} fault 1"), b"")
        .unwrap();
    assert_eq!(
        [
            sidecar.receive().unwrap().code,
            sidecar.receive().unwrap().code
        ],
        [9, 9]
    );
}
