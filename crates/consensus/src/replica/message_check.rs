//! The checks of a received message before it is passed to the crate `raft`.
use super::Replica;
use crate::state_machine::StateMachine;
use raft::eraftpb::{Message, MessageType};

impl<S: StateMachine> Replica<S> {
    /// Whether a message may be passed to raft: it is addressed to this replica, not of a type that is never accepted,
    /// and satisfies what raft assumes of its peers.
    pub(super) fn accepts_message(&self, message: &Message) -> bool {
        !is_never_accepted(message.get_msg_type())
            && message.to == self.id.0
            && message.from != self.id.0
            && message.from != 0
            && has_consecutive_entries(message)
            && self.has_committed_entries(message)
    }

    /// Whether the log has all entries that a heartbeat commits; raft panics if it does not.
    fn has_committed_entries(&self, message: &Message) -> bool {
        let is_heartbeat = message.get_msg_type() == MessageType::MsgHeartbeat;
        !is_heartbeat || message.commit <= self.raw_node.raft.raft_log.last_index()
    }
}

/// Whether messages of this type are never accepted from another replica. These are raft's local messages, forwarded
/// proposals and reads (a leader accepts only its own, because a forwarded one may have been made before its leadership
/// began), and leadership transfers, which are not used.
fn is_never_accepted(message_type: MessageType) -> bool {
    matches!(
        message_type,
        MessageType::MsgHup
            | MessageType::MsgBeat
            | MessageType::MsgPropose
            | MessageType::MsgReadIndex
            | MessageType::MsgReadIndexResp
            | MessageType::MsgUnreachable
            | MessageType::MsgSnapStatus
            | MessageType::MsgCheckQuorum
            | MessageType::MsgTransferLeader
            | MessageType::MsgTimeoutNow
    )
}

fn has_consecutive_entries(message: &Message) -> bool {
    message
        .entries
        .iter()
        .enumerate()
        .all(|(position, entry)| entry.index == message.index + 1 + position as u64)
}
