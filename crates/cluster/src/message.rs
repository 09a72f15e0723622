//! The messages that nodes exchange: a version byte, then the [`Message`] encoded by `postcard`.
//!
//! Any message may be lost, delayed, repeated or reordered; a node that needs a response repeats its request.

use crate::status::NodeStatus;
use cottondyke_consensus::{BootstrapProbe, ReplicaId};
use cottondyke_quota::{LeaseRequest, LeaseResponse};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The first byte of each message; a message of another version is ignored.
const PROTOCOL_VERSION: u8 = 1;

/// The maximum length of an encoded message, including its version byte.
pub const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// A message from one node to another. The order of the variants is part of the encoding.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// A holder asks the leader for leases.
    LeaseRequest(LeaseRequest),
    /// The leader grants leases, or notifies a holder that its quota changed.
    LeaseResponse(LeaseResponse),
    /// The receiver of a lease request is not the leader; carries the name of the leader if the receiver knows it.
    NotLeader(Option<String>),
    /// A raft message between replicas: the id of the sender, and the encoded message.
    Raft(ReplicaId, Vec<u8>),
    /// A replica without a state looks for other replicas, to bootstrap with them or to join them.
    BootstrapProbe(BootstrapProbe),
    /// The ids and names of the replicas that share the initial state.
    Bootstrapped(BTreeMap<ReplicaId, String>),
    /// An operator asks for the receiver's [`NodeStatus`].
    StatusRequest,
    /// The response to [`Message::StatusRequest`].
    Status(Box<NodeStatus>),
}

impl Message {
    /// Encodes the message, with its version byte.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![PROTOCOL_VERSION];
        bytes.extend(postcard::to_allocvec(self).unwrap_or_default());
        bytes
    }

    /// Decodes the output of [`encode`](Self::encode). `None` if it is of another version, longer than
    /// [`MAX_MESSAGE_BYTES`], malformed, or followed by further bytes.
    pub fn decode(bytes: &[u8]) -> Option<Message> {
        let (version, body) = bytes.split_first()?;
        if *version != PROTOCOL_VERSION || bytes.len() > MAX_MESSAGE_BYTES {
            return None;
        }
        let (message, trailing) = postcard::take_from_bytes(body).ok()?;
        trailing.is_empty().then_some(message)
    }
}
