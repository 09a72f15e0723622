//! Links between instances: TCP connections that carry messages in both directions. An instance dials an address of the
//! operator's file once it has a message for it, and answers over the link that a message came on. Messages are lost
//! with their link, and are not queued for long.
use super::ClusterDriver;
use crate::backoff::Backoff;
use crate::protocol::peers::{encode, Decoder};
use crate::socket_io;
use async_channel::{Receiver, Sender};
use async_executor::Task;
use async_io::{Async, Timer};
use futures_lite::FutureExt;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// The maximum number of messages that wait for a link; further ones are dropped.
const MAX_PENDING_MESSAGES: usize = 256;
/// The maximum number of links, dialled and accepted ones together; beyond it no link is dialled or accepted.
const MAX_LINKS: usize = 4_096;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const MIN_BACKOFF: Duration = Duration::from_millis(20);
const MAX_BACKOFF: Duration = Duration::from_millis(500);
/// The pause after an error of accepting a connection.
const ACCEPT_BACKOFF: Duration = MAX_BACKOFF;
/// A link is closed if the peer does not read a batch of messages within this time; messages that wait are lost.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// A link on which nothing was received for this long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
const READ_BYTES: usize = 16_384;

struct Link {
    outgoing: Sender<Vec<u8>>,
    /// The task that keeps a dialled link open; dropping it closes the link. `None` for an accepted link, which is
    /// owned by its detached task.
    dial_task: Option<Task<()>>,
}

/// The links of this instance.
#[derive(Default)]
pub(super) struct Links {
    /// By the address of the peer.
    open: RefCell<BTreeMap<SocketAddr, Link>>,
    /// The replicas' addresses in the operator's file as of its last reload, which may be dialled; empty before.
    configured: RefCell<Vec<SocketAddr>>,
}

impl Links {
    /// Replaces the configured addresses, and closes dialled links to all others.
    pub(super) fn set_configured(&self, addrs: impl Iterator<Item = SocketAddr>) {
        *self.configured.borrow_mut() = addrs.collect();
        let configured = self.configured.borrow();
        self.open
            .borrow_mut()
            .retain(|addr, link| link.dial_task.is_none() || configured.contains(addr));
    }

    /// Sends an encoded message. Dials a link if there is none and the address may be dialled; otherwise the message is
    /// dropped.
    pub(super) fn send(&self, driver: &ClusterDriver, to: SocketAddr, message: &[u8]) {
        let mut open = self.open.borrow_mut();
        if !open.contains_key(&to) {
            let may_dial = driver.is_initial_replica(to) || self.configured.borrow().contains(&to);
            if !may_dial || open.len() >= MAX_LINKS {
                return;
            }
            let Some(driver) = driver.upgrade_self() else {
                return;
            };
            let (outgoing, messages) = async_channel::bounded(MAX_PENDING_MESSAGES);
            let dial_task = driver.tasks.clone().spawn(dial(driver, to, messages));
            let link = Link {
                outgoing,
                dial_task: Some(dial_task),
            };
            open.insert(to, link);
        }
        if let Some(link) = open.get(&to) {
            let _ = link.outgoing.try_send(encode(message));
        }
    }
}

/// Returns `value` after a delay: the result of an operation that did not complete within a timeout.
async fn after_delay<T>(delay: Duration, value: T) -> T {
    Timer::after(delay).await;
    value
}

/// Keeps a link to a configured address open: reconnects, with backoff, whenever it breaks.
async fn dial(driver: Rc<ClusterDriver>, to: SocketAddr, messages: Receiver<Vec<u8>>) {
    let mut backoff = Backoff::new(MIN_BACKOFF, MAX_BACKOFF);
    loop {
        let connecting = async { socket_io::connect(to).await.ok() };
        if let Some(stream) = connecting.or(after_delay(CONNECT_TIMEOUT, None)).await {
            let _ = stream.get_ref().set_nodelay(true);
            if exchange(&driver, &stream, to, &messages).await {
                backoff.reset();
            }
        }
        // Messages that waited for the broken link are outdated by now; their senders repeat requests.
        while messages.try_recv().is_ok() {}
        backoff.wait().await;
    }
}

/// Exchanges messages in both directions until the link breaks. Returns whether any message was received.
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
        let reading = async { socket_io::read(stream, &mut bytes).await.unwrap_or(0) };
        let count = reading.or(after_delay(IDLE_TIMEOUT, 0)).await;
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
        let writing = async { socket_io::write_all(stream, &bytes).await.is_ok() };
        if !writing.or(after_delay(WRITE_TIMEOUT, false)).await {
            return;
        }
    }
}

/// Accepts links from other instances, and from `cottondyke peers`, which requests the status.
pub(super) async fn accept(driver: Rc<ClusterDriver>, listener: Async<TcpListener>) {
    loop {
        let Ok((stream, peer)) = socket_io::accept(&listener).await else {
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
            dial_task: None,
        };
        driver.links.open.borrow_mut().insert(peer, link);
        let link_driver = driver.clone();
        let exchanging = async move {
            exchange(&link_driver, &stream, peer, &messages).await;
            link_driver.links.open.borrow_mut().remove(&peer);
        };
        driver.tasks.spawn(exchanging).detach();
    }
}
