//! Puts the parts together and runs them on one thread.
use crate::clock::Clock;
use crate::cluster::error::ClusterError;
use crate::cluster::{self, StartedCluster};
use crate::config::files::ConfigFiles;
use crate::config::{Config, ConfigError};
use crate::connection::reader::ConnectionContext;
use crate::connection::writer;
use crate::dispatcher::{DispatcherParts, RequestDispatcher};
use crate::event::{Event, TaskChannels, MAX_PENDING_EVENTS};
use crate::execution::engine_link;
use crate::protocol::sidecar::NameTable;
use crate::resource_limits::ResourceLimits;
use crate::{listener, load_report, signal};
use async_channel::Sender;
use async_executor::{LocalExecutor, Task};
use async_io::Async;
use async_signal::Signals;
use futures_lite::{future, FutureExt};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::panic::AssertUnwindSafe;
use std::rc::Rc;

/// Why the program could not serve.
#[derive(Debug, thiserror::Error)]
pub enum AppError {
    /// The address cannot be listened on.
    #[error("cannot listen on {addr}: {source}")]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// What the system says.
        source: io::Error,
    },
    /// The settings give no admission controller.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The instance cannot join its peers.
    #[error(transparent)]
    Cluster(#[from] ClusterError),
    /// A task ended by a panic.
    #[error("a part of the server panicked; it cannot go on")]
    Panicked,
}

/// Serves until the server has ended. `files` are read again on SIGHUP; `signals` have been caught since before they
/// were first read.
pub fn serve(signals: Signals, files: ConfigFiles, config: Config) -> Result<(), AppError> {
    let listener = bind(config.listen)?;
    let clock = Clock::start();
    let admission = config.admission_controller(clock.now())?;
    let limits = ResourceLimits::new(config.max_connections, config.memory_bytes);
    let config = Rc::new(config);
    let (events, pending_events) = async_channel::bounded(MAX_PENDING_EVENTS);
    let (stop_listening, stopped) = async_channel::bounded(1);
    let (report, report_updates) = async_channel::unbounded();
    let (engine_address, engine_moves) = async_channel::unbounded();
    let tasks = Rc::new(LocalExecutor::new());
    log_start(&config, &listener);

    let context = Rc::new(connection_context(&config, &limits, events.clone()));
    let listening = tasks.spawn(listener::listen(tasks.clone(), listener, context, stopped));
    let engine = config.engine;
    let engine =
        engine.map(|addr| tasks.spawn(engine_link::run(addr, engine_moves, events.clone())));
    let name = config.name.clone();
    let reporting = config.control;
    let reporting = reporting.map(|addr| tasks.spawn(load_report::run(addr, name, report_updates)));
    let watching = tasks.spawn(signal::watch(signals, files, events.clone()));
    let started = start_cluster(&config, clock, &tasks)?;
    let cluster = started.as_ref().map(|started| started.driver.clone());
    let clustering = started.map(|started| tasks.spawn(started.run()));
    let dispatcher = RequestDispatcher::new(DispatcherParts {
        config,
        admission,
        clock,
        tasks: tasks.clone(),
        events,
        limits,
        channels: TaskChannels {
            report,
            engine_address,
            stop_listening,
        },
        cluster: cluster.clone(),
    });
    let beside = SideTasks {
        listening,
        engine,
        reporting,
        clustering,
        watching,
    };
    let serving = dispatcher.run(pending_events).or(beside.run());
    let result = async_io::block_on(tasks.run(AssertUnwindSafe(serving).catch_unwind()));
    if let Some(cluster) = cluster {
        cluster.shut_down();
    }
    result.map_err(|_| AppError::Panicked)
}

fn log_start(config: &Config, listener: &Async<TcpListener>) {
    let listen = listener.get_ref().local_addr().unwrap_or(config.listen);
    tracing::info!(name = config.name, %listen, "serving");
}

fn bind(addr: SocketAddr) -> Result<Async<TcpListener>, AppError> {
    listener::bind(addr).map_err(|source| AppError::Listen { addr, source })
}

/// The tasks beside the dispatcher.
struct SideTasks {
    listening: Task<()>,
    engine: Option<Task<()>>,
    reporting: Option<Task<()>>,
    clustering: Option<Task<()>>,
    watching: Task<()>,
}

impl SideTasks {
    /// Without any of these the server would be half alive: a panic in one ends it, with a line that says why.
    async fn run(self) {
        propagate_panic(Some(self.listening))
            .or(propagate_panic(self.engine))
            .or(propagate_panic(self.reporting))
            .or(propagate_panic(self.clustering))
            .or(propagate_panic(Some(self.watching)))
            .await
    }
}

fn connection_context(
    config: &Config,
    limits: &Rc<ResourceLimits>,
    events: Sender<Event>,
) -> ConnectionContext {
    let names = NameTable {
        handlers: config.names.handlers.clone(),
        tenants: config.names.tenants.clone(),
        max_client_timeout_ms: config.max_client_timeout_ms,
    };
    ConnectionContext {
        names: Rc::new(names),
        limits: limits.clone(),
        events,
        write_timeout: writer::write_timeout(config.max_client_timeout_ms),
    }
}

/// The instance among its peers, where the operator's file names some.
fn start_cluster(
    config: &Config,
    clock: Clock,
    tasks: &Rc<LocalExecutor<'static>>,
) -> Result<Option<StartedCluster>, ClusterError> {
    let Some(operator) = &config.operator else {
        return Ok(None);
    };
    let Some(peers) = &operator.peers else {
        return Ok(None);
    };
    cluster::start(operator, peers, clock, tasks.clone(), config.seed).map(Some)
}

/// Passes a task's panic on; its end is of no interest.
async fn propagate_panic(task: Option<Task<()>>) {
    if let Some(task) = task {
        task.await;
    }
    future::pending().await
}
