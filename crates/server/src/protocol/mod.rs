//! The protocols as state machines that are fed bytes and know no socket or clock. Each message is decoded once into
//! a small typed value and encoded once; the names that stand on the wire end here.
pub mod engine;
pub mod error;
pub mod http;
pub mod peers;
pub mod sidecar;

pub use error::{FieldError, ProtocolError, RequestError};

/// Bytes that were read and are not yet decoded. They take only as much memory as has been read, whatever length a
/// message announces.
///
/// ```
/// let mut buffer = cottondyke::protocol::ReadBuffer::default();
/// buffer.feed(b"one\r\ntw");
/// assert_eq!(buffer.line(), Some((&b"one"[..], 5)));
/// buffer.consume(5);
/// assert_eq!((buffer.line(), buffer.len()), (None, 2));
/// ```
#[derive(Debug, Default)]
pub struct ReadBuffer {
    bytes: Vec<u8>,
    consumed: usize,
}

impl ReadBuffer {
    /// Appends what was read.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.bytes.drain(..self.consumed);
        self.consumed = 0;
        self.bytes.extend_from_slice(bytes);
    }

    /// How many bytes are not decoded yet.
    pub fn len(&self) -> usize {
        self.rest().len()
    }

    /// Whether all that was read is decoded.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// What is not decoded yet.
    pub fn rest(&self) -> &[u8] {
        &self.bytes[self.consumed..]
    }

    /// Marks the next `count` bytes as decoded. An empty buffer gives its memory back.
    pub fn consume(&mut self, count: usize) {
        self.consumed = (self.consumed + count).min(self.bytes.len());
        if self.consumed == self.bytes.len() {
            self.bytes = Vec::new();
            self.consumed = 0;
        }
    }

    /// The line up to the next CR LF, which a bare LF may stand for, without it; and its length with it.
    pub fn line(&self) -> Option<(&[u8], usize)> {
        let end = self.rest().iter().position(|b| *b == b'\n')?;
        let line = &self.rest()[..end];
        Some((line.strip_suffix(b"\r").unwrap_or(line), end + 1))
    }
}

/// The id that a request bears on the wire: 16 hexadecimal digits, retained as they came.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct WireId([u8; 16]);

impl WireId {
    /// The id, if `text` is one.
    pub fn new(text: &str) -> Option<Self> {
        let bytes: [u8; 16] = text.as_bytes().try_into().ok()?;
        bytes
            .iter()
            .all(u8::is_ascii_hexdigit)
            .then_some(WireId(bytes))
    }

    /// The digits as they came.
    pub fn as_str(&self) -> &str {
        std::str::from_utf8(&self.0).unwrap_or_default()
    }
}

impl std::fmt::Debug for WireId {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(self.as_str())
    }
}
