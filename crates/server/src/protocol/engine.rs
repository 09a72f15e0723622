//! The line protocol between the server and its engine: commands out, messages in.
use super::{ProtocolError, ReadBuffer, WireId};
use cottondyke_admission::RunOutcome;
use std::rc::Rc;

const MAX_LINE_BYTES: usize = 65_536;
const MAX_BODY_BYTES: usize = 262_144;
const LINE_END: &[u8] = b"\r\n";

/// Sequence number of an engine message, unique within one incarnation of the server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct MessageNumber(pub u64);

/// Correlates a response of the engine with the query.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Tag(pub u64);

/// A command to the engine.
#[derive(Clone, Debug, PartialEq)]
pub enum EngineCommand {
    /// Opens a connection and asks for all messages after this number, including ones sent before.
    Attach(MessageNumber),
    /// Starts a run.
    StartRun {
        /// The engine's id of the run.
        id: WireId,
        /// The handler's name.
        class: Rc<str>,
        /// The request's body.
        body: Rc<[u8]>,
    },
    /// Cancels a run; the engine confirms with a message once it has ended.
    CancelRun(WireId),
    /// The result of the call that a run waits for.
    CallResult(WireId, Vec<u8>),
    /// Lets a run continue without the call that this message asked for.
    SkipCall(WireId, MessageNumber),
    /// Asks for the load gauges.
    QueryLoad(Tag),
    /// Asks the engine to test itself.
    SelfTest(Tag),
}

impl EngineCommand {
    /// Appends the encoded command.
    pub fn encode(&self, to: &mut Vec<u8>) {
        match self {
            EngineCommand::Attach(last) => put_line(to, format!("ATTACH {}", last.0)),
            EngineCommand::StartRun { id, class, body } => {
                put_with_body(to, format!("RUN {} {class}", id.as_str()), body)
            }
            EngineCommand::CancelRun(id) => put_line(to, format!("HALT {}", id.as_str())),
            EngineCommand::CallResult(id, body) => {
                put_with_body(to, format!("FEED {}", id.as_str()), body)
            }
            EngineCommand::SkipCall(id, need) => {
                put_line(to, format!("SKIP {} {}", id.as_str(), need.0))
            }
            EngineCommand::QueryLoad(tag) => put_line(to, format!("STAT {}", tag.0)),
            EngineCommand::SelfTest(tag) => put_line(to, format!("TEST {}", tag.0)),
        }
    }
}

fn put_line(to: &mut Vec<u8>, line: String) {
    to.extend(line.as_bytes());
    to.extend(LINE_END);
}

fn put_with_body(to: &mut Vec<u8>, line: String, body: &[u8]) {
    to.extend(line.as_bytes());
    to.extend(format!(" {}\r\n", body.len()).as_bytes());
    to.extend(body);
    to.extend(LINE_END);
}

/// The engine's state according to its hello.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineStart {
    /// The hello says `starting`: not yet at full speed.
    Cold,
    /// The hello says anything else: at full speed.
    Warm,
}

/// A message from the engine.
#[derive(Clone, Debug, PartialEq)]
pub enum EngineMessage {
    /// The first message of a connection.
    Hello {
        /// The engine's state according to this message.
        start: EngineStart,
        /// How long ago the engine started, in milliseconds.
        age_ms: f64,
    },
    /// A run has ended.
    RunEnded {
        /// The message's number.
        number: MessageNumber,
        /// The run.
        id: WireId,
        /// How it ended.
        outcome: RunOutcome,
        /// The response's body.
        result: Vec<u8>,
    },
    /// A run waits for a call.
    CallNeeded {
        /// The message's number.
        number: MessageNumber,
        /// The run.
        id: WireId,
        /// The body of the call.
        body: Vec<u8>,
    },
    /// The response to a load query: the gauges in the order of the settings. A value that cannot be parsed is NaN.
    Load {
        /// The tag of the query.
        tag: Tag,
        /// The gauges' values.
        gauges: Vec<f64>,
    },
    /// The result of a self-test.
    SelfTest {
        /// The tag of the query.
        tag: Tag,
        /// Whether the test passed.
        passed: bool,
    },
    /// The engine refused a command.
    CommandRefused {
        /// The command's first word.
        command: String,
        /// The run that the command referred to, if any.
        id: Option<WireId>,
    },
    /// A message without effect, with its number if that can be parsed.
    Note(Option<MessageNumber>),
    /// A line of an unknown kind.
    Unknown(String),
}

impl EngineMessage {
    /// The message's sequence number, if it has one.
    pub fn number(&self) -> Option<MessageNumber> {
        match self {
            EngineMessage::RunEnded { number, .. } | EngineMessage::CallNeeded { number, .. } => {
                Some(*number)
            }
            EngineMessage::Note(number) => *number,
            _ => None,
        }
    }
}

/// Decodes the messages of one connection.
#[derive(Debug, Default)]
pub struct Decoder {
    buffer: ReadBuffer,
}

impl Decoder {
    /// Appends bytes that were read.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.feed(bytes);
    }

    /// The next message, once it is complete including its body. After an error nothing more can be decoded.
    pub fn next_message(&mut self) -> Result<Option<EngineMessage>, ProtocolError> {
        let Some((line, line_end)) = self.buffer.line() else {
            if self.buffer.rest().len() > MAX_LINE_BYTES {
                return Err(ProtocolError::LineTooLong);
            }
            return Ok(None);
        };
        let line = std::str::from_utf8(line).map_err(|_| ProtocolError::LineNotText)?;
        let words: Vec<&str> = line.split(' ').collect();
        let body_length = body_length(&words)?;
        let message_end = line_end + body_length.map_or(0, |length| length + LINE_END.len());
        let Some(body) = self.buffer.rest().get(line_end..message_end) else {
            return Ok(None);
        };
        let body = match body_length {
            Some(_) => body
                .strip_suffix(LINE_END)
                .ok_or(ProtocolError::UnterminatedBody)?
                .to_vec(),
            None => Vec::new(),
        };
        let message = parse_message(&words, body).ok_or(ProtocolError::UnreadableMessage)?;
        self.buffer.consume(message_end);
        Ok(Some(message))
    }
}

/// The length of the body after a line; `None` for a message kind without a body.
fn body_length(words: &[&str]) -> Result<Option<usize>, ProtocolError> {
    if !matches!(words[0], "DONE" | "NEED") {
        return Ok(None);
    }
    let length = words
        .last()
        .and_then(|word| word.parse().ok())
        .ok_or(ProtocolError::MissingBodyLength)?;
    if length > MAX_BODY_BYTES {
        return Err(ProtocolError::BodyTooLong);
    }
    Ok(Some(length))
}

fn parse_message(words: &[&str], body: Vec<u8>) -> Option<EngineMessage> {
    let number = |word: &str| word.parse().ok();
    Some(match *words {
        ["HELLO", state, ms] => EngineMessage::Hello {
            start: match state {
                "starting" => EngineStart::Cold,
                _ => EngineStart::Warm,
            },
            age_ms: ms
                .parse::<f64>()
                .ok()
                .filter(|ms| ms.is_finite() && *ms >= 0.0)?,
        },
        ["DONE", message, id, outcome, _, _] => EngineMessage::RunEnded {
            outcome: run_outcome(outcome)?,
            number: MessageNumber(number(message)?),
            id: WireId::new(id)?,
            result: body,
        },
        ["NEED", message, id, _] => EngineMessage::CallNeeded {
            number: MessageNumber(number(message)?),
            id: WireId::new(id)?,
            body,
        },
        ["STATS", tag, ref gauges @ ..] => EngineMessage::Load {
            tag: Tag(number(tag)?),
            gauges: gauges
                .iter()
                .map(|gauge| gauge.parse().unwrap_or(f64::NAN))
                .collect(),
        },
        ["TESTED", tag, result] => EngineMessage::SelfTest {
            tag: Tag(number(tag)?),
            passed: result == "fine",
        },
        ["NO", command, id] => EngineMessage::CommandRefused {
            command: command.to_string(),
            id: WireId::new(id),
        },
        ["NOTE", message, ..] => EngineMessage::Note(number(message).map(MessageNumber)),
        _ => EngineMessage::Unknown(words.join(" ")),
    })
}

fn run_outcome(word: &str) -> Option<RunOutcome> {
    match word {
        "fine" => Some(RunOutcome::Completed),
        "fault" => Some(RunOutcome::Failed),
        "broken_off" => Some(RunOutcome::Cancelled),
        "late" => Some(RunOutcome::NotStarted),
        _ => None,
    }
}
