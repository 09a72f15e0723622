//! Frames between instances: the head that sidecars' frames have (length, kind, stream), then one word.
use super::{ProtocolError, ReadBuffer};
use cottondyke_cluster::MAX_MESSAGE_BYTES;

const WORD: u8 = 7;
const HEAD: usize = 4;
/// Kind and stream, which is always 0.
const TAG: [u8; 5] = [WORD, 0, 0, 0, 0];

pub fn encode(word: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(HEAD + TAG.len() + word.len());
    bytes.extend(((word.len() + TAG.len()) as u32).to_be_bytes());
    bytes.extend(TAG);
    bytes.extend_from_slice(word);
    bytes
}

#[derive(Debug, Default)]
pub struct Decoder(ReadBuffer);

impl Decoder {
    pub fn feed(&mut self, bytes: &[u8]) {
        self.0.feed(bytes);
    }

    /// The next word; none until all of it has come.
    pub fn word(&mut self) -> Result<Option<Vec<u8>>, ProtocolError> {
        let rest = self.0.rest();
        let Some(head) = rest.first_chunk::<HEAD>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*head) as usize;
        if !(TAG.len()..=MAX_MESSAGE_BYTES + TAG.len()).contains(&length) {
            return Err(ProtocolError("a frame of a length that no word has"));
        }
        let Some(frame) = rest.get(HEAD..HEAD + length) else {
            return Ok(None);
        };
        let word = frame
            .strip_prefix(&TAG)
            .ok_or(ProtocolError("a frame that is no word"))?
            .to_vec();
        self.0.take(HEAD + length);
        Ok(Some(word))
    }
}
