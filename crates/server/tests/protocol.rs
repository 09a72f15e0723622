//! The parsers, fed every split and fuzzed bytes; and the small parts that need no socket.

use cottondyke::connection::table::ConnectionTable;

use cottondyke::config::Config;
use cottondyke::dedup::{DedupTable, Outcome};
use cottondyke::event::{ConnectionId, Outgoing};
use cottondyke::execution::command_queue::EngineCommandQueue;
use cottondyke::health_check::HealthChecker;
use cottondyke::protocol::engine::{self, EngineCommand, EngineMessage, Tag};
use cottondyke::protocol::http;
use cottondyke::protocol::sidecar::RunOutput;
use cottondyke::protocol::sidecar::{self, Frame, NameTable, Response, StreamId};
use cottondyke::protocol::WireId;
use cottondyke::shutdown::{stage, ShutdownPhase};
use cottondyke_admission::RunOutcome;
use cottondyke_test_support::fakes::{frame, payload};
use cottondyke_types::{HandlerId, RequestId, TenantId, Time};
use quickcheck::{quickcheck, TestResult};
use std::fmt::Debug;
use std::rc::Rc;

fn names() -> Rc<NameTable> {
    let handlers = ["browse", "checkout"].map(String::from).to_vec();
    Rc::new(NameTable {
        handlers,
        customers: vec!["acme".to_string()],
        longest_ms: 2_000.0,
    })
}

/// What each protocol's decoder makes of bytes that come in pieces.
trait Parser: Sized {
    type Out: Debug + PartialEq;
    fn fresh() -> Self;
    fn take(&mut self, bytes: &[u8]) -> Vec<Result<Self::Out, ()>>;

    fn all(pieces: &[&[u8]]) -> Vec<Result<Self::Out, ()>> {
        let mut parser = Self::fresh();
        let mut out = Vec::new();
        for piece in pieces {
            out.extend(parser.take(piece));
            if out.last().is_some_and(Result::is_err) {
                break;
            }
        }
        out
    }
}

macro_rules! parser {
    ($decoder:ty, $fresh:expr, $out:ty, $next:ident) => {
        impl Parser for $decoder {
            type Out = $out;
            fn fresh() -> Self {
                $fresh
            }
            fn take(&mut self, bytes: &[u8]) -> Vec<Result<Self::Out, ()>> {
                self.feed(bytes);
                let mut out = Vec::new();
                while out.last().is_none_or(Result::is_ok) {
                    match self.$next() {
                        Ok(Some(one)) => out.push(Ok(one)),
                        Ok(None) => break,
                        Err(_) => out.push(Err(())),
                    }
                }
                out
            }
        }
    };
}

parser!(
    sidecar::Decoder,
    sidecar::Decoder::new(names()),
    Frame,
    message
);
parser!(
    engine::Decoder,
    engine::Decoder::default(),
    EngineMessage,
    notice
);
parser!(
    http::Decoder,
    http::Decoder::default(),
    http::Response,
    reply
);

/// The same comes of the bytes whole, in two pieces at every place, and one by one.
fn splits<P: Parser>(bytes: &[u8]) -> Vec<Result<P::Out, ()>> {
    let whole = P::all(&[bytes]);
    for at in 0..=bytes.len() {
        assert_eq!(
            P::all(&[&bytes[..at], &bytes[at..]]),
            whole,
            "split at {at}"
        );
    }
    assert_eq!(P::all(&bytes.chunks(1).collect::<Vec<_>>()), whole);
    whole
}

const FIELDS: [(&str, &str); 9] = [
    ("class", "checkout"),
    ("id", "9b1f03aa5c7e2d41"),
    ("at", "1764576000123"),
    ("from", "4"),
    ("tenant", "acme"),
    ("retry", "1"),
    ("cost", "12.50"),
    ("kb", "24.5"),
    ("rank", "0.6250"),
];

#[test]
fn frames_come_through_any_split() {
    let mut bytes = frame(1, 1, &payload(&FIELDS, b"\x00\r\n\xff"));
    bytes.extend(frame(4, 7, &payload(&[("deep", "1")], b"")));
    bytes.extend(frame(1, 2, &payload(&FIELDS[1..], b"")));
    let out = splits::<sidecar::Decoder>(&bytes);
    let Ok(Frame::Request(req)) = &out[0] else {
        panic!("{out:?}")
    };
    assert_eq!(
        (req.handler, req.customer, req.retry),
        (HandlerId(1), Some(TenantId(0)), true)
    );
    assert_eq!(
        (req.at, req.hint, req.kb, req.body.as_slice()),
        (1764576000123, Some(12.5), 24.5, &b"\x00\r\n\xff"[..])
    );
    assert_eq!(
        out[1],
        Ok(Frame::HealthCheck {
            stream: StreamId(7),
            deep: true
        })
    );
    assert_eq!(
        out[2],
        Ok(Frame::InvalidRequest(StreamId(2), "class missing"))
    );
}

/// Guards against waiting for a frame that cannot come: its length is judged from the first four bytes.
/// Guards links between instances: words come through any split; a length or a tag that no word has ends the link
/// before anything is kept for it.
#[test]
fn words_come_through_any_split() {
    use cottondyke::protocol::peers::{encode, Decoder};
    let words = [vec![], vec![7; 1], vec![9; 3_000]];
    let bytes: Vec<u8> = words.iter().flat_map(|word| encode(word)).collect();
    for cut in [1, 2, 7, 1_000, bytes.len()] {
        let mut decoder = Decoder::default();
        let mut heard = Vec::new();
        for piece in bytes.chunks(cut) {
            decoder.feed(piece);
            while let Some(word) = decoder.word().unwrap() {
                heard.push(word);
            }
        }
        assert_eq!(heard, words, "cut every {cut}");
    }
    for bad in [
        &[0, 0, 0, 4][..],
        &[255, 0, 0, 0],
        &[0, 0, 0, 5, 8, 0, 0, 0, 0],
        &[0, 0, 0, 5, 7, 0, 0, 0, 1],
    ] {
        let mut decoder = Decoder::default();
        decoder.feed(bad);
        assert!(decoder.word().is_err(), "{bad:?}");
    }
}

#[test]
fn a_length_out_of_bounds_is_told_before_the_frame_comes() {
    for (length, fits) in [
        (4u32, false),
        (5, true),
        (262_144, true),
        (262_145, false),
        (u32::MAX, false),
    ] {
        let out = sidecar::Decoder::all(&[&length.to_be_bytes()]);
        assert_eq!(out.is_empty(), fits, "{length}");
    }
}

/// Guards streams against a second use, in whatever order their numbers come, and the notes on them against growth.
#[test]
fn each_stream_is_used_once() {
    let used = |numbers: &[u32]| {
        let frames: Vec<_> = numbers
            .iter()
            .map(|n| frame(1, *n, &payload(&[], b"")))
            .collect();
        sidecar::Decoder::all(&frames.iter().map(Vec::as_slice).collect::<Vec<_>>())
            .last()
            .unwrap()
            .is_ok()
    };
    assert!(used(&[1, 2, 3]) && used(&[2, 1, 5, 4, 3]) && used(&[1, u32::MAX]));
    assert!(!used(&[1, 1]) && !used(&[3, 1, 3]) && !used(&[0]) && !used(&[5, 6, 2, 1, 2]));
    let odd: Vec<u32> = (0..5_000).map(|n| n * 2 + 1).collect();
    assert!(used(&odd) && !used(&[&odd[..], &[3]].concat()));
}

#[test]
fn notices_come_through_any_split() {
    let bytes = b"HELLO starting 12.5\r\nNOTE 1 odd DONE 3\r\nNEED 2 9b1f03aa5c7e2d41 4\r\n\r\n\r\n\r\n\
        DONE 3 9b1f03aa5c7e2d41 broken_off 8 0\r\n\r\nSTATS 7 0.5 1 3\r\nTESTED 8 fault\r\nNO RUN zz\r\nNEWS 1\r\n";
    let id = WireId::new("9b1f03aa5c7e2d41").unwrap();
    let out: Vec<_> = splits::<engine::Decoder>(bytes)
        .into_iter()
        .map(Result::unwrap)
        .collect();
    assert_eq!(out[0], EngineMessage::Hello { age_ms: 12.5 });
    assert_eq!(
        out[2],
        EngineMessage::Need {
            no: engine::MessageNumber(2),
            id,
            body: b"\r\n\r\n".to_vec()
        }
    );
    let done = EngineMessage::Done {
        no: engine::MessageNumber(3),
        id,
        end: RunOutcome::Cancelled,
        result: Vec::new(),
    };
    assert_eq!(out[3], done);
    assert_eq!(
        out[5],
        EngineMessage::Tested {
            tag: engine::Tag(8),
            good: false
        }
    );
    assert_eq!(
        out[6],
        EngineMessage::Refused {
            command: "RUN".to_string(),
            id: None
        }
    );
    assert_eq!(out[7], EngineMessage::Unknown("NEWS 1".to_string()));
    for bad in [
        "DONE 1 x fine 1 0\r\n\r\n",
        "NEED 1 9b1f03aa5c7e2d41 99999999999\r\n",
        "HELLO a -1\r\n",
    ] {
        assert_eq!(
            splits::<engine::Decoder>(bad.as_bytes()).last(),
            Some(&Err(())),
            "{bad}"
        );
    }
}

#[test]
fn commands_stand_as_the_engine_reads_them() {
    let id = WireId::new("9b1f03aa5c7e2d41").unwrap();
    let mut bytes = Vec::new();
    let run = EngineCommand::Run {
        id,
        class: "browse".into(),
        body: b"\r\n".as_slice().into(),
    };
    [
        run,
        EngineCommand::Skip(id, engine::MessageNumber(4)),
        EngineCommand::Halt(id),
    ]
    .iter()
    .for_each(|c| c.encode(&mut bytes));
    let lines =
        "RUN 9b1f03aa5c7e2d41 browse 2\r\n\r\n\r\nSKIP 9b1f03aa5c7e2d41 4\r\nHALT 9b1f03aa5c7e2d41\r\n";
    assert_eq!(String::from_utf8(bytes).unwrap(), lines);
}

#[test]
fn http_replies_come_through_any_split() {
    let ok = |bytes: &str| splits::<http::Decoder>(bytes.as_bytes()).remove(0).unwrap();
    let plain =
        ok("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-LENGTH: 4\r\n\r\n\r\n\r\n");
    assert_eq!(
        (plain.status, plain.body.as_slice()),
        (200, &b"\r\n\r\n"[..])
    );
    let away = ok("HTTP/1.1 503 No\r\nOp-Not-Begun: 1\r\nContent-Length: 9\r\n\r\n");
    assert!(
        away.not_begun && away.status == 503,
        "only the body of a 200 is waited for"
    );
    let chunks = ok("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;a=b\r\nab\r\nA\r\n0123456789\r\n0\r\nX: y\r\n\r\n");
    assert_eq!(chunks.body, b"ab0123456789");
    assert_eq!(ok("HTTP/1.1 204 No Content\r\n\r\n").body, b"");
    let huge = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n";
    for bad in [
        "SMTP 200\r\n\r\n",
        "HTTP/1.0 200 OK\r\n\r\nall of it",
        "HTTP/1.1 200 OK\r\nContent-Length: +4\r\n\r\n",
        "HTTP/1.1 20\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n",
        huge,
    ] {
        assert_eq!(
            splits::<http::Decoder>(bad.as_bytes()).last(),
            Some(&Err(())),
            "{bad}"
        );
    }
}

/// Bytes near to real messages: one with some places changed.
fn spoiled(good: &[u8], changes: &[(usize, u8)]) -> Vec<u8> {
    let mut bytes = good.to_vec();
    for (at, byte) in changes {
        let at = at % bytes.len();
        bytes[at] = *byte;
    }
    bytes
}

fn steady<P: Parser>(bytes: &[u8], cut: usize) -> TestResult {
    let cut = cut % (bytes.len() + 1);
    TestResult::from_bool(P::all(&[bytes]) == P::all(&[&bytes[..cut], &bytes[cut..]]))
}

quickcheck! {
    /// Nothing panics on any bytes, and a split changes nothing.
    fn any_bytes_are_safe(bytes: Vec<u8>, cut: usize) -> bool {
        ![steady::<sidecar::Decoder>(&bytes, cut), steady::<engine::Decoder>(&bytes, cut),
            steady::<http::Decoder>(&bytes, cut)].iter().any(TestResult::is_failure)
    }

    fn spoiled_frames_are_safe(changes: Vec<(usize, u8)>, cut: usize) -> TestResult {
        steady::<sidecar::Decoder>(&spoiled(&frame(1, 1, &payload(&FIELDS, b"body")).repeat(2), &changes), cut)
    }

    fn spoiled_notices_are_safe(changes: Vec<(usize, u8)>, cut: usize) -> TestResult {
        let good = b"NEED 2 9b1f03aa5c7e2d41 4\r\nbody\r\nDONE 3 9b1f03aa5c7e2d41 fine 8 2\r\nok\r\n";
        steady::<engine::Decoder>(&spoiled(good, &changes), cut)
    }

    fn spoiled_replies_are_safe(changes: Vec<(usize, u8)>, cut: usize) -> TestResult {
        let good = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n";
        steady::<http::Decoder>(&spoiled(good, &changes), cut)
    }

    /// What the server says can be read back by the sidecar's rules, whatever the body.
    fn answers_are_whole_frames(stream: u32, body: Vec<u8>, say: Option<u16>) -> bool {
        let mut bytes = Vec::new();
        Response::Done(StreamId(stream), RunOutput::whole(body.clone())).encode(say.map(f64::from), &mut bytes);
        let fields = say.map(|s| ("say", s.to_string()));
        let fields: Vec<_> = fields.iter().map(|(n, v)| (*n, v.as_str())).collect();
        bytes == frame(2, stream, &[vec![1], payload(&fields, &body)].concat())
    }

    /// The table of repeats knows an entry until its end and not after, and keeps no more than it was told.
    fn keys_end_when_they_should(spans: Vec<u8>) -> bool {
        let mut keys = DedupTable::default();
        let key = |n: usize| (HandlerId(0), None, n.to_string().into_boxed_str());
        for (n, span) in spans.iter().enumerate() {
            keys.keep(RequestId(n as u32), key(n), Some(Time(i64::from(*span))), Time(0));
        }
        (0..=255).all(|now| spans.iter().enumerate().all(|(n, span)| {
            keys.repeats(Time(now), Time(now), &key(n)).is_some() == (i64::from(*span) > now)
        }))
    }

    /// A try that came within the window finds its entry however late it is read, within the tail; one that came
    /// after it does not.
    fn keys_go_by_the_time_of_coming(span: u8, tail: u8, read: u16, lay: u16) -> bool {
        let (span, tail, read) = (i64::from(span), i64::from(tail), i64::from(read % 600));
        let arrived = read - i64::from(lay % 600).min(read);
        let mut keys = DedupTable::default();
        let key = (HandlerId(0), None, "mark".into());
        keys.keep(RequestId(1), key.clone(), Some(Time(span)), Time(tail));
        let found = keys.repeats(Time(read), Time(arrived), &key).is_some();
        found == (arrived < span && read < span + tail)
    }
}

/// Guards memory: results kept for repeats are bounded, and the oldest go first.
#[test]
fn kept_results_are_bounded() {
    let mut keys = DedupTable::default();
    let result = Rc::new(RunOutput::whole(vec![0; 1 << 20]));
    for n in 0..40 {
        keys.keep(
            RequestId(n),
            (HandlerId(0), None, n.to_string().into()),
            Some(Time(1_000)),
            Time(0),
        );
        keys.ended(
            Time(0),
            RequestId(n),
            Some(result.clone()),
            Time(0),
            16 << 20,
        );
    }
    let held = |n| matches!(keys.outcome(RequestId(n)), Some(Outcome::Done(Some(_))));
    assert_eq!(
        (0..40).filter(|n| held(*n)).collect::<Vec<_>>(),
        (24..40).collect::<Vec<_>>()
    );
}

/// Guards calls against a budget of descriptors that is all taken by sidecars: what is kept back holds as many as the
/// cores may have in hand, and never more than half.
#[test]
fn descriptors_are_kept_back_for_the_calls_of_all_cores() {
    for (sockets, cores, connections) in [
        (1_000, 6, 904),
        (1_000, 64, 712),
        (400, 200, 200),
        (128, 2, 32),
    ] {
        let mut conf: serde_json::Value =
            serde_json::from_str(include_str!("../../../examples/config.json")).unwrap();
        conf["limits"]["sockets"] = sockets.into();
        conf["settings"]["family_info"]["n_cores"] = cores.into();
        assert_eq!(
            Config::parse(&conf.to_string()).unwrap().connections,
            connections,
            "{sockets} {cores}"
        );
    }
}

/// Guards sidecars against connections that send nothing: of those that must go they are first, the young ones not.
#[test]
fn silent_connections_go_first() {
    let mut connections = ConnectionTable::default();
    let conns: Vec<_> = (0..5).map(|_| async_channel::bounded(4)).collect();
    for (n, at) in [(0, 0), (1, 10), (2, 20), (3, 5_000), (4, 5_000)] {
        connections.opened(Time(at), ConnectionId(n), conns[n as usize].0.clone());
    }
    connections.took(Time(10), ConnectionId(0));
    connections.send(Time(10), ConnectionId(0), &Response::Errored(StreamId(1)));
    // What each connection was handed since the last look: replies, and whether it is to close.
    let handed = || -> Vec<(usize, bool)> {
        let of = |outgoing: &async_channel::Receiver<Outgoing>| {
            let all: Vec<_> = std::iter::from_fn(|| outgoing.try_recv().ok()).collect();
            let closes = all
                .iter()
                .filter(|p| matches!(p, Outgoing::Close { .. }))
                .count();
            (all.len() - closes, closes > 0)
        };
        conns.iter().map(|(_, outgoing)| of(outgoing)).collect()
    };
    connections.make_room(Time(5_500), 5, 3);
    assert_eq!(
        handed(),
        [(1, false), (1, true), (1, true), (0, false), (0, false)]
    );
    // Closing ones count as going already; the idle one is told, and closed after what may cross.
    connections.make_room(Time(5_500), 5, 3);
    assert_eq!(handed(), [(0, false); 5]);
    (1..=2).for_each(|n| connections.closed(ConnectionId(n)));
    connections.make_room(Time(5_600), 3, 2);
    assert_eq!((connections.count(), handed()[0]), (3, (1, false)));
    connections.make_room(Time(7_000), 3, 2);
    assert_eq!(
        handed(),
        [(0, true), (0, false), (0, false), (0, false), (0, false)]
    );
}

#[test]
fn leaving_goes_through_its_stages_in_time() {
    let at = |ms: i64| stage(Some(Time(0)), Time(32_000), Time(ms * 10));
    assert_eq!(
        [at(0), at(2_700), at(2_900), at(3_100), at(3_180)],
        [
            ShutdownPhase::Leaving,
            ShutdownPhase::Leaving,
            ShutdownPhase::Closed,
            ShutdownPhase::Ended,
            ShutdownPhase::Over
        ]
    );
    assert_eq!(
        stage(None, Time(32_000), Time(1 << 40)),
        ShutdownPhase::Serving
    );
}

/// Guards checks against an engine that hangs: a test that does not end is answered as bad in bounded time.
#[test]
fn a_check_that_needs_the_engine_ends() {
    let mut health = HealthChecker::default();
    assert_eq!(
        [health.answer(true, false), health.answer(false, true)],
        [Some(false), Some(true)]
    );
    assert_eq!(health.answer(true, true), None, "only the engine can tell");
    health.testing(Time(0), Tag(1), ConnectionId(1), StreamId(2));
    assert!(health.overdue(Time(4_999)).is_empty());
    assert_eq!(
        health.overdue(Time(5_000)),
        [(ConnectionId(1), StreamId(2))]
    );
    assert_eq!(health.tested(Tag(1)), None, "one answer");
    (0..64).for_each(|n| health.testing(Time(0), Tag(n), ConnectionId(1), StreamId(2)));
    assert_eq!(
        health.answer(true, true),
        Some(false),
        "tests that are out are bounded"
    );
    assert!(health.set(true) && !health.set(true));
    assert_eq!(
        health.answer(true, true),
        Some(true),
        "then checks hear what was set"
    );
}

/// Guards commands given while there is no link, and the wait for a fence that is never answered.
#[test]
fn commands_wait_for_the_link_and_its_fence() {
    let id = WireId::new("9b1f03aa5c7e2d41").unwrap();
    let (skip, halt) = (
        EngineCommand::Skip(id, engine::MessageNumber(1)),
        EngineCommand::Halt(id),
    );
    let mut engine = EngineCommandQueue::default();
    assert_eq!(engine.ask_gauges(), None);
    [&skip, &halt, &halt]
        .into_iter()
        .for_each(|c| engine.send(c.clone()));
    for fenced in [true, false] {
        let (outlet, commands) = async_channel::unbounded();
        engine.up(Time(0), outlet);
        let fence = commands.try_recv();
        let Ok(EngineCommand::Stat(tag)) = fence else {
            panic!("{fence:?}")
        };
        assert!(commands.is_empty(), "nothing passes the fence");
        assert!(if fenced {
            engine.passed(tag)
        } else {
            !engine.overdue(Time(9_999)) && engine.overdue(Time(10_000))
        });
        engine.resume(Vec::new());
        assert_eq!(
            [commands.try_recv(), commands.try_recv()],
            [Ok(skip.clone()), Ok(halt.clone())]
        );
        assert!(commands.is_empty(), "a halt that waits is not repeated");
        // The link breaks before they are written: they wait again.
        engine.down(vec![skip.clone(), halt.clone()]);
    }
}
