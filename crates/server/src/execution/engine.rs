//! Runs on the engine: which there are, what each waits for, and what a broken link may have lost. The calls that runs
//! ask for are made here once the admission controller lets them out.
use super::{ExecutionEvent, ExecutionRequest};
use crate::event::{CallError, CallNumber, Event};
use crate::execution::command_queue::EngineCommandQueue;
use crate::execution::engine_run::{EngineRun, NeededCall};
use crate::outbound::records_call::{self, RecordsCall};
use crate::protocol::engine::{EngineCommand, EngineMessage, Tag};
use crate::protocol::sidecar::RunOutput;
use crate::protocol::WireId;
use async_channel::Sender;
use async_executor::LocalExecutor;
use cottondyke_admission::{CallOutcome, RunOutcome};
use cottondyke_types::{RequestId, Time};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

/// Calls since the last reading that brought nothing, and commands that were refused.
#[derive(Default)]
pub struct EngineCounters {
    /// Calls that the service did not begin.
    pub not_begun: u64,
    /// Calls that failed, or may have been executed.
    pub failed: u64,
    /// Commands that the engine refused.
    pub refused: u64,
}

/// What the executor is started with.
pub struct EngineExecutorConfig {
    /// The records service; none where nothing lies below.
    pub records: Option<SocketAddr>,
    /// The place of the CPU utilization among the gauges that the engine reports.
    pub cpu_gauge: Option<usize>,
}

/// Runs requests on the engine.
pub struct EngineExecutor {
    commands: EngineCommandQueue,
    runs: BTreeMap<RequestId, EngineRun>,
    by_wire_id: BTreeMap<WireId, RequestId>,
    config: EngineExecutorConfig,
    /// The load query of the dispatcher that has not been answered.
    load_query: Option<Tag>,
    /// When the link was last opened.
    link_up_at: Time,
    /// When the link last broke.
    link_lost_at: Time,
    last_call: u64,
    tasks: Rc<LocalExecutor<'static>>,
    events: Sender<Event>,
    counters: EngineCounters,
}

impl EngineExecutor {
    /// An executor without a link.
    pub fn new(
        now: Time,
        config: EngineExecutorConfig,
        tasks: Rc<LocalExecutor<'static>>,
        events: Sender<Event>,
    ) -> Self {
        EngineExecutor {
            commands: EngineCommandQueue::default(),
            runs: BTreeMap::new(),
            by_wire_id: BTreeMap::new(),
            config,
            load_query: None,
            link_up_at: now,
            link_lost_at: now,
            last_call: 0,
            tasks,
            events,
            counters: EngineCounters::default(),
        }
    }

    /// Starts a run, of the handler that the engine knows as `class`.
    pub fn start(
        &mut self,
        now: Time,
        id: RequestId,
        request: &ExecutionRequest,
        class: Rc<str>,
        is_idempotent: bool,
    ) {
        let mut run = EngineRun::new(now, request, class, is_idempotent);
        run.was_queued = !self.commands.is_up();
        self.commands.send(run.start_command());
        self.by_wire_id.insert(run.wire_id, id);
        self.runs.insert(id, run);
    }

    /// Asks for the run's end, which comes as an event once the engine has carried it out.
    pub fn cancel(&mut self, id: RequestId) {
        if let Some(run) = self.runs.get(&id) {
            self.commands.send(EngineCommand::CancelRun(run.wire_id));
        }
    }

    /// Nobody waits for the run any longer: its call in flight is cancelled.
    pub fn mark_unwanted(&mut self, id: RequestId) {
        if let Some(run) = self.runs.get_mut(&id) {
            run.is_wanted = false;
            run.call = None;
        }
    }

    /// The run has ended, or is taken to have.
    pub fn forget(&mut self, id: RequestId) {
        if let Some(run) = self.runs.remove(&id) {
            self.by_wire_id.remove(&run.wire_id);
        }
    }

    /// Before the first hello nothing has run: all runs are forgotten, to start again.
    pub fn forget_all(&mut self) {
        self.commands.clear();
        self.runs.clear();
        self.by_wire_id.clear();
    }

    /// A link is open; it takes commands at `link`.
    pub fn link_up(&mut self, now: Time, link: Sender<EngineCommand>) {
        self.link_up_at = now;
        self.commands.link_up(now, link);
    }

    /// The link broke with these commands unsent.
    pub fn link_down(&mut self, now: Time, unsent: Vec<EngineCommand>) {
        self.link_lost_at = now;
        let link_up_at = self.link_up_at;
        for run in self.runs.values_mut() {
            run.link_lost(now, link_up_at);
        }
        self.commands.link_down(unsent);
    }

    /// Whether the engine has ever said hello.
    pub fn was_ever_up(&self) -> bool {
        self.commands.was_ever_up()
    }

    /// Whether there is a link.
    pub fn is_up(&self) -> bool {
        self.commands.is_up()
    }

    /// The records service has another address, for calls from now on.
    pub fn set_records(&mut self, records: Option<SocketAddr>) {
        self.config.records = records;
    }

    /// Asks the engine to test itself; none while there is no link.
    pub fn start_self_test(&mut self) -> Option<Tag> {
        self.commands.ask(EngineCommand::SelfTest)
    }

    /// Asks for the load; false where no answer will come.
    pub fn query_load(&mut self) -> bool {
        self.load_query = self.commands.query_load();
        self.load_query.is_some()
    }

    /// The load is waited for no longer.
    pub fn abandon_load_query(&mut self) {
        self.load_query = None;
    }

    /// Lets out what waits for a fence that was not answered in time.
    pub fn maintain(&mut self, now: Time) {
        if self.commands.expire_fence(now) {
            self.commands.resume(Vec::new());
        }
    }

    /// The counters since the last reading.
    pub fn take_counters(&mut self) -> EngineCounters {
        std::mem::take(&mut self.counters)
    }

    /// Whether the engine may know nothing of this run, or holds it at a call, where it takes no core. Guards against taking
    /// a run that hangs for one that was never begun: what was written to a link that stood on is there.
    pub fn may_have_lost(&self, id: RequestId) -> bool {
        self.runs
            .get(&id)
            .is_none_or(|run| run.may_be_lost || run.needed_call.is_some())
    }

    fn find_run(&mut self, wire_id: WireId) -> Option<(RequestId, &mut EngineRun)> {
        let id = *self.by_wire_id.get(&wire_id)?;
        self.runs.get_mut(&id).map(|run| (id, run))
    }

    /// What the engine says becomes events, in their order.
    pub fn handle_message(&mut self, message: EngineMessage) -> Vec<ExecutionEvent> {
        match message {
            EngineMessage::RunEnded {
                id,
                outcome,
                result,
                ..
            } => {
                let Some(id) = self.by_wire_id.get(&id) else {
                    return Vec::new();
                };
                let output = RunOutput::complete(result);
                vec![ExecutionEvent::Ended(*id, outcome, output)]
            }
            EngineMessage::CallNeeded { number, id, body } => {
                let Some((id, run)) = self.find_run(id) else {
                    return Vec::new();
                };
                run.needed_call = Some(NeededCall {
                    message: number,
                    body,
                });
                run.resumed = None;
                run.has_begun = true;
                vec![ExecutionEvent::Alive(id), ExecutionEvent::CallWanted(id)]
            }
            EngineMessage::Load { tag, gauges } => self.handle_load(tag, &gauges),
            EngineMessage::SelfTest { tag, passed } => {
                vec![ExecutionEvent::SelfTested(tag, passed)]
            }
            EngineMessage::CommandRefused { command, id } => self.handle_refusal(&command, id),
            EngineMessage::Hello { .. } | EngineMessage::Note(_) | EngineMessage::Unknown(_) => {
                Vec::new()
            }
        }
    }

    fn handle_load(&mut self, tag: Tag, gauges: &[f64]) -> Vec<ExecutionEvent> {
        self.commands.load_received(tag);
        if self.commands.pass_fence(tag) {
            let repeated = self.possibly_lost_commands();
            self.mark_repeated();
            self.commands.resume(repeated);
            return Vec::new();
        }
        if self.load_query.take_if(|asked| *asked == tag).is_none() {
            return Vec::new();
        }
        let place = self.config.cpu_gauge;
        let utilization = place.and_then(|place| gauges.get(place).copied());
        let utilization = utilization.filter(|value| value.is_finite());
        vec![ExecutionEvent::LoadSample(utilization)]
    }

    fn handle_refusal(&mut self, command: &str, id: Option<WireId>) -> Vec<ExecutionEvent> {
        let Some((id, run)) = id.and_then(|id| self.find_run(id)) else {
            return Vec::new();
        };
        tracing::debug!(command, id = ?run.wire_id, "engine refused a command");
        // Any other says that this command was one too many, not that there is no run.
        let has_no_run = command == "RUN" && !run.has_begun || command == "HALT" && !run.is_wanted;
        self.counters.refused += 1;
        if !has_no_run {
            return Vec::new();
        }
        let output = RunOutput::default();
        vec![ExecutionEvent::Ended(id, RunOutcome::NotStarted, output)]
    }

    /// What may have been lost with the link though it was written to its last byte: the commands of idempotent runs
    /// that showed no sign of life, and for runs that were told to go on shortly before, that.
    fn possibly_lost_commands(&self) -> Vec<EngineCommand> {
        self.runs
            .values()
            .filter(|run| run.is_wanted)
            .filter_map(|run| run.possibly_lost_command(self.link_lost_at))
            .filter(|command| !self.commands.is_queued(command))
            .collect()
    }

    /// Runs whose commands are said again are not lost any more.
    fn mark_repeated(&mut self) {
        let repeated = self.runs.values_mut();
        for run in repeated.filter(|run| run.is_wanted && run.is_idempotent) {
            run.may_be_lost = false;
        }
    }

    /// Makes the call that the run waits for, in at most `timeout`.
    pub fn start_call(&mut self, id: RequestId, timeout: Time) {
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        let Some(needed) = &run.needed_call else {
            return;
        };
        self.last_call += 1;
        let number = CallNumber(self.last_call);
        tracing::debug!(id = ?run.wire_id, call = number.0, ?timeout, "calling the records service");
        let records = self.config.records;
        let events = self.events.clone();
        let call = RecordsCall {
            request: run.wire_id,
            body: needed.body.clone(),
            timeout,
        };
        let task = self.tasks.spawn(async move {
            let result = match records {
                Some(records) => records_call::call(records, call).await,
                None => Err(CallError::NotBegun("nothing lies below")),
            };
            let event = Event::RecordsCallEnded(id, number, result);
            let _ = events.send(event).await;
        });
        run.call = Some((number, task));
    }

    /// A call has ended; nothing where it was cancelled before.
    pub fn handle_call_ended(
        &mut self,
        now: Time,
        id: RequestId,
        number: CallNumber,
        result: Result<Vec<u8>, CallError>,
    ) -> Option<ExecutionEvent> {
        let run = self.runs.get_mut(&id)?;
        let (_, task) = run.call.take_if(|(of, _)| *of == number)?;
        drop(task);
        let outcome = match result {
            Ok(reply) => {
                let command = EngineCommand::CallResult(run.wire_id, reply);
                run.needed_call = None;
                run.resumed = Some((now, command.clone()));
                self.commands.send(command);
                CallOutcome::Completed
            }
            Err(error) => {
                tracing::debug!(?error, id = ?run.wire_id, call = number.0, "call to the records service failed");
                match error {
                    CallError::NotBegun(_) => self.counters.not_begun += 1,
                    CallError::MaybeBegun(_) | CallError::Ended(_) | CallError::Interrupted(_) => {
                        self.counters.failed += 1
                    }
                }
                error.outcome()
            }
        };
        Some(ExecutionEvent::CallEnded(id, outcome))
    }

    /// The run goes on without its call.
    pub fn skip_call(&mut self, now: Time, id: RequestId) {
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        if let Some(needed) = run.needed_call.take() {
            let command = EngineCommand::SkipCall(run.wire_id, needed.message);
            run.resumed = Some((now, command.clone()));
            self.commands.send(command);
        }
    }
}
