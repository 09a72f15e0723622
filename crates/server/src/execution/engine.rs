//! Runs on the engine: which there are, what each waits for, and what a broken link may have lost. The calls that
//! runs ask for are made here once the decider lets them out.
use super::{ExecutionEvent, ExecutionRequest};
use crate::event::{CallError, CallNumber, Event};
use crate::execution::command_queue::EngineCommandQueue;
use crate::outbound::records_call;
use crate::protocol::engine::{EngineCommand, EngineMessage, MessageNumber, Tag};
use crate::protocol::sidecar::RunOutput;
use crate::protocol::WireId;
use async_channel::Sender;
use async_executor::{LocalExecutor, Task};
use cottondyke_admission::RunOutcome;
use cottondyke_types::{RequestId, Time, SECOND};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

/// What was written to the engine this long before its link broke may not have been read.
const MAYBE_LOST: Time = SECOND;

struct EngineRun {
    wire: WireId,
    class: Rc<str>,
    body: Rc<[u8]>,
    replayable: bool,
    /// Whether anybody still waits for it.
    wanted: bool,
    /// Whether the engine has shown that it runs.
    begun: bool,
    /// The call that the run waits for.
    need: Option<(MessageNumber, Vec<u8>)>,
    /// When the run was told to go on from its call, and how, until the engine shows that it has.
    told: Option<(Time, EngineCommand)>,
    call: Option<(CallNumber, Task<()>)>,
}

impl EngineRun {
    fn command(&self) -> EngineCommand {
        EngineCommand::Run {
            id: self.wire,
            class: self.class.clone(),
            body: self.body.clone(),
        }
    }
}

/// Calls of the last second that brought nothing, and commands that were refused.
#[derive(Default)]
pub struct EngineCounters {
    pub not_begun: u64,
    pub failed: u64,
    pub refused: u64,
}

pub struct EngineExecutor {
    link: EngineCommandQueue,
    runs: BTreeMap<RequestId, EngineRun>,
    by_wire: BTreeMap<WireId, RequestId>,
    /// The gauge of the cores among those that the engine reads out.
    busy: Option<usize>,
    /// Gauges that the desk asked for.
    asked: Option<Tag>,
    /// When the link last broke.
    broke: Time,
    /// None where nothing lies below.
    records: Option<SocketAddr>,
    calls: u64,
    executor: Rc<LocalExecutor<'static>>,
    inputs: Sender<Event>,
    pub tally: EngineCounters,
}

impl EngineExecutor {
    pub fn new(
        now: Time,
        records: Option<SocketAddr>,
        busy: Option<usize>,
        executor: Rc<LocalExecutor<'static>>,
        inputs: Sender<Event>,
    ) -> Self {
        EngineExecutor {
            link: EngineCommandQueue::default(),
            runs: BTreeMap::new(),
            by_wire: BTreeMap::new(),
            busy,
            asked: None,
            broke: now,
            records,
            calls: 0,
            executor,
            inputs,
            tally: EngineCounters::default(),
        }
    }

    pub fn start(
        &mut self,
        id: RequestId,
        job: &ExecutionRequest,
        class: Rc<str>,
        replayable: bool,
    ) {
        let run = EngineRun {
            wire: job.wire,
            class,
            body: job.body.clone(),
            replayable,
            wanted: true,
            begun: false,
            need: None,
            told: None,
            call: None,
        };
        self.link.send(run.command());
        self.by_wire.insert(run.wire, id);
        self.runs.insert(id, run);
    }

    /// Asks for the run's end, which comes as an event once the engine has carried it out.
    pub fn stop(&mut self, id: RequestId) {
        if let Some(run) = self.runs.get(&id) {
            self.link.send(EngineCommand::Halt(run.wire));
        }
    }

    /// Nobody waits for the run any longer: its call in hand is given up.
    pub fn unwanted(&mut self, id: RequestId) {
        if let Some(run) = self.runs.get_mut(&id) {
            (run.wanted, run.call) = (false, None);
        }
    }

    /// The run is over, or taken to be.
    pub fn forget(&mut self, id: RequestId) {
        if let Some(run) = self.runs.remove(&id) {
            self.by_wire.remove(&run.wire);
        }
    }

    /// Before the first hello nothing has run: all runs are forgotten, to start anew.
    pub fn forget_all(&mut self) {
        self.link.forget();
        self.runs.clear();
        self.by_wire.clear();
    }

    pub fn up(&mut self, now: Time, outlet: Sender<EngineCommand>) {
        self.link.up(now, outlet);
    }

    pub fn down(&mut self, now: Time, unsent: Vec<EngineCommand>) {
        self.broke = now;
        self.link.down(unsent);
    }

    pub fn greeted(&self) -> bool {
        self.link.greeted
    }

    pub fn is_up(&self) -> bool {
        self.link.is_up()
    }

    pub fn moved(&mut self, records: Option<SocketAddr>) {
        self.records = records;
    }

    /// Asks the engine to test itself; none while there is no link.
    pub fn test(&mut self) -> Option<Tag> {
        self.link.ask(EngineCommand::Test)
    }

    /// Asks for gauges; false where none will come.
    pub fn ask_gauges(&mut self) -> bool {
        self.asked = self.link.ask_gauges();
        self.asked.is_some()
    }

    /// They are waited for no longer.
    pub fn no_gauges(&mut self) {
        self.asked = None;
    }

    pub fn chores(&mut self, now: Time) {
        if self.link.overdue(now) {
            self.link.resume(Vec::new());
        }
    }

    fn run_of(&mut self, wire: WireId) -> Option<(RequestId, &mut EngineRun)> {
        let id = *self.by_wire.get(&wire)?;
        self.runs.get_mut(&id).map(|run| (id, run))
    }

    pub fn noticed(&mut self, notice: EngineMessage) -> Vec<ExecutionEvent> {
        match notice {
            EngineMessage::Done {
                id, end, result, ..
            } => {
                let id = self.by_wire.get(&id);
                id.map(|id| ExecutionEvent::Ended(*id, end, RunOutput::whole(result)))
                    .into_iter()
                    .collect()
            }
            EngineMessage::Need { no, id, body } => {
                let Some((id, run)) = self.run_of(id) else {
                    return Vec::new();
                };
                (run.need, run.told, run.begun) = (Some((no, body)), None, true);
                vec![ExecutionEvent::Lives(id), ExecutionEvent::CallWanted(id)]
            }
            EngineMessage::Stats { tag, gauges } => {
                self.link.gauges_came(tag);
                if self.link.passed(tag) {
                    let again = self.commands_to_repeat();
                    self.link.resume(again);
                } else if self.asked.take_if(|asked| *asked == tag).is_some() {
                    let busy = self.busy.and_then(|place| gauges.get(place).copied());
                    return vec![ExecutionEvent::LoadSample(busy.filter(|b| b.is_finite()))];
                }
                Vec::new()
            }
            EngineMessage::Tested { tag, good } => vec![ExecutionEvent::Tested(tag, good)],
            EngineMessage::Refused { command, id } => {
                let Some((id, run)) = id.and_then(|id| self.run_of(id)) else {
                    return Vec::new();
                };
                tracing::debug!(command, id = ?run.wire, "the engine refused a command");
                // Any other says that this command was one too many, not that there is no run.
                let none = command == "RUN" && !run.begun || command == "HALT" && !run.wanted;
                self.tally.refused += 1;
                let over = none.then(|| {
                    ExecutionEvent::Ended(id, RunOutcome::NotStarted, RunOutput::default())
                });
                over.into_iter().collect()
            }
            EngineMessage::Hello { .. } | EngineMessage::Remark(_) | EngineMessage::Unknown(_) => {
                Vec::new()
            }
        }
    }

    /// What may have been lost with the link though it was written whole: the commands of replayable runs that
    /// showed no sign of life, and for runs that were told to go on shortly before, that.
    fn commands_to_repeat(&self) -> Vec<EngineCommand> {
        let lost = |run: &EngineRun| {
            let told = run
                .told
                .as_ref()
                .filter(|(at, _)| self.broke - *at <= MAYBE_LOST);
            let again = (!run.begun && run.replayable).then(|| run.command());
            told.map(|(_, command)| command.clone())
                .or(again)
                .filter(|command| !self.link.waits(command))
        };
        self.runs
            .values()
            .filter(|run| run.wanted)
            .filter_map(lost)
            .collect()
    }

    /// Makes the call that the run waits for, for `cap` at the most.
    pub fn call(&mut self, id: RequestId, cap: Time) {
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        let Some((_, body)) = &run.need else { return };
        self.calls += 1;
        let no = CallNumber(self.calls);
        let (records, inputs) = (self.records, self.inputs.clone());
        let (of, body) = (run.wire, body.clone());
        let task = self.executor.spawn(async move {
            let result = match records {
                Some(records) => records_call::call(records, of, body, cap).await,
                None => Err(CallError::NotBegun("nothing lies below")),
            };
            let _ = inputs.send(Event::RecordsCallEnded(id, no, result)).await;
        });
        run.call = Some((no, task));
    }

    pub fn called(
        &mut self,
        now: Time,
        id: RequestId,
        no: CallNumber,
        result: Result<Vec<u8>, CallError>,
    ) -> Option<ExecutionEvent> {
        let run = self.runs.get_mut(&id)?;
        let (_, call) = run.call.take_if(|(of, _)| *of == no)?;
        drop(call);
        let end = match result {
            Ok(reply) => {
                let feed = EngineCommand::Feed(run.wire, reply);
                (run.need, run.told) = (None, Some((now, feed.clone())));
                self.link.send(feed);
                cottondyke_admission::CallOutcome::Completed
            }
            Err(error) => {
                tracing::debug!(?error, id = ?run.wire, "a call failed");
                match error {
                    CallError::NotBegun(_) => self.tally.not_begun += 1,
                    CallError::MaybeBegun(_) | CallError::Ended(_) => self.tally.failed += 1,
                }
                error.end()
            }
        };
        Some(ExecutionEvent::CallEnded(id, end))
    }

    /// The run goes on without its call.
    pub fn skip(&mut self, now: Time, id: RequestId) {
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        if let Some((need, _)) = run.need.take() {
            let skip = EngineCommand::Skip(run.wire, need);
            run.told = Some((now, skip.clone()));
            self.link.send(skip);
        }
    }
}
