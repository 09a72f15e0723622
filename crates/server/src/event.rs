//! The inputs of the dispatcher and its messages to background tasks, with their ids. They are plain values, so that
//! modules can exchange them without depending on each other.
use crate::config::{Config, ConfigError};
use crate::connection_account::{ConnectionAccount, RequestReservation};
use crate::memory_budget::MemoryCharge;
use crate::protocol::engine::{EngineCommand, EngineMessage, EngineStart};
use crate::protocol::sidecar::{Request, StreamId};
use crate::protocol::{ProtocolError, RequestError};
use async_channel::Sender;
use cottondyke_admission::CallOutcome;
use cottondyke_dependency::{CallId, CallResult};
use cottondyke_types::RequestId;
use std::net::SocketAddr;
use std::rc::Rc;

/// Capacity of the dispatcher's event queue; while it is full, senders wait.
pub const MAX_PENDING_EVENTS: usize = 1_024;

/// Identifies a sidecar's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionId(pub u64);

/// Identifies a call of a run, so that the end of a cancelled call is not taken for the end of the next one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallNumber(pub u64);

/// An input of the dispatcher.
pub enum Event {
    /// A connection was opened.
    Opened(ConnectionId, ConnectionHandle),
    /// A request was read, with what is reserved for it.
    Request(ConnectionId, Request, RequestReservation),
    /// A request beyond the quota of clients that the engine does not know.
    OverQuota(ConnectionId, StreamId),
    /// A request for which there is no memory.
    OverMemory(ConnectionId, StreamId),
    /// A request beyond the number that may be in flight on a connection.
    ExcessRequest(ConnectionId, StreamId),
    /// A request that can be answered but not run.
    InvalidRequest(ConnectionId, StreamId, RequestError),
    /// A health check was read.
    HealthCheck {
        /// The connection on which it arrived.
        connection: ConnectionId,
        /// The stream on which it is answered.
        stream: StreamId,
        /// Whether it asks for a self-test of the engine.
        deep: bool,
    },
    /// The sidecar no longer waits for this request.
    Cancelled(ConnectionId, StreamId),
    /// The sidecar sends nothing more but may still read.
    HalfClosed(ConnectionId),
    /// The bytes of a connection broke the protocol; nothing more can be read from it.
    ProtocolError(ConnectionId, ProtocolError),
    /// The connection is closed, its last bytes written.
    Closed(ConnectionId),
    /// The engine sent its hello on a link.
    EngineUp {
        /// Whether it started cold or warm.
        start: EngineStart,
        /// How long ago it started, in milliseconds.
        age_ms: f64,
        /// The channel for commands to the link.
        commands: Sender<EngineCommand>,
    },
    /// The link broke; these commands were not sent completely.
    EngineDown(Vec<EngineCommand>),
    /// Another message from the engine.
    EngineMessage(EngineMessage),
    /// A call of a run to the records service has ended.
    RecordsCallEnded(RequestId, CallNumber, Result<Vec<u8>, CallError>),
    /// A call of an aggregation to a dependency has ended.
    DependencyCallEnded(CallId, CallResult),
    /// A shutdown signal was received.
    Shutdown,
    /// The configuration was read again.
    Reload(Result<Box<Config>, ConfigError>),
}

/// The dispatcher's channels to background tasks.
pub struct TaskChannels {
    /// Updates for the load report, one for each change of health or address; each is sent as soon as the change
    /// occurs.
    pub report: Sender<ReportUpdate>,
    /// New addresses of the engine, one for each reload that changes it.
    pub engine_address: Sender<SocketAddr>,
    /// Dropping it stops the listener.
    pub stop_listening: Sender<()>,
}

/// The dispatcher's side of a connection.
#[derive(Clone)]
pub struct ConnectionHandle {
    /// The channel to its writer.
    pub outgoing: Sender<Outgoing>,
    /// Its memory, and whether its client is known.
    pub account: Rc<ConnectionAccount>,
}

/// A message from the dispatcher to a connection's writer.
pub enum Outgoing {
    /// A response.
    Response {
        /// The encoded frame.
        bytes: Vec<u8>,
        /// The stream of the request whose final answer it is, if it is one.
        settles: Option<StreamId>,
        /// The memory of the frame, until it is written.
        memory: MemoryCharge,
    },
    /// Close the connection if the dispatcher has processed everything that was read on it. A request that was sent to
    /// the server but not yet processed when the dispatcher sent this message keeps the connection open.
    Close {
        /// How many events of this connection the dispatcher has processed.
        events_processed: u64,
    },
}

/// Why a call returned no result, by whether the service executed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// The service has not executed it.
    #[error("not executed: {0}")]
    NotExecuted(&'static str),
    /// The service may have executed it, and it may still be running.
    #[error("possibly executed: {0}")]
    Indeterminate(&'static str),
    /// The service has executed it at least in part, and it is no longer running.
    #[error("failed: {0}")]
    Failed(&'static str),
    /// Its connection broke after it was sent, which proves nothing: it may still be running.
    #[error("interrupted: {0}")]
    Interrupted(&'static str),
}

impl CallError {
    /// Converts the error to the outcome that the admission controller is given.
    pub fn outcome(self) -> CallOutcome {
        match self {
            CallError::NotExecuted(_) => CallOutcome::NotExecuted,
            CallError::Indeterminate(_) => CallOutcome::Indeterminate,
            CallError::Failed(_) => CallOutcome::Failed,
            CallError::Interrupted(_) => CallOutcome::Interrupted,
        }
    }
}

/// An update for the load report.
pub enum ReportUpdate {
    /// The answer to health checks changed.
    Health {
        /// Whether the server is ready.
        healthy: bool,
    },
    /// The control plane's new address.
    AddressChanged(SocketAddr),
}
