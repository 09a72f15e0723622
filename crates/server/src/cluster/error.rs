//! Errors of starting the cluster driver, and of querying an instance for its status.
use cottondyke_cluster::NodeError;
use cottondyke_consensus::sqlite::StorageError;
use std::io;
use std::net::SocketAddr;
use std::num::ParseIntError;
use std::path::PathBuf;

/// Why the cluster driver cannot start.
#[derive(Debug, thiserror::Error)]
pub enum ClusterError {
    /// The port cannot be bound.
    #[error("listen = {:?}: cannot listen on this address: {source}", .addr.to_string())]
    Listen {
        /// The address in the operator's file.
        addr: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The data directory cannot be read or written.
    #[error("data = {:?}: cannot use this directory: {source}", .path.display().to_string())]
    DataDirectory {
        /// The directory.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// Another process uses the data directory.
    #[error(
        "data = {:?}: locked by another process: expected a separate directory for each instance",
        .path.display().to_string()
    )]
    DataDirectoryInUse {
        /// The directory.
        path: PathBuf,
    },
    /// The file of the incarnation number does not contain a number.
    #[error(
        "data: {} does not contain an incarnation number: expected the file that cottondyke wrote",
        .path.display()
    )]
    CorruptIncarnation {
        /// The file.
        path: PathBuf,
        /// Why its contents are not a number.
        source: ParseIntError,
    },
    /// The replica's file cannot be opened.
    #[error("{0}")]
    Storage(#[source] StorageError),
    /// The thread that writes the replica's file cannot be started.
    #[error("{0}")]
    StorageThread(#[source] io::Error),
    /// The cluster node cannot be created from the stored state and the configuration.
    #[error("{0}")]
    Node(#[source] NodeError),
    /// Any of the other errors, with the location of `peers(...)` in the operator's file.
    #[error("{file}:{line}: peers: {source}")]
    InOperatorFile {
        /// The operator's file.
        file: String,
        /// The line of `peers(...)`.
        line: usize,
        /// The cause.
        source: Box<ClusterError>,
    },
}

/// Why the status of an instance could not be queried.
#[derive(Debug, thiserror::Error)]
pub enum StatusError {
    /// The connection failed.
    #[error("{addr}: {source}")]
    Io {
        /// The address that was queried.
        addr: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The connection was closed without a response.
    #[error("{addr}: closed without an answer: expected the peers port of an instance")]
    Closed {
        /// The address that was queried.
        addr: SocketAddr,
    },
    /// The response does not follow the protocol of instances.
    #[error("{addr}: {source}")]
    Protocol {
        /// The address that was queried.
        addr: SocketAddr,
        /// What is malformed.
        source: crate::protocol::ProtocolError,
    },
    /// No response came in time.
    #[error("{addr}: no answer within {seconds} s")]
    Timeout {
        /// The address that was queried.
        addr: SocketAddr,
        /// The timeout.
        seconds: u64,
    },
}
