//! What reaches the dispatcher and what it sends to the tasks beside it, with the ids that go along: values alone, so
//! that every part may name them and none needs another for it.
use crate::config::{Config, ConfigError};
use crate::protocol::engine::{EngineCommand, EngineMessage, EngineStart};
use crate::protocol::sidecar::{Request, StreamId};
use crate::protocol::{ProtocolError, RequestError};
use async_channel::Sender;
use cottondyke_admission::CallOutcome;
use cottondyke_dependency::{CallId, CallResult};
use cottondyke_types::RequestId;
use std::net::SocketAddr;

/// Events that may wait for the dispatcher; past that their senders wait.
pub const MAX_PENDING_EVENTS: usize = 1_024;

/// Numbers the connections of sidecars.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionId(pub u64);

/// Numbers the calls of runs, so that the end of a cancelled one is not taken for the end of the next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallNumber(pub u64);

/// What reaches the dispatcher.
pub enum Event {
    /// A connection stands; its writer takes what is sent here.
    Opened(ConnectionId, Sender<Outgoing>),
    /// A request was read.
    Request(ConnectionId, Request),
    /// A request past what may be in flight on a connection.
    ExcessRequest(ConnectionId, StreamId),
    /// A request that can be answered, not run.
    InvalidRequest(ConnectionId, StreamId, RequestError),
    /// A health check was read.
    HealthCheck {
        /// Where it came from.
        connection: ConnectionId,
        /// To be answered on this stream.
        stream: StreamId,
        /// Whether the engine is to test itself for it.
        deep: bool,
    },
    /// The sidecar waits for this request no longer.
    Cancelled(ConnectionId, StreamId),
    /// The sidecar has sent its last, and may still read.
    HalfClosed(ConnectionId),
    /// Nothing more can be read from the connection.
    ProtocolError(ConnectionId, ProtocolError),
    /// The connection is closed, its last bytes written.
    Closed(ConnectionId),
    /// The engine said hello on a link.
    EngineUp {
        /// How it was when it started.
        start: EngineStart,
        /// How long ago it started, in milliseconds.
        age_ms: f64,
        /// The link takes commands here.
        commands: Sender<EngineCommand>,
    },
    /// The link broke; these commands were not sent to their last byte.
    EngineDown(Vec<EngineCommand>),
    /// The engine said something else.
    EngineMessage(EngineMessage),
    /// A call of a run to the records service has ended.
    RecordsCallEnded(RequestId, CallNumber, Result<Vec<u8>, CallError>),
    /// A call of an aggregation to a dependency has ended.
    DependencyCallEnded(CallId, CallResult),
    /// The process is to end.
    Shutdown,
    /// The configuration, read again.
    Reload(Result<Box<Config>, ConfigError>),
}

/// The dispatcher's channels to the tasks beside it.
pub struct TaskChannels {
    /// To the load report, which takes each update at once; one for each change of health or address.
    pub report: Sender<ReportUpdate>,
    /// New addresses of the engine; one for each reload that changes it.
    pub engine_address: Sender<SocketAddr>,
    /// Its end stops the listening.
    pub stop_listening: Sender<()>,
}

/// What the dispatcher hands a connection's writer.
pub enum Outgoing {
    /// A response.
    Response {
        /// The encoded frame.
        bytes: Vec<u8>,
        /// Whether it is the final answer to a request.
        settles_request: bool,
    },
    /// Close, if the dispatcher has taken all that was read here. What crosses this keeps the connection open.
    Close {
        /// How many events of this connection the dispatcher has taken.
        taken: u64,
    },
}

/// Why a call brought no result, told by how far it had come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// The service has not begun it.
    #[error("not begun: {0}")]
    NotBegun(&'static str),
    /// It may have begun, and may go on.
    #[error("maybe begun: {0}")]
    MaybeBegun(&'static str),
    /// It was begun, and goes on no longer.
    #[error("ended: {0}")]
    Ended(&'static str),
    /// Its connection broke once it was sent, which proves nothing: it may go on.
    #[error("interrupted: {0}")]
    Interrupted(&'static str),
}

impl CallError {
    /// As the admission controller takes it.
    pub fn outcome(self) -> CallOutcome {
        match self {
            CallError::NotBegun(_) => CallOutcome::NotExecuted,
            CallError::MaybeBegun(_) => CallOutcome::Indeterminate,
            CallError::Ended(_) => CallOutcome::Failed,
            CallError::Interrupted(_) => CallOutcome::Interrupted,
        }
    }
}

/// What the load report is told.
pub enum ReportUpdate {
    /// What health checks are answered.
    Health {
        /// Whether the server is ready.
        healthy: bool,
    },
    /// The control plane's new address.
    Moved(SocketAddr),
}
