//! The protocols' decoders, fed every split and fuzzed bytes; and their encoders.

use cottondyke::protocol::engine::{self, EngineCommand, EngineMessage, EngineStart};
use cottondyke::protocol::http;
use cottondyke::protocol::sidecar::RunOutput;
use cottondyke::protocol::sidecar::{self, Frame, NameTable, Response, StreamId};
use cottondyke::protocol::{RequestError, WireId};
use cottondyke_admission::RunOutcome;
use cottondyke_test_support::fakes::{frame, payload};
use cottondyke_types::{HandlerId, TenantId};
use quickcheck::{quickcheck, TestResult};
use std::fmt::Debug;
use std::rc::Rc;

/// What the engine says of itself when it was starting.
const COLD_HELLO: EngineMessage = EngineMessage::Hello {
    start: EngineStart::Cold,
    age_ms: 12.5,
};

fn names() -> Rc<NameTable> {
    let handlers = ["browse", "checkout"].map(String::from).to_vec();
    Rc::new(NameTable {
        handlers,
        tenants: vec!["acme".to_string()],
        max_client_timeout_ms: 2_000.0,
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
    next_frame
);
parser!(
    engine::Decoder,
    engine::Decoder::default(),
    EngineMessage,
    next_message
);
parser!(
    http::Decoder,
    http::Decoder::default(),
    http::Response,
    next_response
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
fn decodes_the_same_frames_when_split_anywhere() {
    let mut bytes = frame(1, 1, &payload(&FIELDS, b"\x00\r\n\xff"));
    bytes.extend(frame(4, 7, &payload(&[("deep", "1")], b"")));
    bytes.extend(frame(1, 2, &payload(&FIELDS[1..], b"")));
    let out = splits::<sidecar::Decoder>(&bytes);
    let Ok(Frame::Request(req)) = &out[0] else {
        panic!("{out:?}")
    };
    assert_eq!(
        (req.handler, req.tenant, req.is_retry),
        (HandlerId(1), Some(TenantId(0)), true)
    );
    assert_eq!(
        (
            req.arrived_unix_ms,
            req.cost_hint_ms,
            req.memory_kb,
            req.body.as_slice()
        ),
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
        Ok(Frame::InvalidRequest(
            StreamId(2),
            RequestError::Missing("class")
        ))
    );
}

/// Guards links between instances: words come through any split; a length or a tag that no word has ends the link
/// before anything is kept for it.
#[test]
fn decodes_the_same_peer_messages_when_split_anywhere() {
    use cottondyke::protocol::peers::{encode, Decoder};
    let words = [vec![], vec![7; 1], vec![9; 3_000]];
    let bytes: Vec<u8> = words.iter().flat_map(|word| encode(word)).collect();
    for cut in [1, 2, 7, 1_000, bytes.len()] {
        let mut decoder = Decoder::default();
        let mut heard = Vec::new();
        for piece in bytes.chunks(cut) {
            decoder.feed(piece);
            while let Some(word) = decoder.next_message().unwrap() {
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
        assert!(decoder.next_message().is_err(), "{bad:?}");
    }
}

/// Guards against waiting for a frame that cannot come: its length is judged from the first four bytes.
#[test]
fn refuses_a_length_out_of_bounds_before_the_frame_comes() {
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
fn refuses_a_stream_that_is_used_twice() {
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
fn decodes_the_same_engine_messages_when_split_anywhere() {
    let bytes = b"HELLO starting 12.5\r\nNOTE 1 odd DONE 3\r\nNEED 2 9b1f03aa5c7e2d41 4\r\n\r\n\r\n\r\n\
        DONE 3 9b1f03aa5c7e2d41 broken_off 8 0\r\n\r\nSTATS 7 0.5 1 3\r\nTESTED 8 fault\r\nNO RUN zz\r\nNEWS 1\r\n";
    let id = WireId::new("9b1f03aa5c7e2d41").unwrap();
    let out: Vec<_> = splits::<engine::Decoder>(bytes)
        .into_iter()
        .map(Result::unwrap)
        .collect();
    assert_eq!(out[0], COLD_HELLO);
    assert_eq!(
        out[2],
        EngineMessage::CallNeeded {
            number: engine::MessageNumber(2),
            id,
            body: b"\r\n\r\n".to_vec()
        }
    );
    let done = EngineMessage::RunEnded {
        number: engine::MessageNumber(3),
        id,
        outcome: RunOutcome::Cancelled,
        result: Vec::new(),
    };
    assert_eq!(out[3], done);
    assert_eq!(
        out[5],
        EngineMessage::SelfTest {
            tag: engine::Tag(8),
            passed: false
        }
    );
    assert_eq!(
        out[6],
        EngineMessage::CommandRefused {
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
fn encodes_commands_as_the_engine_reads_them() {
    let id = WireId::new("9b1f03aa5c7e2d41").unwrap();
    let mut bytes = Vec::new();
    let run = EngineCommand::StartRun {
        id,
        class: "browse".into(),
        body: b"\r\n".as_slice().into(),
    };
    [
        run,
        EngineCommand::SkipCall(id, engine::MessageNumber(4)),
        EngineCommand::CancelRun(id),
    ]
    .iter()
    .for_each(|c| c.encode(&mut bytes));
    let lines =
        "RUN 9b1f03aa5c7e2d41 browse 2\r\n\r\n\r\nSKIP 9b1f03aa5c7e2d41 4\r\nHALT 9b1f03aa5c7e2d41\r\n";
    assert_eq!(String::from_utf8(bytes).unwrap(), lines);
}

#[test]
fn decodes_the_same_http_responses_when_split_anywhere() {
    let ok = |bytes: &str| splits::<http::Decoder>(bytes.as_bytes()).remove(0).unwrap();
    let plain =
        ok("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-LENGTH: 4\r\n\r\n\r\n\r\n");
    assert_eq!(
        (plain.status, plain.body.as_slice()),
        (200, &b"\r\n\r\n"[..])
    );
    let away = ok("HTTP/1.1 503 No\r\nOp-Not-Begun: 1\r\nContent-Length: 9\r\n\r\n");
    assert!(
        away.not_executed && away.status == 503,
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
fn corrupted(good: &[u8], changes: &[(usize, u8)]) -> Vec<u8> {
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
    fn decodes_the_same_when_any_bytes_are_split(bytes: Vec<u8>, cut: usize) -> bool {
        ![steady::<sidecar::Decoder>(&bytes, cut), steady::<engine::Decoder>(&bytes, cut),
            steady::<http::Decoder>(&bytes, cut)].iter().any(TestResult::is_failure)
    }

    fn decodes_the_same_when_corrupt_frames_are_split(changes: Vec<(usize, u8)>, cut: usize) -> TestResult {
        steady::<sidecar::Decoder>(&corrupted(&frame(1, 1, &payload(&FIELDS, b"body")).repeat(2), &changes), cut)
    }

    fn decodes_the_same_when_corrupt_engine_messages_are_split(changes: Vec<(usize, u8)>, cut: usize) -> TestResult {
        let good = b"NEED 2 9b1f03aa5c7e2d41 4\r\nbody\r\nDONE 3 9b1f03aa5c7e2d41 fine 8 2\r\nok\r\n";
        steady::<engine::Decoder>(&corrupted(good, &changes), cut)
    }

    fn decodes_the_same_when_corrupt_http_responses_are_split(changes: Vec<(usize, u8)>, cut: usize) -> TestResult {
        let good = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n";
        steady::<http::Decoder>(&corrupted(good, &changes), cut)
    }

    /// What the server says can be read back by the sidecar's rules, whatever the body.
    fn encodes_complete_frames_whatever_the_body(stream: u32, body: Vec<u8>, say: Option<u16>) -> bool {
        let mut bytes = Vec::new();
        Response::Completed(StreamId(stream), RunOutput::complete(body.clone())).encode(say.map(f64::from), &mut bytes);
        let fields = say.map(|s| ("say", s.to_string()));
        let fields: Vec<_> = fields.iter().map(|(n, v)| (*n, v.as_str())).collect();
        bytes == frame(2, stream, &[vec![1], payload(&fields, &body)].concat())
    }

}
