//! The encoding of raft's messages for the network and the disk.
use super::Effect;
use crate::ReplicaId;
use raft::eraftpb::Message;

/// Encodes a message of the protocol. Fails only where a required field is missing, and proto3 has none.
pub(super) fn encode(message: &impl protobuf::Message) -> Vec<u8> {
    message.write_to_bytes().unwrap_or_default()
}

/// The effect that sends a message.
pub(super) fn send_effect(message: &Message) -> Effect {
    Effect::Send {
        to: ReplicaId(message.to),
        bytes: encode(message),
    }
}
