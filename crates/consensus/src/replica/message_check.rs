//! What of a received message is checked before the crate `raft` steps it.
use super::Replica;
use crate::state_machine::StateMachine;
use raft::eraftpb::{Message, MessageType};

impl<S: StateMachine> Replica<S> {
    /// Whether a message may be given to raft: it is for this replica, not local, and keeps what raft takes for granted.
    pub(super) fn accepts_message(&self, message: &Message) -> bool {
        !is_local(message.get_msg_type())
            && message.to == self.id.0
            && message.from != self.id.0
            && message.from != 0
            && has_consecutive_entries(message)
            && self.knows_committed_entries(message)
    }

    /// Raft panics where a heartbeat commits entries that this replica's log lacks.
    fn knows_committed_entries(&self, message: &Message) -> bool {
        let is_heartbeat = message.get_msg_type() == MessageType::MsgHeartbeat;
        !is_heartbeat || message.commit <= self.raw_node.raft.raft_log.last_index()
    }
}

/// Whether messages of this type are made by a replica for itself. Proposals and reads are among them: a leader takes
/// only its own, since one that another replica forwards would be older than the leadership.
fn is_local(message_type: MessageType) -> bool {
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
