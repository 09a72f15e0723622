//! Writes the responses of one connection, in batches, and ends it once the dispatcher closes it and nothing crosses
//! the close.
use crate::clock::{duration, time_of_ms};
use crate::event::Outgoing;
use async_channel::Receiver;
use async_io::{Async, Timer};
use futures_lite::{AsyncWriteExt, FutureExt};
use std::cell::Cell;
use std::io;
use std::net::TcpStream;
use std::time::Duration;

/// A sidecar that reads nothing for this long is given up, or for the longest client timeout where that is longer: so
/// none is cut off while a response to it may still be in time.
const MIN_WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// How far the reader of a connection has come, for its writer to see.
#[derive(Default)]
pub struct ReadProgress {
    /// Requests that were read and whose response is not yet being written.
    pub in_flight: Cell<usize>,
    /// Events that were read, whether or not the dispatcher has taken them yet.
    pub events_read: Cell<u64>,
    /// Whether an incomplete frame has been read.
    pub in_frame: Cell<bool>,
}

impl ReadProgress {
    /// Guards requests that cross a close: one that was read and not taken, half a frame, or unread bytes keep the
    /// connection open. What arrives after this check is read by nobody, so it never runs; its sidecar sends it again
    /// elsewhere.
    fn is_quiet(&self, stream: &Async<TcpStream>, taken: u64) -> bool {
        let has_unread = stream.get_ref().peek(&mut [0]).is_ok_and(|count| count > 0);
        self.events_read.get() == taken && !self.in_frame.get() && !has_unread
    }
}

/// How the writing of a connection ended.
#[derive(Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// All that was handed over is written, and no more will be.
    Complete,
    /// The sidecar reads nothing any more.
    Broken,
}

/// How long a sidecar may read nothing, where this is the longest client timeout.
pub fn write_timeout(max_client_timeout_ms: f64) -> Duration {
    MIN_WRITE_TIMEOUT.max(duration(time_of_ms(max_client_timeout_ms)))
}

/// Writes what the dispatcher hands over, until it hands over no more or closes a connection that is quiet.
pub async fn write(
    stream: &Async<TcpStream>,
    outgoing: Receiver<Outgoing>,
    progress: &ReadProgress,
    write_timeout: Duration,
) -> WriteOutcome {
    let mut bytes = Vec::new();
    while let Ok(first) = outgoing.recv().await {
        bytes.clear();
        let mut settled = 0;
        let mut close_after = None;
        for one in std::iter::once(first).chain(std::iter::from_fn(|| outgoing.try_recv().ok())) {
            match one {
                Outgoing::Response {
                    bytes: response,
                    settles_request,
                } => {
                    bytes.extend_from_slice(&response);
                    settled += usize::from(settles_request);
                }
                Outgoing::Close { taken } => close_after = Some(taken),
            }
        }
        // Before the first byte goes: a sidecar may send its next request as soon as it has a response, while others
        // of this batch are still being written.
        let in_flight = progress.in_flight.get().saturating_sub(settled);
        progress.in_flight.set(in_flight);
        if write_batch(stream, &bytes, write_timeout).await.is_err() {
            return WriteOutcome::Broken;
        }
        if close_after.is_some_and(|taken| progress.is_quiet(stream, taken)) {
            return WriteOutcome::Complete;
        }
    }
    WriteOutcome::Complete
}

/// Guards slow links: what counts is that nothing is taken, not how long all of it takes.
async fn write_batch(
    stream: &Async<TcpStream>,
    bytes: &[u8],
    write_timeout: Duration,
) -> io::Result<()> {
    let mut written = 0;
    while written < bytes.len() {
        let timeout = async {
            Timer::after(write_timeout).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        let count = (&mut &*stream).write(&bytes[written..]).or(timeout).await?;
        if count == 0 {
            return Err(io::ErrorKind::WriteZero.into());
        }
        written += count;
    }
    Ok(())
}
