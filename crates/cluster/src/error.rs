//! Why a node cannot be created.

/// The error of [`ClusterNode::new`](crate::ClusterNode::new).
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NodeError {
    /// The replica cannot start from what its storage holds.
    #[error("{reason}")]
    InvalidReplicaState {
        /// What cannot be used, and what was expected instead.
        reason: String,
    },
}
