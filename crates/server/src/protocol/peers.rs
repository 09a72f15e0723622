//! Frames between instances: a header as in the sidecar protocol (length, kind, stream), then one message.
use super::{ProtocolError, ReadBuffer};
use cottondyke_cluster::MAX_MESSAGE_BYTES;

const MESSAGE_KIND: u8 = 7;
/// Size of the length field, which counts the bytes that follow it.
const LENGTH_BYTES: usize = 4;
/// The kind and the stream of every frame; the stream is always 0.
const KIND_AND_STREAM: [u8; 5] = [MESSAGE_KIND, 0, 0, 0, 0];

/// Encodes the frame of a message that is itself encoded already.
pub fn encode(message: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(LENGTH_BYTES + KIND_AND_STREAM.len() + message.len());
    bytes.extend(((message.len() + KIND_AND_STREAM.len()) as u32).to_be_bytes());
    bytes.extend(KIND_AND_STREAM);
    bytes.extend_from_slice(message);
    bytes
}

/// Decodes the frames of one connection.
#[derive(Debug, Default)]
pub struct Decoder(ReadBuffer);

impl Decoder {
    /// Appends bytes that were read.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.0.feed(bytes);
    }

    /// The next message, still encoded; `None` until all of it has been read.
    pub fn next_message(&mut self) -> Result<Option<Vec<u8>>, ProtocolError> {
        let rest = self.0.rest();
        let Some(head) = rest.first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*head) as usize;
        if !(KIND_AND_STREAM.len()..=MAX_MESSAGE_BYTES + KIND_AND_STREAM.len()).contains(&length) {
            return Err(ProtocolError::PeerFrameLength);
        }
        let Some(frame) = rest.get(LENGTH_BYTES..LENGTH_BYTES + length) else {
            return Ok(None);
        };
        let message = frame
            .strip_prefix(&KIND_AND_STREAM)
            .ok_or(ProtocolError::UnknownPeerFrame)?
            .to_vec();
        self.0.consume(LENGTH_BYTES + length);
        Ok(Some(message))
    }
}
