//! The link to the engine: kept open, opened again where it broke.
use crate::backoff::Backoff;
use crate::event::Event;
use crate::protocol::engine::{Decoder, EngineCommand, EngineMessage, MessageNumber};
use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt, FutureExt};
use std::collections::VecDeque;
use std::future::Future;
use std::io;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

const MIN_BACKOFF: Duration = Duration::from_millis(5);
const MAX_BACKOFF: Duration = Duration::from_millis(500);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
const READ_BYTES: usize = 16_384;
/// How long a link that was left for another address stays open.
const ABANDONED_LINK_LIFETIME: Duration = Duration::from_secs(1);
/// Characters of an unknown line that are logged.
const MAX_LOGGED_LINE: usize = 80;

/// Connects again and again, with growing backoff; messages that were read are never asked for again. `moves` tells
/// new addresses of the engine.
pub async fn run(mut addr: SocketAddr, moves: Receiver<SocketAddr>, events: Sender<Event>) {
    let mut link = EngineLink {
        events,
        last_message: MessageNumber(0),
        abandoned: None,
    };
    let mut backoff = Backoff::new(MIN_BACKOFF, MAX_BACKOFF);
    loop {
        let mut next_addr = addr;
        match connect(addr, &moves, &mut next_addr).await {
            Ok(stream) => {
                let _ = stream.get_ref().set_nodelay(true);
                let moving = wait_for_move(&moves, &mut next_addr);
                if link.serve(&stream, moving).await {
                    backoff.reset();
                }
                if next_addr != addr {
                    let _ = stream.get_ref().shutdown(Shutdown::Write);
                    link.abandoned = Some(stream);
                }
            }
            Err(error) => tracing::debug!(%error, "cannot connect to the engine"),
        }
        if next_addr == addr {
            let moving = wait_for_move(&moves, &mut next_addr);
            backoff.wait().or(moving).await;
        }
        if next_addr != addr {
            tracing::info!(engine = %next_addr, "engine address changed");
            addr = next_addr;
            backoff.reset();
        }
    }
}

/// Connects in bounded time, or until the engine moves.
async fn connect(
    addr: SocketAddr,
    moves: &Receiver<SocketAddr>,
    next_addr: &mut SocketAddr,
) -> io::Result<Async<TcpStream>> {
    let timeout = async {
        Timer::after(CONNECT_TIMEOUT).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    let moving = async {
        wait_for_move(moves, next_addr).await;
        Err(io::ErrorKind::Interrupted.into())
    };
    let connecting = Async::<TcpStream>::connect(addr);
    connecting.or(timeout).or(moving).await
}

async fn wait_for_move(moves: &Receiver<SocketAddr>, next_addr: &mut SocketAddr) {
    match moves.recv().await {
        Ok(addr) => *next_addr = addr,
        Err(_) => future::pending().await,
    }
}

/// What lasts from link to link.
struct EngineLink {
    events: Sender<Event>,
    /// The last message that was read and handed on.
    last_message: MessageNumber,
    /// A link that was left for another address.
    abandoned: Option<Async<TcpStream>>,
}

impl EngineLink {
    /// One link, from `ATTACH` until it breaks or `moving` ends; true if the engine said hello on it. A link that was
    /// left for it stays open a little: closed with messages unread, it could take the last commands with it.
    async fn serve(&mut self, stream: &Async<TcpStream>, moving: impl Future<Output = ()>) -> bool {
        let (sender, commands) = async_channel::unbounded();
        let _ = sender.try_send(EngineCommand::Attach(self.last_message));
        let mut unsent = VecDeque::new();
        let mut reader = LinkReader {
            stream,
            events: &self.events,
            last_message: &mut self.last_message,
            commands: sender,
            has_hello: false,
        };
        let abandoned = &mut self.abandoned;
        let reason = {
            let reading = reader.run();
            let writing = write_commands(stream, &commands, &mut unsent);
            let moving = async {
                moving.await;
                "its address changed"
            };
            let closing_abandoned = async {
                Timer::after(ABANDONED_LINK_LIFETIME).await;
                *abandoned = None;
                future::pending().await
            };
            reading.or(writing).or(moving).or(closing_abandoned).await
        };
        tracing::warn!(reason, "lost the link to the engine");
        commands.close();
        let has_hello = reader.has_hello;
        if has_hello {
            let unsent = unsent.into_iter().map(|(command, _)| command);
            let queued = std::iter::from_fn(|| commands.try_recv().ok());
            let unsent = unsent.chain(queued).collect();
            let _ = self.events.send(Event::EngineDown(unsent)).await;
        }
        has_hello
    }
}

struct LinkReader<'a> {
    stream: &'a Async<TcpStream>,
    events: &'a Sender<Event>,
    last_message: &'a mut MessageNumber,
    /// Handed to the dispatcher with the engine's hello.
    commands: Sender<EngineCommand>,
    has_hello: bool,
}

impl LinkReader<'_> {
    /// Reads until the link breaks, and says why it did.
    async fn run(&mut self) -> &'static str {
        let mut decoder = Decoder::default();
        let mut bytes = vec![0; READ_BYTES];
        loop {
            match (&mut &*self.stream).read(&mut bytes).await {
                Ok(count) if count > 0 => decoder.feed(&bytes[..count]),
                Ok(_) => return "closed by the engine",
                Err(_) => return "reset",
            }
            loop {
                let message = match decoder.next_message() {
                    Ok(Some(message)) => message,
                    Ok(None) => break,
                    Err(error) => return error.message(),
                };
                if !self.forward(message).await {
                    return "the dispatcher has ended";
                }
            }
        }
    }

    /// Hands a message to the dispatcher; false where it has ended.
    async fn forward(&mut self, message: EngineMessage) -> bool {
        let number = message.number();
        // A message that comes again changes nothing.
        if number.is_some_and(|number| number <= *self.last_message) {
            return true;
        }
        let event = match message {
            EngineMessage::Hello { start, age_ms } => {
                self.has_hello = true;
                Some(Event::EngineUp {
                    start,
                    age_ms,
                    commands: self.commands.clone(),
                })
            }
            EngineMessage::Note(_) => None,
            EngineMessage::Unknown(line) => {
                let line = line.get(..MAX_LOGGED_LINE).unwrap_or(&line);
                tracing::warn!(line, "unknown engine message");
                None
            }
            other => Some(Event::EngineMessage(other)),
        };
        if let Some(event) = event {
            if self.events.send(event).await.is_err() {
                return false;
            }
        }
        *self.last_message = number.unwrap_or(*self.last_message);
        true
    }
}

/// Writes commands; what was not written to its last byte stays in `unsent`, with the byte at which it ends. Says why
/// the link broke.
async fn write_commands(
    stream: &Async<TcpStream>,
    commands: &Receiver<EngineCommand>,
    unsent: &mut VecDeque<(EngineCommand, usize)>,
) -> &'static str {
    let mut bytes = Vec::new();
    while let Ok(first) = commands.recv().await {
        bytes.clear();
        let more = std::iter::from_fn(|| commands.try_recv().ok());
        for command in std::iter::once(first).chain(more) {
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
    "the dispatcher let it go"
}
