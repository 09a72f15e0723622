//! The error of creating a node.

/// The error of [`ClusterNode::new`](crate::ClusterNode::new).
#[derive(Debug, thiserror::Error)]
pub enum NodeError {
    /// The replica cannot start from the state in its storage.
    #[error(transparent)]
    InvalidReplicaState(#[from] cottondyke_consensus::OpenError),
}
