//! Frames between sidecars and the server. A frame consists of a length (4 bytes, counting the bytes that follow it), a
//! kind (1 byte), a stream (4 bytes) and a payload; integers are big-endian.
mod request;
mod response;
mod streams;

pub use request::Request;
pub use response::{Response, RunOutput};

use super::{FieldError, ProtocolError, ReadBuffer, RequestError};
use std::ops::RangeInclusive;
use std::rc::Rc;
use streams::StreamTracker;

/// Valid values of the length field.
const FRAME_LENGTH: RangeInclusive<usize> = 5..=262_144;
/// Size of the length field.
const LENGTH_BYTES: usize = 4;

const REQUEST: u8 = 1;
const RESPONSE: u8 = 2;
const CANCEL: u8 = 3;
const HEALTH_CHECK: u8 = 4;
const HEALTH_STATUS: u8 = 5;
const GO_AWAY: u8 = 6;

/// Identifies a request or a health check within one connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StreamId(pub u32);

/// The settings that requests are decoded with: the names of handlers and tenants, in order, and the longest client
/// timeout.
#[derive(Debug, Default)]
pub struct DecoderSettings {
    /// Names of the handlers; the index of a name is its `HandlerId`.
    pub handlers: Vec<String>,
    /// Names of the tenants; the index of a name is its `TenantId`.
    pub tenants: Vec<String>,
    /// The longest client timeout, in milliseconds.
    pub max_client_timeout_ms: f64,
}

/// A decoded frame from a sidecar.
#[derive(Debug, Clone, PartialEq)]
pub enum Frame {
    /// A valid request.
    Request(Request),
    /// A request that is answered with an error and cannot be run.
    InvalidRequest(StreamId, RequestError),
    /// A health check.
    HealthCheck {
        /// The stream to answer on.
        stream: StreamId,
        /// Whether the check includes a self-test of the engine.
        deep: bool,
    },
    /// The sidecar no longer waits for this request.
    Cancel(StreamId),
}

/// Decodes the frames of one connection.
#[derive(Debug)]
pub struct Decoder {
    settings: Rc<DecoderSettings>,
    buffer: ReadBuffer,
    streams: StreamTracker,
}

impl Decoder {
    /// Creates a decoder with these settings.
    pub fn new(settings: Rc<DecoderSettings>) -> Self {
        Decoder {
            settings,
            buffer: ReadBuffer::default(),
            streams: StreamTracker::default(),
        }
    }

    /// Appends bytes that were read.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.feed(bytes);
    }

    /// Number of bytes that are buffered and not decoded yet.
    pub fn pending_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Size of the buffer of bytes that are not decoded yet.
    pub fn buffer_bytes(&self) -> usize {
        self.buffer.capacity()
    }

    /// Records that the request on this stream is answered.
    pub fn close_stream(&mut self, stream: StreamId) {
        self.streams.close(stream.0);
    }

    /// Number of requests that were decoded and are not answered.
    pub fn open_streams(&self) -> usize {
        self.streams.open_count()
    }

    /// The next frame, once it is complete. After an error nothing more can be decoded.
    pub fn next_frame(&mut self) -> Result<Option<Frame>, ProtocolError> {
        let rest = self.buffer.rest();
        let Some(head) = rest.first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*head) as usize;
        if !FRAME_LENGTH.contains(&length) {
            return Err(ProtocolError::FrameLength);
        }
        let Some(bytes) = rest.get(LENGTH_BYTES..LENGTH_BYTES + length) else {
            return Ok(None);
        };
        let stream = StreamId(u32::from_be_bytes([bytes[1], bytes[2], bytes[3], bytes[4]]));
        let (kind, payload) = (bytes[0], &bytes[5..]);
        let frame = match kind {
            REQUEST if stream.0 == 0 => return Err(ProtocolError::RequestOnStreamZero),
            REQUEST => request::decode(&self.settings, stream, payload)
                .map_or_else(|e| Frame::InvalidRequest(stream, e), Frame::Request),
            HEALTH_CHECK => {
                let (fields, _) = read_fields(payload).map_err(ProtocolError::Fields)?;
                let deep = fields.contains(&("deep", "1"));
                Frame::HealthCheck { stream, deep }
            }
            CANCEL if stream.0 > 0 => Frame::Cancel(stream),
            _ => return Err(ProtocolError::UnknownFrameKind),
        };
        self.buffer.consume(LENGTH_BYTES + length);
        if kind == REQUEST && !self.streams.open(stream.0) {
            return Err(ProtocolError::StreamReused);
        }
        Ok(Some(frame))
    }
}

/// Names and values of a payload, in order.
type Fields<'a> = Vec<(&'a str, &'a str)>;

/// Decodes the fields of a payload and returns them with the body that follows. A field is a name, prefixed by its
/// length in 1 byte, and a value, prefixed by its length in 2 bytes.
fn read_fields(payload: &[u8]) -> Result<(Fields<'_>, &[u8]), FieldError> {
    let (count, mut rest) = payload.split_first().ok_or(FieldError::MissingCount)?;
    let mut fields = Vec::new();
    for _ in 0..*count {
        let size = rest.split_off_first().ok_or(FieldError::PastFrame)?;
        let name = read_text(&mut rest, usize::from(*size))?;
        let (size, after) = rest.split_first_chunk::<2>().ok_or(FieldError::PastFrame)?;
        rest = after;
        let value = read_text(&mut rest, usize::from(u16::from_be_bytes(*size)))?;
        fields.push((name, value));
    }
    Ok((fields, rest))
}

fn read_text<'a>(bytes: &mut &'a [u8], size: usize) -> Result<&'a str, FieldError> {
    let (text, rest) = bytes.split_at_checked(size).ok_or(FieldError::PastFrame)?;
    *bytes = rest;
    std::str::from_utf8(text).map_err(|_| FieldError::NotText)
}
