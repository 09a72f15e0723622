//! The server's engine executor, the model of the engine, and the link between them. Each step is one event of the
//! protocol; the test chooses their order.
use crate::model::{call_body, EngineModel};
use async_channel::Receiver;
use cottondyke::event::CallNumber;
use cottondyke::execution::engine::{EngineExecutor, EngineExecutorConfig};
use cottondyke::execution::{ExecutionEvent, ExecutionRequest};
use cottondyke::protocol::engine::{EngineCommand, EngineMessage, MessageNumber};
use cottondyke::protocol::WireId;
use cottondyke_types::{HandlerId, RequestId, Time, SECOND};
use std::collections::VecDeque;

const REQUEST: RequestId = RequestId(1);
/// Time between two steps.
const STEP: Time = Time(10);

/// The handler of the request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Handler {
    pub(crate) is_idempotent: bool,
    /// Whether its calls can be skipped.
    pub(crate) may_skip: bool,
}

/// A step that may come next.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Step {
    /// The engine reads the next command of the last link, also after the server has seen that the link broke.
    EngineReads,
    /// The run asks for its next call, or ends.
    RunFinishesWork,
    /// The server reads the engine's next message.
    ServerReads,
    /// The call in flight ends.
    CallEnds,
    /// The server sees that the link broke; the last `unsent` commands were not written completely.
    LinkBreaks { unsent: usize },
    /// The server connects again. Commands of the last link that were not read are lost.
    LinkOpens,
    /// The fence of the link is not answered in time.
    FenceExpires,
}

/// How an order of events ended.
#[derive(Debug, PartialEq)]
pub(crate) enum Outcome {
    /// The run ended, and the server knows.
    Ended,
    /// The run waits for a result that was lost with a link.
    WaitsForLostResult,
    /// The start command was lost with a link.
    NeverStarted,
}

pub(crate) struct World {
    handler: Handler,
    executor: EngineExecutor,
    now: Time,
    engine: EngineModel,
    /// Commands that were passed to the current or last link.
    commands: Receiver<EngineCommand>,
    is_up: bool,
    /// Messages on their way to the server.
    messages: VecDeque<EngineMessage>,
    /// The engine's messages that were put on the current link.
    sent: usize,
    /// The last numbered message that the server has read.
    last_read: MessageNumber,
    /// The call that the server makes: its number, and the message that asked for it.
    call: Option<(CallNumber, MessageNumber)>,
    last_call: u64,
    breaks_left: usize,
    is_fence_pending: bool,
    /// The steps so far.
    pub(crate) history: Vec<Step>,
}

impl World {
    /// A server that has started a run on a link that is open.
    pub(crate) fn new(handler: Handler, max_breaks: usize) -> Self {
        let config = EngineExecutorConfig {
            records: None,
            cpu_gauge: None,
        };
        let (events, _) = async_channel::unbounded();
        let id = WireId::new("9b1f03aa5c7e2d41").unwrap();
        let mut world = World {
            handler,
            executor: EngineExecutor::new(config, Default::default(), events),
            now: Time(0),
            engine: EngineModel::new(id),
            commands: async_channel::unbounded().1,
            is_up: false,
            messages: VecDeque::new(),
            sent: 0,
            last_read: MessageNumber(0),
            call: None,
            last_call: 0,
            breaks_left: max_breaks,
            is_fence_pending: false,
            history: Vec::new(),
        };
        for step in [Step::LinkOpens, Step::EngineReads, Step::ServerReads] {
            world.perform(step);
        }
        world.start_run();
        world
    }

    fn start_run(&mut self) {
        let request = ExecutionRequest {
            wire_id: self.engine.id,
            handler: HandlerId(0),
            tenant: None,
            body: Vec::new().into(),
            target: Time(10_000),
            deadline: Time(20_000),
        };
        let is_idempotent = self.handler.is_idempotent;
        self.executor
            .start(REQUEST, &request, "greet".into(), is_idempotent);
    }

    /// Acts as the policy on a run whose call result may have been lost.
    fn continue_without_result(&mut self, id: RequestId) {
        if self.handler.may_skip {
            self.executor.skip_call(id);
        } else if self.handler.is_idempotent {
            self.executor.cancel(id);
        }
    }

    pub(crate) fn outcome(&self) -> Outcome {
        if self.engine.is_answered {
            Outcome::Ended
        } else if self.engine.is_at_call() {
            Outcome::WaitsForLostResult
        } else {
            assert!(!self.engine.was_started(), "{:#?}", self.history);
            Outcome::NeverStarted
        }
    }

    /// The steps that may come next; empty once the server knows the end of the run, or nothing happens any more.
    pub(crate) fn possible_steps(&self) -> Vec<Step> {
        if self.engine.is_answered {
            return Vec::new();
        }
        let mut steps = Vec::new();
        if !self.commands.is_empty() {
            steps.push(Step::EngineReads);
        }
        if self.engine.is_working() {
            steps.push(Step::RunFinishesWork);
        }
        if self.is_up && !self.messages.is_empty() {
            steps.push(Step::ServerReads);
        }
        if self.call.is_some() {
            steps.push(Step::CallEnds);
        }
        if !self.is_up {
            steps.push(Step::LinkOpens);
        }
        // Nothing more happens on this link without a break: only the run's progress counts.
        if self.is_up && self.breaks_left > 0 && !steps.is_empty() {
            steps.extend((0..=self.commands.len()).map(|unsent| Step::LinkBreaks { unsent }));
        }
        if self.is_up && self.is_fence_pending && !steps.is_empty() {
            steps.push(Step::FenceExpires);
        }
        steps
    }

    pub(crate) fn perform(&mut self, step: Step) {
        self.history.push(step);
        self.now += STEP;
        match step {
            Step::EngineReads => {
                let command = self.commands.try_recv().unwrap();
                let answer = self.engine.execute(command);
                // The answer to a command that is read after the link broke goes nowhere.
                self.messages.extend(answer.filter(|_| self.is_up));
            }
            Step::RunFinishesWork => self.engine.finish_work(),
            Step::ServerReads => self.read_message(),
            Step::CallEnds => self.end_call(),
            Step::LinkBreaks { unsent } => self.break_link(unsent),
            Step::LinkOpens => self.open_link(),
            Step::FenceExpires => self.expire_fence(),
        }
        self.put_messages_on_link();
    }

    fn put_messages_on_link(&mut self) {
        if self.is_up {
            let new = &self.engine.messages[self.sent..];
            self.messages.extend(new.iter().cloned());
            self.sent = self.engine.messages.len();
        }
    }

    fn open_link(&mut self) {
        let (link, commands) = async_channel::unbounded();
        self.commands = commands;
        self.executor.link_up(self.now, link);
        self.is_up = true;
        self.is_fence_pending = true;
        let MessageNumber(last_read) = self.last_read;
        self.sent = last_read as usize;
    }

    /// The link breaks: messages on their way are lost, and sent again on the next link if they are numbered.
    fn break_link(&mut self, unsent: usize) {
        self.breaks_left -= 1;
        self.is_up = false;
        self.is_fence_pending = false;
        self.messages.clear();
        let mut written: Vec<_> = std::iter::from_fn(|| self.commands.try_recv().ok()).collect();
        let unsent = written.split_off(written.len() - unsent);
        let (sender, receiver) = async_channel::unbounded();
        for command in written {
            sender.try_send(command).unwrap();
        }
        self.commands = receiver;
        self.executor.link_down(unsent);
    }

    fn expire_fence(&mut self) {
        self.is_fence_pending = false;
        self.now += SECOND;
        self.executor.maintain(self.now);
    }

    fn read_message(&mut self) {
        let message = self.messages.pop_front().unwrap();
        self.last_read = message.number().unwrap_or(self.last_read);
        if matches!(message, EngineMessage::Load { .. }) {
            self.is_fence_pending = false;
        }
        let events = self.executor.handle_message(message);
        self.handle(events);
    }

    fn end_call(&mut self) {
        let (number, message) = self.call.take().unwrap();
        let result = Ok(call_body(message));
        let _ = self.executor.handle_call_ended(REQUEST, number, result);
    }

    /// Acts as the dispatcher: makes each call, and starts a cancelled run again.
    fn handle(&mut self, events: Vec<ExecutionEvent>) {
        for event in events {
            match event {
                ExecutionEvent::CallRequested(id) => {
                    self.executor.start_call(id, SECOND);
                    self.last_call += 1;
                    self.call = Some((CallNumber(self.last_call), self.last_read));
                }
                ExecutionEvent::CallResultPossiblyLost(id) => self.continue_without_result(id),
                ExecutionEvent::Cancelled(id) => {
                    self.executor.forget(id);
                    self.call = None;
                    self.start_run();
                }
                ExecutionEvent::Ended(id, ..) => {
                    self.executor.forget(id);
                    self.engine.is_answered = true;
                }
                _ => {}
            }
        }
    }
}
