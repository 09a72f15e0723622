//! Links between instances: one TCP connection a pair, dialled by whoever has something to say to an address of the
//! operator's file, and used in both directions. Messages may be lost with a link; none waits long.
use super::ClusterDriver;
use crate::backoff::Backoff;
use crate::protocol::peers::{encode, Decoder};
use async_channel::{Receiver, Sender};
use async_executor::Task;
use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// Messages that may wait for a link; past that the newest are lost.
const MAX_PENDING_MESSAGES: usize = 256;
/// Links that are open at one time, and that are accepted from others.
const MAX_LINKS: usize = 4_096;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const MIN_BACKOFF: Duration = Duration::from_millis(20);
const MAX_BACKOFF: Duration = Duration::from_millis(500);
/// Accepting pauses this long after an error.
const ACCEPT_BACKOFF: Duration = MAX_BACKOFF;
/// A peer that reads nothing for this long has its link broken, and messages that waited are lost.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// A link on which nothing came for this long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
const READ_BYTES: usize = 16_384;

struct Link {
    outgoing: Sender<Vec<u8>>,
    /// None for one that was accepted from another: its own task owns it.
    dialling: Option<Task<()>>,
}

/// The links of this instance.
#[derive(Default)]
pub(super) struct Links {
    open: RefCell<BTreeMap<SocketAddr, Link>>,
    /// Addresses of the operator's file, which may be dialled.
    known: RefCell<Vec<SocketAddr>>,
}

impl Links {
    /// Closes dialled links to other addresses than these.
    pub(super) fn retain(&self, known: impl Iterator<Item = SocketAddr>) {
        *self.known.borrow_mut() = known.collect();
        let known = self.known.borrow();
        self.open
            .borrow_mut()
            .retain(|addr, link| link.dialling.is_none() || known.contains(addr));
    }

    /// Sends an encoded message, over a new link where there is none.
    pub(super) fn send(&self, driver: &ClusterDriver, to: SocketAddr, message: &[u8]) {
        let mut open = self.open.borrow_mut();
        if !open.contains_key(&to) {
            let may_dial = driver.is_own_replica(to) || self.known.borrow().contains(&to);
            if !may_dial || open.len() >= MAX_LINKS {
                return;
            }
            let Some(driver) = driver.shared() else {
                return;
            };
            let (outgoing, messages) = async_channel::bounded(MAX_PENDING_MESSAGES);
            let dialling = driver.tasks.clone().spawn(dial(driver, to, messages));
            let link = Link {
                outgoing,
                dialling: Some(dialling),
            };
            open.insert(to, link);
        }
        if let Some(link) = open.get(&to) {
            let _ = link.outgoing.try_send(encode(message));
        }
    }
}

async fn after<T>(timeout: Duration, value: T) -> T {
    Timer::after(timeout).await;
    value
}

/// Keeps a link to an address of the operator's file open.
async fn dial(driver: Rc<ClusterDriver>, to: SocketAddr, messages: Receiver<Vec<u8>>) {
    let mut backoff = Backoff::new(MIN_BACKOFF, MAX_BACKOFF);
    loop {
        let connecting = async { Async::<TcpStream>::connect(to).await.ok() };
        if let Some(stream) = connecting.or(after(CONNECT_TIMEOUT, None)).await {
            let _ = stream.get_ref().set_nodelay(true);
            if exchange(&driver, &stream, to, &messages).await {
                backoff.reset();
            }
        }
        // What waited for a link that was not there is of no use by now.
        while messages.try_recv().is_ok() {}
        backoff.wait().await;
    }
}

/// Messages in both directions until the link breaks; true if any came.
async fn exchange(
    driver: &ClusterDriver,
    stream: &Async<TcpStream>,
    peer: SocketAddr,
    messages: &Receiver<Vec<u8>>,
) -> bool {
    let mut has_received = false;
    let reading = read_messages(driver, stream, peer, &mut has_received);
    let writing = write_messages(stream, messages);
    reading.or(writing).await;
    has_received
}

async fn read_messages(
    driver: &ClusterDriver,
    stream: &Async<TcpStream>,
    peer: SocketAddr,
    has_received: &mut bool,
) {
    let mut decoder = Decoder::default();
    let mut bytes = vec![0; READ_BYTES];
    loop {
        let reading = async { (&mut &*stream).read(&mut bytes).await.unwrap_or(0) };
        let count = reading.or(after(IDLE_TIMEOUT, 0)).await;
        if count == 0 {
            return;
        }
        decoder.feed(&bytes[..count]);
        loop {
            match decoder.next_message() {
                Ok(Some(message)) => {
                    *has_received = true;
                    driver.handle_message(peer, &message);
                }
                Ok(None) => break,
                Err(error) => {
                    tracing::warn!(%peer, %error, "closing a link to another instance");
                    return;
                }
            }
        }
    }
}

async fn write_messages(stream: &Async<TcpStream>, messages: &Receiver<Vec<u8>>) {
    while let Ok(first) = messages.recv().await {
        let mut bytes = first;
        while let Ok(more) = messages.try_recv() {
            bytes.extend(more);
        }
        let writing = async { (&mut &*stream).write_all(&bytes).await.is_ok() };
        if !writing.or(after(WRITE_TIMEOUT, false)).await {
            return;
        }
    }
}

/// Accepts links from other instances, and from operators who ask for the status.
pub(super) async fn accept(driver: Rc<ClusterDriver>, listener: Async<TcpListener>) {
    loop {
        let Ok((stream, peer)) = listener.accept().await else {
            Timer::after(ACCEPT_BACKOFF).await;
            continue;
        };
        if driver.links.open.borrow().len() >= MAX_LINKS {
            continue;
        }
        let _ = stream.get_ref().set_nodelay(true);
        let (outgoing, messages) = async_channel::bounded(MAX_PENDING_MESSAGES);
        let link = Link {
            outgoing,
            dialling: None,
        };
        driver.links.open.borrow_mut().insert(peer, link);
        let of = driver.clone();
        let exchanging = async move {
            exchange(&of, &stream, peer, &messages).await;
            of.links.open.borrow_mut().remove(&peer);
        };
        driver.tasks.spawn(exchanging).detach();
    }
}
