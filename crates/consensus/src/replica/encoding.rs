//! The encoding of raft's messages for the network and the disk.
use super::Effect;
use crate::ReplicaId;
use raft::eraftpb::Message;

/// Encodes a protobuf message. Encoding fails only if a required field is missing, and proto3 has no required fields.
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
