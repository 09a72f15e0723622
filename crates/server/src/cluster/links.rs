//! Links between instances: one TCP connection a pair, dialled by whoever has something to say to an address of the
//! file, and used in both directions. Words may be lost with a link; none waits long.
use super::ClusterDriver;
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

/// Words that may wait for a link; past that the newest are lost.
const MAX_WAITING: usize = 256;
/// Links that are open at one time, and that are taken from others.
const MAX_LINKS: usize = 4_096;
const CONNECT_LIMIT: Duration = Duration::from_secs(1);
const SHORTEST_PAUSE: Duration = Duration::from_millis(20);
const LONGEST_PAUSE: Duration = Duration::from_millis(500);
/// A peer that takes nothing for this long has its link broken, and words that waited are lost.
const WRITE_LIMIT: Duration = Duration::from_secs(2);
/// A link on which nothing came for this long is closed.
const IDLE: Duration = Duration::from_secs(60);
const READ: usize = 16_384;

struct Link {
    out: Sender<Vec<u8>>,
    /// None for one that was taken from another: its own task keeps it.
    _dialling: Option<Task<()>>,
}

#[derive(Default)]
pub struct Links {
    open: RefCell<BTreeMap<SocketAddr, Link>>,
    /// Addresses of the file, which may be dialled.
    known: RefCell<Vec<SocketAddr>>,
}

impl Links {
    /// Links to other addresses than these are let go.
    pub fn keep(&self, known: impl Iterator<Item = SocketAddr>) {
        *self.known.borrow_mut() = known.collect();
        let known = self.known.borrow();
        self.open
            .borrow_mut()
            .retain(|addr, link| link._dialling.is_none() || known.contains(addr));
    }

    pub fn send(&self, fleet: &ClusterDriver, to: SocketAddr, word: &[u8]) {
        let mut open = self.open.borrow_mut();
        if !open.contains_key(&to) {
            let dials = fleet.own.keepers.iter().any(|(_, addr)| *addr == to)
                || self.known.borrow().contains(&to);
            let Some(fleet) = fleet.this().filter(|_| dials && open.len() < MAX_LINKS) else {
                return;
            };
            let (out, words) = async_channel::bounded(MAX_WAITING);
            let dialling = fleet.executor.clone().spawn(dial(fleet, to, words));
            open.insert(
                to,
                Link {
                    out,
                    _dialling: Some(dialling),
                },
            );
        }
        if let Some(link) = open.get(&to) {
            let _ = link.out.try_send(encode(word));
        }
    }
}

async fn late<T>(limit: Duration, value: T) -> T {
    Timer::after(limit).await;
    value
}

/// Keeps a link to an address of the file.
async fn dial(fleet: Rc<ClusterDriver>, to: SocketAddr, words: Receiver<Vec<u8>>) {
    let mut pause = SHORTEST_PAUSE;
    loop {
        let connecting = async { Async::<TcpStream>::connect(to).await.ok() };
        if let Some(stream) = connecting.or(late(CONNECT_LIMIT, None)).await {
            let _ = stream.get_ref().set_nodelay(true);
            if carry(&fleet, &stream, to, &words).await {
                pause = SHORTEST_PAUSE;
            }
        }
        // What waited for a link that was not there is of no use by now.
        while words.try_recv().is_ok() {}
        Timer::after(pause).await;
        pause = (pause * 2).min(LONGEST_PAUSE);
    }
}

/// Words in both directions until the link breaks; true if any came.
async fn carry(
    fleet: &ClusterDriver,
    stream: &Async<TcpStream>,
    peer: SocketAddr,
    words: &Receiver<Vec<u8>>,
) -> bool {
    let mut any = false;
    let reading = async {
        let mut decoder = Decoder::default();
        let mut bytes = vec![0; READ];
        loop {
            let read = async { (&mut &*stream).read(&mut bytes).await.unwrap_or(0) };
            let count = read.or(late(IDLE, 0)).await;
            if count == 0 {
                return;
            }
            decoder.feed(&bytes[..count]);
            loop {
                match decoder.word() {
                    Ok(Some(word)) => {
                        any = true;
                        fleet.heard(peer, &word);
                    }
                    Ok(None) => break,
                    Err(wrong) => {
                        tracing::warn!(%peer, wrong = wrong.0, "a link to another instance is closed");
                        return;
                    }
                }
            }
        }
    };
    let writing = async {
        while let Ok(first) = words.recv().await {
            let mut bytes = first;
            while let Ok(more) = words.try_recv() {
                bytes.extend(more);
            }
            let write = async { (&mut &*stream).write_all(&bytes).await.is_ok() };
            if !write.or(late(WRITE_LIMIT, false)).await {
                return;
            }
        }
    };
    reading.or(writing).await;
    any
}

/// Takes links from other instances, and from operators who look.
pub async fn accept(fleet: Rc<ClusterDriver>, listener: Async<TcpListener>) {
    loop {
        let Ok((stream, peer)) = listener.accept().await else {
            Timer::after(LONGEST_PAUSE).await;
            continue;
        };
        if fleet.links.open.borrow().len() >= MAX_LINKS {
            continue;
        }
        let _ = stream.get_ref().set_nodelay(true);
        let (out, words) = async_channel::bounded(MAX_WAITING);
        fleet.links.open.borrow_mut().insert(
            peer,
            Link {
                out,
                _dialling: None,
            },
        );
        let of = fleet.clone();
        let carrying = async move {
            carry(&of, &stream, peer, &words).await;
            of.links.open.borrow_mut().remove(&peer);
        };
        fleet.executor.spawn(carrying).detach();
    }
}
