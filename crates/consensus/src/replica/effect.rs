//! What a replica wants done, and why it does not take a proposal.
use crate::storage::StorageOperation;
use crate::ReplicaId;
use thiserror::Error;

/// What the caller is to do, in the order in which effects are returned.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a message to another replica. It may be lost.
    Send {
        /// The receiver.
        to: ReplicaId,
        /// The message, for [`Replica::handle_message`](crate::Replica::handle_message) of the receiver.
        bytes: Vec<u8>,
    },
    /// Apply to the storage, in this order; then call [`Replica::handle_stored`](crate::Replica::handle_stored) with its
    /// number.
    Store(StorageOperation),
    /// This replica became, or ceased to be, a leader that has applied all entries of earlier terms.
    LeadershipChanged {
        /// Whether it is one now.
        is_leader: bool,
    },
    /// The read with this number is linearizable: this replica led after it was requested, and everything that was
    /// committed by then is applied.
    ReadIndexConfirmed(u64),
    /// Committed entries were applied.
    Applied,
}

/// Why a proposal was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ProposalRejected {
    /// This replica is not the leader, or does not know all committed entries yet.
    #[error("this replica does not lead")]
    NotLeading,
    /// The command is longer than a proposal may be.
    #[error("the command is too large")]
    TooLarge,
    /// Too many bytes are proposed and not committed yet.
    #[error("too many bytes are not committed yet")]
    Full,
}
