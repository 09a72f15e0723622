//! The dispatcher: the sole owner of the admission controller, of the in-flight requests and of the timers. Everything
//! that happens reaches it as an [`Event`]; it asks the admission controller and performs the actions in the order in
//! which they stand. It never waits on a socket.
mod actions;
mod arrivals;
mod counters;
mod engine;
mod outcomes;
mod reload;
mod requests;
mod shutdown;
mod timers;

use crate::clock::{Clock, StampClock};
use crate::cluster::ClusterDriver;
use crate::config::Config;
use crate::connection::table::ConnectionTable;
use crate::cpu_usage::CpuSampler;
use crate::dedup::DedupTable;
use crate::event::{ConnectionId, Event, Outgoing, ReportUpdate, TaskChannels};
use crate::execution::aggregation::{
    AggregationExecutor, AggregationExecutorConfig, AggregationPlan,
};
use crate::execution::engine::{EngineExecutor, EngineExecutorConfig};
use crate::execution::{ExecutionEvent, Executors, HandlerTable};
use crate::health_check::HealthChecker;
use crate::protocol::sidecar::{Response, StreamId};
use crate::protocol::{ProtocolError, RequestError};
use crate::resource_limits::ResourceLimits;
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

/// Events taken before timers and other tasks have their turn.
const MAX_EVENT_BATCH: usize = 64;

/// What a dispatcher is made of.
pub struct DispatcherParts {
    /// What is in force.
    pub config: Rc<Config>,
    /// Decides what is admitted.
    pub admission: AdmissionController,
    /// The program's clock.
    pub clock: Clock,
    /// Runs the calls.
    pub tasks: Rc<LocalExecutor<'static>>,
    /// Where calls send their end, for the dispatcher to take.
    pub events: Sender<Event>,
    /// Descriptors and memory.
    pub limits: Rc<ResourceLimits>,
    /// To the tasks beside it.
    pub channels: TaskChannels,
    /// Where quotas are leased; none without `peers(...)`.
    pub cluster: Option<Rc<ClusterDriver>>,
}

/// Takes events and performs what the admission controller decides.
pub struct RequestDispatcher {
    config: Rc<Config>,
    clock: Clock,
    /// By which requests were stamped.
    stamp_clock: StampClock,
    started_at: Time,
    admission: AdmissionController,
    requests: RequestTable,
    connections: ConnectionTable,
    executors: Executors,
    cluster: Option<Rc<ClusterDriver>>,
    limits: Rc<ResourceLimits>,
    dedup: DedupTable,
    health: HealthChecker,
    cpu: CpuSampler,
    counters: LogCounters,
    /// How long the last request of a proven connection lay unread.
    recent_delay: Time,
    report: Sender<ReportUpdate>,
    engine_address: Sender<SocketAddr>,
    /// Dropped to stop the listening.
    stop_listening: Option<Sender<()>>,
    /// When the admission controller is to be told of the time.
    ticks: BTreeSet<Time>,
    /// Until when the load that the engine was asked for is waited for.
    load_query_until: Option<Time>,
    /// Coalesced requests whose outcome is known, told to the admission controller once its actions are performed.
    coalesced_outcomes: VecDeque<(RequestId, RunOutcome)>,
    /// What executors told while actions were performed, taken after them.
    execution_events: VecDeque<ExecutionEvent>,
    next_maintenance: Time,
    next_log: Time,
    /// Log lines that were dropped when this was last looked at.
    dropped_lines: usize,
    /// When the shutdown signal came.
    shutdown_at: Option<Time>,
}

impl RequestDispatcher {
    /// A dispatcher that has taken no event.
    pub fn new(parts: DispatcherParts) -> Self {
        let now = parts.clock.now();
        let executors = executors(&parts, now);
        let channels = parts.channels;
        RequestDispatcher {
            config: parts.config,
            clock: parts.clock,
            stamp_clock: StampClock::start(),
            started_at: now,
            admission: parts.admission,
            requests: RequestTable::default(),
            connections: ConnectionTable::default(),
            executors,
            cluster: parts.cluster,
            limits: parts.limits,
            dedup: DedupTable::default(),
            health: HealthChecker::default(),
            cpu: CpuSampler::start(),
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
            shutdown_at: None,
        }
    }

    /// Takes events until the server has ended.
    pub async fn run(mut self, events: Receiver<Event>) {
        // An engine's hello is what starts the admission controller; without one, nothing is waited for.
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
            Event::Opened(connection, outgoing) => self.handle_opened(now, connection, outgoing),
            Event::Request(connection, request) => self.handle_request(now, connection, request),
            Event::ExcessRequest(connection, stream) => self.reject_excess(now, connection, stream),
            Event::InvalidRequest(connection, stream, error) => {
                self.fail_invalid(now, connection, stream, error)
            }
            Event::HealthCheck {
                connection,
                stream,
                deep,
            } => self.handle_health_check(now, connection, stream, deep),
            Event::Cancelled(connection, stream) => self.handle_cancel(now, connection, stream),
            Event::HalfClosed(connection) => self.connections.end(connection),
            Event::ProtocolError(connection, error) => {
                self.handle_protocol_error(now, connection, error)
            }
            Event::Closed(connection) => self.handle_connection_closed(now, connection),
            Event::EngineUp {
                start,
                age_ms,
                commands,
            } => self.handle_engine_up(now, start, age_ms, commands),
            Event::Reload(read) => self.handle_reload(now, read),
            Event::Shutdown => self.handle_shutdown(now),
            event => self.forward_to_executor(now, event),
        }
    }

    /// What an executor is told, and what it makes of it.
    fn forward_to_executor(&mut self, now: Time, event: Event) {
        let engine = self.executors.engine.as_mut();
        let aggregation = self.executors.aggregation.as_mut();
        let events = match event {
            Event::EngineDown(unsent) => {
                if let Some(engine) = engine {
                    engine.link_down(now, unsent);
                }
                return;
            }
            Event::RecordsCallEnded(id, number, result) => {
                let event =
                    engine.and_then(|engine| engine.handle_call_ended(now, id, number, result));
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

    fn handle_opened(&mut self, now: Time, connection: ConnectionId, outgoing: Sender<Outgoing>) {
        self.connections.opened(now, connection, outgoing);
        self.evict_connections(now);
        if self.stop_listening.is_none() {
            self.connections.send_go_away_to_all(now);
        }
    }

    fn reject_excess(&mut self, now: Time, connection: ConnectionId, stream: StreamId) {
        self.connections.record_request(now, connection);
        let response = Response::Rejected {
            stream,
            retry_after_ms: 0.0,
            do_not_retry: false,
        };
        self.connections.send(now, connection, &response);
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
        self.connections.fail(now, connection, error);
    }
}

/// The executors that the configuration asks for.
fn executors(parts: &DispatcherParts, now: Time) -> Executors {
    let config = &parts.config;
    let engine = config.engine.map(|_| {
        let engine_config = EngineExecutorConfig {
            records: config.records,
            cpu_gauge: config.names.cpu_utilization_column,
        };
        EngineExecutor::new(
            now,
            engine_config,
            parts.tasks.clone(),
            parts.events.clone(),
        )
    });
    let handlers = &config.names.handlers;
    let aggregation = config.operator.as_ref().map(|operator| {
        let (plan, by_handler) = operator.plan(&config.handler_specs());
        let weights = handlers.iter().map(|name| operator.value(name)).collect();
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
        classes: handlers.iter().map(|name| name.as_str().into()).collect(),
        idempotency: config.idempotency.clone(),
    };
    Executors::new(engine, aggregation, handlers)
}
