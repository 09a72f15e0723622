//! The messages that nodes exchange: a version byte, then the [`Message`] encoded by `postcard`.
//!
//! Any message may be lost, delayed, repeated or reordered; whoever needs a response sends its request again.

use crate::status::NodeStatus;
use cottondyke_consensus::{BootstrapProbe, ReplicaId};
use cottondyke_quota::{LeaseRequest, LeaseResponse};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The first byte of each message; a message of another version is ignored.
const PROTOCOL_VERSION: u8 = 1;

/// The maximum length of an encoded message, with its version byte.
pub const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// A message from one node to another. The order of the variants is part of the encoding.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// A holder asks the leader for leases.
    LeaseRequest(LeaseRequest),
    /// The leader grants leases, or reports a changed quota.
    LeaseResponse(LeaseResponse),
    /// The receiver of a lease request is not the leader; the name of the leader, if it knows it.
    NotLeader(Option<String>),
    /// A raft message between replicas, with the id of the sender.
    Raft(ReplicaId, Vec<u8>),
    /// A replica without a state looks for others, to bootstrap with or to join.
    BootstrapProbe(BootstrapProbe),
    /// The replicas that share the initial state.
    Bootstrapped(BTreeMap<ReplicaId, String>),
    /// An operator asks for the receiver's [`NodeStatus`].
    StatusRequest,
    /// The response to [`Message::StatusRequest`].
    Status(Box<NodeStatus>),
}

impl Message {
    /// The bytes to send.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![PROTOCOL_VERSION];
        bytes.extend(postcard::to_allocvec(self).unwrap_or_default());
        bytes
    }

    /// Reads what [`encode`](Self::encode) wrote. `None` if it is of another version, longer than
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
