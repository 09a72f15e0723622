//! Commands to the engine: sent over the link while there is one, and queued while there is none.
use crate::protocol::engine::{EngineCommand, Tag};
use crate::protocol::WireId;
use async_channel::Sender;
use cottondyke_types::{Time, SECOND};
use std::collections::BTreeSet;

/// While this many commands wait to be written to the link, cancellations are dropped, since they are requested again.
/// All other commands are bounded by the number of requests.
const MAX_PENDING_COMMANDS: usize = 1_024;
/// How long to wait for the answer to the fence.
const FENCE_TIMEOUT: Time = SECOND;

/// How far a command is known to have come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// It waits for a link, or for the link's fence. The engine has not received it.
    Queued,
    /// It was passed to the link. The engine reads commands in order, so it has read this one once it answers the query
    /// with this tag or a later one on the same link.
    Sent(Tag),
    /// The engine has read it.
    Read,
    /// Its link broke before the engine showed that it had read it.
    PossiblyLost,
}

/// A query whose answer shows that all messages of earlier links have been read.
#[derive(Debug)]
struct Fence {
    tag: Tag,
    /// When commands no longer wait for the answer; `None` from then on.
    expires_at: Option<Time>,
}

/// The sending side of the engine's link, and the commands that are queued until a link is open.
#[derive(Default)]
pub struct EngineCommandQueue {
    link: Option<Sender<EngineCommand>>,
    /// Set when a link is opened, until the backlog may be sent.
    fence: Option<Fence>,
    backlog: Vec<EngineCommand>,
    next_tag: u64,
    /// The latest query that was answered.
    last_answered: Option<Tag>,
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
            expires_at: Some(now + FENCE_TIMEOUT),
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

    /// Removes the fence if this tag is the tag of its query. Returns true if so: the backlog can be sent. An answer that
    /// comes after the fence has expired counts as well.
    pub fn pass_fence(&mut self, tag: Tag) -> bool {
        self.fence.take_if(|fence| fence.tag == tag).is_some()
    }

    /// Stops holding back commands if the fence was not answered in time. Returns true if so: the backlog must be sent.
    pub fn expire_fence(&mut self, now: Time) -> bool {
        let fence = self.fence.as_mut();
        fence.is_some_and(|fence| fence.expires_at.take_if(|at| *at <= now).is_some())
    }

    /// Whether commands wait for the answer to the fence.
    fn holds_back(&self) -> bool {
        self.fence
            .as_ref()
            .is_some_and(|fence| fence.expires_at.is_some())
    }

    /// Sends the backlog. Returns how far its commands have come.
    pub fn resume(&mut self) -> Delivery {
        let backlog = std::mem::take(&mut self.backlog);
        for command in backlog {
            self.send(command);
        }
        self.delivery_of_next()
    }

    /// The runs with a queued command that lets them begin or continue.
    pub fn queued_runs(&self) -> BTreeSet<WireId> {
        let run_of = |command: &EngineCommand| match command {
            EngineCommand::StartRun { id, .. }
            | EngineCommand::CallResult(id, _)
            | EngineCommand::SkipCall(id, _) => Some(*id),
            EngineCommand::CancelRun(_)
            | EngineCommand::QueryLoad(_)
            | EngineCommand::SelfTest(_)
            | EngineCommand::Attach(_) => None,
        };
        self.backlog.iter().filter_map(run_of).collect()
    }

    /// Drops all queued commands.
    pub fn clear(&mut self) {
        self.backlog.clear();
    }

    /// Sends a command, or queues it while there is no link or its fence is pending.
    pub fn send(&mut self, command: EngineCommand) -> Delivery {
        let is_cancel = matches!(command, EngineCommand::CancelRun(_));
        let command = match &self.link {
            Some(link) if is_cancel && link.len() >= MAX_PENDING_COMMANDS => {
                return Delivery::Queued;
            }
            Some(link) if !self.holds_back() => match link.try_send(command) {
                Ok(()) => return self.delivery_of_next(),
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
        Delivery::Queued
    }

    /// The delivery of a command that is passed to the link now.
    fn delivery_of_next(&self) -> Delivery {
        Delivery::Sent(Tag(self.next_tag))
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
        let was_sent = tag < Tag(self.next_tag);
        self.last_answered = self.last_answered.max(was_sent.then_some(tag));
        self.pending_load_query.take_if(|pending| *pending == tag);
    }

    /// The latest query that was answered.
    pub fn last_answered(&self) -> Option<Tag> {
        self.last_answered
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
