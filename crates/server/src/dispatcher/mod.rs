//! The dispatcher: the sole owner of the admission controller, of the in-flight requests and of the timers. Every input
//! reaches it as an [`Event`]; it passes inputs to the admission controller and performs the resulting actions in the
//! order in which [`Actions`](cottondyke_admission::Actions) lists them. It never waits on a socket.
//!
//! A connection is *verified* once the engine has recognized a request that was read from it: the request's run has
//! requested a call or has completed. Without an engine, the completion of an aggregation counts instead.
mod actions;
mod arrivals;
mod counters;
mod engine;
mod outcomes;
mod reload;
mod requests;
mod retention;
mod shutdown;
mod timers;

use crate::clock::{Clock, TimestampClock};
use crate::cluster::ClusterDriver;
use crate::config::Config;
use crate::connection::table::ConnectionTable;
use crate::cpu_usage::{CoreWaitSampler, CpuSampler};
use crate::dedup::DedupTable;
use crate::event::{ConnectionHandle, ConnectionId, Event, ReportUpdate, TaskChannels};
use crate::execution::aggregation::{
    AggregationExecutor, AggregationExecutorConfig, AggregationPlan,
};
use crate::execution::engine::{EngineExecutor, EngineExecutorConfig};
use crate::execution::{ExecutionEvent, Executors, HandlerTable};
use crate::health_check::HealthChecker;
use crate::memory_budget::MemoryCharge;
use crate::protocol::sidecar::{Response, StreamId};
use crate::protocol::{ProtocolError, RequestError};
use crate::recent_ids::RecentIds;
use crate::resource_limits::ResourceLimits;
use arrivals::ReceivedRequest;
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Timer;
use cottondyke_admission::AdmissionController;
use cottondyke_admission::{LoadSample, RunOutcome};
use cottondyke_types::{RequestId, Time};
use counters::LogCounters;
use futures_lite::{future, FutureExt};
use requests::RequestTable;
use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;

/// Maximum number of events that are handled directly after the first one, before timers and other tasks run.
const MAX_EVENT_BATCH: usize = 64;

/// What a dispatcher is built from.
pub struct DispatcherParts {
    /// The configuration in force.
    pub config: Rc<Config>,
    /// Decides what is admitted.
    pub admission: AdmissionController,
    /// The program's clock.
    pub clock: Clock,
    /// The executor on which calls are spawned.
    pub tasks: Rc<LocalExecutor<'static>>,
    /// The dispatcher's event queue, to which calls report their end.
    pub events: Sender<Event>,
    /// The limits on descriptors and memory.
    pub limits: Rc<ResourceLimits>,
    /// Channels to background tasks.
    pub channels: TaskChannels,
    /// Leases quotas; `None` if the operator file declares no `peers(...)`.
    pub cluster: Option<Rc<ClusterDriver>>,
}

/// Handles events and performs the actions of the admission controller.
pub struct RequestDispatcher {
    config: Rc<Config>,
    clock: Clock,
    /// Computes the age of requests from their timestamps.
    timestamp_clock: TimestampClock,
    started_at: Time,
    admission: AdmissionController,
    requests: RequestTable,
    connections: ConnectionTable,
    executors: Executors,
    cluster: Option<Rc<ClusterDriver>>,
    limits: Rc<ResourceLimits>,
    dedup: DedupTable,
    recent_ids: RecentIds,
    /// The memory of `dedup` and `recent_ids`.
    retained_memory: MemoryCharge,
    health: HealthChecker,
    cpu: CpuSampler,
    core_wait: CoreWaitSampler,
    counters: LogCounters,
    /// How long the last request on a verified connection waited to be read.
    recent_delay: Time,
    report: Sender<ReportUpdate>,
    engine_address: Sender<SocketAddr>,
    /// Dropped to stop the listener.
    stop_listening: Option<Sender<()>>,
    /// When ticks of the admission controller are due.
    ticks: BTreeSet<Time>,
    /// When the pending load query to the engine times out.
    load_query_until: Option<Time>,
    /// Outcomes of coalesced requests, reported to the admission controller once its current actions are performed.
    coalesced_outcomes: VecDeque<(RequestId, RunOutcome)>,
    /// Events that executors returned while actions were performed; handled after those actions.
    execution_events: VecDeque<ExecutionEvent>,
    next_maintenance: Time,
    next_log: Time,
    /// How many log lines had been dropped at the last check.
    dropped_lines: usize,
    /// The resident memory that was logged last, in bytes.
    logged_resident_bytes: usize,
    /// When the shutdown signal was received.
    shutdown_at: Option<Time>,
}

impl RequestDispatcher {
    /// Creates a dispatcher that has handled no event.
    pub fn new(parts: DispatcherParts) -> Self {
        let now = parts.clock.now();
        let executors = build_executors(&parts);
        let channels = parts.channels;
        RequestDispatcher {
            config: parts.config,
            clock: parts.clock,
            timestamp_clock: TimestampClock::start(),
            started_at: now,
            admission: parts.admission,
            requests: RequestTable::default(),
            connections: ConnectionTable::default(),
            executors,
            cluster: parts.cluster,
            retained_memory: parts.limits.memory().open_account().charge(0),
            limits: parts.limits,
            dedup: DedupTable::default(),
            recent_ids: RecentIds::default(),
            health: HealthChecker::default(),
            cpu: CpuSampler::start(),
            core_wait: CoreWaitSampler::default(),
            counters: LogCounters::default(),
            recent_delay: Time(0),
            report: channels.report,
            engine_address: channels.engine_address,
            stop_listening: Some(channels.stop_listening),
            ticks: BTreeSet::new(),
            load_query_until: None,
            coalesced_outcomes: VecDeque::new(),
            execution_events: VecDeque::new(),
            next_maintenance: now,
            next_log: now,
            dropped_lines: 0,
            logged_resident_bytes: 0,
            shutdown_at: None,
        }
    }

    /// Handles events until the shutdown is complete.
    pub async fn run(mut self, events: Receiver<Event>) {
        // With an engine, its hello starts the admission controller; without one, the controller starts at once.
        if self.executors.engine.is_none() {
            self.tick(self.clock.now(), LoadSample::default());
        }
        while !self.handle_timers() {
            let mut timer = Timer::at(self.clock.instant(self.next_timer()));
            let due = async {
                (&mut timer).await;
                None
            };
            let next = async { events.recv().await.ok() };
            if let Some(event) = next.or(due).await {
                self.handle(event);
                let more = std::iter::from_fn(|| events.try_recv().ok());
                for event in more.take(MAX_EVENT_BATCH) {
                    self.handle(event);
                }
                future::yield_now().await;
            }
        }
        tracing::info!(connections = self.connections.count(), "stopped");
    }

    fn handle(&mut self, event: Event) {
        let now = self.clock.now();
        match event {
            Event::Opened(connection, handle) => self.handle_opened(now, connection, handle),
            Event::Request(connection, request, reservation) => {
                let received = ReceivedRequest {
                    connection,
                    request,
                    reservation,
                };
                self.handle_request(now, received);
            }
            Event::OverQuota(connection, stream) => {
                self.counters.over_quota += 1;
                self.reject_unread(now, connection, stream);
            }
            Event::OverMemory(connection, stream) => {
                self.counters.over_memory += 1;
                self.reject_unread(now, connection, stream);
            }
            Event::ExcessRequest(connection, stream) => self.reject_unread(now, connection, stream),
            Event::InvalidRequest(connection, stream, error) => {
                self.fail_invalid(now, connection, stream, error)
            }
            Event::HealthCheck {
                connection,
                stream,
                deep,
            } => self.handle_health_check(now, connection, stream, deep),
            Event::Cancelled(connection, stream) => self.handle_cancel(now, connection, stream),
            Event::HalfClosed(connection) => self.connections.close_when_drained(connection),
            Event::ProtocolError(connection, error) => {
                self.handle_protocol_error(now, connection, error)
            }
            Event::Closed(connection) => self.handle_connection_closed(now, connection),
            Event::EngineUp {
                start,
                age_ms,
                commands,
            } => self.handle_engine_up(now, start, age_ms, commands),
            Event::Reload(result) => self.handle_reload(now, result),
            Event::Shutdown => self.handle_shutdown(now),
            event => self.forward_to_executor(now, event),
        }
        self.count_retained();
    }

    /// Passes an event to its executor and handles the events that the executor returns.
    fn forward_to_executor(&mut self, now: Time, event: Event) {
        let engine = self.executors.engine.as_mut();
        let aggregation = self.executors.aggregation.as_mut();
        let events = match event {
            Event::EngineDown(unsent) => {
                if let Some(engine) = engine {
                    engine.link_down(unsent);
                }
                return;
            }
            Event::RecordsCallEnded(id, number, result) => {
                let event = engine.and_then(|engine| engine.handle_call_ended(id, number, result));
                self.handle_execution_events(now, event);
                return;
            }
            Event::EngineMessage(message) => engine.map(|engine| engine.handle_message(message)),
            Event::DependencyCallEnded(call, result) => {
                aggregation.map(|aggregation| aggregation.handle_call_ended(now, call, result))
            }
            _ => None,
        };
        self.handle_execution_events(now, events.into_iter().flatten());
    }

    fn handle_opened(&mut self, now: Time, connection: ConnectionId, handle: ConnectionHandle) {
        self.connections.insert(now, connection, handle);
        self.evict_connections(now);
        if self.stop_listening.is_none() {
            self.connections.send_go_away_to_all(now);
        }
    }

    /// Rejects a request that is not passed to the admission controller.
    fn reject_unread(&mut self, now: Time, connection: ConnectionId, stream: StreamId) {
        self.connections.record_request(now, connection);
        self.connections.send(now, connection, &rejection(stream));
    }

    fn fail_invalid(
        &mut self,
        now: Time,
        connection: ConnectionId,
        stream: StreamId,
        error: RequestError,
    ) {
        tracing::debug!(connection = connection.0, %error, "invalid request");
        self.counters.invalid += 1;
        self.connections.record_request(now, connection);
        let response = Response::Failed(stream);
        self.connections.send(now, connection, &response);
    }

    fn handle_protocol_error(&mut self, now: Time, connection: ConnectionId, error: ProtocolError) {
        tracing::debug!(connection = connection.0, %error, "malformed frame; closing the connection");
        self.counters.malformed += 1;
        self.counters.violations.add(error);
        self.connections.close_with_error(now, connection, error);
    }
}

/// The rejection of a request that is not passed to the admission controller.
fn rejection(stream: StreamId) -> Response {
    Response::Rejected {
        stream,
        retry_after_ms: 0.0,
        do_not_retry: false,
    }
}

/// Creates the executors that the configuration requires.
fn build_executors(parts: &DispatcherParts) -> Executors {
    let config = &parts.config;
    let engine = config.engine.map(|_| {
        let engine_config = EngineExecutorConfig {
            records: config.records,
            cpu_gauge: config.names.cpu_utilization_column,
        };
        EngineExecutor::new(engine_config, parts.tasks.clone(), parts.events.clone())
    });
    let handlers = &config.names.handlers;
    let aggregation = config.operator.as_ref().map(|operator| {
        let (plan, by_handler) = operator.plan(&config.handler_specs());
        let weights = handlers
            .iter()
            .map(|name| operator.request_value(name))
            .collect();
        let aggregation_config = AggregationExecutorConfig {
            plan: AggregationPlan { plan, by_handler },
            weights,
            seed: config.seed,
        };
        AggregationExecutor::new(
            parts.clock,
            aggregation_config,
            parts.cluster.clone(),
            parts.tasks.clone(),
            parts.events.clone(),
        )
    });
    let handlers = HandlerTable {
        names: handlers.iter().map(|name| name.as_str().into()).collect(),
        idempotency: config.idempotency.clone(),
    };
    Executors::new(engine, aggregation, handlers)
}
