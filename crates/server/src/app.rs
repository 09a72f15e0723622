//! Assembles the server and runs it on one thread.
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
use crate::memory_plan::{self, MemoryPlan};
use crate::process_memory;
use crate::protocol::sidecar::DecoderSettings;
use crate::resource_limits::ResourceLimits;
use crate::signal::CaughtSignals;
use crate::tasks::propagate_panic;
use crate::{listener, load_report, signal};
use async_channel::Sender;
use async_executor::{LocalExecutor, Task};
use async_io::Async;
use futures_lite::FutureExt;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::panic::AssertUnwindSafe;
use std::rc::Rc;

const BYTES_PER_KB: usize = 1 << 10;

/// Why the server could not start or had to stop.
#[derive(Debug, thiserror::Error)]
pub enum AppError {
    /// Listening on the address failed.
    #[error("cannot listen on {addr}: {source}")]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// The operating system's error.
        source: io::Error,
    },
    /// The settings do not describe a valid admission controller.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The instance cannot start as a member of its cluster.
    #[error(transparent)]
    Cluster(#[from] ClusterError),
    /// A task panicked.
    #[error("a task of the server panicked")]
    Panicked,
}

/// Serves until the shutdown is complete. `files` are read again on SIGHUP; `signals` have been caught since before the
/// files were first read.
pub fn serve(signals: CaughtSignals, files: ConfigFiles, config: Config) -> Result<(), AppError> {
    let plan = memory_plan(&config)?;
    let listener = bind(config.listen, plan)?;
    let clock = Clock::start();
    let admission = config.admission_controller(clock.now())?;
    let limits = ResourceLimits::new(plan);
    let config = Rc::new(config);
    let (events, pending_events) = async_channel::bounded(MAX_PENDING_EVENTS);
    let (stop_listening, stopped) = async_channel::bounded(1);
    let (report, report_updates) = async_channel::unbounded();
    let (engine_address, address_changes) = async_channel::unbounded();
    let tasks = Rc::new(LocalExecutor::new());
    log_start(&config, plan, &listener);

    let context = Rc::new(connection_context(&config, &limits, events.clone()));
    let listener_task = tasks.spawn(listener::listen(tasks.clone(), listener, context, stopped));
    let run_link = |addr| engine_link::run(addr, address_changes, events.clone());
    let engine_task = config.engine.map(|addr| tasks.spawn(run_link(addr)));
    let name = config.name.clone();
    let control = config.control;
    let report_task = control.map(|addr| tasks.spawn(load_report::run(addr, name, report_updates)));
    let signal_task = tasks.spawn(signal::watch(signals, files, events.clone()));
    let started = start_cluster(&config, clock, &tasks)?;
    let cluster = started.as_ref().map(|started| started.driver.clone());
    let cluster_task = started.map(|started| tasks.spawn(started.run()));
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
    let background = BackgroundTasks {
        listener_task,
        engine_task,
        report_task,
        cluster_task,
        signal_task,
    };
    let serving = dispatcher.run(pending_events).or(background.run());
    let result = async_io::block_on(tasks.run(AssertUnwindSafe(serving).catch_unwind()));
    if let Some(cluster) = cluster {
        cluster.shut_down();
    }
    result.map_err(|_| AppError::Panicked)
}

/// Divides the memory limit, before callers take any memory.
fn memory_plan(config: &Config) -> Result<MemoryPlan, ConfigError> {
    let resident = process_memory::resident_bytes();
    config.memory_plan(memory_plan::program_bytes(resident))
}

fn log_start(config: &Config, plan: MemoryPlan, listener: &Async<TcpListener>) {
    let listen = listener.get_ref().local_addr().unwrap_or(config.listen);
    tracing::info!(
        version = env!("CARGO_PKG_VERSION"),
        commit = env!("COTTONDYKE_COMMIT"),
        memory_kb = config.memory_bytes / BYTES_PER_KB,
        max_connections = plan.max_connections,
        name = config.name,
        %listen,
        "serving"
    );
    plan.log_left_out(config.max_connections);
}

fn bind(addr: SocketAddr, plan: MemoryPlan) -> Result<Async<TcpListener>, AppError> {
    listener::bind(addr, plan).map_err(|source| AppError::Listen { addr, source })
}

/// The tasks that run alongside the dispatcher.
struct BackgroundTasks {
    listener_task: Task<()>,
    engine_task: Option<Task<()>>,
    report_task: Option<Task<()>>,
    cluster_task: Option<Task<()>>,
    signal_task: Task<()>,
}

impl BackgroundTasks {
    /// Runs until a task panics. If one task stops, the server would work only in part, so a panic of any of them ends
    /// the server with an error that says why.
    async fn run(self) {
        propagate_panic(Some(self.listener_task))
            .or(propagate_panic(self.engine_task))
            .or(propagate_panic(self.report_task))
            .or(propagate_panic(self.cluster_task))
            .or(propagate_panic(Some(self.signal_task)))
            .await
    }
}

fn connection_context(
    config: &Config,
    limits: &Rc<ResourceLimits>,
    events: Sender<Event>,
) -> ConnectionContext {
    let decoder_settings = DecoderSettings {
        handlers: config.names.handlers.clone(),
        tenants: config.names.tenants.clone(),
        max_client_timeout_ms: config.max_client_timeout_ms,
    };
    ConnectionContext {
        decoder_settings: Rc::new(decoder_settings),
        limits: limits.clone(),
        events,
        write_timeout: writer::write_timeout(config.max_client_timeout_ms),
    }
}

/// Starts the instance's cluster member if the operator's file declares peers.
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
