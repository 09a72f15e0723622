//! Serves one sidecar connection: reads frames and passes them to the dispatcher, concurrently with the writer of the
//! responses.
use crate::connection::writer::{self, ReadProgress, WriteOutcome};
use crate::connection_account::{ConnectionAccount, RequestReservation, Turn};
use crate::event::{ConnectionHandle, ConnectionId, Event, Outgoing};
use crate::memory_budget::MemoryCharge;
use crate::protocol::sidecar::{Decoder, DecoderSettings, Frame, Request};
use crate::protocol::ProtocolError;
use crate::resource_limits::ResourceLimits;
use crate::socket_io;
use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use futures_lite::{future, FutureExt};
use std::net::{Shutdown, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Maximum number of requests in flight on one connection.
pub(super) const MAX_IN_FLIGHT: usize = 32;
/// Maximum number of frames that are decoded before other connections have their turn.
const MAX_FRAMES_PER_TURN: usize = 32;
/// Size of the decoder's buffer that is granted however little memory is free, as part of the connection's fixed memory,
/// and of reads then: the largest sound request fits, so that no sound connection is ended for want of memory.
const MIN_BUFFER_BYTES: usize = 4_096;
const MIN_READ_BYTES: usize = 1_024;
/// Maximum time from the opening of the connection, or from the first byte of a frame, to the last byte of that frame.
const FRAME_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Lingering close: after the server has shut down its write half, it reads and discards what the peer still sends.
/// Closing a socket with unread bytes resets the connection, which can destroy responses that the peer has not read
/// yet. Lingering stops when the peer closes, when nothing has arrived for `LINGER_IDLE_TIMEOUT`, after `LINGER_MAX`,
/// or when the connection limit is reached.
const LINGER_IDLE_TIMEOUT: Duration = Duration::from_millis(250);
const LINGER_MAX: Duration = Duration::from_millis(2_000);

/// State shared by the tasks of all connections.
pub struct ConnectionContext {
    /// The settings that requests are decoded with.
    pub decoder_settings: Rc<DecoderSettings>,
    /// Limits on descriptors and memory.
    pub limits: Rc<ResourceLimits>,
    /// The dispatcher's event queue.
    pub events: Sender<Event>,
    /// A connection is dropped if its sidecar has read nothing for this long while a write is pending.
    pub write_timeout: Duration,
}

/// Why reading from a connection ended.
enum ReadEnd {
    /// Nothing more is read: the sidecar has stopped sending, or the dispatcher has dropped the connection or has
    /// ended. Queued responses may still be written.
    HalfClosed,
    /// Reading failed: the connection is lost.
    Broken,
}

/// Serves a connection until it is closed in both directions.
pub async fn serve(id: ConnectionId, stream: Async<TcpStream>, context: &ConnectionContext) {
    let _ = stream.get_ref().set_nodelay(true);
    socket_io::limit_buffers(stream.get_ref(), context.limits.socket_buffers());
    // The table of connections bounds it. A bounded channel would allocate all its slots for each idle connection.
    let (writer, outgoing) = async_channel::unbounded::<Outgoing>();
    let account = context.limits.open_account();
    let handle = ConnectionHandle {
        outgoing: writer,
        account: account.clone(),
    };
    if context
        .events
        .send(Event::Opened(id, handle))
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
        decoder: Decoder::new(context.decoder_settings.clone()),
        buffer_memory: account.memory().charge(0),
        account: &account,
        frame_deadline: Some(Instant::now() + FRAME_TIMEOUT),
    };
    // Boxed, since `or` would otherwise hold each of both futures twice.
    let reading = Box::pin(async {
        let last = match reader.run().await {
            Ok(ReadEnd::Broken) => return WriteOutcome::Broken,
            Ok(ReadEnd::HalfClosed) => Event::HalfClosed(id),
            Err(error) => Event::ProtocolError(id, error),
        };
        let _ = context.events.send(last).await;
        // The writer ends the connection once the dispatcher has answered all requests in flight.
        future::pending().await
    });
    let writing = writer::write(&stream, outgoing, &progress, context.write_timeout);
    let writing = Box::pin(writing);
    let outcome = reading.or(writing).await;
    drop(writer_queue);
    // From here on, received data is discarded: a request read after the half-close could not be answered.
    if outcome == WriteOutcome::Complete && stream.get_ref().shutdown(Shutdown::Write).is_ok() {
        let timeout = async {
            Timer::after(LINGER_MAX).await;
        };
        linger(&stream, &context.limits).or(timeout).await;
    }
}

/// Reads and discards what the peer still sends.
async fn linger(stream: &Async<TcpStream>, limits: &ResourceLimits) {
    let read = |stream: &TcpStream| {
        limits.read(
            usize::MAX,
            |bytes| socket_io::read_now(stream, bytes),
            |_| {},
        )
    };
    while !limits.is_full() {
        let idle = async {
            Timer::after(LINGER_IDLE_TIMEOUT).await;
            Ok(0)
        };
        match stream.read_with(read).or(idle).await {
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
    /// Closed once the dispatcher has dropped the sending side.
    writer_queue: &'a Receiver<Outgoing>,
    decoder: Decoder,
    account: &'a ConnectionAccount,
    /// The memory of the decoder's buffer.
    buffer_memory: MemoryCharge,
    /// Deadline for the frame being read to be complete; `None` between frames.
    frame_deadline: Option<Instant>,
}

impl Reader<'_> {
    /// Reads until the sidecar stops sending or the dispatcher has dropped the connection.
    async fn run(mut self) -> Result<ReadEnd, ProtocolError> {
        loop {
            let Some(count) = self.read_some().await? else {
                return Ok(ReadEnd::Broken);
            };
            if count == 0 && self.decoder.pending_bytes() > 0 {
                return Err(ProtocolError::EndedInFrame);
            }
            // Once the dispatcher has dropped the connection, its input is ignored.
            if count == 0 || self.writer_queue.is_closed() {
                return Ok(ReadEnd::HalfClosed);
            }
            // Until all of it is decoded: frames that wait for their turn keep the connection open.
            self.progress.has_partial_frame.set(true);
            if !self.charge_buffer() {
                return Err(self.give_up_frame().await);
            }
            let mut frames = 0;
            while let Some(frame) = self.next_frame()? {
                frames += 1;
                if let Some(end) = self.forward(frame).await {
                    return Ok(end);
                }
                if frames % MAX_FRAMES_PER_TURN == 0 {
                    future::yield_now().await;
                }
            }
            if !self.charge_buffer() {
                return Err(self.give_up_frame().await);
            }
            self.track_incomplete_frame(frames > 0);
            // A sidecar that sends without a pause must not starve other connections.
            future::yield_now().await;
        }
    }

    /// Passes the next received bytes to the decoder and returns their number: 0 at the end of the stream, `None` if
    /// the connection failed.
    async fn read_some(&mut self) -> Result<Option<usize>, ProtocolError> {
        let (decoder, limits) = (&mut self.decoder, &self.context.limits);
        let max_bytes = self.account.memory().max_added_bytes().max(MIN_READ_BYTES);
        let mut read = |stream: &TcpStream| {
            limits.read(
                max_bytes,
                |bytes| socket_io::read_now(stream, bytes),
                |bytes| decoder.feed(bytes),
            )
        };
        let deadline = self.frame_deadline;
        let timeout = async {
            match deadline {
                Some(deadline) => drop(Timer::at(deadline).await),
                None => future::pending().await,
            }
            None
        };
        let reading = async { Some(self.stream.read_with(&mut read).await) };
        match reading.or(timeout).await {
            Some(Ok(count)) => Ok(Some(count)),
            // This includes ETIMEDOUT of the connection, which is not the end of the frame's time.
            Some(Err(_)) => Ok(None),
            // Bytes that arrived just as the timer fired still count.
            None => {
                let count = read(self.stream.get_ref());
                count.map(Some).map_err(|_| ProtocolError::FrameTimeout)
            }
        }
    }

    /// The next complete frame.
    fn next_frame(&mut self) -> Result<Option<Frame>, ProtocolError> {
        for stream in self.progress.take_settled() {
            self.decoder.close_stream(stream);
        }
        self.decoder.next_frame()
    }

    /// Sends a frame to the dispatcher. Returns why reading has ended, if it has: the dispatcher has ended, or the
    /// connection is broken. What is still unread then is discarded, since nobody reads its answers.
    async fn forward(&self, frame: Frame) -> Option<ReadEnd> {
        let (id, progress) = (self.id, self.progress);
        // Before the request waits for its turn, so that the connection is not closed meanwhile.
        progress.events_read.set(progress.events_read.get() + 1);
        let event = match frame {
            Frame::Request(request) => self.receive_request(request).await,
            Frame::InvalidRequest(stream, error) => {
                self.account.set_verified(false);
                self.account.wait_to_refuse().await;
                Event::InvalidRequest(id, stream, error)
            }
            Frame::HealthCheck { stream, deep } => Event::HealthCheck {
                connection: id,
                stream,
                deep,
            },
            Frame::Cancel(stream) => Event::Cancelled(id, stream),
        };
        if socket_io::is_broken(self.stream.get_ref()) {
            return Some(ReadEnd::Broken);
        }
        let sent = self.context.events.send(event).await;
        sent.is_err().then_some(ReadEnd::HalfClosed)
    }

    /// Waits for the request's turn and reserves the memory that it needs.
    async fn receive_request(&self, request: Request) -> Event {
        let (id, stream) = (self.id, request.stream);
        if self.decoder.open_streams() > MAX_IN_FLIGHT {
            self.account.wait_to_refuse().await;
            return Event::ExcessRequest(id, stream);
        }
        let slot = match self.account.request_turn().await {
            Turn::Known => None,
            Turn::Unverified(slot) => Some(slot),
            Turn::Refused => return Event::OverQuota(id, stream),
        };
        match self.account.reserve(&request) {
            Some(memory) => Event::Request(id, request, RequestReservation { memory, slot }),
            None => Event::OverMemory(id, stream),
        }
    }

    /// Counts the memory of the decoder's buffer, unless it is part of the connection's fixed memory. Returns false if there
    /// is none for it.
    fn charge_buffer(&mut self) -> bool {
        let bytes = self.decoder.buffer_bytes();
        let counted = if bytes <= MIN_BUFFER_BYTES { 0 } else { bytes };
        self.buffer_memory.try_set(counted)
    }

    /// Frees the buffer, and waits until the time for the frame is over before the connection is ended: a client that is
    /// ended at once comes back at once, and so takes the time of others.
    async fn give_up_frame(&mut self) -> ProtocolError {
        self.decoder = Decoder::new(self.context.decoder_settings.clone());
        self.buffer_memory.set(0);
        let deadline = self.frame_deadline;
        Timer::at(deadline.unwrap_or_else(|| Instant::now() + FRAME_TIMEOUT)).await;
        ProtocolError::FrameBufferFull
    }

    /// Limits the time that an incomplete frame may take.
    fn track_incomplete_frame(&mut self, has_frame: bool) {
        let pending = self.decoder.pending_bytes();
        self.progress.has_partial_frame.set(pending > 0);
        self.frame_deadline = match (pending, has_frame) {
            (0, true) => None,
            (_, true) => Some(Instant::now() + FRAME_TIMEOUT),
            (_, false) => self
                .frame_deadline
                .or_else(|| Some(Instant::now() + FRAME_TIMEOUT)),
        };
    }
}
