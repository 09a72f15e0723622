//! One sidecar's connection: reads frames and hands them to the dispatcher, beside the writer of its responses.
use crate::connection::writer::{self, ReadProgress, WriteOutcome};
use crate::event::{ConnectionId, Event, Outgoing};
use crate::protocol::sidecar::{Decoder, Frame, NameTable};
use crate::protocol::ProtocolError;
use crate::resource_limits::{BufferReservation, ResourceLimits};
use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use futures_lite::{future, FutureExt};
use std::io::{self, Read};
use std::net::{Shutdown, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Requests that may be in flight on one connection.
const MAX_IN_FLIGHT: usize = 32;
/// Responses that may wait to be written to one connection, health statuses and errors among them.
const MAX_PENDING_RESPONSES: usize = 4 * MAX_IN_FLIGHT;
/// Bytes of an incomplete frame that are not counted against the memory for such frames.
const FREE_FRAME_BYTES: usize = 8_192;
/// From opening, or from a frame's first byte, to a frame's last.
const FRAME_TIMEOUT: Duration = Duration::from_millis(1_500);
/// After its half of a connection is closed, what the peer still sends is read and thrown away: a close with unread
/// bytes resets the connection, and may destroy responses that the peer has not taken. It ends with the peer, when
/// nothing has come for the first of these, at the second, or when there is no capacity.
const LINGER_QUIET: Duration = Duration::from_millis(250);
const LINGER_MAX: Duration = Duration::from_millis(2_000);

/// What every connection is served with.
pub struct ConnectionContext {
    /// The settings' names, by which requests are decoded.
    pub names: Rc<NameTable>,
    /// Descriptors and memory.
    pub limits: Rc<ResourceLimits>,
    /// To the dispatcher.
    pub events: Sender<Event>,
    /// How long a sidecar may read nothing of what is written to it.
    pub write_timeout: Duration,
}

/// How a sidecar stopped sending.
enum ReadEnd {
    /// It has sent its last, and may still read.
    HalfClosed,
    /// The connection is no more.
    Broken,
}

/// Serves a connection until it is closed in both directions.
pub async fn serve(id: ConnectionId, stream: Async<TcpStream>, context: &ConnectionContext) {
    let _ = stream.get_ref().set_nodelay(true);
    let (writer, outgoing) = async_channel::bounded::<Outgoing>(MAX_PENDING_RESPONSES);
    if context
        .events
        .send(Event::Opened(id, writer))
        .await
        .is_err()
    {
        return;
    }
    let progress = ReadProgress::default();
    let writer_queue = outgoing.clone();
    let reader = Reader {
        id,
        stream: &stream,
        context,
        progress: &progress,
        writer_queue: &writer_queue,
        decoder: Decoder::new(context.names.clone()),
        reservation: context.limits.reserve_buffer(),
        frame_deadline: Some(Instant::now() + FRAME_TIMEOUT),
    };
    let reading = async {
        let last = match reader.run().await {
            Ok(ReadEnd::Broken) => return WriteOutcome::Broken,
            Ok(ReadEnd::HalfClosed) => Event::HalfClosed(id),
            Err(error) => Event::ProtocolError(id, error),
        };
        let _ = context.events.send(last).await;
        // The writer ends the connection once the dispatcher has settled what is in flight.
        future::pending().await
    };
    let writing = writer::write(&stream, outgoing, &progress, context.write_timeout);
    let outcome = reading.or(writing).await;
    drop(writer_queue);
    // From here on nothing that comes is handed on: what is read after the half-close could not be answered.
    if outcome == WriteOutcome::Complete && stream.get_ref().shutdown(Shutdown::Write).is_ok() {
        let timeout = async {
            Timer::after(LINGER_MAX).await;
        };
        linger(&stream, &context.limits).or(timeout).await;
    }
}

/// Reads and throws away what the peer still sends.
async fn linger(stream: &Async<TcpStream>, limits: &ResourceLimits) {
    let read = |stream: &TcpStream| limits.read(|bytes| (&mut &*stream).read(bytes), |_| {});
    while !limits.is_full() {
        let quiet = async {
            Timer::after(LINGER_QUIET).await;
            Ok(0)
        };
        match stream.read_with(read).or(quiet).await {
            Ok(count) if count > 0 => future::yield_now().await,
            _ => return,
        }
    }
}

struct Reader<'a> {
    id: ConnectionId,
    stream: &'a Async<TcpStream>,
    context: &'a ConnectionContext,
    progress: &'a ReadProgress,
    /// Closed once the dispatcher has let the connection go.
    writer_queue: &'a Receiver<Outgoing>,
    decoder: Decoder,
    reservation: BufferReservation,
    /// By when the frame that is being read must be complete; none between frames.
    frame_deadline: Option<Instant>,
}

impl Reader<'_> {
    /// Reads until the sidecar ends its side, or the dispatcher has let it go.
    async fn run(mut self) -> Result<ReadEnd, ProtocolError> {
        loop {
            let Some(count) = self.read_some().await? else {
                return Ok(ReadEnd::Broken);
            };
            if count == 0 && self.decoder.pending_bytes() > 0 {
                return Err(ProtocolError::EndedInFrame);
            }
            // Nothing more is taken from a sidecar that was cut off.
            if count == 0 || self.writer_queue.is_closed() {
                return Ok(ReadEnd::HalfClosed);
            }
            let mut has_frame = false;
            while let Some(frame) = self.decoder.next_frame()? {
                has_frame = true;
                if !self.forward(frame).await {
                    return Ok(ReadEnd::HalfClosed);
                }
            }
            self.track_incomplete_frame(has_frame)?;
            // One that sends without a pause takes its turn beside the others.
            future::yield_now().await;
        }
    }

    /// Hands what comes next to the decoder; none where the connection broke, 0 at its end.
    async fn read_some(&mut self) -> Result<Option<usize>, ProtocolError> {
        let (decoder, limits) = (&mut self.decoder, &self.context.limits);
        let mut read = |stream: &TcpStream| {
            limits.read(
                |bytes| (&mut &*stream).read(bytes),
                |bytes| decoder.feed(bytes),
            )
        };
        let deadline = self.frame_deadline;
        let timeout = async {
            match deadline {
                Some(deadline) => drop(Timer::at(deadline).await),
                None => future::pending().await,
            }
            Err(io::ErrorKind::TimedOut.into())
        };
        match self.stream.read_with(&mut read).or(timeout).await {
            // What came in the same moment counts, though the timer was seen first.
            Err(e) if e.kind() == io::ErrorKind::TimedOut && deadline.is_some() => {
                let count = read(self.stream.get_ref());
                count.map(Some).map_err(|_| ProtocolError::FrameTimeout)
            }
            Ok(count) => Ok(Some(count)),
            Err(_) => Ok(None),
        }
    }

    /// Hands a frame to the dispatcher; false where it has ended.
    async fn forward(&self, frame: Frame) -> bool {
        let (id, progress) = (self.id, self.progress);
        let event = match frame {
            Frame::Request(request) if progress.in_flight.get() < MAX_IN_FLIGHT => {
                Event::Request(id, request)
            }
            Frame::Request(request) => Event::ExcessRequest(id, request.stream),
            Frame::InvalidRequest(stream, error) => Event::InvalidRequest(id, stream, error),
            Frame::HealthCheck { stream, deep } => Event::HealthCheck {
                connection: id,
                stream,
                deep,
            },
            Frame::Cancel(stream) => Event::Cancelled(id, stream),
        };
        if !matches!(event, Event::HealthCheck { .. } | Event::Cancelled(..)) {
            progress.in_flight.set(progress.in_flight.get() + 1);
        }
        progress.events_read.set(progress.events_read.get() + 1);
        self.context.events.send(event).await.is_ok()
    }

    /// Bounds the time and the memory that the frame takes of which only a part has come.
    fn track_incomplete_frame(&mut self, has_frame: bool) -> Result<(), ProtocolError> {
        let pending = self.decoder.pending_bytes();
        self.progress.in_frame.set(pending > 0);
        self.frame_deadline = match (pending, has_frame) {
            (0, true) => None,
            (_, true) => Some(Instant::now() + FRAME_TIMEOUT),
            (_, false) => self
                .frame_deadline
                .or_else(|| Some(Instant::now() + FRAME_TIMEOUT)),
        };
        let counted = pending.saturating_sub(FREE_FRAME_BYTES);
        if !self.reservation.resize(counted) {
            return Err(ProtocolError::FrameBufferFull);
        }
        Ok(())
    }
}
