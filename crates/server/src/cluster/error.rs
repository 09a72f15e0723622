//! Why an instance cannot join its peers, or be asked.
use cottondyke_cluster::NodeError;
use cottondyke_consensus::sqlite::StorageError;
use std::io;
use std::net::SocketAddr;
use std::num::ParseIntError;
use std::path::PathBuf;

/// Why an instance cannot start among its peers.
#[derive(Debug, thiserror::Error)]
pub enum ClusterError {
    /// The port cannot be taken.
    #[error("listen = {:?}: cannot listen there: {source}", .addr.to_string())]
    Listen {
        /// The address of the operator's file.
        addr: SocketAddr,
        /// What the system says.
        source: io::Error,
    },
    /// The data directory cannot be read or written.
    #[error("data = {:?}: {source}", .path.display().to_string())]
    DataDirectory {
        /// The directory.
        path: PathBuf,
        /// What the system says.
        source: io::Error,
    },
    /// Another process runs from the data directory.
    #[error(
        "data = {:?}: another process has it: expected a folder of its own for each instance",
        .path.display().to_string()
    )]
    DataDirectoryInUse {
        /// The directory.
        path: PathBuf,
    },
    /// The file that numbers the incarnations holds something else.
    #[error("data: {} holds no number: expected what this program wrote there", .path.display())]
    CorruptIncarnation {
        /// The file.
        path: PathBuf,
        /// What is wrong with its number.
        source: ParseIntError,
    },
    /// The replica's file cannot be opened.
    #[error("{0}")]
    Storage(#[source] StorageError),
    /// The thread that writes cannot be started.
    #[error("{0}")]
    StorageThread(#[source] io::Error),
    /// What is stored or configured makes no cluster node.
    #[error("{0}")]
    Node(#[source] NodeError),
    /// Where in the operator's file the cause stands.
    #[error("{file}:{line}: peers: {source}")]
    At {
        /// The operator's file.
        file: String,
        /// The line of `peers(...)`.
        line: usize,
        /// The cause.
        source: Box<ClusterError>,
    },
}

/// Why an instance could not be asked for its status.
#[derive(Debug, thiserror::Error)]
pub enum StatusError {
    /// The connection failed.
    #[error("{addr}: {source}")]
    Io {
        /// Who was asked.
        addr: SocketAddr,
        /// What the system says.
        source: io::Error,
    },
    /// The connection was closed.
    #[error("{addr}: closed without an answer: expected the peers port of an instance")]
    Closed {
        /// Who was asked.
        addr: SocketAddr,
    },
    /// Something else than a peer answered.
    #[error("{addr}: {source}")]
    Protocol {
        /// Who was asked.
        addr: SocketAddr,
        /// What cannot be read.
        source: crate::protocol::ProtocolError,
    },
    /// No answer came in time.
    #[error("{addr}: no answer in {seconds} s")]
    Timeout {
        /// Who was asked.
        addr: SocketAddr,
        /// How long was waited.
        seconds: u64,
    },
}
