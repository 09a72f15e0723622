//! The three protocols as state machines that are fed bytes and know no socket or clock. Each message is
//! decoded once into a small typed value and encoded once; the protocols' names end here.
pub mod engine;
pub mod http;
pub mod peers;
pub mod sidecar;

/// Bytes that came and are not yet decoded. They take only as much room as has come, whatever length a
/// message announces.
#[derive(Debug, Default)]
pub struct ReadBuffer {
    bytes: Vec<u8>,
    taken: usize,
}

impl ReadBuffer {
    pub fn feed(&mut self, bytes: &[u8]) {
        self.bytes.drain(..self.taken);
        self.taken = 0;
        self.bytes.extend_from_slice(bytes);
    }

    /// How much has come and is not decoded.
    pub fn len(&self) -> usize {
        self.rest().len()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    pub fn rest(&self) -> &[u8] {
        &self.bytes[self.taken..]
    }

    pub fn take(&mut self, count: usize) {
        self.taken = (self.taken + count).min(self.bytes.len());
        if self.taken == self.bytes.len() {
            (self.bytes, self.taken) = (Vec::new(), 0);
        }
    }

    /// The line up to the next CR LF, which a bare LF may stand for, without it; and its length with it.
    pub fn line(&self) -> Option<(&[u8], usize)> {
        let end = self.rest().iter().position(|b| *b == b'\n')?;
        let line = &self.rest()[..end];
        Some((line.strip_suffix(b"\r").unwrap_or(line), end + 1))
    }
}

/// What cannot be decoded any further, in words.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProtocolError(pub &'static str);

/// The id that a req bears on the wire, kept as it came.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct WireId([u8; 16]);

impl WireId {
    pub fn new(text: &str) -> Option<Self> {
        let bytes: [u8; 16] = text.as_bytes().try_into().ok()?;
        bytes
            .iter()
            .all(u8::is_ascii_hexdigit)
            .then_some(WireId(bytes))
    }

    pub fn as_str(&self) -> &str {
        std::str::from_utf8(&self.0).unwrap_or_default()
    }
}

impl std::fmt::Debug for WireId {
    fn fmt(&self, to: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        to.write_str(self.as_str())
    }
}
