//! Commands to the engine: sent over the link while there is one, and queued while there is none.
use crate::protocol::engine::{EngineCommand, Tag};
use async_channel::Sender;
use cottondyke_types::{Time, SECOND};

/// Commands that may wait while the engine reads none; past that no cancel is repeated. All others are one a request.
const MAX_PENDING_COMMANDS: usize = 1_024;
/// The answer to the fence is waited for so long.
const FENCE_TIMEOUT: Time = SECOND;

/// A question whose answer shows that all messages of earlier links have been read.
#[derive(Debug)]
struct Fence {
    tag: Tag,
    until: Time,
}

/// What the dispatcher knows of the engine's link: its way in, and what waits for a link.
#[derive(Default)]
pub struct EngineCommandQueue {
    link: Option<Sender<EngineCommand>>,
    /// Stands after a link was opened, until the backlog may go out.
    fence: Option<Fence>,
    backlog: Vec<EngineCommand>,
    next_tag: u64,
    /// A load query that has not been answered: one question at a time.
    pending_load_query: Option<Tag>,
    was_ever_up: bool,
}

impl EngineCommandQueue {
    /// A link is open; it takes commands at `link`.
    pub fn link_up(&mut self, now: Time, link: Sender<EngineCommand>) {
        self.was_ever_up = true;
        self.link = Some(link);
        let tag = self.ask(EngineCommand::QueryLoad);
        self.fence = tag.map(|tag| Fence {
            tag,
            until: now + FENCE_TIMEOUT,
        });
    }

    /// The link broke. What was not sent to its last byte was not carried out: it waits, as what comes meanwhile does.
    pub fn link_down(&mut self, unsent: Vec<EngineCommand>) {
        self.link = None;
        self.fence = None;
        self.pending_load_query = None;
        let later = std::mem::take(&mut self.backlog);
        for command in unsent.into_iter().chain(later) {
            self.send(command);
        }
    }

    /// True once, when the answer with this tag is the fence's: now the backlog can go out.
    pub fn pass_fence(&mut self, tag: Tag) -> bool {
        self.fence.take_if(|fence| fence.tag == tag).is_some()
    }

    /// True once, when the fence has not been answered in time: what waited can wait no longer.
    pub fn expire_fence(&mut self, now: Time) -> bool {
        self.fence.take_if(|fence| fence.until <= now).is_some()
    }

    /// Sends what waited, after commands of runs that may have been lost with the last link.
    pub fn resume(&mut self, repeated: Vec<EngineCommand>) {
        let backlog = std::mem::take(&mut self.backlog);
        for command in repeated.into_iter().chain(backlog) {
            self.send(command);
        }
    }

    /// Whether a command waits for a link.
    pub fn is_queued(&self, command: &EngineCommand) -> bool {
        self.backlog.contains(command)
    }

    /// Forgets what waits.
    pub fn clear(&mut self) {
        self.backlog.clear();
    }

    /// Sends a command, or queues it where there is no link.
    pub fn send(&mut self, command: EngineCommand) {
        let is_cancel = matches!(command, EngineCommand::CancelRun(_));
        let command = match &self.link {
            Some(link) if is_cancel && link.len() >= MAX_PENDING_COMMANDS => return,
            Some(link) if self.fence.is_none() => match link.try_send(command) {
                Ok(()) => return,
                Err(closed) => closed.into_inner(),
            },
            _ => command,
        };
        // Cancels are asked for again and again; load and self-tests are of no use later.
        let is_useless_later = matches!(
            command,
            EngineCommand::QueryLoad(_) | EngineCommand::SelfTest(_) | EngineCommand::Attach(_)
        );
        let is_repeated = is_cancel && self.backlog.contains(&command);
        if !is_useless_later && !is_repeated {
            self.backlog.push(command);
        }
    }

    /// Asks a question; none while there is no link.
    pub fn ask(&mut self, question: fn(Tag) -> EngineCommand) -> Option<Tag> {
        let tag = Tag(self.next_tag);
        self.next_tag += 1;
        let link = self.link.as_ref()?;
        link.try_send(question(tag)).is_ok().then_some(tag)
    }

    /// Asks for the load gauges, unless the last question has not been answered.
    pub fn query_load(&mut self) -> Option<Tag> {
        if self.pending_load_query.is_some() {
            return None;
        }
        self.pending_load_query = self.ask(EngineCommand::QueryLoad);
        self.pending_load_query
    }

    /// Load gauges came.
    pub fn load_received(&mut self, tag: Tag) {
        self.pending_load_query.take_if(|pending| *pending == tag);
    }

    /// Whether there is a link.
    pub fn is_up(&self) -> bool {
        self.link.is_some()
    }

    /// Whether the engine has ever said hello.
    pub fn was_ever_up(&self) -> bool {
        self.was_ever_up
    }
}
