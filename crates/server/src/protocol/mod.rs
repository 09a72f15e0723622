//! Codecs of the wire protocols, as state machines that are fed bytes and use neither sockets nor clocks. Each message
//! is decoded once into a small typed value and encoded once; names on the wire are known only to this module.
pub mod engine;
pub mod error;
pub mod http;
pub mod peers;
pub mod sidecar;

pub use error::{FieldError, ProtocolError, RequestError};

/// Maximum space that a buffer allocates in advance.
const MAX_SPARE_BYTES: usize = 32_768;

/// Bytes that have been read and not decoded yet. The buffer grows only by what has been read, whatever length a
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
        // Some spare space, so that a long message which arrives in small pieces is not copied for each of them.
        let spare = (self.bytes.len() / 2).min(MAX_SPARE_BYTES);
        if self.bytes.capacity() - self.bytes.len() < bytes.len() {
            self.bytes.reserve_exact(bytes.len().max(spare));
        }
        self.bytes.extend_from_slice(bytes);
    }

    /// Number of bytes that are not decoded yet.
    pub fn len(&self) -> usize {
        self.rest().len()
    }

    /// Size of the buffer in memory, in bytes.
    pub fn capacity(&self) -> usize {
        self.bytes.capacity()
    }

    /// Whether everything that was read has been decoded.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The bytes that are not decoded yet.
    pub fn rest(&self) -> &[u8] {
        &self.bytes[self.consumed..]
    }

    /// Marks the next `count` bytes as decoded. The memory is freed once the buffer is empty.
    pub fn consume(&mut self, count: usize) {
        self.consumed = (self.consumed + count).min(self.bytes.len());
        if self.consumed == self.bytes.len() {
            self.bytes = Vec::new();
            self.consumed = 0;
        }
    }

    /// The next line without its line end (CR LF or a bare LF), and its length with the line end. `None` if no complete
    /// line has been read.
    pub fn line(&self) -> Option<(&[u8], usize)> {
        let end = self.rest().iter().position(|b| *b == b'\n')?;
        let line = &self.rest()[..end];
        Some((line.strip_suffix(b"\r").unwrap_or(line), end + 1))
    }
}

/// The id of a request on the wire: 16 hexadecimal digits, with their case preserved.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct WireId([u8; 16]);

impl WireId {
    /// Parses an id; `None` if `text` is not 16 hexadecimal digits.
    pub fn new(text: &str) -> Option<Self> {
        let bytes: [u8; 16] = text.as_bytes().try_into().ok()?;
        bytes
            .iter()
            .all(u8::is_ascii_hexdigit)
            .then_some(WireId(bytes))
    }

    /// The digits as received.
    pub fn as_str(&self) -> &str {
        std::str::from_utf8(&self.0).unwrap_or_default()
    }
}

impl std::fmt::Debug for WireId {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(self.as_str())
    }
}
