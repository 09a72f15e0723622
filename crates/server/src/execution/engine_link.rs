//! The link to the engine: kept open, taken up again where it broke.
use crate::event::Event;
use crate::protocol::engine::{Decoder, EngineCommand, EngineMessage, MessageNumber};
use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use std::collections::VecDeque;
use std::future::Future;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

const SHORTEST_PAUSE: Duration = Duration::from_millis(5);
const LONGEST_PAUSE: Duration = Duration::from_millis(500);
const CONNECT_LIMIT: Duration = Duration::from_secs(2);
const READ: usize = 16_384;
/// How long a link that was left for another stays open.
const LEFT_OPEN: Duration = Duration::from_secs(1);

/// Connects again and again, with growing pauses; the notices read whole are never asked for again. `moves`
/// tells new addresses of the engine.
pub async fn keep(mut addr: SocketAddr, moves: Receiver<SocketAddr>, desk: Sender<Event>) {
    let mut last = MessageNumber(0);
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
    last: &mut MessageNumber,
    desk: &Sender<Event>,
    moving: impl Future<Output = ()>,
    before: &mut Option<Async<TcpStream>>,
) -> bool {
    let (outlet, commands) = async_channel::unbounded();
    let _ = outlet.try_send(EngineCommand::Attach(*last));
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
        let _ = desk.send(Event::EngineDown(left)).await;
    }
    greeted.is_some()
}

async fn read(
    stream: &Async<TcpStream>,
    last: &mut MessageNumber,
    desk: &Sender<Event>,
    outlet: Sender<EngineCommand>,
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
                EngineMessage::Hello { age_ms } => {
                    *greeted = Some(());
                    Event::EngineUp {
                        age_ms,
                        outlet: outlet.clone(),
                    }
                }
                EngineMessage::Remark(_) => {
                    *last = number.unwrap_or(*last);
                    continue;
                }
                EngineMessage::Unknown(line) => {
                    tracing::warn!(line = line.get(..80).unwrap_or(&line), "an unknown notice");
                    continue;
                }
                other => Event::EngineMessage(other),
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
    commands: &Receiver<EngineCommand>,
    unsent: &mut VecDeque<(EngineCommand, usize)>,
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
