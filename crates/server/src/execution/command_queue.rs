//! Commands to the engine: sent over the link while there is one, and queued while there is none.
use crate::protocol::engine::{EngineCommand, Tag};
use async_channel::Sender;
use cottondyke_types::{Time, SECOND};

/// While this many commands wait to be written to the link, cancellations are dropped, since they are requested again.
/// All other commands are bounded by the number of requests.
const MAX_PENDING_COMMANDS: usize = 1_024;
/// How long to wait for the answer to the fence.
const FENCE_TIMEOUT: Time = SECOND;

/// A query whose answer shows that all messages of earlier links have been read.
#[derive(Debug)]
struct Fence {
    tag: Tag,
    expires_at: Time,
}

/// The sending side of the engine's link, and the commands that are queued until a link is open.
#[derive(Default)]
pub struct EngineCommandQueue {
    link: Option<Sender<EngineCommand>>,
    /// Set when a link is opened, until the backlog may be sent.
    fence: Option<Fence>,
    backlog: Vec<EngineCommand>,
    next_tag: u64,
    /// The unanswered load query; there is at most one at a time.
    pending_load_query: Option<Tag>,
    was_ever_up: bool,
}

impl EngineCommandQueue {
    /// A link was opened; `link` accepts commands for it.
    pub fn link_up(&mut self, now: Time, link: Sender<EngineCommand>) {
        self.was_ever_up = true;
        self.link = Some(link);
        let tag = self.send_query(EngineCommand::QueryLoad);
        self.fence = tag.map(|tag| Fence {
            tag,
            expires_at: now + FENCE_TIMEOUT,
        });
    }

    /// The link broke. The commands in `unsent` were not completely written and thus not executed. They are queued
    /// again, before the commands that were queued meanwhile.
    pub fn link_down(&mut self, unsent: Vec<EngineCommand>) {
        self.link = None;
        self.fence = None;
        self.pending_load_query = None;
        let backlog = std::mem::take(&mut self.backlog);
        for command in unsent.into_iter().chain(backlog) {
            self.send(command);
        }
    }

    /// Removes the fence if this tag is the tag of its query. Returns true if so: the backlog can be sent.
    pub fn pass_fence(&mut self, tag: Tag) -> bool {
        self.fence.take_if(|fence| fence.tag == tag).is_some()
    }

    /// Removes the fence if it was not answered in time. Returns true if so: the backlog must be sent.
    pub fn expire_fence(&mut self, now: Time) -> bool {
        self.fence
            .take_if(|fence| fence.expires_at <= now)
            .is_some()
    }

    /// Sends the backlog, after the commands that are resent because the last link may have lost them.
    pub fn resume(&mut self, resent: Vec<EngineCommand>) {
        let backlog = std::mem::take(&mut self.backlog);
        for command in resent.into_iter().chain(backlog) {
            self.send(command);
        }
    }

    /// Whether a command is queued.
    pub fn is_queued(&self, command: &EngineCommand) -> bool {
        self.backlog.contains(command)
    }

    /// Drops all queued commands.
    pub fn clear(&mut self) {
        self.backlog.clear();
    }

    /// Sends a command, or queues it while there is no link or its fence is pending.
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
        // Cancellations are requested repeatedly, so one is enough. Queries are of no use on a later link.
        let is_transient = matches!(
            command,
            EngineCommand::QueryLoad(_) | EngineCommand::SelfTest(_) | EngineCommand::Attach(_)
        );
        let is_duplicate = is_cancel && self.backlog.contains(&command);
        if !is_transient && !is_duplicate {
            self.backlog.push(command);
        }
    }

    /// Sends a query past the backlog and returns its tag; returns `None` while there is no link.
    pub fn send_query(&mut self, query: fn(Tag) -> EngineCommand) -> Option<Tag> {
        let tag = Tag(self.next_tag);
        self.next_tag += 1;
        let link = self.link.as_ref()?;
        link.try_send(query(tag)).is_ok().then_some(tag)
    }

    /// Queries the load gauges, unless the previous query has not been answered.
    pub fn query_load(&mut self) -> Option<Tag> {
        if self.pending_load_query.is_some() {
            return None;
        }
        self.pending_load_query = self.send_query(EngineCommand::QueryLoad);
        self.pending_load_query
    }

    /// The load gauges that were queried with this tag have arrived.
    pub fn load_received(&mut self, tag: Tag) {
        self.pending_load_query.take_if(|pending| *pending == tag);
    }

    /// Whether a link is open.
    pub fn is_up(&self) -> bool {
        self.link.is_some()
    }

    /// Whether the engine has ever sent `HELLO`.
    pub fn was_ever_up(&self) -> bool {
        self.was_ever_up
    }
}
