//! Commands to the engine: sent over the link while there is one, and queued while there is none.
use crate::protocol::engine::{EngineCommand, Tag};
use async_channel::Sender;
use cottondyke_types::{Time, SECOND};

/// Commands that may wait while the engine reads none; past that no halt is repeated. All others are one a req.
const MOST_WAITING: usize = 1_024;
const FENCE_WITHIN: Time = SECOND;

/// What the desk knows of the engine: the link's way in, and what waits for a link.
#[derive(Default)]
pub struct EngineCommandQueue {
    outlet: Option<Sender<EngineCommand>>,
    /// After a link was taken up again, its answer shows that all earlier notices are read. It is waited for
    /// until the time beside it.
    fence: Option<(Tag, Time)>,
    backlog: Vec<EngineCommand>,
    tags: u64,
    /// Gauges that were asked for and have not come: one question at a time.
    unanswered: Option<Tag>,
    /// Whether the engine has ever said hello.
    pub greeted: bool,
}

impl EngineCommandQueue {
    pub fn up(&mut self, now: Time, outlet: Sender<EngineCommand>) {
        self.greeted = true;
        self.outlet = Some(outlet);
        self.fence = self
            .ask(EngineCommand::Stat)
            .map(|tag| (tag, now + FENCE_WITHIN));
    }

    /// What was not sent whole was not carried out: it waits, as what comes meanwhile does.
    pub fn down(&mut self, unsent: Vec<EngineCommand>) {
        (self.outlet, self.fence, self.unanswered) = (None, None, None);
        let since = std::mem::take(&mut self.backlog);
        unsent
            .into_iter()
            .chain(since)
            .for_each(|command| self.send(command));
    }

    /// True once the fence is passed: now the backlog can go out.
    pub fn passed(&mut self, tag: Tag) -> bool {
        self.fence.take_if(|(fence, _)| *fence == tag).is_some()
    }

    /// True once, when the fence has not been answered in time: what waited can wait no longer.
    pub fn overdue(&mut self, now: Time) -> bool {
        self.fence.take_if(|(_, until)| *until <= now).is_some()
    }

    /// Sends what waited, after runs that may have been lost with the last link.
    pub fn resume(&mut self, again: Vec<EngineCommand>) {
        let backlog = std::mem::take(&mut self.backlog);
        again
            .into_iter()
            .chain(backlog)
            .for_each(|command| self.send(command));
    }

    pub fn waits(&self, command: &EngineCommand) -> bool {
        self.backlog.contains(command)
    }

    pub fn forget(&mut self) {
        self.backlog.clear();
    }

    pub fn send(&mut self, command: EngineCommand) {
        let halt = matches!(command, EngineCommand::Halt(_));
        let command = match &self.outlet {
            Some(outlet) if halt && outlet.len() >= MOST_WAITING => return,
            Some(outlet) if self.fence.is_none() => match outlet.try_send(command) {
                Ok(()) => return,
                Err(closed) => closed.into_inner(),
            },
            _ => command,
        };
        // Halts are asked for again and again; gauges and tests are of no use later.
        let useless = matches!(
            command,
            EngineCommand::Stat(_) | EngineCommand::Test(_) | EngineCommand::Attach(_)
        );
        let twice = halt && self.backlog.contains(&command);
        if !useless && !twice {
            self.backlog.push(command);
        }
    }

    /// Asks for gauges or a test; none while there is no link.
    pub fn ask(&mut self, command: fn(Tag) -> EngineCommand) -> Option<Tag> {
        let tag = Tag(self.tags);
        self.tags += 1;
        let sent = self
            .outlet
            .as_ref()
            .is_some_and(|outlet| outlet.try_send(command(tag)).is_ok());
        sent.then_some(tag)
    }

    /// Asks for gauges, unless the last were not sent yet.
    pub fn ask_gauges(&mut self) -> Option<Tag> {
        if self.unanswered.is_none() {
            self.unanswered = self.ask(EngineCommand::Stat);
            return self.unanswered;
        }
        None
    }

    pub fn gauges_came(&mut self, tag: Tag) {
        self.unanswered.take_if(|asked| *asked == tag);
    }

    pub fn is_up(&self) -> bool {
        self.outlet.is_some()
    }
}
