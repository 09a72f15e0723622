//! The state of a run on the engine: the call that it waits for, and the command that a broken link may have lost.
use super::ExecutionRequest;
use crate::event::CallNumber;
use crate::protocol::engine::{EngineCommand, MessageNumber};
use crate::protocol::WireId;
use async_executor::Task;
use cottondyke_types::{Time, SECOND};
use std::rc::Rc;

/// A command written to the engine up to this long before the link broke may not have been read.
const POSSIBLY_LOST_WINDOW: Time = SECOND;

/// A call that a run has requested and waits for.
pub(super) struct NeededCall {
    /// The engine's message that requested the call.
    pub(super) message: MessageNumber,
    /// The request body to send.
    pub(super) body: Vec<u8>,
}

/// A run, from its start command until its end.
pub(super) struct EngineRun {
    pub(super) wire_id: WireId,
    pub(super) class: Rc<str>,
    pub(super) body: Rc<[u8]>,
    pub(super) is_idempotent: bool,
    /// Whether a client still waits for the run.
    pub(super) is_awaited: bool,
    /// Whether a message of the engine has shown that the run began.
    pub(super) has_begun: bool,
    /// When the start command was passed to the link, or queued while there was no link.
    pub(super) commanded_at: Time,
    /// Whether the start command was queued because there was no link.
    pub(super) was_queued: bool,
    /// Whether the start command may have been lost with a link.
    pub(super) may_be_lost: bool,
    /// The call that the run waits for.
    pub(super) needed_call: Option<NeededCall>,
    /// The command that resumes the run after its call, and when it was sent, until the run requests its next call.
    pub(super) resume_command: Option<(Time, EngineCommand)>,
    /// The call in flight; dropping its task cancels it.
    pub(super) call: Option<(CallNumber, Task<()>)>,
}

impl EngineRun {
    /// Creates a run whose start command is sent now.
    pub(super) fn new(
        now: Time,
        request: &ExecutionRequest,
        class: Rc<str>,
        is_idempotent: bool,
    ) -> Self {
        EngineRun {
            wire_id: request.wire_id,
            class,
            body: request.body.clone(),
            is_idempotent,
            is_awaited: true,
            has_begun: false,
            commanded_at: now,
            was_queued: false,
            may_be_lost: false,
            needed_call: None,
            resume_command: None,
            call: None,
        }
    }

    /// The link broke. A start command that was written shortly before may not have been read.
    pub(super) fn link_lost(&mut self, now: Time, link_up_at: Time) {
        let written_at = if self.was_queued {
            self.commanded_at.max(link_up_at)
        } else {
            self.commanded_at
        };
        self.may_be_lost |= !self.has_begun && now - written_at <= POSSIBLY_LOST_WINDOW;
    }

    /// The command that starts the run.
    pub(super) fn start_command(&self) -> EngineCommand {
        EngineCommand::StartRun {
            id: self.wire_id,
            class: self.class.clone(),
            body: self.body.clone(),
        }
    }

    /// The command that was completely written but may have been lost with the link that broke at `link_lost_at`.
    pub(super) fn possibly_lost_command(&self, link_lost_at: Time) -> Option<EngineCommand> {
        match &self.resume_command {
            Some((at, command)) if link_lost_at - *at <= POSSIBLY_LOST_WINDOW => {
                Some(command.clone())
            }
            _ => (!self.has_begun && self.is_idempotent).then(|| self.start_command()),
        }
    }
}
