//! Calls to the records service.
use crate::time::{duration, ms};
use crate::wire::http::{self, Decoder};
use crate::wire::WireId;
use async_io::{Async, Timer};
use cottondyke_decide::types::{CallEnd, Time};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt, FutureExt};
use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

const PATH: &str = "/records/op";
/// The service closes connections left idle for 10 s; they are used no more well before.
const IDLE: Duration = Duration::from_secs(7);
const MOST_IDLE: usize = 32;
const READ: usize = 4_096;

/// Why a call brought no result, told by how far it had come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallError {
    NotBegun(&'static str),
    MaybeBegun(&'static str),
}

impl CallError {
    pub fn end(self) -> CallEnd {
        match self {
            CallError::NotBegun(_) => CallEnd::NeverRan,
            CallError::MaybeBegun(_) => CallEnd::Unknown,
        }
    }
}

/// The records service and the idle connections to it.
pub struct Records {
    addr: Cell<SocketAddr>,
    idle: RefCell<Vec<(Instant, Async<TcpStream>)>>,
}

impl Records {
    pub fn new(addr: SocketAddr) -> Self {
        Records { addr: Cell::new(addr), idle: RefCell::new(Vec::new()) }
    }

    /// From now on calls go to `addr`; those in hand end where they began.
    pub fn moved(&self, addr: SocketAddr) {
        if self.addr.replace(addr) != addr {
            self.idle.borrow_mut().clear();
        }
    }

    /// Makes a call, for `cap` at the most. Dropping the future closes the connection, which gives it up.
    pub async fn call(&self, of: WireId, body: Vec<u8>, cap: Time) -> Result<Vec<u8>, CallError> {
        let sending = Cell::new(false);
        let late = async {
            Timer::after(duration(cap)).await;
            Err(if sending.get() {
                CallError::MaybeBegun("timed out")
            } else {
                CallError::NotBegun("timed out")
            })
        };
        self.attempt(of, body, cap, &sending).or(late).await
    }

    async fn attempt(
        &self, of: WireId, body: Vec<u8>, cap: Time, sending: &Cell<bool>,
    ) -> Result<Vec<u8>, CallError> {
        let addr = self.addr.get();
        let mut stream = match self.idle_connection().await {
            Some(stream) => stream,
            None => connect(addr).await?,
        };
        let wait = (ms(cap).ceil() as u64).to_string();
        let headers = [("Op-Of", of.as_str()), ("Op-Wait-Ms", wait.as_str())];
        let mut bytes = Vec::new();
        http::request("POST", PATH, &addr.to_string(), &headers, &body, &mut bytes);
        sending.set(true);
        stream.write_all(&bytes).await.map_err(|_| CallError::MaybeBegun("broke while it was sent"))?;
        let reply = read_reply(&mut stream).await?;
        if reply.keeps && addr == self.addr.get() {
            self.put_back(stream);
        }
        match reply.status {
            200 => Ok(reply.body),
            503 | 409 if reply.not_begun => Err(CallError::NotBegun("turned away")),
            _ => Err(CallError::MaybeBegun("answered with an error")),
        }
    }

    /// The connection used last that the service has not closed meanwhile.
    async fn idle_connection(&self) -> Option<Async<TcpStream>> {
        loop {
            let (since, stream) = self.idle.borrow_mut().pop()?;
            let quiet = future::poll_once(stream.peek(&mut [0])).await.is_none();
            if quiet && since.elapsed() < IDLE {
                return Some(stream);
            }
        }
    }

    fn put_back(&self, stream: Async<TcpStream>) {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|(since, _)| since.elapsed() < IDLE);
        if idle.len() < MOST_IDLE {
            idle.push((Instant::now(), stream));
        }
    }

    /// Closes what has been idle for long.
    pub fn retire(&self) {
        self.idle.borrow_mut().retain(|(since, _)| since.elapsed() < IDLE);
    }
}

async fn connect(addr: SocketAddr) -> Result<Async<TcpStream>, CallError> {
    let refused = |_| CallError::NotBegun("no connection");
    let stream = Async::<TcpStream>::connect(addr).await.map_err(refused)?;
    let _ = stream.get_ref().set_nodelay(true);
    Ok(stream)
}

async fn read_reply(stream: &mut Async<TcpStream>) -> Result<http::Reply, CallError> {
    let mut decoder = Decoder::default();
    let mut bytes = [0; READ];
    loop {
        let broke = |_| CallError::MaybeBegun("broke before its reply");
        let count = stream.read(&mut bytes).await.map_err(broke)?;
        if count == 0 {
            return decoder.ended().ok_or(CallError::MaybeBegun("closed before its reply"));
        }
        decoder.feed(&bytes[..count]);
        let malformed = |_| CallError::MaybeBegun("a malformed reply");
        if let Some(reply) = decoder.reply().map_err(malformed)? {
            return Ok(reply);
        }
    }
}
