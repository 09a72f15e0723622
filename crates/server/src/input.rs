//! What reaches the desk, and the ids that go with it: values alone, so that every part may name them and none
//! needs another for it.
use crate::answer::Outgoing;
use crate::client::CallError;
use crate::config::Config;
use crate::report::News;
use crate::wire::engine::{Command, Notice};
use crate::wire::sidecar::{Req, Stream};
use async_channel::Sender;
use cottondyke_dependency::{CallId, CallResult};
use cottondyke_types::RequestId;
use std::net::SocketAddr;

/// Inputs that may wait for the desk; past that their senders wait.
pub const MOST_INPUTS: usize = 1_024;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnId(pub u64);

/// Numbers the calls, so that the end of one given up is not taken for the end of the next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallNo(pub u64);

/// What reaches the desk.
pub enum Input {
    Opened(ConnId, Sender<Outgoing>),
    Req(ConnId, Req),
    /// A req past what may be open on a connection.
    Surplus(ConnId, Stream),
    Unfit(ConnId, Stream, &'static str),
    Check {
        conn: ConnId,
        stream: Stream,
        deep: bool,
    },
    /// The sidecar waits for this req no longer.
    Cancelled(ConnId, Stream),
    /// The sidecar has sent its last.
    Finished(ConnId),
    Malformed(ConnId, &'static str),
    Closed(ConnId),
    EngineUp {
        age_ms: f64,
        outlet: Sender<Command>,
    },
    EngineDown(Vec<Command>),
    Notice(Notice),
    Called(RequestId, CallNo, Result<Vec<u8>, CallError>),
    /// A call for a part of a page.
    Fetched(CallId, CallResult),
    Leave,
    /// The configuration, read anew.
    Reload(Result<Box<Config>, String>),
}

/// The desk's lines to the tasks beside it.
pub struct Lines {
    pub news: Sender<News>,
    /// New addresses of the engine.
    pub engine: Sender<SocketAddr>,
    /// Its end stops the listening.
    pub close: Sender<()>,
}
