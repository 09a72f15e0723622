//! Writes the responses of one connection in batches, and ends the connection once the dispatcher asks for the close
//! and no input is left unprocessed.
use crate::clock::{time_from_ms, to_duration};
use crate::event::Outgoing;
use crate::memory_budget::MemoryCharge;
use crate::protocol::sidecar::StreamId;
use crate::socket_io;
use async_channel::Receiver;
use async_io::{Async, Timer};
use futures_lite::FutureExt;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::TcpStream;
use std::time::Duration;

/// A connection is dropped if its sidecar has read nothing for this long, or for the longest client timeout if that is
/// longer: a sidecar is never cut off while a response to it could still be in time.
const MIN_WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// Responses are written together until they have this size, so that a sidecar that reads slowly holds few of them.
const MAX_BATCH_BYTES: usize = 16_384;

/// Progress of a connection's reader, shared with its writer.
#[derive(Default)]
pub struct ReadProgress {
    /// Streams whose response is being written, until the reader takes them.
    settled: RefCell<Vec<StreamId>>,
    /// Number of events read, including those that the dispatcher has not processed yet.
    pub events_read: Cell<u64>,
    /// Whether part of a frame has been read.
    pub has_partial_frame: Cell<bool>,
}

impl ReadProgress {
    /// Takes the streams whose response the writer has begun to write since the last call.
    pub fn take_settled(&self) -> Vec<StreamId> {
        self.settled.take()
    }

    /// Whether the connection can be closed without losing a request that was sent before the close, where the
    /// dispatcher has processed `events_processed` events. An event that it has not processed, part of a frame, or
    /// unread bytes keep the connection open. A request that arrives after this check is discarded and never runs; its
    /// sidecar sends it again elsewhere.
    fn can_close(&self, stream: &Async<TcpStream>, events_processed: u64) -> bool {
        let has_unread = socket_io::peek_now(stream.get_ref()).is_ok_and(|count| count > 0);
        self.events_read.get() == events_processed && !self.has_partial_frame.get() && !has_unread
    }
}

/// How writing to a connection ended.
#[derive(Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// All queued responses are written, and no more will follow.
    Complete,
    /// A write failed, or the sidecar stopped reading.
    Broken,
}

/// How long a sidecar may read nothing before its connection is dropped, given the longest client timeout.
pub fn write_timeout(max_client_timeout_ms: f64) -> Duration {
    MIN_WRITE_TIMEOUT.max(to_duration(time_from_ms(max_client_timeout_ms)))
}

/// Writes the responses that the dispatcher queues, until the dispatcher drops its sender or asks for a close while
/// `ReadProgress::can_close` holds.
pub async fn write(
    stream: &Async<TcpStream>,
    outgoing: Receiver<Outgoing>,
    progress: &ReadProgress,
    write_timeout: Duration,
) -> WriteOutcome {
    while let Ok(first) = outgoing.recv().await {
        let batch = Batch::collect(first, &outgoing, progress);
        if write_batch(stream, &batch.bytes, write_timeout)
            .await
            .is_err()
        {
            return WriteOutcome::Broken;
        }
        let close_after_events = batch.close_after_events;
        if close_after_events
            .is_some_and(|events_processed| progress.can_close(stream, events_processed))
        {
            return WriteOutcome::Complete;
        }
    }
    WriteOutcome::Complete
}

/// Messages that are written together.
#[derive(Default)]
struct Batch {
    bytes: Vec<u8>,
    /// The memory of `bytes`.
    _memory: Vec<MemoryCharge>,
    /// Whether to close after this batch, once so many events are processed.
    close_after_events: Option<u64>,
}

impl Batch {
    /// Takes queued messages until the batch is large enough.
    fn collect(first: Outgoing, outgoing: &Receiver<Outgoing>, progress: &ReadProgress) -> Self {
        let mut batch = Batch::default();
        let mut next = Some(first);
        while let Some(message) = next {
            batch.add(message, progress);
            next = match batch.bytes.len() < MAX_BATCH_BYTES {
                true => outgoing.try_recv().ok(),
                false => None,
            };
        }
        batch
    }

    fn add(&mut self, message: Outgoing, progress: &ReadProgress) {
        match message {
            Outgoing::Response {
                bytes,
                settles,
                memory,
            } => {
                self.bytes.extend_from_slice(&bytes);
                self._memory.push(memory);
                // Before the first byte is written: a sidecar may send its next request as soon as it has received one
                // response, while others of this batch are still being written.
                progress.settled.borrow_mut().extend(settles);
            }
            Outgoing::Close { events_processed } => {
                self.close_after_events = Some(events_processed)
            }
        }
    }
}

/// Writes `bytes`. The timeout starts again after each successful write, so that a slow link is not cut off as long as
/// it makes progress.
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
        let writing = socket_io::write(stream, &bytes[written..]);
        written += writing.or(timeout).await?;
    }
    Ok(())
}
