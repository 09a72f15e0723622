//! Frames between sidecars and the server.
use super::{ProtocolError, ReadBuffer, WireId};
use cottondyke_types::{HandlerId, TenantId};
use std::collections::BTreeSet;
use std::rc::Rc;

const LENGTH: std::ops::RangeInclusive<usize> = 5..=262_144;
const HEAD: usize = 4;
const MOST_BODY: usize = 2_048;
const MOST_KB: f64 = 2_000.0;
/// Work that no req is meant to be: this many times the longest client timeout, on one core.
const MOST_COST: f64 = 4.0;
/// The wait that no caller means: this many times the longest client timeout.
const MOST_WAIT: f64 = 4.0;
/// Streams noted ahead of a gap in their numbers; past that the oldest gap counts as used.
const MOST_AHEAD: usize = 1_024;
const REQUEST: u8 = 1;
const ANSWER: u8 = 2;
const CANCEL: u8 = 3;
const CHECK: u8 = 4;
const CHECKED: u8 = 5;
const NO_MORE: u8 = 6;
const SERVED: u8 = 1;
const REFUSED: u8 = 0;
const FAILED: u8 = 9;
const GOOD: u8 = 1;
const BAD: u8 = 0;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StreamId(pub u32);

/// What the settings say of reqs: the names of handlers and customers in their order, and how long one lives.
#[derive(Debug, Default)]
pub struct NameTable {
    pub handlers: Vec<String>,
    pub customers: Vec<String>,
    /// The longest client timeout.
    pub longest_ms: f64,
}

#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    pub stream: StreamId,
    pub id: WireId,
    pub handler: HandlerId,
    pub customer: Option<TenantId>,
    /// When it came to the machine, in Unix milliseconds.
    pub at: u64,
    pub retry: bool,
    /// How long its caller waited still when it came to the machine, in milliseconds, where callers tell that.
    pub wait: Option<f64>,
    /// Expected work in milliseconds.
    pub hint: Option<f64>,
    pub kb: f64,
    /// What repeats share: the mark of a uniqued req, or what a read is about.
    pub mark: Option<Box<str>>,
    pub body: Vec<u8>,
}

#[derive(Debug, Clone, PartialEq)]
pub enum Frame {
    Request(Request),
    /// A req that can be answered, not run.
    InvalidRequest(StreamId, &'static str),
    HealthCheck {
        stream: StreamId,
        deep: bool,
    },
    /// The sidecar waits for this req no longer.
    Cancel(StreamId),
}

#[derive(Debug)]
pub struct Decoder {
    names: Rc<NameTable>,
    pending: ReadBuffer,
    through: u32,
    ahead: BTreeSet<u32>,
}

impl Decoder {
    pub fn new(names: Rc<NameTable>) -> Self {
        Decoder {
            names,
            pending: ReadBuffer::default(),
            through: 0,
            ahead: BTreeSet::new(),
        }
    }

    pub fn feed(&mut self, bytes: &[u8]) {
        self.pending.feed(bytes);
    }

    /// How much of a frame has come in part.
    pub fn midway(&self) -> usize {
        self.pending.len()
    }

    /// The next message, once it has come whole. After an error nothing more can be decoded.
    pub fn message(&mut self) -> Result<Option<Frame>, ProtocolError> {
        let rest = self.pending.rest();
        let Some(head) = rest.first_chunk::<HEAD>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*head) as usize;
        if !LENGTH.contains(&length) {
            return Err(ProtocolError("a frame's length is out of bounds"));
        }
        let Some(frame) = rest.get(HEAD..HEAD + length) else {
            return Ok(None);
        };
        let stream = StreamId(u32::from_be_bytes([frame[1], frame[2], frame[3], frame[4]]));
        let (kind, payload) = (frame[0], &frame[5..]);
        let message = match kind {
            REQUEST if stream.0 == 0 => return Err(ProtocolError("a req on stream 0")),
            REQUEST => req(&self.names, stream, payload)
                .unwrap_or_else(|why| Frame::InvalidRequest(stream, why)),
            CHECK => {
                let deep = fields(payload).map(|(fields, _)| fields.contains(&("deep", "1")));
                Frame::HealthCheck {
                    stream,
                    deep: deep.map_err(ProtocolError)?,
                }
            }
            CANCEL if stream.0 > 0 => Frame::Cancel(stream),
            _ => return Err(ProtocolError("a frame of unknown type")),
        };
        self.pending.take(HEAD + length);
        if kind == REQUEST && !self.first_use(stream.0) {
            return Err(ProtocolError("a stream number used twice"));
        }
        Ok(Some(message))
    }

    fn first_use(&mut self, stream: u32) -> bool {
        if stream <= self.through || !self.ahead.insert(stream) {
            return false;
        }
        while self.ahead.len() > MOST_AHEAD || self.ahead.first() == Some(&(self.through + 1)) {
            self.through = self.ahead.pop_first().unwrap_or(self.through);
        }
        true
    }
}

type Fields<'a> = Vec<(&'a str, &'a str)>;

fn text<'a>(bytes: &mut &'a [u8], size: usize) -> Result<&'a str, &'static str> {
    let (text, rest) = bytes
        .split_at_checked(size)
        .ok_or("a field reaches past its frame")?;
    *bytes = rest;
    std::str::from_utf8(text).map_err(|_| "a field is not text")
}

fn fields(payload: &[u8]) -> Result<(Fields<'_>, &[u8]), &'static str> {
    let (count, mut rest) = payload
        .split_first()
        .ok_or("a frame without its count of fields")?;
    let mut fields = Vec::new();
    for _ in 0..*count {
        let size = rest
            .split_off_first()
            .ok_or("a field reaches past its frame")?;
        let name = text(&mut rest, usize::from(*size))?;
        let (size, after) = rest
            .split_first_chunk::<2>()
            .ok_or("a field reaches past its frame")?;
        rest = after;
        fields.push((
            name,
            text(&mut rest, usize::from(u16::from_be_bytes(*size)))?,
        ));
    }
    Ok((fields, rest))
}

fn req(names: &NameTable, stream: StreamId, payload: &[u8]) -> Result<Frame, &'static str> {
    let (fields, body) = fields(payload)?;
    let one = |name: &str, twice: &'static str| {
        let mut found = fields.iter().filter(|f| f.0 == name).map(|f| f.1);
        let first = found.next();
        found.next().map_or(Ok(first), |_| Err(twice))
    };
    let number = |text: Option<&str>, wrong: &'static str| {
        let parse = |t: &str| {
            t.parse::<f64>()
                .ok()
                .filter(|n| n.is_finite() && *n >= 0.0)
                .ok_or(wrong)
        };
        text.map(parse).transpose()
    };
    let class = one("class", "class repeated")?.ok_or("class missing")?;
    let handler = names
        .handlers
        .iter()
        .position(|n| n == class)
        .ok_or("unknown handler")?;
    let customer = match one("tenant", "tenant repeated")? {
        Some(name) => Some(
            names
                .customers
                .iter()
                .position(|n| n == name)
                .ok_or("unknown customer")?,
        ),
        None if names.customers.is_empty() => None,
        None => return Err("tenant missing"),
    };
    let id = one("id", "id repeated")?.ok_or("id missing")?;
    let at = one("at", "at repeated")?.ok_or("at missing")?;
    let from = one("from", "from repeated")?.ok_or("from missing")?;
    from.parse::<u64>().map_err(|_| "from is not a number")?;
    let retry = match one("retry", "retry repeated")? {
        None | Some("0") => false,
        Some("1") => true,
        Some(_) => return Err("retry is not 1"),
    };
    let kb = number(one("kb", "kb repeated")?, "kb is not a number")?.ok_or("kb missing")?;
    if kb <= 0.0 || kb >= MOST_KB {
        return Err("kb is out of bounds");
    }
    let rank = number(one("rank", "rank repeated")?, "rank is not a number")?;
    if rank.is_some_and(|r| r >= 1.0) {
        return Err("rank is out of bounds");
    }
    let cost = number(one("cost", "cost repeated")?, "cost is not a number")?;
    if cost.is_some_and(|ms| ms > names.longest_ms * MOST_COST) {
        return Err("cost is out of bounds");
    }
    let wait = number(one("wait", "wait repeated")?, "wait is not a number")?;
    if wait.is_some_and(|ms| ms > names.longest_ms * MOST_WAIT) {
        return Err("wait is out of bounds");
    }
    let mark = match one("once", "once repeated")? {
        None => one("key", "key repeated")?,
        once => once,
    };
    if body.len() > MOST_BODY {
        return Err("the body is too long");
    }
    Ok(Frame::Request(Request {
        stream,
        id: WireId::new(id).ok_or("id is not 16 hex digits")?,
        handler: HandlerId(handler),
        customer: customer.map(TenantId),
        at: at.parse().map_err(|_| "at is not a number")?,
        retry,
        wait,
        hint: cost.filter(|ms| *ms > 0.0),
        kb,
        mark: mark.map(Into::into),
        body: body.to_vec(),
    }))
}

/// What a run brought.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RunOutput {
    pub body: Vec<u8>,
    /// The parts that are not whole, by name and joined by commas; none where all is whole.
    pub partial: Option<Rc<str>>,
}

impl RunOutput {
    pub fn whole(body: Vec<u8>) -> Self {
        RunOutput {
            body,
            partial: None,
        }
    }

    /// The room that it takes where it is kept, in bytes.
    pub fn size(&self) -> usize {
        self.body.len() + self.partial.as_ref().map_or(0, |names| names.len())
    }
}

/// What the server says to a sidecar.
#[derive(Debug, Clone, PartialEq)]
pub enum Response {
    Done(StreamId, RunOutput),
    Shed {
        stream: StreamId,
        after_ms: f64,
        last: bool,
    },
    Errored(StreamId),
    HealthStatus {
        stream: StreamId,
        good: bool,
    },
    /// An error that belongs to no req.
    Fault(&'static str),
    NoMore,
}

impl Response {
    /// Whether it is the final answer to a req.
    pub fn settles(&self) -> bool {
        matches!(
            self,
            Response::Done(..) | Response::Shed { .. } | Response::Errored(_)
        )
    }

    /// Whether it answers something that came, be it a req or a check.
    pub fn answers(&self) -> bool {
        self.settles() || matches!(self, Response::HealthStatus { .. })
    }

    /// Appends the frame; `say` is the free value from this answer on.
    pub fn encode(&self, say: Option<f64>, to: &mut Vec<u8>) {
        let own = |fields: &mut Vec<(&'static str, String)>| {
            if let Response::Done(
                _,
                RunOutput {
                    partial: Some(names),
                    ..
                },
            ) = self
            {
                fields.push(("partial", names.to_string()));
            }
            if let Response::Shed { after_ms, last, .. } = self {
                fields.extend((*after_ms > 0.0).then(|| ("after", after_ms.to_string())));
                fields.extend(last.then(|| ("last", "1".to_string())));
            }
        };
        let (kind, stream, code, body): (u8, u32, Option<u8>, &[u8]) = match self {
            Response::Done(stream, output) => (ANSWER, stream.0, Some(SERVED), &output.body),
            Response::Shed { stream, .. } => (ANSWER, stream.0, Some(REFUSED), &[]),
            Response::Errored(stream) => (ANSWER, stream.0, Some(FAILED), &[]),
            Response::HealthStatus { stream, good } => {
                (CHECKED, stream.0, Some(if *good { GOOD } else { BAD }), &[])
            }
            Response::Fault(why) => (ANSWER, 0, Some(FAILED), why.as_bytes()),
            Response::NoMore => (NO_MORE, 0, None, &[]),
        };
        let start = to.len();
        to.extend([0; HEAD]);
        to.push(kind);
        to.extend(stream.to_be_bytes());
        if let Some(code) = code {
            let mut fields: Vec<(&'static str, String)> = say
                .map(|value| ("say", value.to_string()))
                .into_iter()
                .collect();
            own(&mut fields);
            to.push(code);
            to.push(fields.len() as u8);
            for (name, value) in fields {
                to.push(name.len() as u8);
                to.extend(name.as_bytes());
                to.extend((value.len() as u16).to_be_bytes());
                to.extend(value.as_bytes());
            }
            to.extend(body);
        }
        let length = (to.len() - start - HEAD) as u32;
        to[start..start + HEAD].copy_from_slice(&length.to_be_bytes());
    }
}
