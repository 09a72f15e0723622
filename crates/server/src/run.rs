//! The link to the engine: kept open, taken up again where it broke.
use crate::input::Input;
use crate::wire::engine::{Command, Decoder, Notice, NoticeNo, Tag};
use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use cottondyke_types::{Time, SECOND};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use std::collections::VecDeque;
use std::future::Future;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

const SHORTEST_PAUSE: Duration = Duration::from_millis(5);
const LONGEST_PAUSE: Duration = Duration::from_millis(500);
const CONNECT_LIMIT: Duration = Duration::from_secs(2);
/// Commands that may wait while the engine reads none; past that no halt is repeated. All others are one a req.
const MOST_WAITING: usize = 1_024;
const READ: usize = 16_384;
/// How long a link that was left for another stays open.
const LEFT_OPEN: Duration = Duration::from_secs(1);
const FENCE_WITHIN: Time = SECOND;

/// Connects again and again, with growing pauses; the notices read whole are never asked for again. `moves`
/// tells new addresses of the engine.
pub async fn keep(mut addr: SocketAddr, moves: Receiver<SocketAddr>, desk: Sender<Input>) {
    let mut last = NoticeNo(0);
    let mut pause = SHORTEST_PAUSE;
    let mut before = None;
    loop {
        let mut to = addr;
        let late = async {
            Timer::after(CONNECT_LIMIT).await;
            Err(std::io::ErrorKind::TimedOut.into())
        };
        let moving = async {
            moved(&moves, &mut to).await;
            Err(std::io::ErrorKind::Interrupted.into())
        };
        match Async::<TcpStream>::connect(addr).or(late).or(moving).await {
            Ok(stream) => {
                let _ = stream.get_ref().set_nodelay(true);
                let moving = moved(&moves, &mut to);
                if attached(&stream, &mut last, &desk, moving, &mut before).await {
                    pause = SHORTEST_PAUSE;
                }
                if to != addr {
                    let _ = stream.get_ref().shutdown(Shutdown::Write);
                    before = Some(stream);
                }
            }
            Err(error) => tracing::debug!(%error, "the engine cannot be reached"),
        }
        if to == addr {
            let rest = async {
                Timer::after(pause).await;
            };
            rest.or(moved(&moves, &mut to)).await;
            pause = (pause * 2).min(LONGEST_PAUSE);
        }
        if to != addr {
            tracing::info!(engine = %to, "the engine has a new address");
            (addr, pause) = (to, SHORTEST_PAUSE);
        }
    }
}

async fn moved(moves: &Receiver<SocketAddr>, to: &mut SocketAddr) {
    match moves.recv().await {
        Ok(next) => *to = next,
        Err(_) => std::future::pending().await,
    }
}

/// One link, from `ATTACH` until it breaks or `moving` ends; true if the engine said hello on it. A link that
/// was left for it stays open a little: closed with notices unread, it could take the last commands with it.
async fn attached(
    stream: &Async<TcpStream>,
    last: &mut NoticeNo,
    desk: &Sender<Input>,
    moving: impl Future<Output = ()>,
    before: &mut Option<Async<TcpStream>>,
) -> bool {
    let (outlet, commands) = async_channel::unbounded();
    let _ = outlet.try_send(Command::Attach(*last));
    let mut unsent = VecDeque::new();
    let mut greeted = None;
    let why = {
        let reading = read(stream, last, desk, outlet, &mut greeted);
        let writing = write(stream, &commands, &mut unsent);
        let leaving = async {
            moving.await;
            "it moves"
        };
        let parting = async {
            Timer::after(LEFT_OPEN).await;
            *before = None;
            std::future::pending().await
        };
        reading.or(writing).or(leaving).or(parting).await
    };
    tracing::warn!(why, "the link to the engine broke");
    commands.close();
    let left = unsent.into_iter().map(|(command, _)| command);
    let left: Vec<_> = left
        .chain(std::iter::from_fn(|| commands.try_recv().ok()))
        .collect();
    if greeted.is_some() {
        let _ = desk.send(Input::EngineDown(left)).await;
    }
    greeted.is_some()
}

async fn read(
    stream: &Async<TcpStream>,
    last: &mut NoticeNo,
    desk: &Sender<Input>,
    outlet: Sender<Command>,
    greeted: &mut Option<()>,
) -> &'static str {
    let mut decoder = Decoder::default();
    let mut bytes = vec![0; READ];
    loop {
        match (&mut &*stream).read(&mut bytes).await {
            Ok(count) if count > 0 => decoder.feed(&bytes[..count]),
            Ok(_) => return "closed by the engine",
            Err(_) => return "reset",
        }
        loop {
            let notice = match decoder.notice() {
                Ok(Some(notice)) => notice,
                Ok(None) => break,
                Err(wrong) => return wrong.0,
            };
            let number = notice.number();
            // A notice that comes again changes nothing.
            if number.is_some_and(|no| no <= *last) {
                continue;
            }
            let input = match notice {
                Notice::Hello { age_ms } => {
                    *greeted = Some(());
                    Input::EngineUp {
                        age_ms,
                        outlet: outlet.clone(),
                    }
                }
                Notice::Remark(_) => {
                    *last = number.unwrap_or(*last);
                    continue;
                }
                Notice::Unknown(line) => {
                    tracing::warn!(line = line.get(..80).unwrap_or(&line), "an unknown notice");
                    continue;
                }
                other => Input::Notice(other),
            };
            if desk.send(input).await.is_err() {
                return "the desk has ended";
            }
            *last = number.unwrap_or(*last);
        }
    }
}

/// Writes commands; what was not written to its last byte stays in `unsent`.
async fn write(
    stream: &Async<TcpStream>,
    commands: &Receiver<Command>,
    unsent: &mut VecDeque<(Command, usize)>,
) -> &'static str {
    let mut bytes = Vec::new();
    while let Ok(first) = commands.recv().await {
        bytes.clear();
        for command in std::iter::once(first).chain(std::iter::from_fn(|| commands.try_recv().ok()))
        {
            command.encode(&mut bytes);
            unsent.push_back((command, bytes.len()));
        }
        let mut written = 0;
        while written < bytes.len() {
            match (&mut &*stream).write(&bytes[written..]).await {
                Ok(count) if count > 0 => written += count,
                _ => return "broke while commands were sent",
            }
            while unsent.front().is_some_and(|(_, end)| *end <= written) {
                unsent.pop_front();
            }
        }
    }
    "the desk let it go"
}

/// What the desk knows of the engine: the link's way in, and what waits for a link.
#[derive(Default)]
pub struct Engine {
    outlet: Option<Sender<Command>>,
    /// After a link was taken up again, its answer shows that all earlier notices are read. It is waited for
    /// until the time beside it.
    fence: Option<(Tag, Time)>,
    backlog: Vec<Command>,
    tags: u64,
    /// Gauges that were asked for and have not come: one question at a time.
    unanswered: Option<Tag>,
    /// Whether the engine has ever said hello.
    pub greeted: bool,
}

impl Engine {
    pub fn up(&mut self, now: Time, outlet: Sender<Command>) {
        self.greeted = true;
        self.outlet = Some(outlet);
        self.fence = self.ask(Command::Stat).map(|tag| (tag, now + FENCE_WITHIN));
    }

    /// What was not sent whole was not carried out: it waits, as what comes meanwhile does.
    pub fn down(&mut self, unsent: Vec<Command>) {
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
    pub fn resume(&mut self, again: Vec<Command>) {
        let backlog = std::mem::take(&mut self.backlog);
        again
            .into_iter()
            .chain(backlog)
            .for_each(|command| self.send(command));
    }

    pub fn waits(&self, command: &Command) -> bool {
        self.backlog.contains(command)
    }

    pub fn forget(&mut self) {
        self.backlog.clear();
    }

    pub fn send(&mut self, command: Command) {
        let halt = matches!(command, Command::Halt(_));
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
            Command::Stat(_) | Command::Test(_) | Command::Attach(_)
        );
        let twice = halt && self.backlog.contains(&command);
        if !useless && !twice {
            self.backlog.push(command);
        }
    }

    /// Asks for gauges or a test; none while there is no link.
    pub fn ask(&mut self, command: fn(Tag) -> Command) -> Option<Tag> {
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
            self.unanswered = self.ask(Command::Stat);
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
