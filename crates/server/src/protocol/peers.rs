//! Frames between instances: the head that sidecars' frames have (length, kind, stream), then one message.
use super::{ProtocolError, ReadBuffer};
use cottondyke_cluster::MAX_MESSAGE_BYTES;

const MESSAGE_KIND: u8 = 7;
/// Bytes of the length, which counts what follows it.
const LENGTH_BYTES: usize = 4;
/// Kind and stream, which is always 0.
const TAG: [u8; 5] = [MESSAGE_KIND, 0, 0, 0, 0];

/// The frame of an encoded message.
pub fn encode(message: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(LENGTH_BYTES + TAG.len() + message.len());
    bytes.extend(((message.len() + TAG.len()) as u32).to_be_bytes());
    bytes.extend(TAG);
    bytes.extend_from_slice(message);
    bytes
}

/// Decodes the frames of one link.
#[derive(Debug, Default)]
pub struct Decoder(ReadBuffer);

impl Decoder {
    /// Appends what was read.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.0.feed(bytes);
    }

    /// The next message, still encoded; none until all of it has been read.
    pub fn next_message(&mut self) -> Result<Option<Vec<u8>>, ProtocolError> {
        let rest = self.0.rest();
        let Some(head) = rest.first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*head) as usize;
        if !(TAG.len()..=MAX_MESSAGE_BYTES + TAG.len()).contains(&length) {
            return Err(ProtocolError::PeerFrameLength);
        }
        let Some(frame) = rest.get(LENGTH_BYTES..LENGTH_BYTES + length) else {
            return Ok(None);
        };
        let message = frame
            .strip_prefix(&TAG)
            .ok_or(ProtocolError::UnknownPeerFrame)?
            .to_vec();
        self.0.consume(LENGTH_BYTES + length);
        Ok(Some(message))
    }
}
