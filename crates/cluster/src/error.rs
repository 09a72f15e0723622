//! Why a node cannot be created.

/// The error of [`ClusterNode::new`](crate::ClusterNode::new).
#[derive(Debug, thiserror::Error)]
pub enum NodeError {
    /// The replica cannot start from what its storage holds.
    #[error(transparent)]
    InvalidReplicaState(#[from] cottondyke_consensus::OpenError),
}
