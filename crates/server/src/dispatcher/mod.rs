//! The desk: the one owner of the decider, of the table of reqs and of the timers. Everything that happens
//! comes to it as a value; it asks the decider and carries the results out in the order in which they stand.
//! It never waits on a socket.
use crate::clock::{ms, since_unix, span_of_ms, Clock};
use crate::cluster::ClusterDriver;
use crate::config::Config;
use crate::connection::table::ConnectionTable;
use crate::cpu_usage::CpuSampler;
use crate::dedup::{DedupTable, IdempotencyKey, Outcome};
use crate::event::{ConnectionId, Event, ReportUpdate, TaskChannels};
use crate::execution::{self, ExecutionEvent, ExecutionRequest, Executors};
use crate::health_check::HealthChecker;
use crate::protocol::engine::EngineCommand;
use crate::protocol::sidecar::{Request, Response, RunOutput, StreamId};
use crate::protocol::WireId;
use crate::resource_limits::ResourceLimits;
use crate::shutdown::{self, ShutdownPhase};
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Timer;
use cottondyke_admission::{Actions, AdmissionController, Arrival, LoadSample, RunOutcome};
use cottondyke_types::{CallerId, HandlerId, Idempotency, RequestId, Time, SECOND};
use futures_lite::FutureExt;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;

/// Inputs taken before timers and other tasks have their turn.
const AT_ONCE: usize = 64;
/// Multiple of the longest client timeout after which a run that nobody waits for holds its place no more.
const FORGOTTEN: f64 = 4.0;
/// A wake goes to the decider without gauges when none come within this time.
const GAUGES_WITHIN: Time = Time(100);
/// By which each time limit is longer on sockets (protocol page): a dedup window, which that makes stricter, too.
const SLACK: Time = Time(500);
/// Part of the time from the notice to leave to the end in which pages are composed whole.
const PAGES_PART: f64 = 0.9;
const CHORES: Time = Time(500);
const CHORES_LEAVING: Time = Time(50);
const TALLY: Time = SECOND;

/// What stands behind a req's id, from its arrival until it is answered and no run of it goes on.
struct InFlightRequest {
    conn: ConnectionId,
    stream: StreamId,
    wire: WireId,
    new: Arrival,
    arrived: Time,
    key: Option<IdempotencyKey>,
    body: Rc<[u8]>,
    answered: bool,
    running: bool,
    joined: Option<RequestId>,
}

impl InFlightRequest {
    /// By when it must be answered: as its caller tells, else by the client timeout.
    fn due(&self, timeout: Time) -> Time {
        self.arrived
            + self
                .new
                .client_wait
                .map_or(timeout, |wait| wait + self.new.queueing_delay)
    }
}

/// What went wrong in the last second: one line at the most, whatever the number.
#[derive(Default)]
struct LogCounters {
    unfit: u64,
    malformed: u64,
    errored: u64,
    shed: u64,
}

impl LogCounters {
    fn log(self, calls: execution::engine::EngineCounters) {
        let LogCounters {
            unfit,
            malformed,
            errored,
            shed,
        } = self;
        let execution::engine::EngineCounters {
            not_begun,
            failed,
            refused,
        } = calls;
        if unfit + malformed + refused > 0 {
            tracing::warn!(unfit, malformed, refused, "bad input in the last second");
        }
        if not_begun + failed > 0 {
            tracing::warn!(not_begun, failed, "calls in the last second");
        }
        if errored + shed > 0 {
            tracing::info!(
                errored,
                shed,
                "answered without a run's result in the last second"
            );
        }
    }
}

pub struct RequestDispatcher {
    config: Rc<Config>,
    clock: Clock,
    started: Time,
    admission: AdmissionController,
    reqs: BTreeMap<RequestId, InFlightRequest>,
    /// The ids of all in `reqs`, as they stand on the wire.
    wires: BTreeSet<WireId>,
    next_id: u32,
    connections: ConnectionTable,
    works: Executors,
    fleet: Option<Rc<ClusterDriver>>,
    room: Rc<ResourceLimits>,
    keys: DedupTable,
    health: HealthChecker,
    /// How long the last req of a proven connection lay unread.
    lately: Time,
    news: Sender<ReportUpdate>,
    moves: Sender<SocketAddr>,
    wakes: BTreeSet<Time>,
    /// Until when gauges that were asked for are waited for.
    asked: Option<Time>,
    /// Joined reqs whose answer is known, told to the decider once its results are carried out.
    joined: VecDeque<(RequestId, RunOutcome)>,
    /// What kinds of work told while results were carried out, taken after them.
    events: VecDeque<ExecutionEvent>,
    cpu: CpuSampler,
    next_chores: Time,
    tally: LogCounters,
    next_tally: Time,
    notice: Option<Time>,
    close: Option<Sender<()>>,
}

impl RequestDispatcher {
    #[allow(clippy::too_many_arguments)]
    pub fn new(
        config: Rc<Config>,
        admission: AdmissionController,
        clock: Clock,
        executor: Rc<LocalExecutor<'static>>,
        inputs: Sender<Event>,
        room: Rc<ResourceLimits>,
        lines: TaskChannels,
        fleet: Option<Rc<ClusterDriver>>,
    ) -> Self {
        let now = clock.now();
        let classes = config
            .places
            .handlers
            .iter()
            .map(|name| name.as_str().into())
            .collect();
        let busy = config.places.cpu_utilization_column;
        let engine = config.engine.map(|_| {
            execution::engine::EngineExecutor::new(
                now,
                config.records,
                busy,
                executor.clone(),
                inputs.clone(),
            )
        });
        let pages = config.operator.as_ref().map(|operator| {
            let plan = operator.plan(&config.known());
            let values = config
                .places
                .handlers
                .iter()
                .map(|name| operator.value(name))
                .collect();
            execution::aggregation::AggregationExecutor::new(
                clock,
                plan,
                (config.seed, values),
                fleet.clone(),
                executor,
                inputs,
            )
        });
        let works = Executors::new(engine, pages, classes, config.kinds.clone());
        RequestDispatcher {
            config,
            clock,
            started: now,
            admission,
            reqs: BTreeMap::new(),
            wires: BTreeSet::new(),
            next_id: 0,
            connections: ConnectionTable::default(),
            works,
            fleet,
            room,
            keys: DedupTable::default(),
            health: HealthChecker::default(),
            lately: Time(0),
            news: lines.news,
            moves: lines.engine,
            wakes: BTreeSet::new(),
            asked: None,
            joined: VecDeque::new(),
            events: VecDeque::new(),
            cpu: CpuSampler::start(),
            next_chores: clock.now(),
            tally: LogCounters::default(),
            next_tally: clock.now(),
            notice: None,
            close: Some(lines.close),
        }
    }

    /// Takes inputs until the server has left.
    pub async fn run(mut self, inputs: Receiver<Event>) {
        // An engine's hello is what starts the decider; without one, nothing is waited for.
        if self.works.engine.is_none() {
            self.wake(self.clock.now(), LoadSample::default());
        }
        while !self.timers() {
            let mut timer = Timer::at(self.clock.instant(self.next_timer()));
            let due = async {
                (&mut timer).await;
                None
            };
            let next = async { inputs.recv().await.ok() };
            if let Some(input) = next.or(due).await {
                self.take(input);
                for input in std::iter::from_fn(|| inputs.try_recv().ok()).take(AT_ONCE) {
                    self.take(input);
                }
                futures_lite::future::yield_now().await;
            }
        }
        tracing::info!(connections = self.connections.count(), "left");
    }

    fn next_timer(&self) -> Time {
        let wake = self.wakes.first().copied();
        [self.asked, wake, self.health.next(), self.works.next()]
            .into_iter()
            .flatten()
            .fold(self.next_chores, Time::min)
    }

    /// Does what is due by the clock; true once the server has left.
    fn timers(&mut self) -> bool {
        let now = self.clock.now();
        for (conn, stream) in self.health.overdue(now) {
            self.connections.send(
                now,
                conn,
                &Response::HealthStatus {
                    stream,
                    good: false,
                },
            );
        }
        if self.asked.is_some_and(|until| until <= now) {
            self.asked = None;
            if let Some(engine) = &mut self.works.engine {
                engine.no_gauges();
            }
            self.wake(now, LoadSample::default());
        }
        let waiting = self.wakes.len();
        self.wakes.retain(|at| *at > now);
        if self.wakes.len() < waiting && self.asked.is_none() {
            let asked = self
                .works
                .engine
                .as_mut()
                .map(execution::engine::EngineExecutor::ask_gauges);
            match asked {
                Some(true) => self.asked = Some(now + GAUGES_WITHIN),
                Some(false) => self.wake(now, LoadSample::default()),
                None => {
                    let busy = self.cpu.read();
                    self.wake(
                        now,
                        LoadSample {
                            cpu_utilization: busy,
                            runnable_tasks: None,
                        },
                    );
                }
            }
        }
        for event in self.works.timer(now) {
            self.worked(now, event);
        }
        if now < self.next_chores {
            return false;
        }
        self.next_chores = now
            + if self.notice.is_some() {
                CHORES_LEAVING
            } else {
                CHORES
            };
        let stage = shutdown::stage(self.notice, self.left(), now);
        self.connections.chores(now, stage >= ShutdownPhase::Closed);
        self.make_room(now);
        if let Some(engine) = &mut self.works.engine {
            engine.chores(now);
        }
        if now >= self.next_tally {
            self.next_tally = now + TALLY;
            let calls = self.works.tally(now);
            std::mem::take(&mut self.tally).log(calls);
        }
        self.forget_runs(now);
        self.keys.expire(now);
        if stage >= ShutdownPhase::Closed && self.close.take().is_some() {
            self.connections.no_more(now);
        }
        if stage >= ShutdownPhase::Ended {
            self.connections.close_idle();
        }
        // The end of the process is a close of every connection at once: it waits until each has written its answers
        // and read what its sidecar still sent, or its time is over.
        let answered = self.reqs.values().all(|r| r.answered);
        stage == ShutdownPhase::Over
            || stage >= ShutdownPhase::Closed && self.connections.count() == 0 && answered
    }

    /// From the notice to leave until the end.
    fn left(&self) -> Time {
        span_of_ms(self.config.stop.as_secs_f64() * 1_000.0)
    }

    fn make_room(&mut self, now: Time) {
        let (taken, most) = self.room.connections();
        // Guards newcomers that wait to be accepted while every place is taken: those told to go are not left until
        // the next chores.
        if let Some(at) = self.connections.make_room(now, taken, most) {
            self.next_chores = self.next_chores.min(at);
        }
    }

    fn wake(&mut self, now: Time, gauges: LoadSample) {
        let actions = self.admission.tick(now, gauges);
        self.carry_all(now, actions);
    }

    fn take(&mut self, input: Event) {
        let now = self.clock.now();
        match input {
            Event::Opened(conn, outgoing) => {
                self.connections.opened(now, conn, outgoing);
                self.make_room(now);
                if self.close.is_none() {
                    self.connections.no_more(now);
                }
            }
            Event::Request(conn, req) => self.arrived(now, conn, req),
            Event::ExcessRequest(conn, stream) => {
                self.connections.took(now, conn);
                self.connections.send(
                    now,
                    conn,
                    &Response::Shed {
                        stream,
                        after_ms: 0.0,
                        last: false,
                    },
                );
            }
            Event::InvalidRequest(conn, stream, why) => {
                tracing::debug!(conn = conn.0, why, "a req that cannot be run");
                self.tally.unfit += 1;
                self.connections.took(now, conn);
                self.connections.send(now, conn, &Response::Errored(stream));
            }
            Event::HealthCheck { conn, stream, deep } => self.checked(now, conn, stream, deep),
            Event::Cancelled(conn, stream) => self.cancelled(now, conn, stream),
            Event::HalfClosed(conn) => self.connections.end(conn),
            Event::ProtocolError(conn, why) => {
                tracing::debug!(
                    conn = conn.0,
                    why,
                    "a malformed frame; the connection is closed"
                );
                self.tally.malformed += 1;
                self.connections.fault(now, conn, why);
            }
            Event::Closed(conn) => {
                self.connections.closed(conn);
                self.gone(now, conn);
            }
            Event::EngineUp { age_ms, outlet } => self.engine_up(now, age_ms, outlet),
            Event::EngineDown(unsent) => {
                if let Some(engine) = &mut self.works.engine {
                    engine.down(now, unsent);
                }
            }
            Event::EngineMessage(notice) => {
                let told = self
                    .works
                    .engine
                    .as_mut()
                    .map(|engine| engine.noticed(notice));
                told.into_iter()
                    .flatten()
                    .for_each(|event| self.worked(now, event));
            }
            Event::RecordsCallEnded(id, no, result) => {
                let told = self
                    .works
                    .engine
                    .as_mut()
                    .and_then(|engine| engine.called(now, id, no, result));
                told.into_iter().for_each(|event| self.worked(now, event));
            }
            Event::DependencyCallEnded(call, outcome) => {
                let told = self
                    .works
                    .pages
                    .as_mut()
                    .map(|pages| pages.fetched(now, call, outcome));
                told.into_iter()
                    .flatten()
                    .for_each(|event| self.worked(now, event));
            }
            Event::Reload(Ok(new)) => self.reload(now, *new),
            Event::Reload(Err(wrong)) => {
                tracing::error!(
                    wrong,
                    "the configuration read anew is no good; the old one stays in force"
                );
            }
            Event::Shutdown if self.notice.is_some() => tracing::info!("told to leave again"),
            Event::Shutdown => {
                tracing::info!(open = self.reqs.len(), "told to leave");
                self.notice = Some(now);
                let actions = self.admission.drain(now, self.left());
                self.carry_all(now, actions);
                self.works
                    .leaving(now, now + self.left().scaled(PAGES_PART));
                self.connections.no_more(now);
                self.next_chores = now;
            }
        }
    }

    /// Addresses and limits follow the new configuration; nothing that was learned or is open is lost.
    fn reload(&mut self, now: Time, new: Config) {
        let (mut config, in_vain) = match self.config.renewed(new) {
            Ok(renewed) => renewed,
            Err(wrong) => {
                tracing::error!(
                    wrong,
                    "what was read anew cannot be obeyed; the old files stay in force"
                );
                return;
            }
        };
        if !in_vain.is_empty() {
            tracing::warn!(
                ?in_vain,
                "cannot change while the server runs; what was in force stays"
            );
        }
        if self.notice.is_some() {
            config.stop = self.config.stop;
        }
        if config.engine != self.config.engine {
            config.engine.map(|engine| self.moves.try_send(engine));
        }
        if config.control != self.config.control {
            config
                .control
                .map(|control| self.news.try_send(ReportUpdate::Moved(control)));
        }
        if let Some(engine) = &mut self.works.engine {
            engine.moved(config.records);
        }
        self.room.set(config.connections, config.memory);
        let shown = |addr: Option<SocketAddr>| addr.map_or("none".to_string(), |a| a.to_string());
        tracing::info!(
            engine = shown(config.engine),
            records = shown(config.records),
            control = shown(config.control),
            pages = config.operator.as_ref().map_or(0, |o| o.aggregations.len()),
            "the configuration was read anew"
        );
        self.config = Rc::new(config);
        if let (Some(fleet), Some(operator)) = (&self.fleet, &self.config.operator) {
            if operator
                .peers
                .as_ref()
                .is_some_and(|peers| fleet.differs(peers))
            {
                tracing::warn!(
                    "of peers only keepers can change while the server runs; what was in force stays"
                );
            }
            fleet.renew(now, operator);
        }
        if let (Some(pages), Some(operator)) = (&mut self.works.pages, &self.config.operator) {
            let (plan, by_handler) = operator.plan(&self.config.known());
            for event in pages.install(now, plan, by_handler) {
                self.worked(now, event);
            }
        }
    }

    /// The first hello tells when the engine started. The decider reckons from there, but not from before this
    /// program could observe anything. Nothing has run by then: what is open arrives anew.
    fn engine_up(&mut self, now: Time, age_ms: f64, outlet: Sender<EngineCommand>) {
        let Some(engine) = &mut self.works.engine else {
            return;
        };
        let first = !engine.greeted();
        engine.up(now, outlet);
        tracing::info!(first, age_ms, "the engine is there");
        if !first {
            return;
        }
        match self
            .config
            .admission((now - span_of_ms(age_ms)).max(self.started))
        {
            Ok(admission) => self.admission = admission,
            Err(wrong) => tracing::error!(wrong, "the settings no longer give a decider"),
        }
        self.works.forget_all(now);
        // What is open comes anew, and enters the table anew: the first try of each key that is left is the first.
        self.keys = DedupTable::default();
        self.reqs.retain(|_, r| !r.answered);
        self.wires = self.reqs.values().map(|r| r.wire).collect();
        self.wakes.clear();
        self.wake(now, LoadSample::default());
        if let Some(notice) = self.notice {
            let actions = self.admission.drain(now, notice + self.left() - now);
            self.carry_all(now, actions);
        }
        let open: Vec<_> = self
            .reqs
            .iter()
            .filter(|(_, r)| !r.answered)
            .map(|(id, _)| *id)
            .collect();
        open.into_iter().for_each(|id| self.again(now, id));
    }

    fn checked(&mut self, now: Time, conn: ConnectionId, stream: StreamId, deep: bool) {
        self.connections.took(now, conn);
        match self.health.answer(deep, self.works.is_up()) {
            Some(good) => {
                self.connections
                    .send(now, conn, &Response::HealthStatus { stream, good })
            }
            None => match self
                .works
                .engine
                .as_mut()
                .and_then(execution::engine::EngineExecutor::test)
            {
                Some(tag) => self.health.testing(now, tag, conn, stream),
                None => self.connections.send(
                    now,
                    conn,
                    &Response::HealthStatus {
                        stream,
                        good: false,
                    },
                ),
            },
        }
    }

    fn fresh_id(&mut self) -> RequestId {
        loop {
            let id = RequestId(self.next_id);
            self.next_id = self.next_id.wrapping_add(1);
            if !self.reqs.contains_key(&id) && !self.keys.holds(id) {
                return id;
            }
        }
    }

    fn arrived(&mut self, now: Time, conn: ConnectionId, req: Request) {
        // Guards effects: what was read on a connection that carries no answer any more would run for nobody, and
        // its sidecar, which saw the connection fail, may send it again elsewhere.
        if !self.connections.took(now, conn) {
            tracing::debug!(conn = conn.0, id = ?req.id, "a req on a connection that was given up");
            self.tally.unfit += 1;
            return;
        }
        if self.wires.contains(&req.id) {
            tracing::debug!(conn = conn.0, id = ?req.id, "an id that is open already");
            self.tally.unfit += 1;
            let (conn, stream) = self.copy_of(conn, &req);
            self.connections.send(now, conn, &Response::Errored(stream));
            return;
        }
        let id = self.fresh_id();
        let kind = self.config.kinds[req.handler.0];
        let reads = kind == Idempotency::Idempotent && self.config.fresh > Time(0);
        // A uniqued req is another try of one of its own customer; a read is shared by class and key alone.
        let customer = req.customer.filter(|_| kind == Idempotency::Keyed);
        let key: Option<IdempotencyKey> = req.mark.map(|mark| (req.handler, customer, mark));
        let key = key.filter(|_| reads || kind == Idempotency::Keyed);
        // A stamp teaches how long reqs lie unread where the engine has known a req of that connection; else no
        // more than what was learned so does.
        let lay = since_unix(req.at);
        let proven = self.connections.proven(conn);
        let repeats = key
            .as_ref()
            .and_then(|key| self.keys.repeats(now, now - lay, key));
        // Guards results against clients that copy a mark: a repeat takes its answer from the table, where no engine
        // says whether it knows the req. So it takes it only on the connection of the open first try, or on one of
        // which the engine has known a req. A read on any other runs by itself; a uniqued req, which may not run
        // again, is errored.
        let same = |of: &RequestId| self.reqs.get(of).is_some_and(|first| first.conn == conn);
        let copied = repeats.is_some_and(|of| !proven && !same(&of));
        if copied && kind == Idempotency::Keyed {
            tracing::debug!(conn = conn.0, id = ?req.id, "a repeat from where the engine has known no req");
            self.tally.unfit += 1;
            self.connections
                .send(now, conn, &Response::Errored(req.stream));
            return;
        }
        let (repeats, key) = if copied { (None, None) } else { (repeats, key) };
        if repeats.is_none() {
            self.keep(now, id, key.as_ref());
        }
        self.lately = if proven { lay } else { self.lately };
        let unread = lay.min(self.lately);
        let new = Arrival {
            id,
            handler: req.handler,
            tenant: req.customer,
            caller: self.config.callers_heard.then_some(CallerId(conn.0)),
            cost_hint: req.hint.map(span_of_ms),
            is_retry: req.retry,
            duplicate_of: repeats,
            memory_kb: req.kb,
            queueing_delay: lay,
            observed_delay: unread,
            client_wait: req.wait.map(|ms| (span_of_ms(ms) - lay).max(Time(0))),
        };
        self.wires.insert(req.id);
        let entry = InFlightRequest {
            conn,
            stream: req.stream,
            wire: req.id,
            new,
            arrived: now - new.queueing_delay,
            key,
            body: req.body.into(),
            answered: false,
            running: false,
            joined: None,
        };
        self.reqs.insert(id, entry);
        let actions = self.admission.arrival(now, new);
        self.carry_all(now, actions);
    }

    /// Which of two reqs with one id is the copy. Guards sidecars against a client that copies their reqs and is read
    /// first: where the engine has known a req of the later connection and none of the earlier, the later takes the
    /// place of the earlier, and its answer.
    fn copy_of(&mut self, conn: ConnectionId, req: &Request) -> (ConnectionId, StreamId) {
        let later = (conn, req.stream);
        if !self.connections.proven(conn) {
            return later;
        }
        let open = self
            .reqs
            .values_mut()
            .find(|e| e.wire == req.id && !e.answered);
        match open.filter(|e| !self.connections.proven(e.conn) && e.body[..] == req.body[..]) {
            Some(entry) => {
                let earlier = (entry.conn, entry.stream);
                (entry.conn, entry.stream) = later;
                earlier
            }
            None => later,
        }
    }

    /// Enters a req that repeats none in the table. Guards effects: the window opens when the try that runs reached
    /// the machine, and stamps may be odd, so it is taken to open now at the earliest. It does not rest on whether the
    /// decider still books an entry: of two tries that lay unread past a short window each would run.
    fn keep(&mut self, now: Time, id: RequestId, key: Option<&IdempotencyKey>) {
        let Some(key) = key else { return };
        let HandlerId(handler) = key.0;
        let uniqued = self.config.kinds[handler] == Idempotency::Keyed;
        let until = uniqued.then(|| now + self.config.windows[handler] + SLACK);
        let tail = if uniqued {
            span_of_ms(self.config.longest)
        } else {
            Time(0)
        };
        self.keys.keep(id, key.clone(), until, tail);
    }

    fn worked(&mut self, now: Time, event: ExecutionEvent) {
        if let Some(actions) = self.told(now, event) {
            self.carry_all(now, actions);
        }
    }

    /// What a kind of work tells, and what the decider makes of it.
    fn told(&mut self, now: Time, event: ExecutionEvent) -> Option<Actions> {
        match event {
            ExecutionEvent::Ended(id, end, output) => {
                let waiting = if end == RunOutcome::NotStarted {
                    self.never_started(id)
                } else {
                    Vec::new()
                };
                let actions = self.run_over(now, id, end, output)?;
                if waiting.is_empty() {
                    return Some(actions);
                }
                // What the end of the run brings goes before what the reqs that come anew bring.
                self.carry_all(now, actions);
                waiting.into_iter().for_each(|id| self.again(now, id));
            }
            ExecutionEvent::CallWanted(id) => return Some(self.admission.call_wanted(now, id)),
            ExecutionEvent::CallEnded(id, end) => {
                return Some(self.admission.call_ended(now, id, end))
            }
            ExecutionEvent::LoadSample(busy) => {
                self.asked = None;
                return Some(self.admission.tick(
                    now,
                    LoadSample {
                        cpu_utilization: busy,
                        runnable_tasks: None,
                    },
                ));
            }
            ExecutionEvent::Lives(id) => {
                if let Some(entry) = self.reqs.get(&id) {
                    self.connections.prove(entry.conn);
                }
            }
            ExecutionEvent::Tested(tag, good) => {
                if let Some((conn, stream)) = self.health.tested(tag) {
                    self.connections
                        .send(now, conn, &Response::HealthStatus { stream, good });
                }
            }
        }
        None
    }

    /// Runs of which nothing was heard since long after their clients gave up.
    fn forget_runs(&mut self, now: Time) {
        let long = span_of_ms(self.config.longest).scaled(FORGOTTEN);
        let lost = self
            .reqs
            .iter()
            .filter(|(_, e)| e.running && e.answered && now - e.arrived > long);
        for id in lost.map(|(id, _)| *id).collect::<Vec<_>>() {
            tracing::warn!("a run that never ended is given up");
            // It may have run, so its entry stays.
            if let Some(actions) =
                self.run_over(now, id, RunOutcome::NotStarted, RunOutput::default())
            {
                self.carry_all(now, actions);
            }
        }
    }

    /// Nothing was started for a req, since the engine does not know it: it leaves nothing for its repeats. Guards
    /// marks against clients that use them first: those that joined it are not errored for it.
    fn never_started(&mut self, id: RequestId) -> Vec<RequestId> {
        self.keys.release(id);
        let joined = self.reqs.iter_mut().filter(|(_, e)| !e.answered);
        joined
            .filter_map(|(each, e)| e.joined.take_if(|of| *of == id).map(|_| *each))
            .collect()
    }

    /// An open req whose first try was none comes anew, as it stands now: as the first try, or as a repeat of the next.
    fn again(&mut self, now: Time, id: RequestId) {
        let Some(entry) = self.reqs.get(&id) else {
            return;
        };
        let key = entry.key.clone();
        let repeats = key
            .as_ref()
            .and_then(|key| self.keys.repeats(now, entry.arrived, key));
        if repeats.is_none() {
            self.keep(now, id, key.as_ref());
        }
        let Some(entry) = self.reqs.get_mut(&id) else {
            return;
        };
        (entry.running, entry.joined) = (false, None);
        let lay = now - entry.arrived;
        let wait = entry
            .new
            .client_wait
            .map(|wait| (wait + entry.new.queueing_delay - lay).max(Time(0)));
        entry.new = Arrival {
            queueing_delay: lay,
            observed_delay: Time(0),
            client_wait: wait,
            duplicate_of: repeats,
            ..entry.new
        };
        let actions = self.admission.arrival(now, entry.new);
        self.carry_all(now, actions);
    }

    /// A run has ended: what is still owed goes out first, then the decider hears of it.
    fn run_over(
        &mut self,
        now: Time,
        id: RequestId,
        end: RunOutcome,
        output: RunOutput,
    ) -> Option<Actions> {
        let entry = self.reqs.get_mut(&id).filter(|e| e.running)?;
        entry.running = false;
        self.works.forget(id);
        if end == RunOutcome::Completed {
            self.connections.prove(entry.conn);
        }
        let (stream, shared) = (entry.stream, entry.key.is_some());
        let kept = (end == RunOutcome::Completed && shared).then(|| Rc::new(output.clone()));
        let reply = if end == RunOutcome::Completed {
            Response::Done(stream, output)
        } else {
            Response::Errored(stream)
        };
        self.answer(now, id, reply);
        if shared {
            self.keys.ended(
                now,
                id,
                kept.clone(),
                self.config.fresh,
                self.room.results(),
            );
            self.settle_joined(now, id, kept);
        }
        Some(self.admission.run_ended(now, id, end))
    }

    /// Reqs that wait for the answer of `of` get it.
    fn settle_joined(&mut self, now: Time, of: RequestId, result: Option<Rc<RunOutput>>) {
        let waiting = self
            .reqs
            .iter()
            .filter(|(_, e)| !e.answered && e.joined == Some(of));
        let waiting: Vec<_> = waiting.map(|(id, e)| (*id, e.stream)).collect();
        for (id, stream) in waiting {
            let (reply, end) = match &result {
                Some(result) => (
                    Response::Done(stream, RunOutput::clone(result)),
                    RunOutcome::Completed,
                ),
                None => (Response::Errored(stream), RunOutcome::Failed),
            };
            self.answer(now, id, reply);
            self.joined.push_back((id, end));
        }
    }

    /// The final answer, once.
    fn answer(&mut self, now: Time, id: RequestId, reply: Response) {
        let Some(entry) = self.reqs.get_mut(&id) else {
            return;
        };
        if !entry.answered {
            entry.answered = true;
            self.connections.send(now, entry.conn, &reply);
        }
        if entry.running {
            self.works.unwanted(id);
        } else {
            self.wires.remove(&entry.wire);
            self.reqs.remove(&id);
        }
    }

    /// The sidecar waits for a req no longer: it is answered at once, and the decider told. One with a key goes on, for
    /// its repeats.
    fn cancelled(&mut self, now: Time, conn: ConnectionId, stream: StreamId) {
        self.connections.heard(now, conn);
        let of = |e: &InFlightRequest| {
            e.conn == conn && e.stream == stream && !e.answered && e.key.is_none()
        };
        let Some(id) = self.reqs.iter().find(|(_, e)| of(e)).map(|(id, _)| *id) else {
            return;
        };
        self.answer(now, id, Response::Errored(stream));
        let actions = self.admission.caller_gone(now, id);
        self.carry_all(now, actions);
    }

    /// Nobody hears what a lost connection still owes: the decider is told of all that was open on it. A req with
    /// a key goes on, for its repeats.
    fn gone(&mut self, now: Time, conn: ConnectionId) {
        let open = self
            .reqs
            .iter()
            .filter(|(_, e)| e.conn == conn && !e.answered && e.key.is_none());
        for id in open.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.answer(now, id, Response::Errored(StreamId(0)));
            let actions = self.admission.caller_gone(now, id);
            self.carry_all(now, actions);
        }
    }

    fn carry_all(&mut self, now: Time, actions: Actions) {
        self.carry(now, actions);
        loop {
            if let Some((id, end)) = self.joined.pop_front() {
                let actions = self.admission.run_ended(now, id, end);
                self.carry(now, actions);
            } else if let Some(event) = self.events.pop_front() {
                if let Some(actions) = self.told(now, event) {
                    self.carry(now, actions);
                }
            } else {
                return;
            }
        }
    }

    /// Carries results out, in the order in which they stand.
    fn carry(&mut self, now: Time, actions: Actions) {
        for id in actions.cancel {
            if self.reqs.get(&id).is_some_and(|e| e.running) {
                let told = self.works.stop(now, id);
                self.events.extend(told);
            }
        }
        for id in actions.fail {
            let Some(entry) = self.reqs.get(&id) else {
                continue;
            };
            let (stream, running) = (entry.stream, entry.running);
            self.tally.errored += 1;
            self.answer(now, id, Response::Errored(stream));
            if !running {
                self.never_ran(now, id);
            }
        }
        for shed in actions.reject {
            let Some(entry) = self.reqs.get(&shed.id) else {
                continue;
            };
            let reply = Response::Shed {
                stream: entry.stream,
                after_ms: ms(shed.retry_after),
                last: shed.do_not_retry,
            };
            self.tally.shed += 1;
            self.answer(now, shed.id, reply);
            self.never_ran(now, shed.id);
        }
        // What the decider keeps it books; the entry itself stands since the req was read.
        actions
            .release_key
            .into_iter()
            .for_each(|id| self.keys.release(id));
        for id in actions.start {
            let Some(entry) = self.reqs.get_mut(&id) else {
                continue;
            };
            entry.running = true;
            let (target, timeout) = self.config.times[entry.new.handler.0];
            let job = ExecutionRequest {
                wire: entry.wire,
                handler: entry.new.handler,
                customer: entry.new.tenant,
                body: entry.body.clone(),
                target: entry.arrived + target,
                due: entry.due(timeout),
            };
            let told = self.works.start(now, id, &job);
            self.events.extend(told);
        }
        for id in actions.coalesce {
            self.join(now, id);
        }
        for (id, cap) in actions.call {
            if let Some(engine) = &mut self.works.engine {
                engine.call(id, cap);
            }
        }
        for id in actions.skip_call {
            if let Some(engine) = &mut self.works.engine {
                engine.skip(now, id);
            }
        }
        if let Some(good) = actions.health.filter(|_| self.works.ready()) {
            if self.health.set(good) {
                let _ = self.news.try_send(ReportUpdate::Health(good));
            }
        }
        self.connections.say = actions.advice.or(self.connections.say);
        if let Some(span) = actions.next_tick {
            self.wakes.insert(now + span);
        }
    }

    /// A req that was answered before it ran leaves nothing for its repeats.
    fn never_ran(&mut self, now: Time, id: RequestId) {
        self.keys.release(id);
        self.settle_joined(now, id, None);
    }

    fn join(&mut self, now: Time, id: RequestId) {
        let Some(entry) = self.reqs.get_mut(&id) else {
            return;
        };
        let Some(of) = entry.new.duplicate_of else {
            return;
        };
        entry.joined = Some(of);
        let known = match self.keys.outcome(of) {
            Some(Outcome::Open) => return,
            Some(Outcome::Done(result)) => result.clone(),
            Some(Outcome::Failed) => None,
            None if self.reqs.contains_key(&of) => return,
            None => None,
        };
        self.settle_joined(now, of, known);
    }
}
