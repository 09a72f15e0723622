//! The state of a run on the engine: the call that it waits for, and its last command, which a broken link may have lost.
use super::command_queue::Delivery;
use super::ExecutionRequest;
use crate::event::CallNumber;
use crate::protocol::engine::{EngineCommand, MessageNumber, Tag};
use crate::protocol::WireId;
use async_executor::Task;
use std::rc::Rc;

/// A call that a run has requested and waits for.
pub(super) struct NeededCall {
    /// The engine's message that requested the call.
    pub(super) message: MessageNumber,
    /// The request body to send.
    pub(super) body: Vec<u8>,
}

/// The last command that let a run begin or continue. A message of the run shows that the engine has read all earlier
/// ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LastCommand {
    /// The run was started.
    Start,
    /// The run was given the result of the call that this message requested.
    CallResult(MessageNumber),
    /// The run was to continue without the call that this message requested.
    SkipCall(MessageNumber),
}

/// A run, from its start command until its end.
pub(super) struct EngineRun {
    pub(super) wire_id: WireId,
    pub(super) class: Rc<str>,
    pub(super) body: Rc<[u8]>,
    pub(super) is_idempotent: bool,
    /// Whether a client still waits for the run.
    pub(super) is_awaited: bool,
    pub(super) last_command: LastCommand,
    /// How far the last command is known to have come.
    pub(super) delivery: Delivery,
    /// The call that the run waits for.
    pub(super) needed_call: Option<NeededCall>,
    /// The call in flight; dropping its task cancels it.
    pub(super) call: Option<(CallNumber, Task<()>)>,
}

impl EngineRun {
    /// Creates a run whose start command has not been sent.
    pub(super) fn new(request: &ExecutionRequest, class: Rc<str>, is_idempotent: bool) -> Self {
        EngineRun {
            wire_id: request.wire_id,
            class,
            body: request.body.clone(),
            is_idempotent,
            is_awaited: true,
            last_command: LastCommand::Start,
            delivery: Delivery::Queued,
            needed_call: None,
            call: None,
        }
    }

    /// The run requested a call, so the engine has read its last command.
    pub(super) fn request_call(&mut self, call: NeededCall) {
        self.needed_call = Some(call);
        self.call = None;
        self.delivery = Delivery::Read;
    }

    /// The link broke. The last command may be lost unless the engine answered a query that was sent after it.
    pub(super) fn link_lost(&mut self, last_answered: Option<Tag>) {
        if let Delivery::Sent(next_query) = self.delivery {
            let is_read = last_answered.is_some_and(|answered| answered >= next_query);
            self.delivery = match is_read {
                true => Delivery::Read,
                false => Delivery::PossiblyLost,
            };
        }
    }

    /// Whether a message of the engine has shown that the run began.
    pub(super) fn has_begun(&self) -> bool {
        self.needed_call.is_some() || self.last_command != LastCommand::Start
    }

    /// Whether the engine may never have received the run.
    pub(super) fn may_be_unknown(&self) -> bool {
        !self.has_begun() && self.delivery == Delivery::PossiblyLost
    }

    /// The call whose result may have been lost, so that the run may still wait for it.
    pub(super) fn call_without_result(&self) -> Option<MessageNumber> {
        match self.last_command {
            LastCommand::CallResult(message) if self.delivery == Delivery::PossiblyLost => {
                Some(message)
            }
            _ => None,
        }
    }

    /// The command that starts the run.
    pub(super) fn start_command(&self) -> EngineCommand {
        EngineCommand::StartRun {
            id: self.wire_id,
            class: self.class.clone(),
            body: self.body.clone(),
        }
    }

    /// The last command, if it may have been lost and has no effect on a run that received it. A start has none on a
    /// run that goes on, and a skip names its call. The result of a call names none: a run that has gone on would take
    /// it as the result of its next call, so it is never sent again.
    pub(super) fn repeatable_command(&self) -> Option<EngineCommand> {
        if self.delivery != Delivery::PossiblyLost {
            return None;
        }
        match self.last_command {
            LastCommand::Start => self.is_idempotent.then(|| self.start_command()),
            LastCommand::SkipCall(message) => Some(EngineCommand::SkipCall(self.wire_id, message)),
            LastCommand::CallResult(_) => None,
        }
    }
}
