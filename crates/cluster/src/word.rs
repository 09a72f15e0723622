//! What instances say to each other: a version, then the word by `postcard`. Every word may be lost, late, twice or
//! out of order; each is sent again by whoever needs its answer.
use crate::instance::View;
use cottondyke_consensus::{KeeperId, Seek};
use cottondyke_quota::{Ask, Reply};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

pub const VERSION: u8 = 1;
/// Bytes of one word, at the most.
pub const MOST_WORD: usize = 1 << 20;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Word {
    Ask(Ask),
    Reply(Reply),
    /// This keeper does not lead; who does, as far as it knows.
    Elsewhere(Option<String>),
    /// Between keepers, and whose it is.
    Raft(KeeperId, Vec<u8>),
    Seek(Seek),
    /// The keepers that a registry was founded with.
    Found(BTreeMap<KeeperId, String>),
    /// An operator asks what this instance knows.
    Look,
    View(Box<View>),
}

impl Word {
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![VERSION];
        bytes.extend(postcard::to_allocvec(self).unwrap_or_default());
        bytes
    }

    /// None where it is of another version, too long, or no word at all.
    pub fn decode(bytes: &[u8]) -> Option<Word> {
        let (version, body) = bytes.split_first()?;
        if *version != VERSION || bytes.len() > MOST_WORD {
            return None;
        }
        let (word, rest) = postcard::take_from_bytes(body).ok()?;
        rest.is_empty().then_some(word)
    }
}
