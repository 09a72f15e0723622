//! The desk: the one owner of the decider, of the table of reqs and of the timers. Everything that happens
//! comes to it as a value; it asks the decider and carries the results out in the order in which they stand.
//! It never waits on a socket.
use crate::answer::{Outlets, Parcel};
use crate::call::{self, CallError};
use crate::config::Config;
use crate::drain::{self, Stage};
use crate::health::Health;
use crate::keys::{Key, Keys, Outcome};
use crate::report::News;
use crate::room::Room;
use crate::run::Engine;
use crate::time::{ms, since_unix, span_of_ms, Clock};
use crate::wire::engine::{Command, Notice, NoticeNo, Tag};
use crate::wire::sidecar::{Reply, Req, Stream};
use crate::wire::WireId;
use async_channel::{Receiver, Sender};
use async_executor::{LocalExecutor, Task};
use async_io::Timer;
use cottondyke_decide::decide::Decider;
use cottondyke_decide::types::*;
use futures_lite::FutureExt;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;

/// Inputs that may wait for the desk; past that their senders wait.
pub const MOST_INPUTS: usize = 1_024;
/// Inputs taken before timers and other tasks have their turn.
const AT_ONCE: usize = 64;
/// What was written to the engine this long before its link broke may not have been read.
const MAYBE_LOST: Time = SECOND;
/// Multiple of the longest client timeout after which a run that nobody waits for holds its place no more.
const FORGOTTEN: f64 = 4.0;
/// A wake goes to the decider without gauges when none come within this time.
const GAUGES_WITHIN: Time = Time(100);
const CHORES: Time = Time(500);
const CHORES_LEAVING: Time = Time(50);
const TALLY: Time = SECOND;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnId(pub u64);

/// Numbers the calls, so that the end of one given up is not taken for the end of the next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallNo(u64);

/// What reaches the desk.
pub enum Input {
    Opened(ConnId, Sender<Parcel>),
    Req(ConnId, Req),
    /// A req past what may be open on a connection.
    Surplus(ConnId, Stream),
    Unfit(ConnId, Stream, &'static str),
    Check {
        conn: ConnId,
        stream: Stream,
        deep: bool,
    },
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
    Called(ReqId, CallNo, Result<Vec<u8>, CallError>),
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

/// What stands behind a req's id, from its arrival until it is answered and no run of it goes on.
struct Entry {
    conn: ConnId,
    stream: Stream,
    wire: WireId,
    new: Arrival,
    arrived: Time,
    key: Option<Key>,
    body: Rc<[u8]>,
    answered: bool,
    running: bool,
    /// Whether the engine has shown that it runs.
    begun: bool,
    joined: Option<ReqId>,
    /// The call that the run waits for.
    need: Option<(NoticeNo, Vec<u8>)>,
    /// When the run was told to go on from its call, and how, until the engine shows that it has.
    told: Option<(Time, Command)>,
    call: Option<(CallNo, Task<()>)>,
}

/// What went wrong in the last second: one line at the most, whatever the number.
#[derive(Default)]
struct Tally {
    unfit: u64,
    malformed: u64,
    refused: u64,
    calls_not_begun: u64,
    calls_failed: u64,
    errored: u64,
    shed: u64,
}

impl Tally {
    fn log(self) {
        let Tally { unfit, malformed, refused, calls_not_begun, calls_failed, errored, shed } = self;
        if unfit + malformed + refused > 0 {
            tracing::warn!(unfit, malformed, refused, "bad input in the last second");
        }
        if calls_not_begun + calls_failed > 0 {
            tracing::warn!(not_begun = calls_not_begun, failed = calls_failed, "calls in the last second");
        }
        if errored + shed > 0 {
            tracing::info!(errored, shed, "answered without a run's result in the last second");
        }
    }
}

pub struct Desk {
    config: Rc<Config>,
    classes: Vec<Rc<str>>,
    clock: Clock,
    started: Time,
    executor: Rc<LocalExecutor<'static>>,
    inputs: Sender<Input>,
    decider: Decider,
    reqs: BTreeMap<ReqId, Entry>,
    by_wire: BTreeMap<WireId, ReqId>,
    next_id: u32,
    calls: u64,
    outlets: Outlets,
    engine: Engine,
    room: Rc<Room>,
    keys: Keys,
    health: Health,
    /// How long the last req of a proven connection lay unread.
    lately: Time,
    news: Sender<News>,
    moves: Sender<SocketAddr>,
    wakes: BTreeSet<Time>,
    /// Gauges asked for, and until when they are waited for.
    asked: Option<(Tag, Time)>,
    /// Joined reqs whose answer is known, told to the decider once its results are carried out.
    joined: VecDeque<(ReqId, RunEnd)>,
    next_chores: Time,
    tally: Tally,
    next_tally: Time,
    notice: Option<Time>,
    /// When the engine's link last broke.
    broke: Time,
    close: Option<Sender<()>>,
}

impl Desk {
    #[allow(clippy::too_many_arguments)]
    pub fn new(
        config: Rc<Config>, decider: Decider, clock: Clock, executor: Rc<LocalExecutor<'static>>,
        inputs: Sender<Input>, room: Rc<Room>, lines: Lines,
    ) -> Self {
        let classes = config.places.handlers.iter().map(|name| name.as_str().into()).collect();
        Desk {
            config,
            classes,
            clock,
            started: clock.now(),
            executor,
            inputs,
            decider,
            reqs: BTreeMap::new(),
            by_wire: BTreeMap::new(),
            next_id: 0,
            calls: 0,
            outlets: Outlets::default(),
            engine: Engine::default(),
            room,
            keys: Keys::default(),
            health: Health::default(),
            lately: Time(0),
            news: lines.news,
            moves: lines.engine,
            wakes: BTreeSet::new(),
            asked: None,
            joined: VecDeque::new(),
            next_chores: clock.now(),
            tally: Tally::default(),
            next_tally: clock.now(),
            notice: None,
            broke: clock.now(),
            close: Some(lines.close),
        }
    }

    /// Takes inputs until the server has left.
    pub async fn run(mut self, inputs: Receiver<Input>) {
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
        tracing::info!(connections = self.outlets.count(), "left");
    }

    fn next_timer(&self) -> Time {
        let asked = self.asked.map(|(_, until)| until);
        let wake = self.wakes.first().copied();
        [asked, wake, self.health.next()].into_iter().flatten().fold(self.next_chores, Time::min)
    }

    /// Does what is due by the clock; true once the server has left.
    fn timers(&mut self) -> bool {
        let now = self.clock.now();
        for (conn, stream) in self.health.overdue(now) {
            self.outlets.send(now, conn, &Reply::Checked { stream, good: false });
        }
        if self.asked.is_some_and(|(_, until)| until <= now) {
            self.asked = None;
            self.wake(now, Gauges::default());
        }
        let waiting = self.wakes.len();
        self.wakes.retain(|at| *at > now);
        if self.wakes.len() < waiting && self.asked.is_none() {
            match self.engine.ask_gauges() {
                Some(tag) => self.asked = Some((tag, now + GAUGES_WITHIN)),
                None => self.wake(now, Gauges::default()),
            }
        }
        if now < self.next_chores {
            return false;
        }
        self.next_chores = now + if self.notice.is_some() { CHORES_LEAVING } else { CHORES };
        self.outlets.chores(now);
        self.make_room(now);
        if self.engine.overdue(now) {
            self.engine.resume(Vec::new());
        }
        if now >= self.next_tally {
            self.next_tally = now + TALLY;
            std::mem::take(&mut self.tally).log();
        }
        self.forget_runs(now);
        self.keys.expire(now);
        let stage = drain::stage(self.notice, self.left(), now);
        if stage >= Stage::Closed && self.close.take().is_some() {
            self.outlets.no_more(now);
        }
        let settled = self.outlets.settled() && self.reqs.values().all(|r| r.answered);
        stage == Stage::Over
            || stage == Stage::Ended && settled
            || stage == Stage::Closed && self.outlets.count() == 0 && settled
    }

    /// From the notice to leave until the end.
    fn left(&self) -> Time {
        span_of_ms(self.config.stop.as_secs_f64() * 1_000.0)
    }

    fn make_room(&mut self, now: Time) {
        let (taken, most) = self.room.connections();
        self.outlets.make_room(now, taken, most);
    }

    fn wake(&mut self, now: Time, gauges: Gauges) {
        let results = self.decider.wake(now, gauges);
        self.carry_all(now, results);
    }

    fn take(&mut self, input: Input) {
        let now = self.clock.now();
        match input {
            Input::Opened(conn, parcels) => {
                self.outlets.opened(now, conn, parcels);
                self.make_room(now);
                if self.close.is_none() {
                    self.outlets.no_more(now);
                }
            }
            Input::Req(conn, req) => self.arrived(now, conn, req),
            Input::Surplus(conn, stream) => {
                self.outlets.took(now, conn);
                self.outlets.send(now, conn, &Reply::Shed { stream, after_ms: 0.0, last: false });
            }
            Input::Unfit(conn, stream, why) => {
                tracing::debug!(conn = conn.0, why, "a req that cannot be run");
                self.tally.unfit += 1;
                self.outlets.took(now, conn);
                self.outlets.send(now, conn, &Reply::Errored(stream));
            }
            Input::Check { conn, stream, deep } => self.checked(now, conn, stream, deep),
            Input::Finished(conn) => self.outlets.end(conn),
            Input::Malformed(conn, why) => {
                tracing::debug!(conn = conn.0, why, "a malformed frame; the connection is closed");
                self.tally.malformed += 1;
                self.outlets.fault(now, conn, why);
            }
            Input::Closed(conn) => {
                self.outlets.closed(conn);
                self.gone(now, conn);
            }
            Input::EngineUp { age_ms, outlet } => self.engine_up(now, age_ms, outlet),
            Input::EngineDown(unsent) => {
                self.broke = now;
                self.engine.down(unsent);
            }
            Input::Notice(notice) => self.noticed(now, notice),
            Input::Called(id, no, result) => self.called(now, id, no, result),
            Input::Reload(Ok(new)) => self.reload(*new),
            Input::Reload(Err(wrong)) => {
                tracing::error!(wrong, "the configuration read anew is no good; the old one stays in force");
            }
            Input::Leave if self.notice.is_some() => tracing::info!("told to leave again"),
            Input::Leave => {
                tracing::info!(open = self.reqs.len(), "told to leave");
                self.notice = Some(now);
                let results = self.decider.leaving(now, self.left());
                self.carry_all(now, results);
                self.outlets.no_more(now);
            }
        }
    }

    /// Addresses and limits follow the new configuration; nothing that was learned or is open is lost.
    fn reload(&mut self, new: Config) {
        let (mut config, in_vain) = self.config.renewed(new);
        if !in_vain.is_empty() {
            tracing::warn!(?in_vain, "cannot change while the server runs; what was in force stays");
        }
        if self.notice.is_some() {
            config.stop = self.config.stop;
        }
        if config.engine != self.config.engine {
            let _ = self.moves.try_send(config.engine);
        }
        if config.control != self.config.control {
            let _ = self.news.try_send(News::Moved(config.control));
        }
        self.room.told(&config);
        tracing::info!(
            engine = %config.engine, records = %config.records, control = %config.control,
            "the configuration was read anew"
        );
        self.config = Rc::new(config);
    }

    /// The first hello tells when the engine started. The decider reckons from there, but not from before this
    /// program could observe anything. Nothing has run by then: what is open arrives anew.
    fn engine_up(&mut self, now: Time, age_ms: f64, outlet: Sender<Command>) {
        let first = !self.engine.greeted;
        self.engine.up(now, outlet);
        tracing::info!(first, age_ms, "the engine is there");
        if !first {
            return;
        }
        match self.config.decider((now - span_of_ms(age_ms)).max(self.started)) {
            Ok(decider) => self.decider = decider,
            Err(wrong) => tracing::error!(wrong, "the settings no longer give a decider"),
        }
        self.engine.forget();
        self.reqs.retain(|_, r| !r.answered);
        self.by_wire.retain(|_, id| self.reqs.contains_key(id));
        self.wakes.clear();
        self.wake(now, Gauges::default());
        if let Some(notice) = self.notice {
            let results = self.decider.leaving(now, notice + self.left() - now);
            self.carry_all(now, results);
        }
        let open: Vec<_> = self.reqs.iter().filter(|(_, r)| !r.answered).map(|(id, _)| *id).collect();
        for id in open {
            let Some(entry) = self.reqs.get_mut(&id) else { continue };
            entry.running = false;
            entry.joined = None;
            let new = Arrival { lay: now - entry.arrived, unread: Time(0), ..entry.new };
            let results = self.decider.arrival(now, new);
            self.carry_all(now, results);
        }
    }

    fn checked(&mut self, now: Time, conn: ConnId, stream: Stream, deep: bool) {
        match self.health.answer(deep, self.engine.is_up()) {
            Some(good) => self.outlets.send(now, conn, &Reply::Checked { stream, good }),
            None => match self.engine.ask(Command::Test) {
                Some(tag) => self.health.testing(now, tag, conn, stream),
                None => self.outlets.send(now, conn, &Reply::Checked { stream, good: false }),
            },
        }
    }

    fn fresh_id(&mut self) -> ReqId {
        loop {
            let id = ReqId(self.next_id);
            self.next_id = self.next_id.wrapping_add(1);
            if !self.reqs.contains_key(&id) && !self.keys.holds(id) {
                return id;
            }
        }
    }

    fn arrived(&mut self, now: Time, conn: ConnId, req: Req) {
        self.outlets.took(now, conn);
        if self.by_wire.contains_key(&req.id) {
            tracing::debug!(conn = conn.0, id = ?req.id, "an id that is open already");
            self.tally.unfit += 1;
            self.outlets.send(now, conn, &Reply::Errored(req.stream));
            return;
        }
        let id = self.fresh_id();
        let kind = self.config.kinds[req.handler.0];
        let reads = kind == Kind::Replayable && self.config.fresh > Time(0);
        let key: Option<Key> = req.mark.map(|mark| (req.handler, mark));
        let key = key.filter(|_| reads || kind == Kind::Uniqued);
        let repeats = key.as_ref().and_then(|key| self.keys.repeats(now, key));
        if let (true, None, Some(key)) = (reads, repeats, &key) {
            self.keys.keep(id, key.clone(), None);
        }
        // A stamp teaches how long reqs lie unread where the engine has known a req of that connection; else no
        // more than what was learned so does.
        let lay = since_unix(req.at);
        let proven = self.outlets.proven(conn);
        self.lately = if proven { lay } else { self.lately };
        let unread = lay.min(self.lately);
        let new = Arrival {
            id,
            handler: req.handler,
            customer: req.customer,
            hint: req.hint.map(span_of_ms),
            retry: req.retry,
            repeats,
            kb: req.kb,
            lay,
            unread,
            wait: None,
        };
        self.by_wire.insert(req.id, id);
        let entry = Entry {
            conn,
            stream: req.stream,
            wire: req.id,
            new,
            arrived: now - new.lay,
            key,
            body: req.body.into(),
            answered: false,
            running: false,
            begun: false,
            joined: None,
            need: None,
            told: None,
            call: None,
        };
        self.reqs.insert(id, entry);
        let results = self.decider.arrival(now, new);
        self.carry_all(now, results);
    }

    fn noticed(&mut self, now: Time, notice: Notice) {
        match notice {
            Notice::Done { id, end, result, .. } => {
                let Some(id) = self.by_wire.get(&id).copied() else { return };
                self.run_over(now, id, end, result);
            }
            Notice::Need { no, id, body } => {
                let Some((id, entry)) = self.entry_of(id) else { return };
                (entry.need, entry.told, entry.begun) = (Some((no, body)), None, true);
                let conn = entry.conn;
                self.outlets.prove(conn);
                let results = self.decider.call_wanted(now, id);
                self.carry_all(now, results);
            }
            Notice::Stats { tag, gauges } => {
                self.engine.gauges_came(tag);
                if self.engine.passed(tag) {
                    let again = self.commands_to_repeat();
                    self.engine.resume(again);
                } else if self.asked.is_some_and(|(asked, _)| asked == tag) {
                    self.asked = None;
                    let busy = self.config.places.busy.and_then(|place| gauges.get(place).copied());
                    self.wake(now, Gauges { busy: busy.filter(|b| b.is_finite()) });
                }
            }
            Notice::Tested { tag, good } => {
                if let Some((conn, stream)) = self.health.tested(tag) {
                    self.outlets.send(now, conn, &Reply::Checked { stream, good });
                }
            }
            Notice::Refused { command, id } => {
                let known = id.and_then(|id| self.entry_of(id)).filter(|(_, entry)| entry.running);
                let Some((id, entry)) = known else { return };
                tracing::debug!(command, id = ?entry.wire, "the engine refused a command");
                // Any other says that this command was one too many, not that there is no run.
                let none = command == "RUN" && !entry.begun || command == "HALT" && entry.answered;
                self.tally.refused += 1;
                if none {
                    self.run_over(now, id, RunEnd::Void, Vec::new());
                }
            }
            Notice::Hello { .. } | Notice::Remark(_) | Notice::Unknown(_) => {}
        }
    }

    fn entry_of(&mut self, wire: WireId) -> Option<(ReqId, &mut Entry)> {
        let id = *self.by_wire.get(&wire)?;
        self.reqs.get_mut(&id).map(|entry| (id, entry))
    }

    /// What may have been lost with the link though it was written whole: the commands of replayable runs that
    /// showed no sign of life, and for runs that were told to go on shortly before, that.
    fn commands_to_repeat(&self) -> Vec<Command> {
        let lost = |e: &Entry| {
            let replayable = self.config.kinds[e.new.handler.0] == Kind::Replayable;
            let told = e.told.as_ref().filter(|(at, _)| self.broke - *at <= MAYBE_LOST);
            let run = (!e.begun && replayable).then(|| self.run_command(e));
            told.map(|(_, command)| command.clone()).or(run).filter(|command| !self.engine.waits(command))
        };
        self.reqs.values().filter(|e| e.running && !e.answered).filter_map(lost).collect()
    }

    /// Runs of which nothing was heard since long after their clients gave up.
    fn forget_runs(&mut self, now: Time) {
        let long = span_of_ms(self.config.longest).times(FORGOTTEN);
        let lost = self.reqs.iter().filter(|(_, e)| e.running && e.answered && now - e.arrived > long);
        for id in lost.map(|(id, _)| *id).collect::<Vec<_>>() {
            tracing::warn!("a run that never ended is given up");
            self.run_over(now, id, RunEnd::Void, Vec::new());
        }
    }

    fn run_command(&self, entry: &Entry) -> Command {
        let class = self.classes[entry.new.handler.0].clone();
        Command::Run { id: entry.wire, class, body: entry.body.clone() }
    }

    /// A run has ended: what is still owed goes out first, then the decider hears of it.
    fn run_over(&mut self, now: Time, id: ReqId, end: RunEnd, result: Vec<u8>) {
        let Some(entry) = self.reqs.get_mut(&id).filter(|e| e.running) else { return };
        (entry.running, entry.need, entry.told, entry.call) = (false, None, None, None);
        if end == RunEnd::Done {
            self.outlets.prove(entry.conn);
        }
        let kept: Option<Rc<[u8]>> =
            (end == RunEnd::Done && entry.key.is_some()).then(|| result.as_slice().into());
        let stream = entry.stream;
        let shared = entry.key.is_some();
        let reply = if end == RunEnd::Done { Reply::Done(stream, result) } else { Reply::Errored(stream) };
        self.answer(now, id, reply);
        if shared {
            self.keys.ended(now, id, kept.clone(), self.config.fresh, self.room.results());
            self.settle_joined(now, id, kept);
        }
        let results = self.decider.run_ended(now, id, end);
        self.carry_all(now, results);
    }

    /// Reqs that wait for the answer of `of` get it.
    fn settle_joined(&mut self, now: Time, of: ReqId, result: Option<Rc<[u8]>>) {
        let waiting = self.reqs.iter().filter(|(_, e)| !e.answered && e.joined == Some(of));
        let waiting: Vec<_> = waiting.map(|(id, e)| (*id, e.stream)).collect();
        for (id, stream) in waiting {
            let (reply, end) = match &result {
                Some(result) => (Reply::Done(stream, result.to_vec()), RunEnd::Done),
                None => (Reply::Errored(stream), RunEnd::Errored),
            };
            self.answer(now, id, reply);
            self.joined.push_back((id, end));
        }
    }

    /// The final answer, once.
    fn answer(&mut self, now: Time, id: ReqId, reply: Reply) {
        let Some(entry) = self.reqs.get_mut(&id) else { return };
        if !entry.answered {
            entry.answered = true;
            self.outlets.send(now, entry.conn, &reply);
        }
        if !entry.running {
            self.by_wire.remove(&entry.wire);
            self.reqs.remove(&id);
        }
    }

    /// Nobody hears what a lost connection still owes: the decider is told of all that was open on it. A req with
    /// a key goes on, for its repeats.
    fn gone(&mut self, now: Time, conn: ConnId) {
        let open = self.reqs.iter().filter(|(_, e)| e.conn == conn && !e.answered && e.key.is_none());
        for id in open.map(|(id, _)| *id).collect::<Vec<_>>() {
            if let Some(entry) = self.reqs.get_mut(&id) {
                entry.call = None;
                self.answer(now, id, Reply::Errored(Stream(0)));
                let results = self.decider.caller_gone(now, id);
                self.carry_all(now, results);
            }
        }
    }

    fn called(&mut self, now: Time, id: ReqId, no: CallNo, result: Result<Vec<u8>, CallError>) {
        let Some(entry) = self.reqs.get_mut(&id) else { return };
        if entry.call.take_if(|(of, _)| *of == no).is_none() {
            return;
        }
        let end = match result {
            Ok(reply) => {
                let feed = Command::Feed(entry.wire, reply);
                (entry.need, entry.told) = (None, Some((now, feed.clone())));
                self.engine.send(feed);
                CallEnd::Done
            }
            Err(error) => {
                tracing::debug!(?error, id = ?entry.wire, "a call failed");
                match error {
                    CallError::NotBegun(_) => self.tally.calls_not_begun += 1,
                    CallError::MaybeBegun(_) | CallError::Ended(_) => self.tally.calls_failed += 1,
                }
                error.end()
            }
        };
        let results = self.decider.call_ended(now, id, end);
        self.carry_all(now, results);
    }

    fn carry_all(&mut self, now: Time, results: Results) {
        self.carry(now, results);
        while let Some((id, end)) = self.joined.pop_front() {
            let results = self.decider.run_ended(now, id, end);
            self.carry(now, results);
        }
    }

    /// Carries results out, in the order in which they stand.
    fn carry(&mut self, now: Time, results: Results) {
        for id in results.stop {
            if let Some(entry) = self.reqs.get(&id).filter(|e| e.running) {
                self.engine.send(Command::Halt(entry.wire));
            }
        }
        for id in results.fail {
            let Some(entry) = self.reqs.get_mut(&id) else { continue };
            // A call in hand is given up with its req.
            entry.call = None;
            let (stream, running) = (entry.stream, entry.running);
            self.tally.errored += 1;
            self.answer(now, id, Reply::Errored(stream));
            if !running {
                self.never_ran(now, id);
            }
        }
        for shed in results.shed {
            let Some(entry) = self.reqs.get(&shed.id) else { continue };
            let reply = Reply::Shed { stream: entry.stream, after_ms: ms(shed.pause), last: shed.last };
            self.tally.shed += 1;
            self.answer(now, shed.id, reply);
            self.never_ran(now, shed.id);
        }
        for (id, span) in results.keep {
            if let Some(key) = self.reqs.get(&id).and_then(|e| e.key.clone()) {
                self.keys.keep(id, key, Some(now + span));
            }
        }
        results.release.into_iter().for_each(|id| self.keys.release(id));
        for id in results.start {
            let Some(entry) = self.reqs.get_mut(&id) else { continue };
            entry.running = true;
            let command = self.run_command(&self.reqs[&id]);
            self.engine.send(command);
        }
        for id in results.join {
            self.join(now, id);
        }
        for (id, cap) in results.call {
            self.call(id, cap);
        }
        for id in results.skip {
            let Some(entry) = self.reqs.get_mut(&id) else { continue };
            if let Some((need, _)) = entry.need.take() {
                let skip = Command::Skip(entry.wire, need);
                entry.told = Some((now, skip.clone()));
                self.engine.send(skip);
            }
        }
        if let Some(good) = results.health.filter(|_| self.engine.greeted) {
            if self.health.set(good) {
                let _ = self.news.try_send(News::Health(good));
            }
        }
        self.outlets.say = results.advice.or(self.outlets.say);
        if let Some(idle) = results.trim {
            self.outlets.idle = Some(idle);
        }
        if let Some(span) = results.wake {
            self.wakes.insert(now + span);
        }
    }

    /// A req that was answered before it ran leaves nothing for its repeats.
    fn never_ran(&mut self, now: Time, id: ReqId) {
        self.keys.ended(now, id, None, Time(0), self.room.results());
        self.settle_joined(now, id, None);
    }

    fn join(&mut self, now: Time, id: ReqId) {
        let Some(entry) = self.reqs.get_mut(&id) else { return };
        let Some(of) = entry.new.repeats else { return };
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

    fn call(&mut self, id: ReqId, cap: Time) {
        let Some(entry) = self.reqs.get_mut(&id) else { return };
        let Some((_, body)) = &entry.need else { return };
        self.calls += 1;
        let no = CallNo(self.calls);
        let (records, inputs) = (self.config.records, self.inputs.clone());
        let (of, body) = (entry.wire, body.clone());
        let task = self.executor.spawn(async move {
            let result = call::call(records, of, body, cap).await;
            let _ = inputs.send(Input::Called(id, no, result)).await;
        });
        entry.call = Some((no, task));
    }
}
