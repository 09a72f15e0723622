//! What reaches the desk, and the ids that go with it: values alone, so that every part may name them and none
//! needs another for it.
use crate::config::Config;
use crate::protocol::engine::{EngineCommand, EngineMessage};
use crate::protocol::sidecar::{Request, StreamId};
use async_channel::Sender;
use cottondyke_admission::CallOutcome;
use cottondyke_dependency::{CallId, CallResult};
use cottondyke_types::RequestId;
use std::net::SocketAddr;

/// Inputs that may wait for the desk; past that their senders wait.
pub const MAX_PENDING_EVENTS: usize = 1_024;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionId(pub u64);

/// Numbers the calls, so that the end of one given up is not taken for the end of the next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallNumber(pub u64);

/// What reaches the desk.
pub enum Event {
    Opened(ConnectionId, Sender<Outgoing>),
    Request(ConnectionId, Request),
    /// A req past what may be open on a connection.
    ExcessRequest(ConnectionId, StreamId),
    InvalidRequest(ConnectionId, StreamId, &'static str),
    HealthCheck {
        conn: ConnectionId,
        stream: StreamId,
        deep: bool,
    },
    /// The sidecar waits for this req no longer.
    Cancelled(ConnectionId, StreamId),
    /// The sidecar has sent its last.
    HalfClosed(ConnectionId),
    ProtocolError(ConnectionId, &'static str),
    Closed(ConnectionId),
    EngineUp {
        age_ms: f64,
        outlet: Sender<EngineCommand>,
    },
    EngineDown(Vec<EngineCommand>),
    EngineMessage(EngineMessage),
    RecordsCallEnded(RequestId, CallNumber, Result<Vec<u8>, CallError>),
    /// A call for a part of a page.
    DependencyCallEnded(CallId, CallResult),
    Shutdown,
    /// The configuration, read anew.
    Reload(Result<Box<Config>, String>),
}

/// The desk's lines to the tasks beside it.
pub struct TaskChannels {
    pub news: Sender<ReportUpdate>,
    /// New addresses of the engine.
    pub engine: Sender<SocketAddr>,
    /// Its end stops the listening.
    pub close: Sender<()>,
}

/// What the desk hands a connection's writer.
pub enum Outgoing {
    /// An encoded reply, and whether it settles a req.
    Response { bytes: Vec<u8>, settles: bool },
    /// Close, if the desk has taken all that was read here: `taken` inputs. What crosses this keeps it open.
    Close { taken: u64 },
}

/// Why a call brought no result, told by how far it had come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallError {
    NotBegun(&'static str),
    /// It may go on.
    MaybeBegun(&'static str),
    /// It was begun, and goes on no longer.
    Ended(&'static str),
}

impl CallError {
    pub fn end(self) -> CallOutcome {
        match self {
            CallError::NotBegun(_) => CallOutcome::NotExecuted,
            CallError::MaybeBegun(_) => CallOutcome::Indeterminate,
            CallError::Ended(_) => CallOutcome::Failed,
        }
    }
}

/// What the desk tells.
pub enum ReportUpdate {
    /// What health checks hear.
    Health(bool),
    /// The control plane's new address.
    Moved(SocketAddr),
}
