//! One run on the engine: what it waits for, and what of it a broken link may have lost.
use super::ExecutionRequest;
use crate::event::CallNumber;
use crate::protocol::engine::{EngineCommand, MessageNumber};
use crate::protocol::WireId;
use async_executor::Task;
use cottondyke_types::{Time, SECOND};
use std::rc::Rc;

/// What was written to the engine this long before its link broke may not have been read.
const POSSIBLY_LOST_WINDOW: Time = SECOND;

/// A call that a run waits for.
pub(super) struct NeededCall {
    /// The engine's message that asked for it.
    pub(super) message: MessageNumber,
    /// What is to be sent.
    pub(super) body: Vec<u8>,
}

/// A run, from its command until its end.
pub(super) struct EngineRun {
    pub(super) wire_id: WireId,
    pub(super) class: Rc<str>,
    pub(super) body: Rc<[u8]>,
    pub(super) is_idempotent: bool,
    /// Whether anybody still waits for it.
    pub(super) is_wanted: bool,
    /// Whether the engine has shown that it runs.
    pub(super) has_begun: bool,
    /// When its command was given to the link, or to the queue while there was none.
    pub(super) commanded_at: Time,
    /// Whether it was given to the queue.
    pub(super) was_queued: bool,
    /// Whether its command may have been lost with a link.
    pub(super) may_be_lost: bool,
    /// The call that the run waits for.
    pub(super) needed_call: Option<NeededCall>,
    /// When the run was told to go on from its call, and how, until the engine shows that it has.
    pub(super) resumed: Option<(Time, EngineCommand)>,
    /// The call in flight; dropping its task cancels it.
    pub(super) call: Option<(CallNumber, Task<()>)>,
}

impl EngineRun {
    /// A run that is commanded now.
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
            is_wanted: true,
            has_begun: false,
            commanded_at: now,
            was_queued: false,
            may_be_lost: false,
            needed_call: None,
            resumed: None,
            call: None,
        }
    }

    /// The link broke: a command written shortly before may not have been read.
    pub(super) fn link_lost(&mut self, now: Time, link_up_at: Time) {
        let written_at = if self.was_queued {
            self.commanded_at.max(link_up_at)
        } else {
            self.commanded_at
        };
        self.may_be_lost |= !self.has_begun && now - written_at <= POSSIBLY_LOST_WINDOW;
    }

    /// The command that starts it.
    pub(super) fn start_command(&self) -> EngineCommand {
        EngineCommand::StartRun {
            id: self.wire_id,
            class: self.class.clone(),
            body: self.body.clone(),
        }
    }

    /// What may have been lost with a link that broke then, though it was written to its last byte.
    pub(super) fn possibly_lost_command(&self, link_lost_at: Time) -> Option<EngineCommand> {
        match &self.resumed {
            Some((at, command)) if link_lost_at - *at <= POSSIBLY_LOST_WINDOW => {
                Some(command.clone())
            }
            _ => (!self.has_begun && self.is_idempotent).then(|| self.start_command()),
        }
    }
}
