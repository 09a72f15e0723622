//! Lines between the server and its engine.
use super::{ProtocolError, ReadBuffer, WireId};
use cottondyke_admission::RunOutcome;
use std::rc::Rc;

const MOST_LINE: usize = 65_536;
const MOST_BODY: usize = 262_144;

/// Numbers the notices of one life of the server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct MessageNumber(pub u64);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Tag(pub u64);

#[derive(Clone, Debug, PartialEq)]
pub enum EngineCommand {
    Attach(MessageNumber),
    Run {
        id: WireId,
        class: Rc<str>,
        body: Rc<[u8]>,
    },
    Halt(WireId),
    Feed(WireId, Vec<u8>),
    Skip(WireId, MessageNumber),
    Stat(Tag),
    Test(Tag),
}

impl EngineCommand {
    pub fn encode(&self, to: &mut Vec<u8>) {
        let mut put = |line: String, body: Option<&[u8]>| {
            to.extend(line.as_bytes());
            if let Some(body) = body {
                to.extend(format!(" {}\r\n", body.len()).as_bytes());
                to.extend(body);
            }
            to.extend(b"\r\n");
        };
        match self {
            EngineCommand::Attach(last) => put(format!("ATTACH {}", last.0), None),
            EngineCommand::Run { id, class, body } => {
                put(format!("RUN {} {class}", id.as_str()), Some(body))
            }
            EngineCommand::Halt(id) => put(format!("HALT {}", id.as_str()), None),
            EngineCommand::Feed(id, body) => put(format!("FEED {}", id.as_str()), Some(body)),
            EngineCommand::Skip(id, need) => put(format!("SKIP {} {}", id.as_str(), need.0), None),
            EngineCommand::Stat(tag) => put(format!("STAT {}", tag.0), None),
            EngineCommand::Test(tag) => put(format!("TEST {}", tag.0), None),
        }
    }
}

#[derive(Clone, Debug, PartialEq)]
pub enum EngineMessage {
    Hello {
        age_ms: f64,
    },
    Done {
        no: MessageNumber,
        id: WireId,
        end: RunOutcome,
        result: Vec<u8>,
    },
    Need {
        no: MessageNumber,
        id: WireId,
        body: Vec<u8>,
    },
    Stats {
        tag: Tag,
        gauges: Vec<f64>,
    },
    Tested {
        tag: Tag,
        good: bool,
    },
    Refused {
        command: String,
        id: Option<WireId>,
    },
    Remark(Option<MessageNumber>),
    Unknown(String),
}

impl EngineMessage {
    pub fn number(&self) -> Option<MessageNumber> {
        match self {
            EngineMessage::Done { no, .. } | EngineMessage::Need { no, .. } => Some(*no),
            EngineMessage::Remark(no) => *no,
            _ => None,
        }
    }
}

#[derive(Debug, Default)]
pub struct Decoder {
    pending: ReadBuffer,
}

impl Decoder {
    pub fn feed(&mut self, bytes: &[u8]) {
        self.pending.feed(bytes);
    }

    /// The next notice, once it has come whole with its body. After an error the link is of no more use.
    pub fn notice(&mut self) -> Result<Option<EngineMessage>, ProtocolError> {
        let Some((line, end)) = self.pending.line() else {
            let long = self.pending.rest().len() > MOST_LINE;
            return if long {
                Err(ProtocolError("a line without an end"))
            } else {
                Ok(None)
            };
        };
        let line = std::str::from_utf8(line).map_err(|_| ProtocolError("a line is not text"))?;
        let words: Vec<&str> = line.split(' ').collect();
        let length = match words[0] {
            "DONE" | "NEED" => words
                .last()
                .and_then(|w| w.parse().ok())
                .ok_or(ProtocolError("no length"))?,
            _ => 0,
        };
        if length > MOST_BODY {
            return Err(ProtocolError("a body is too long"));
        }
        let with_body = matches!(words[0], "DONE" | "NEED");
        let whole = end + if with_body { length + 2 } else { 0 };
        let Some(body) = self.pending.rest().get(end..whole) else {
            return Ok(None);
        };
        let body = if with_body {
            body.strip_suffix(b"\r\n")
                .ok_or(ProtocolError("a body without its end"))?
                .to_vec()
        } else {
            Vec::new()
        };
        let notice = notice(&words, body).ok_or(ProtocolError("a notice that cannot be read"))?;
        self.pending.take(whole);
        Ok(Some(notice))
    }
}

fn notice(words: &[&str], body: Vec<u8>) -> Option<EngineMessage> {
    let number = |w: &str| w.parse().ok();
    Some(match *words {
        ["HELLO", _, ms] => EngineMessage::Hello {
            age_ms: ms
                .parse::<f64>()
                .ok()
                .filter(|ms| ms.is_finite() && *ms >= 0.0)?,
        },
        ["DONE", no, id, end, _, _] => {
            let end = match end {
                "fine" => RunOutcome::Completed,
                "fault" => RunOutcome::Failed,
                "broken_off" => RunOutcome::Cancelled,
                "late" => RunOutcome::NotStarted,
                _ => return None,
            };
            EngineMessage::Done {
                no: MessageNumber(number(no)?),
                id: WireId::new(id)?,
                end,
                result: body,
            }
        }
        ["NEED", no, id, _] => EngineMessage::Need {
            no: MessageNumber(number(no)?),
            id: WireId::new(id)?,
            body,
        },
        ["STATS", tag, ref gauges @ ..] => EngineMessage::Stats {
            tag: Tag(number(tag)?),
            gauges: gauges
                .iter()
                .map(|g| g.parse().unwrap_or(f64::NAN))
                .collect(),
        },
        ["TESTED", tag, end] => EngineMessage::Tested {
            tag: Tag(number(tag)?),
            good: end == "fine",
        },
        ["NO", command, id] => EngineMessage::Refused {
            command: command.to_string(),
            id: WireId::new(id),
        },
        ["NOTE", no, ..] => EngineMessage::Remark(number(no).map(MessageNumber)),
        _ => EngineMessage::Unknown(words.join(" ")),
    })
}
