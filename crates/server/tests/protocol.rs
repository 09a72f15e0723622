//! Tests of the protocols' decoders, with input split at every position and with fuzzed input, and of their encoders.

use cottondyke::protocol::engine::{self, EngineCommand, EngineMessage, EngineStart};
use cottondyke::protocol::http;
use cottondyke::protocol::sidecar::RunOutput;
use cottondyke::protocol::sidecar::{self, DecoderSettings, Frame, Response, StreamId};
use cottondyke::protocol::{RequestError, WireId};
use cottondyke_admission::RunOutcome;
use cottondyke_test_support::fakes::{encode_frame, encode_payload};
use cottondyke_types::{HandlerId, TenantId};
use quickcheck::{quickcheck, TestResult};
use std::fmt::Debug;
use std::rc::Rc;

/// The hello of an engine that was starting up.
const COLD_HELLO: EngineMessage = EngineMessage::Hello {
    start: EngineStart::Cold,
    age_ms: 12.5,
};

fn decoder_settings() -> Rc<DecoderSettings> {
    let handlers = ["browse", "checkout"].map(String::from).to_vec();
    Rc::new(DecoderSettings {
        handlers,
        tenants: vec!["acme".to_string()],
        max_client_timeout_ms: 2_000.0,
    })
}

/// The decoder of any of the protocols, fed with bytes in pieces.
trait PieceDecoder: Sized {
    type Message: Debug + PartialEq;
    fn new_decoder() -> Self;
    fn decode(&mut self, bytes: &[u8]) -> Vec<Result<Self::Message, ()>>;

    fn decode_pieces(pieces: &[&[u8]]) -> Vec<Result<Self::Message, ()>> {
        let mut decoder = Self::new_decoder();
        let mut messages = Vec::new();
        for piece in pieces {
            messages.extend(decoder.decode(piece));
            if messages.last().is_some_and(Result::is_err) {
                break;
            }
        }
        messages
    }
}

macro_rules! piece_decoder {
    ($decoder:ty, $new:expr, $message:ty, $next:ident) => {
        impl PieceDecoder for $decoder {
            type Message = $message;
            fn new_decoder() -> Self {
                $new
            }
            fn decode(&mut self, bytes: &[u8]) -> Vec<Result<Self::Message, ()>> {
                self.feed(bytes);
                let mut messages = Vec::new();
                while messages.last().is_none_or(Result::is_ok) {
                    match self.$next() {
                        Ok(Some(message)) => messages.push(Ok(message)),
                        Ok(None) => break,
                        Err(_) => messages.push(Err(())),
                    }
                }
                messages
            }
        }
    };
}

piece_decoder!(
    sidecar::Decoder,
    sidecar::Decoder::new(decoder_settings()),
    Frame,
    next_frame
);
piece_decoder!(
    engine::Decoder,
    engine::Decoder::default(),
    EngineMessage,
    next_message
);
piece_decoder!(
    http::Decoder,
    http::Decoder::default(),
    http::Response,
    next_response
);

/// Decodes `bytes` at once and checks that the result is the same for two pieces split at any position and for single
/// bytes.
fn decode_with_all_splits<P: PieceDecoder>(bytes: &[u8]) -> Vec<Result<P::Message, ()>> {
    let whole = P::decode_pieces(&[bytes]);
    for at in 0..=bytes.len() {
        assert_eq!(
            P::decode_pieces(&[&bytes[..at], &bytes[at..]]),
            whole,
            "split at {at}"
        );
    }
    assert_eq!(
        P::decode_pieces(&bytes.chunks(1).collect::<Vec<_>>()),
        whole
    );
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
    let mut bytes = encode_frame(1, 1, &encode_payload(&FIELDS, b"\x00\r\n\xff"));
    bytes.extend(encode_frame(4, 7, &encode_payload(&[("deep", "1")], b"")));
    bytes.extend(encode_frame(1, 2, &encode_payload(&FIELDS[1..], b"")));
    let out = decode_with_all_splits::<sidecar::Decoder>(&bytes);
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

/// Guards connections between instances: messages are decoded however they are split, and an invalid length, kind or
/// stream is an error before any memory is reserved for the frame.
#[test]
fn decodes_the_same_peer_messages_when_split_anywhere() {
    use cottondyke::protocol::peers::{encode, Decoder};
    let messages = [vec![], vec![7; 1], vec![9; 3_000]];
    let bytes: Vec<u8> = messages
        .iter()
        .flat_map(|message| encode(message))
        .collect();
    for chunk_size in [1, 2, 7, 1_000, bytes.len()] {
        let mut decoder = Decoder::default();
        let mut decoded = Vec::new();
        for piece in bytes.chunks(chunk_size) {
            decoder.feed(piece);
            while let Some(message) = decoder.next_message().unwrap() {
                decoded.push(message);
            }
        }
        assert_eq!(decoded, messages, "chunks of {chunk_size} bytes");
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

/// Guards against waiting for a frame that can never be complete: its length is checked as soon as the length field has
/// been read.
#[test]
fn refuses_a_length_out_of_bounds_before_the_frame_comes() {
    for (length, is_valid) in [
        (4u32, false),
        (5, true),
        (262_144, true),
        (262_145, false),
        (u32::MAX, false),
    ] {
        let out = sidecar::Decoder::decode_pieces(&[&length.to_be_bytes()]);
        assert_eq!(out.is_empty(), is_valid, "{length}");
    }
}

/// Guards against a stream number that is used twice, in whatever order the numbers come.
#[test]
fn refuses_a_stream_that_is_used_twice() {
    let is_accepted = |numbers: &[u32]| {
        let frames: Vec<_> = numbers
            .iter()
            .map(|n| encode_frame(1, *n, &encode_payload(&[], b"")))
            .collect();
        sidecar::Decoder::decode_pieces(&frames.iter().map(Vec::as_slice).collect::<Vec<_>>())
            .last()
            .unwrap()
            .is_ok()
    };
    assert!(
        is_accepted(&[1, 2, 3]) && is_accepted(&[2, 1, 5, 4, 3]) && is_accepted(&[1, u32::MAX])
    );
    assert!(
        !is_accepted(&[1, 1])
            && !is_accepted(&[3, 1, 3])
            && !is_accepted(&[0])
            && !is_accepted(&[5, 6, 2, 1, 2])
    );
    let odd: Vec<u32> = (0..5_000).map(|n| n * 2 + 1).collect();
    assert!(is_accepted(&odd) && !is_accepted(&[&odd[..], &[3]].concat()));
}

/// Guards sound connections whose stream numbers do not count up by one: past 1,024 of them, new numbers were taken for
/// used ones and the connection ended.
#[test]
fn accepts_new_streams_in_any_order() {
    const COUNT: u32 = 5_000;
    const MAX_OPEN: usize = 32;
    let seed = fastrand::u64(..);
    let mut shuffled: Vec<u32> = (1..=COUNT).map(|n| n * 7_919).collect();
    fastrand::Rng::with_seed(seed).shuffle(&mut shuffled);
    let orders: [(&str, Vec<u32>); 5] = [
        ("up", (1..=COUNT).collect()),
        ("down", (1..=COUNT).rev().map(|n| n * 2).collect()),
        ("gaps", (1..=COUNT).map(|n| n * 2).collect()),
        (
            "workers",
            (0..COUNT)
                .map(|n| ((n % 100) << 24) + n / 100 + 1)
                .collect(),
        ),
        ("shuffled", shuffled),
    ];
    for (name, numbers) in orders {
        let mut decoder = sidecar::Decoder::new(decoder_settings());
        let mut open = std::collections::VecDeque::new();
        for number in numbers {
            decoder.feed(&encode_frame(1, number, &encode_payload(&[], b"")));
            let frame = decoder.next_frame();
            assert!(
                matches!(frame, Ok(Some(_))),
                "{name}, seed {seed}: {number}: {frame:?}"
            );
            open.push_back(StreamId(number));
            if open.len() > MAX_OPEN {
                decoder.close_stream(open.pop_front().unwrap());
            }
            assert_eq!(decoder.open_streams(), open.len());
        }
        let oldest_open = open.front().unwrap().0;
        decoder.feed(&encode_frame(1, oldest_open, &encode_payload(&[], b"")));
        assert!(
            decoder.next_frame().is_err(),
            "{name}, seed {seed}: an open stream used twice"
        );
    }
}

#[test]
fn decodes_the_same_engine_messages_when_split_anywhere() {
    let bytes = b"HELLO starting 12.5\r\nNOTE 1 odd DONE 3\r\nNEED 2 9b1f03aa5c7e2d41 4\r\n\r\n\r\n\r\n\
        DONE 3 9b1f03aa5c7e2d41 broken_off 8 0\r\n\r\nSTATS 7 0.5 1 3\r\nTESTED 8 fault\r\nNO RUN zz\r\nNEWS 1\r\n";
    let id = WireId::new("9b1f03aa5c7e2d41").unwrap();
    let out: Vec<_> = decode_with_all_splits::<engine::Decoder>(bytes)
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
            decode_with_all_splits::<engine::Decoder>(bad.as_bytes()).last(),
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
    let ok = |bytes: &str| {
        decode_with_all_splits::<http::Decoder>(bytes.as_bytes())
            .remove(0)
            .unwrap()
    };
    let plain =
        ok("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-LENGTH: 4\r\n\r\n\r\n\r\n");
    assert_eq!(
        (plain.status, plain.body.as_slice()),
        (200, &b"\r\n\r\n"[..])
    );
    let unavailable = ok("HTTP/1.1 503 No\r\nOp-Not-Begun: 1\r\nContent-Length: 9\r\n\r\n");
    assert!(
        unavailable.not_executed && unavailable.status == 503,
        "only the body of a 200 is decoded"
    );
    let chunked = ok("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;a=b\r\nab\r\nA\r\n0123456789\r\n0\r\nX: y\r\n\r\n");
    assert_eq!(chunked.body, b"ab0123456789");
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
            decode_with_all_splits::<http::Decoder>(bad.as_bytes()).last(),
            Some(&Err(())),
            "{bad}"
        );
    }
}

/// A valid message with some bytes changed.
fn corrupted(valid: &[u8], changes: &[(usize, u8)]) -> Vec<u8> {
    let mut bytes = valid.to_vec();
    for (at, byte) in changes {
        let at = at % bytes.len();
        bytes[at] = *byte;
    }
    bytes
}

/// Checks that splitting `bytes` at one position does not change what is decoded.
fn is_unchanged_by_split<P: PieceDecoder>(bytes: &[u8], cut: usize) -> TestResult {
    let cut = cut % (bytes.len() + 1);
    TestResult::from_bool(
        P::decode_pieces(&[bytes]) == P::decode_pieces(&[&bytes[..cut], &bytes[cut..]]),
    )
}

quickcheck! {
    /// No input makes a decoder panic, and no split changes the result.
    fn decodes_the_same_when_any_bytes_are_split(bytes: Vec<u8>, cut: usize) -> bool {
        ![is_unchanged_by_split::<sidecar::Decoder>(&bytes, cut),
            is_unchanged_by_split::<engine::Decoder>(&bytes, cut),
            is_unchanged_by_split::<http::Decoder>(&bytes, cut)].iter().any(TestResult::is_failure)
    }

    fn decodes_the_same_when_corrupt_frames_are_split(changes: Vec<(usize, u8)>, cut: usize) -> TestResult {
        is_unchanged_by_split::<sidecar::Decoder>(
            &corrupted(&encode_frame(1, 1, &encode_payload(&FIELDS, b"body")).repeat(2), &changes), cut)
    }

    fn decodes_the_same_when_corrupt_engine_messages_are_split(changes: Vec<(usize, u8)>, cut: usize) -> TestResult {
        let valid = b"NEED 2 9b1f03aa5c7e2d41 4\r\nbody\r\nDONE 3 9b1f03aa5c7e2d41 fine 8 2\r\nok\r\n";
        is_unchanged_by_split::<engine::Decoder>(&corrupted(valid, &changes), cut)
    }

    fn decodes_the_same_when_corrupt_http_responses_are_split(changes: Vec<(usize, u8)>, cut: usize) -> TestResult {
        let valid = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n";
        is_unchanged_by_split::<http::Decoder>(&corrupted(valid, &changes), cut)
    }

    /// Encoded responses equal the frames of the test's own sidecar codec, whatever the body.
    fn encodes_complete_frames_whatever_the_body(stream: u32, body: Vec<u8>, advice: Option<u16>) -> bool {
        let mut bytes = Vec::new();
        Response::Completed(StreamId(stream), RunOutput::complete(body.clone()))
            .encode(advice.map(f64::from), &mut bytes);
        let fields = advice.map(|advice| ("say", advice.to_string()));
        let fields: Vec<_> = fields.iter().map(|(n, v)| (*n, v.as_str())).collect();
        bytes == encode_frame(2, stream, &[vec![1], encode_payload(&fields, &body)].concat())
    }

}
