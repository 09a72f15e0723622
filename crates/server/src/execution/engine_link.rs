//! The connection to the engine, which is opened again whenever it breaks.
use crate::backoff::Backoff;
use crate::event::Event;
use crate::protocol::engine::{Decoder, EngineCommand, EngineMessage, MessageNumber};
use crate::socket_io;
use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use futures_lite::{future, FutureExt};
use std::collections::VecDeque;
use std::future::Future;
use std::io;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

const MIN_BACKOFF: Duration = Duration::from_millis(5);
const MAX_BACKOFF: Duration = Duration::from_millis(500);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
const READ_BYTES: usize = 16_384;
/// How long the link to the engine's previous address stays open once the next link is open.
const PREVIOUS_LINK_LIFETIME: Duration = Duration::from_secs(1);
/// Maximum length of an unknown line in the log, in bytes.
const MAX_LOGGED_LINE_BYTES: usize = 80;

/// Keeps a link to the engine open and reconnects with exponential backoff. A new link requests only messages that have
/// not been read yet. `address_changes` receives new addresses of the engine.
pub async fn run(
    mut addr: SocketAddr,
    address_changes: Receiver<SocketAddr>,
    events: Sender<Event>,
) {
    let mut link = EngineLink {
        events,
        last_message: MessageNumber(0),
        previous: None,
    };
    let mut backoff = Backoff::new(MIN_BACKOFF, MAX_BACKOFF);
    loop {
        let mut next_addr = addr;
        match connect(addr, &address_changes, &mut next_addr).await {
            Ok(stream) => {
                let _ = stream.get_ref().set_nodelay(true);
                let address_changed = wait_for_address_change(&address_changes, &mut next_addr);
                if link.serve(&stream, address_changed).await {
                    backoff.reset();
                }
                if next_addr != addr {
                    let _ = stream.get_ref().shutdown(Shutdown::Write);
                    link.previous = Some(stream);
                }
            }
            Err(error) => tracing::debug!(%error, "cannot connect to the engine"),
        }
        if next_addr == addr {
            let address_changed = wait_for_address_change(&address_changes, &mut next_addr);
            backoff.wait().or(address_changed).await;
        }
        if next_addr != addr {
            tracing::info!(engine = %next_addr, "engine address changed");
            addr = next_addr;
            backoff.reset();
        }
    }
}

/// Connects to the engine. Fails at the timeout or when the engine's address changes.
async fn connect(
    addr: SocketAddr,
    address_changes: &Receiver<SocketAddr>,
    next_addr: &mut SocketAddr,
) -> io::Result<Async<TcpStream>> {
    let timeout = async {
        Timer::after(CONNECT_TIMEOUT).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    let address_changed = async {
        wait_for_address_change(address_changes, next_addr).await;
        Err(io::ErrorKind::Interrupted.into())
    };
    let connecting = socket_io::connect(addr);
    connecting.or(timeout).or(address_changed).await
}

async fn wait_for_address_change(
    address_changes: &Receiver<SocketAddr>,
    next_addr: &mut SocketAddr,
) {
    match address_changes.recv().await {
        Ok(addr) => *next_addr = addr,
        Err(_) => future::pending().await,
    }
}

/// State that is kept across links.
struct EngineLink {
    events: Sender<Event>,
    /// The last message that was read and forwarded to the dispatcher.
    last_message: MessageNumber,
    /// The link to the engine's previous address.
    previous: Option<Async<TcpStream>>,
}

impl EngineLink {
    /// Serves one link, from `ATTACH` until it breaks or `address_changed` completes. Returns true if the engine sent
    /// `HELLO` on it. The link to the previous address stays open for a short time: closing it with unread messages
    /// would reset the connection, which can discard the last commands that were written to it.
    async fn serve(
        &mut self,
        stream: &Async<TcpStream>,
        address_changed: impl Future<Output = ()>,
    ) -> bool {
        let (sender, commands) = async_channel::unbounded();
        let _ = sender.try_send(EngineCommand::Attach(self.last_message));
        let mut unsent = VecDeque::new();
        let mut reader = LinkReader {
            stream,
            events: &self.events,
            last_message: &mut self.last_message,
            commands: sender,
            is_attached: false,
        };
        let previous = &mut self.previous;
        let reason = {
            let reading = reader.run();
            let writing = write_commands(stream, &commands, &mut unsent);
            let address_changed = async {
                address_changed.await;
                "its address changed"
            };
            let closing_previous = async {
                Timer::after(PREVIOUS_LINK_LIFETIME).await;
                *previous = None;
                future::pending().await
            };
            reading
                .or(writing)
                .or(address_changed)
                .or(closing_previous)
                .await
        };
        tracing::warn!(reason, "lost the link to the engine");
        commands.close();
        let was_attached = reader.is_attached;
        if was_attached {
            let unsent = unsent.into_iter().map(|(command, _)| command);
            let queued = std::iter::from_fn(|| commands.try_recv().ok());
            let unsent = unsent.chain(queued).collect();
            let _ = self.events.send(Event::EngineDown(unsent)).await;
        }
        was_attached
    }
}

struct LinkReader<'a> {
    stream: &'a Async<TcpStream>,
    events: &'a Sender<Event>,
    last_message: &'a mut MessageNumber,
    /// Passed to the dispatcher with the engine's `HELLO`.
    commands: Sender<EngineCommand>,
    /// Whether the engine has sent `HELLO`.
    is_attached: bool,
}

impl LinkReader<'_> {
    /// Reads until the link breaks, and returns the reason.
    async fn run(&mut self) -> &'static str {
        let mut decoder = Decoder::default();
        let mut bytes = vec![0; READ_BYTES];
        loop {
            match socket_io::read(self.stream, &mut bytes).await {
                Ok(count) if count > 0 => decoder.feed(&bytes[..count]),
                Ok(_) => return "closed by the engine",
                Err(_) => return "read error",
            }
            loop {
                let message = match decoder.next_message() {
                    Ok(Some(message)) => message,
                    Ok(None) => break,
                    Err(error) => return error.message(),
                };
                if !self.forward(message).await {
                    return "the dispatcher has stopped";
                }
            }
        }
    }

    /// Forwards a message to the dispatcher; returns false if the dispatcher has stopped.
    async fn forward(&mut self, message: EngineMessage) -> bool {
        let number = message.number();
        // A message that was already forwarded is ignored.
        if number.is_some_and(|number| number <= *self.last_message) {
            return true;
        }
        let event = match message {
            EngineMessage::Hello { start, age_ms } => {
                self.is_attached = true;
                Some(Event::EngineUp {
                    start,
                    age_ms,
                    commands: self.commands.clone(),
                })
            }
            EngineMessage::Note(_) => None,
            EngineMessage::Unknown(line) => {
                let line = line.get(..MAX_LOGGED_LINE_BYTES).unwrap_or(&line);
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

/// Writes commands until the link breaks, and returns the reason. Commands that were not completely written stay in
/// `unsent`, each with the offset of its end in the buffer.
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
            match socket_io::write(stream, &bytes[written..]).await {
                Ok(count) => written += count,
                Err(_) => return "write error",
            }
            while unsent.front().is_some_and(|(_, end)| *end <= written) {
                unsent.pop_front();
            }
        }
    }
    "the dispatcher closed it"
}
