//! Golden tests: the exact bytes of the server's four protocols, in both directions. The files under
//! golden/ hold one case a line: for an encoder the bytes, for a decoder the bytes, ` => ` and what is
//! read from them. Bytes that are not printable are escaped as in Rust; `\*9x` stands for nine x.

use cottondyke::protocol::engine::{self, EngineCommand, EngineMessage, MessageNumber, Tag};
use cottondyke::protocol::sidecar::RunOutput;
use cottondyke::protocol::sidecar::{self, DecoderSettings, Frame, Response, StreamId};
use cottondyke::protocol::{http, peers, ProtocolError, ReadBuffer, WireId};
use cottondyke_admission::RunOutcome;
use std::rc::Rc;

const ID: &str = "9b1f03aa5c7e2d41";

fn id() -> WireId {
    WireId::new(ID).unwrap()
}

fn unescaped(text: &str) -> Vec<u8> {
    let mut parts = text.split('\\');
    let mut bytes = parts.next().unwrap().as_bytes().to_vec();
    for part in parts {
        let (byte, count, rest) = match part.split_at(1) {
            ("x", rest) => (u8::from_str_radix(&rest[..2], 16).unwrap(), 1, &rest[2..]),
            ("*", rest) => {
                let (count, rest) = rest.split_once('x').unwrap();
                (b'x', count.parse().unwrap(), rest)
            }
            ("r", rest) => (b'\r', 1, rest),
            ("n", rest) => (b'\n', 1, rest),
            other => panic!("unknown escape: {other:?}"),
        };
        bytes.resize(bytes.len() + count, byte);
        bytes.extend(rest.as_bytes());
    }
    bytes
}

/// Holds an encoder to the lines of its file; each message is appended to what is there.
fn writes<T>(file: &str, messages: &[T], encode: impl Fn(&T, &mut Vec<u8>)) {
    assert_eq!(file.lines().count(), messages.len());
    for (line, message) in file.lines().zip(messages) {
        let mut bytes = b"before".to_vec();
        encode(message, &mut bytes);
        let expected = [b"before", &unescaped(line)[..]].concat();
        assert!(bytes == expected, "{} is not {line}", bytes.escape_ascii());
    }
}

/// Holds a decoder to the lines of its file.
fn reads(file: &str, read: impl Fn(&[u8]) -> String) {
    for line in file.lines() {
        let (bytes, expected) = line.rsplit_once(" => ").unwrap();
        assert_eq!(read(&unescaped(bytes)), expected, "{bytes}");
    }
}

/// All that a decoder reads, up to its error or its end.
fn all(mut next: impl FnMut() -> Result<Option<String>, ProtocolError>) -> Vec<String> {
    let mut read = Vec::new();
    loop {
        match next() {
            Ok(Some(one)) => read.push(one),
            Ok(None) => return read,
            Err(why) => {
                read.push(format!("error: {}", why));
                return read;
            }
        }
    }
}

fn joined(read: Vec<String>) -> String {
    match read.is_empty() {
        true => "nothing".to_string(),
        false => read.join("; "),
    }
}

/// What a sidecar's frames are read as where there are these customers.
fn frames_text(customers: &[&str], bytes: &[u8]) -> String {
    let listed = |names: &[&str]| names.iter().map(|n| n.to_string()).collect();
    let mut names = DecoderSettings::default();
    (names.handlers, names.tenants) = (listed(&["a", "b"]), listed(customers));
    names.max_client_timeout_ms = 2_000.0;
    let mut decoder = sidecar::Decoder::new(Rc::new(names));
    decoder.feed(bytes);
    let mut read = all(|| Ok(decoder.next_frame()?.map(message_text)));
    let broken = read.last().is_some_and(|r| r.starts_with("error"));
    if decoder.pending_bytes() > 0 && !broken {
        read.push(format!("left {}", decoder.pending_bytes()));
    }
    joined(read)
}

fn message_text(message: Frame) -> String {
    match message {
        Frame::Request(req) => {
            let (stream, id, handler) = (req.stream.0, req.id.as_str(), req.handler.0);
            let (customer, at, retry) =
                (req.tenant.map(|c| c.0), req.arrived_unix_ms, req.is_retry);
            let (wait, hint, kb, mark) = (
                req.client_wait_ms,
                req.cost_hint_ms,
                req.memory_kb,
                req.idempotency_key,
            );
            let body = req.body.escape_ascii();
            let first = format!("req {stream} {id} {handler} {customer:?} {at} {retry}");
            format!("{first} {wait:?} {hint:?} {kb} {mark:?} '{body}'")
        }
        Frame::InvalidRequest(stream, why) => format!("unfit {} {why}", stream.0),
        Frame::HealthCheck { stream, deep } => format!("check {} {deep}", stream.0),
        Frame::Cancel(stream) => format!("cancel {}", stream.0),
    }
}

#[test]
fn reads_sidecar_frames_or_names_their_fault_when_fed_golden_bytes() {
    let file = include_str!("golden/sidecar_in.txt");
    reads(file, |bytes| frames_text(&[], bytes));
}

#[test]
fn reads_requests_of_customers_when_some_are_named() {
    let file = include_str!("golden/sidecar_customers_in.txt");
    reads(file, |bytes| frames_text(&["t", "u"], bytes));
}

#[test]
fn writes_golden_bytes_when_replying_to_a_sidecar() {
    let done = |stream, body: &[u8], partial: Option<&str>| {
        let (body, partial) = (body.to_vec(), partial.map(Rc::from));
        Response::Completed(StreamId(stream), RunOutput { body, partial })
    };
    let shed = |after_ms, last| {
        let stream = StreamId(3);
        Response::Rejected {
            stream,
            retry_after_ms: after_ms,
            do_not_retry: last,
        }
    };
    let checked = |good| {
        let stream = StreamId(5);
        Response::HealthStatus {
            stream,
            healthy: good,
        }
    };
    let replies = [
        (done(0x0102_0304, b"ok\r\n", None), None),
        (done(0x0102_0304, b"ok\r\n", None), Some(0.25)),
        (done(9, b"{}", Some("ads,news")), None),
        (done(9, b"{}", Some("ads,news")), Some(12.0)),
        (shed(0.0, false), None),
        (shed(0.0, true), None),
        (shed(1.5, false), None),
        (shed(250.0, true), Some(0.0)),
        (Response::Failed(StreamId(4)), None),
        (Response::Failed(StreamId(4)), Some(1.0)),
        (checked(true), None),
        (checked(false), Some(2.5)),
        (Response::ConnectionError("why not"), None),
        (Response::GoAway, Some(3.0)),
        (done(1, b"", Some(&"x".repeat(300))), None),
    ];
    let file = include_str!("golden/sidecar_out.txt");
    writes(file, &replies, |(reply, say), to| reply.encode(*say, to));
}

#[test]
fn writes_golden_bytes_when_commanding_the_engine() {
    let (class, body) = (Rc::from("browse"), Rc::from(&b"\0\xff\r\n"[..]));
    let commands = [
        EngineCommand::Attach(MessageNumber(41)),
        EngineCommand::Attach(MessageNumber(u64::MAX)),
        EngineCommand::StartRun {
            id: id(),
            class,
            body,
        },
        EngineCommand::CancelRun(id()),
        EngineCommand::CallResult(id(), b"abc".to_vec()),
        EngineCommand::CallResult(id(), vec![]),
        EngineCommand::SkipCall(id(), MessageNumber(7)),
        EngineCommand::QueryLoad(Tag(5)),
        EngineCommand::SelfTest(Tag(6)),
    ];
    let file = include_str!("golden/engine_out.txt");
    writes(file, &commands, |command, to| command.encode(to));
}

fn notice_text(notice: EngineMessage) -> String {
    let number = notice.number().map(|no| format!(" (no. {})", no.0));
    let text = match notice {
        EngineMessage::Hello { age_ms, .. } => format!("hello {age_ms}"),
        EngineMessage::RunEnded {
            number: no,
            id,
            outcome: end,
            result,
        } => {
            let end = match end {
                RunOutcome::Completed => "finished",
                RunOutcome::Failed => "errored",
                RunOutcome::Cancelled => "stopped",
                RunOutcome::NotStarted => "void",
            };
            let (id, result) = (id.as_str(), result.escape_ascii());
            format!("done {} {id} {end} '{result}'", no.0)
        }
        EngineMessage::CallNeeded {
            number: no,
            id,
            body,
        } => {
            let (id, body) = (id.as_str(), body.escape_ascii());
            format!("need {} {id} '{body}'", no.0)
        }
        EngineMessage::Load { tag, gauges } => format!("stats {} {gauges:?}", tag.0),
        EngineMessage::SelfTest { tag, passed: good } => format!("tested {} {good}", tag.0),
        EngineMessage::CommandRefused { command, id } => {
            let id = id.as_ref().map(WireId::as_str);
            format!("refused {command} {id:?}")
        }
        EngineMessage::Note(_) => "remark".to_string(),
        EngineMessage::Unknown(line) => format!("unknown '{line}'"),
    };
    text + &number.unwrap_or_default()
}

#[test]
fn reads_notices_or_names_their_fault_when_fed_golden_bytes() {
    reads(include_str!("golden/engine_in.txt"), |bytes| {
        let mut decoder = engine::Decoder::default();
        decoder.feed(bytes);
        joined(all(|| Ok(decoder.next_message()?.map(notice_text))))
    });
}

#[test]
fn writes_golden_bytes_when_calling_a_service() {
    let mut to = b"before".to_vec();
    let headers = [("X-One", "1"), ("Y", "two")];
    http::encode_request("POST", "/a?b", "[::1]:80", &headers, b"\0\xff\r\n", &mut to);
    http::encode_request("PUT", "/", "h", &[], b"", &mut to);
    let expected = b"beforePOST /a?b HTTP/1.1\r\nHost: [::1]:80\r\nX-One: 1\r\nY: two\r\n\
        Content-Length: 4\r\n\r\n\0\xff\r\nPUT / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n";
    assert_eq!(to, expected);
}

#[test]
fn reads_replies_of_a_service_or_names_their_fault_when_fed_golden_bytes() {
    reads(include_str!("golden/http_in.txt"), |bytes| {
        let mut decoder = http::Decoder::default();
        decoder.feed(bytes);
        match decoder.next_response() {
            Ok(Some(reply)) => {
                let begun = if reply.not_executed {
                    "not-begun"
                } else {
                    "begun"
                };
                let close = if reply.close { "close" } else { "open" };
                let (status, body) = (reply.status, reply.body.escape_ascii());
                let more = if decoder.is_empty() { "" } else { "; more" };
                format!("{status} {begun} {close} '{body}'{more}")
            }
            Ok(None) => "nothing".to_string(),
            Err(why) => format!("error: {}", why),
        }
    });
}

#[test]
fn frames_a_word_in_both_directions_when_instances_talk() {
    let long = unescaped(r"\x00\x00\x01\x31\x07\x00\x00\x00\x00\*300x");
    let cases: [(&[u8], &[u8]); 3] = [
        (b"", b"\0\0\0\x05\x07\0\0\0\0"),
        (b"\0\xffw\r\n", b"\0\0\0\x0a\x07\0\0\0\0\0\xffw\r\n"),
        (&[b'x'; 300], &long),
    ];
    let read = |bytes: &[u8]| {
        let mut decoder = peers::Decoder::default();
        decoder.feed(bytes);
        let text = |word: Vec<u8>| word.escape_ascii().to_string();
        joined(all(|| Ok(decoder.next_message()?.map(text))))
    };
    for (word, bytes) in cases {
        assert_eq!(peers::encode(word), bytes);
        assert_eq!(read(bytes), word.escape_ascii().to_string());
    }
    let odd_length = "error: a frame of a length that no word has";
    assert_eq!(read(b"\0\0\0\x04"), odd_length);
    assert_eq!(read(b"\0\x10\0\x06"), odd_length);
    assert_eq!(read(b"\0\x10\0\x05"), "nothing");
    assert_eq!(read(b"\0\0\0\x05\x07\0\0\0"), "nothing");
    let no_word = "error: a frame that is no word";
    assert_eq!(read(b"\0\0\0\x05\x06\0\0\0\0"), no_word);
    assert_eq!(read(b"\0\0\0\x05\x07\0\0\0\x01"), no_word);
    assert_eq!(read(b"\0\0\0\x05\x07\x01\0\0\0"), no_word);
}

#[test]
fn keeps_an_id_as_it_came_when_it_is_16_hex_digits() {
    for good in [ID, "0123456789abcDEF"] {
        let id = WireId::new(good).unwrap();
        assert_eq!((id.as_str(), format!("{id:?}").as_str()), (good, good));
    }
    for bad in [
        "",
        "9b1f03aa5c7e2d4",
        "9b1f03aa5c7e2d411",
        "+b1f03aa5c7e2d41",
    ] {
        assert!(WireId::new(bad).is_none(), "{bad}");
    }
}

#[test]
fn takes_lines_off_what_is_pending_when_either_line_end_comes() {
    let mut pending = ReadBuffer::default();
    pending.feed(b"one\r\ntwo\n\r\nrest\r");
    for (line, length, left) in [(&b"one"[..], 5, 11), (b"two", 4, 7), (b"", 2, 5)] {
        assert_eq!(pending.line(), Some((line, length)));
        pending.consume(length);
        assert_eq!(pending.len(), left);
    }
    assert_eq!((pending.line(), pending.rest()), (None, &b"rest\r"[..]));
    pending.consume(99);
    assert!(pending.is_empty());
}
