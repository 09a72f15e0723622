//! Writes the responses of one connection, in batches, and ends it where nothing crosses the close.
use crate::clock::{duration, span_of_ms};
use crate::event::Outgoing;
use async_channel::Receiver;
use async_io::{Async, Timer};
use futures_lite::{AsyncWriteExt, FutureExt};
use std::cell::Cell;
use std::io;
use std::net::TcpStream;
use std::time::Duration;

/// A sidecar that takes nothing for this long is given up, or for the longest client timeout where that is longer: so
/// none is cut off while an answer of it may still be in time.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// How far the reader of a connection has come, for its writer to see.
#[derive(Default)]
pub struct Progress {
    /// Reqs read and not yet answered on the wire.
    pub open: Cell<usize>,
    /// Inputs that were read, whether or not the desk has taken them yet.
    pub read: Cell<u64>,
    /// Whether a frame has come in part.
    pub midway: Cell<bool>,
}

impl Progress {
    /// Guards reqs that cross a close: one that was read and not taken, half a frame, or bytes that lie unread keep
    /// the connection open. What comes after this look is read by nobody, so it never runs; its sidecar sends it
    /// again elsewhere.
    fn quiet(&self, stream: &Async<TcpStream>, taken: u64) -> bool {
        let unread = stream.get_ref().peek(&mut [0]).is_ok_and(|count| count > 0);
        self.read.get() == taken && !self.midway.get() && !unread
    }
}

/// How the writing of a connection ended.
#[derive(Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// All that was handed over is written, and no more will be.
    All,
    /// The sidecar takes nothing any more.
    Broken,
}

/// How long a sidecar may take nothing.
pub fn write_timeout(longest_ms: f64) -> Duration {
    WRITE_TIMEOUT.max(duration(span_of_ms(longest_ms)))
}

/// Writes what the desk hands over, until it hands over no more or closes a connection that is quiet.
pub async fn write(
    stream: &Async<TcpStream>,
    outgoing: Receiver<Outgoing>,
    progress: &Progress,
    write_timeout: Duration,
) -> WriteOutcome {
    let mut bytes = Vec::new();
    while let Ok(first) = outgoing.recv().await {
        let (mut settled, mut close) = (0, None);
        bytes.clear();
        for one in std::iter::once(first).chain(std::iter::from_fn(|| outgoing.try_recv().ok())) {
            match one {
                Outgoing::Response {
                    bytes: reply,
                    settles,
                } => {
                    bytes.extend_from_slice(&reply);
                    settled += usize::from(settles);
                }
                Outgoing::Close { taken } => close = Some(taken),
            }
        }
        // Before the first byte goes: a sidecar may send its next req as soon as it has an answer, while others of
        // this batch are still being written.
        progress
            .open
            .set(progress.open.get().saturating_sub(settled));
        let mut written = 0;
        while written < bytes.len() {
            // Guards slow links: what counts is that nothing is taken, not how long all of it takes.
            let stuck = async {
                Timer::after(write_timeout).await;
                Err(io::ErrorKind::TimedOut.into())
            };
            match (&mut &*stream).write(&bytes[written..]).or(stuck).await {
                Ok(count) if count > 0 => written += count,
                _ => return WriteOutcome::Broken,
            }
        }
        if close.is_some_and(|taken| progress.quiet(stream, taken)) {
            return WriteOutcome::All;
        }
    }
    WriteOutcome::All
}
