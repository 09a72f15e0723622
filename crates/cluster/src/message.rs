//! What instances say to each other: a version, then the word by `postcard`. Every word may be lost, late, twice or
//! out of order; each is sent again by whoever needs its answer.
use crate::node::NodeStatus;
use cottondyke_consensus::{BootstrapProbe, ReplicaId};
use cottondyke_quota::{LeaseRequest, LeaseResponse};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

pub const VERSION: u8 = 1;
/// Bytes of one word, at the most.
pub const MAX_MESSAGE_BYTES: usize = 1 << 20;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    LeaseRequest(LeaseRequest),
    LeaseResponse(LeaseResponse),
    /// This keeper does not lead; who does, as far as it knows.
    NotLeader(Option<String>),
    /// Between keepers, and whose it is.
    Raft(ReplicaId, Vec<u8>),
    BootstrapProbe(BootstrapProbe),
    /// The keepers that a registry was founded with.
    Bootstrapped(BTreeMap<ReplicaId, String>),
    /// An operator asks what this instance knows.
    StatusRequest,
    Status(Box<NodeStatus>),
}

impl Message {
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![VERSION];
        bytes.extend(postcard::to_allocvec(self).unwrap_or_default());
        bytes
    }

    /// None where it is of another version, too long, or no word at all.
    pub fn decode(bytes: &[u8]) -> Option<Message> {
        let (version, body) = bytes.split_first()?;
        if *version != VERSION || bytes.len() > MAX_MESSAGE_BYTES {
            return None;
        }
        let (word, rest) = postcard::take_from_bytes(body).ok()?;
        rest.is_empty().then_some(word)
    }
}
