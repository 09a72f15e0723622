//! The executor for runs on the engine. It tracks the state of each run, the call that it waits for, and the commands
//! that a broken link may have lost. It also makes the calls that runs request, once the admission controller permits
//! them.
use super::{ExecutionEvent, ExecutionRequest};
use crate::event::{CallError, CallNumber, Event};
use crate::execution::command_queue::{Delivery, EngineCommandQueue};
use crate::execution::engine_run::{EngineRun, LastCommand, NeededCall};
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

/// Failed calls and refused commands since the counters were last taken.
#[derive(Default)]
pub struct EngineCounters {
    /// Calls that the records service did not execute.
    pub not_executed: u64,
    /// Calls that failed or whose outcome is unknown; they may have been executed.
    pub failed: u64,
    /// Commands that the engine refused.
    pub refused: u64,
}

/// Configuration of an [`EngineExecutor`].
pub struct EngineExecutorConfig {
    /// Address of the records service, if one is configured.
    pub records: Option<SocketAddr>,
    /// Index of the CPU utilization among the gauges that the engine reports.
    pub cpu_gauge: Option<usize>,
}

/// Runs requests on the engine.
pub struct EngineExecutor {
    commands: EngineCommandQueue,
    runs: BTreeMap<RequestId, EngineRun>,
    by_wire_id: BTreeMap<WireId, RequestId>,
    config: EngineExecutorConfig,
    /// The dispatcher's unanswered load query.
    load_query: Option<Tag>,
    last_call_number: u64,
    tasks: Rc<LocalExecutor<'static>>,
    events: Sender<Event>,
    counters: EngineCounters,
}

impl EngineExecutor {
    /// Creates an executor that has no link to the engine yet.
    pub fn new(
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
            last_call_number: 0,
            tasks,
            events,
            counters: EngineCounters::default(),
        }
    }

    /// Starts a run. `class` is the engine's name of the handler.
    pub fn start(
        &mut self,
        id: RequestId,
        request: &ExecutionRequest,
        class: Rc<str>,
        is_idempotent: bool,
    ) {
        let mut run = EngineRun::new(request, class, is_idempotent);
        run.delivery = self.commands.send(run.start_command());
        self.by_wire_id.insert(run.wire_id, id);
        self.runs.insert(id, run);
    }

    /// Requests the cancellation of a run. An event reports the run's end once the engine has cancelled it.
    pub fn cancel(&mut self, id: RequestId) {
        if let Some(run) = self.runs.get(&id) {
            self.commands.send(EngineCommand::CancelRun(run.wire_id));
        }
    }

    /// Records that the run's request has been answered, so that no client waits for it, and cancels its call in
    /// flight.
    pub fn mark_answered(&mut self, id: RequestId) {
        if let Some(run) = self.runs.get_mut(&id) {
            run.is_awaited = false;
            run.call = None;
        }
    }

    /// Drops the state of a run that has ended or is considered ended.
    pub fn forget(&mut self, id: RequestId) {
        if let Some(run) = self.runs.remove(&id) {
            self.by_wire_id.remove(&run.wire_id);
        }
    }

    /// Drops all runs and queued commands. Called on the engine's first `HELLO`: no run has begun before it, and all
    /// runs are started again after it.
    pub fn forget_all(&mut self) {
        self.commands.clear();
        self.runs.clear();
        self.by_wire_id.clear();
    }

    /// A link was opened; `link` accepts commands for it.
    pub fn link_up(&mut self, now: Time, link: Sender<EngineCommand>) {
        self.commands.link_up(now, link);
    }

    /// The link broke; the commands in `unsent` were not completely written.
    pub fn link_down(&mut self, unsent: Vec<EngineCommand>) {
        self.commands.link_down(unsent);
        let queued = self.commands.queued_runs();
        for run in self.runs.values_mut() {
            if queued.contains(&run.wire_id) {
                run.delivery = Delivery::Queued;
            } else {
                run.link_lost(self.commands.last_answered());
            }
        }
    }

    /// Whether the engine has ever sent `HELLO`.
    pub fn was_ever_up(&self) -> bool {
        self.commands.was_ever_up()
    }

    /// Whether a link to the engine is open.
    pub fn is_up(&self) -> bool {
        self.commands.is_up()
    }

    /// Sets the address of the records service for calls that start from now on.
    pub fn set_records(&mut self, records: Option<SocketAddr>) {
        self.config.records = records;
    }

    /// Asks the engine to run a self-test; returns `None` while there is no link.
    pub fn start_self_test(&mut self) -> Option<Tag> {
        self.commands.send_query(EngineCommand::SelfTest)
    }

    /// Queries the engine's load; returns false if the query could not be sent.
    pub fn query_load(&mut self) -> bool {
        self.load_query = self.commands.query_load();
        self.load_query.is_some()
    }

    /// Stops waiting for the answer to the load query.
    pub fn abandon_load_query(&mut self) {
        self.load_query = None;
    }

    /// Sends the queued commands if the fence was not answered in time.
    pub fn maintain(&mut self, now: Time) {
        if self.commands.expire_fence(now) {
            self.send_queued_commands();
        }
    }

    /// Returns the counters and resets them.
    pub fn take_counters(&mut self) -> EngineCounters {
        std::mem::take(&mut self.counters)
    }

    /// Whether the run can be given up: the engine may never have received it, or has suspended it at a call, where it
    /// uses no core, or it is no run of this executor. False for a run that hangs: the engine has shown that it read its
    /// start command.
    pub fn can_be_abandoned(&self, id: RequestId) -> bool {
        self.runs
            .get(&id)
            .is_none_or(|run| run.may_be_unknown() || run.needed_call.is_some())
    }

    fn find_run(&mut self, wire_id: WireId) -> Option<(RequestId, &mut EngineRun)> {
        let id = *self.by_wire_id.get(&wire_id)?;
        self.runs.get_mut(&id).map(|run| (id, run))
    }

    /// Converts a message of the engine to events, in order.
    pub fn handle_message(&mut self, message: EngineMessage) -> Vec<ExecutionEvent> {
        match message {
            EngineMessage::RunEnded {
                id,
                outcome,
                result,
                ..
            } => {
                let Some((id, run)) = self.find_run(id) else {
                    return Vec::new();
                };
                let may_run_again = run.is_awaited && run.is_idempotent;
                if outcome == RunOutcome::Cancelled && may_run_again {
                    return vec![ExecutionEvent::Cancelled(id)];
                }
                let output = RunOutput::complete(result);
                vec![ExecutionEvent::Ended(id, outcome, output)]
            }
            EngineMessage::CallNeeded { number, id, body } => {
                let Some((id, run)) = self.find_run(id) else {
                    return Vec::new();
                };
                run.request_call(NeededCall {
                    message: number,
                    body,
                });
                vec![
                    ExecutionEvent::Progressed(id),
                    ExecutionEvent::CallRequested(id),
                ]
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
            return self.pass_fence();
        }
        if self.load_query.take_if(|pending| *pending == tag).is_none() {
            return Vec::new();
        }
        let index = self.config.cpu_gauge;
        let utilization = index.and_then(|index| gauges.get(index).copied());
        let utilization = utilization.filter(|value| value.is_finite());
        vec![ExecutionEvent::LoadSample(utilization)]
    }

    fn handle_refusal(&mut self, command: &str, id: Option<WireId>) -> Vec<ExecutionEvent> {
        let Some((id, run)) = id.and_then(|id| self.find_run(id)) else {
            return Vec::new();
        };
        tracing::debug!(command, id = ?run.wire_id, "engine refused a command");
        // Any other refusal means that the command was redundant, not that the engine has no such run.
        let is_unknown_run =
            command == "RUN" && !run.has_begun() || command == "HALT" && !run.is_awaited;
        self.counters.refused += 1;
        if !is_unknown_run {
            return Vec::new();
        }
        let output = RunOutput::default();
        vec![ExecutionEvent::Ended(id, RunOutcome::NotStarted, output)]
    }

    /// All messages of earlier links have been read: sends commands that may have been lost with the last link again
    /// where that is safe, then those that are queued. Returns the events of calls whose result may have been lost.
    fn pass_fence(&mut self) -> Vec<ExecutionEvent> {
        let mut repeated = 0;
        for run in self.runs.values_mut().filter(|run| run.is_awaited) {
            if let Some(command) = run.repeatable_command() {
                run.delivery = self.commands.send(command);
                repeated += 1;
            }
        }
        self.send_queued_commands();
        let events = self.calls_without_result();
        if repeated + events.len() > 0 {
            let lost_results = events.len();
            tracing::info!(
                repeated,
                lost_results,
                "commands may have been lost with the link"
            );
        }
        events
    }

    fn send_queued_commands(&mut self) {
        let queued = self.commands.queued_runs();
        let delivery = self.commands.resume();
        for wire_id in queued {
            if let Some((_, run)) = self.find_run(wire_id) {
                run.delivery = delivery;
            }
        }
    }

    /// An event for each awaited run that may still wait for a call although its result was sent.
    fn calls_without_result(&self) -> Vec<ExecutionEvent> {
        let runs = self.runs.iter().filter(|(_, run)| run.is_awaited);
        runs.filter(|(_, run)| run.call_without_result().is_some())
            .map(|(id, _)| ExecutionEvent::CallResultPossiblyLost(*id))
            .collect()
    }

    /// Makes the call that the run waits for, with this timeout.
    pub fn start_call(&mut self, id: RequestId, timeout: Time) {
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        let Some(needed) = &run.needed_call else {
            return;
        };
        self.last_call_number += 1;
        let number = CallNumber(self.last_call_number);
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
                None => Err(CallError::NotExecuted("no records service configured")),
            };
            let event = Event::RecordsCallEnded(id, number, result);
            let _ = events.send(event).await;
        });
        run.call = Some((number, task));
    }

    /// Handles the end of a call; returns `None` if the call was cancelled before.
    pub fn handle_call_ended(
        &mut self,
        id: RequestId,
        number: CallNumber,
        result: Result<Vec<u8>, CallError>,
    ) -> Option<ExecutionEvent> {
        let run = self.runs.get_mut(&id)?;
        let (_, task) = run.call.take_if(|(current, _)| *current == number)?;
        drop(task);
        let outcome = match result {
            Ok(reply) => {
                if let Some(needed) = run.needed_call.take() {
                    let command = EngineCommand::CallResult(run.wire_id, reply);
                    run.last_command = LastCommand::CallResult(needed.message);
                    run.delivery = self.commands.send(command);
                }
                CallOutcome::Completed
            }
            Err(error) => {
                tracing::debug!(?error, id = ?run.wire_id, call = number.0, "call to the records service failed");
                match error {
                    CallError::NotExecuted(_) => self.counters.not_executed += 1,
                    CallError::Indeterminate(_)
                    | CallError::Failed(_)
                    | CallError::Interrupted(_) => self.counters.failed += 1,
                }
                error.outcome()
            }
        };
        Some(ExecutionEvent::CallEnded(id, outcome))
    }

    /// Resumes the run without the call that it waits for, or whose result may have been lost. In the latter case the
    /// command has no effect on a run that has received the result.
    pub fn skip_call(&mut self, id: RequestId) {
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        let needed = run.needed_call.take().map(|call| call.message);
        if let Some(message) = needed.or(run.call_without_result()) {
            run.last_command = LastCommand::SkipCall(message);
            let command = EngineCommand::SkipCall(run.wire_id, message);
            run.delivery = self.commands.send(command);
        }
    }
}
