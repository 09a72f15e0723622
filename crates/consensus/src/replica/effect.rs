//! The effects that a replica returns to its caller, and the reasons for which it rejects a proposal.
use crate::storage::StorageOperation;
use crate::ReplicaId;
use thiserror::Error;

/// What the caller must do, in the order in which effects are returned.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a message to another replica. It may be lost.
    Send {
        /// The receiver.
        to: ReplicaId,
        /// The message, for [`Replica::handle_message`](crate::Replica::handle_message) of the receiver.
        bytes: Vec<u8>,
    },
    /// Apply the operation to the storage, in the order of the effects; then call
    /// [`Replica::handle_stored`](crate::Replica::handle_stored) with its number.
    Store(StorageOperation),
    /// This replica became, or ceased to be, a leader that has applied all entries of earlier terms.
    LeadershipChanged {
        /// Whether it is such a leader now.
        is_leader: bool,
    },
    /// The read with this number is linearizable: this replica was the leader after it was requested, and all entries
    /// that were committed by then are applied.
    ReadIndexConfirmed(u64),
    /// Committed entries were applied.
    Applied,
}

/// Why a proposal was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ProposalRejected {
    /// This replica is not the leader, or does not know all committed entries yet.
    #[error("this replica is not the leader")]
    NotLeader,
    /// The command exceeds the maximum size of a proposal.
    #[error("the command is too large")]
    TooLarge,
    /// Too many bytes are proposed and not committed yet.
    #[error("too many proposed bytes are not committed yet")]
    TooManyUncommittedBytes,
}
