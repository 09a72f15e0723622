//! Closing a connection while data is in transit. The tests use real connections and act as the dispatcher: they decide
//! when events are processed and when the connection is to close, so that each interleaving is reproducible.
use async_channel::Receiver;
use async_executor::{LocalExecutor, Task};
use async_io::{Async, Timer};

use cottondyke::connection::reader::{self, ConnectionContext};
use cottondyke::connection_account::Turn;
use cottondyke::event::{ConnectionHandle, ConnectionId, Event, Outgoing};
use cottondyke::memory_plan::MemoryPlan;
use cottondyke::protocol::sidecar::{DecoderSettings, StreamId};
use cottondyke::resource_limits::ResourceLimits;
use cottondyke::unverified_quota::SLOTS;
use cottondyke_test_support::fakes::{
    encode_frame, encode_payload, unix_ms, FakeSidecar, IO_TIMEOUT,
};
use futures_lite::{future, AsyncReadExt};
use rustix::net::sockopt::set_socket_recv_buffer_size;
use rustix::net::{connect, socket, AddressFamily, SocketType};
use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long the sidecar may read nothing before it is cut off.
const WRITE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// One connection with its sidecar and the dispatcher's ends of its channels.
struct Rig {
    executor: Rc<LocalExecutor<'static>>,
    sidecar: FakeSidecar,
    events: Receiver<Event>,
    handle: ConnectionHandle,
    /// The task that serves the connection.
    serving: Task<()>,
}

impl Rig {
    /// Runs `test` concurrently with the task that serves one connection. At most `capacity` events are queued for the
    /// dispatcher; `receive_buffer` is the size of the sidecar's receive buffer.
    fn run<F: std::future::Future<Output = ()>>(
        capacity: usize,
        receive_buffer: Option<usize>,
        test: impl FnOnce(Rig) -> F,
    ) {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let socket = socket(AddressFamily::INET, SocketType::STREAM, None).unwrap();
        if let Some(size) = receive_buffer {
            set_socket_recv_buffer_size(&socket, size).unwrap();
        }
        connect(&socket, &listener.local_addr().unwrap()).unwrap();
        let sidecar = FakeSidecar(TcpStream::from(socket));
        sidecar.0.set_nodelay(true).unwrap();
        sidecar.0.set_read_timeout(Some(IO_TIMEOUT)).unwrap();
        let stream = Async::new(listener.accept().unwrap().0).unwrap();
        let decoder_settings = DecoderSettings {
            handlers: vec!["greet".into()],
            tenants: Vec::new(),
            max_client_timeout_ms: 2_000.0,
        };
        let (event_sender, events) = async_channel::bounded(capacity);
        let context = ConnectionContext {
            decoder_settings: Rc::new(decoder_settings),
            limits: ResourceLimits::new(MemoryPlan::unlimited(8)),
            events: event_sender,
            write_timeout: WRITE_TIMEOUT,
        };
        let executor = Rc::new(LocalExecutor::new());
        let serving =
            executor.spawn(async move { reader::serve(ConnectionId(0), stream, &context).await });
        async_io::block_on(executor.clone().run(async move {
            let Ok(Event::Opened(_, handle)) = events.recv().await else {
                panic!("the connection was not reported as opened")
            };
            test(Rig {
                executor,
                sidecar,
                events,
                handle,
                serving,
            })
            .await;
        }));
    }

    fn send_request(&mut self, stream: u32) {
        self.sidecar.0.write_all(&request_frame(stream)).unwrap();
    }

    /// Queues the response to a request, as the dispatcher does.
    fn respond(&self, stream: u32, body: &[u8]) {
        let bytes = encode_frame(2, stream, &[vec![1], encode_payload(&[], body)].concat());
        let memory = self.handle.account.memory().charge(bytes.len());
        self.handle
            .outgoing
            .try_send(Outgoing::Response {
                bytes,
                settles: Some(StreamId(stream)),
                memory,
            })
            .unwrap();
    }

    /// Asks for the close, as the dispatcher does once it has processed so many events.
    fn close(&self, events_processed: u64) {
        self.handle
            .outgoing
            .try_send(Outgoing::Close { events_processed })
            .unwrap();
    }

    /// Runs the connection's task until it can make no further progress.
    async fn run_until_stalled(&self) {
        for _ in 0..100 {
            future::yield_now().await;
            while self.executor.try_tick() {}
        }
    }

    /// Takes the next event, which must be a request, and returns its stream.
    async fn next_request(&self) -> u32 {
        match self.events.recv().await {
            Ok(Event::Request(_, request, _)) => request.stream.0,
            _ => panic!("expected a request"),
        }
    }

    fn is_open(&self) -> bool {
        !self.serving.is_finished() && !self.handle.outgoing.is_closed()
    }
}

fn request_frame(stream: u32) -> Vec<u8> {
    let (id, at) = (format!("{stream:016x}"), unix_ms().to_string());
    let fields = [
        ("class", "greet"),
        ("id", &id),
        ("at", &at),
        ("from", "1"),
        ("kb", "1.0"),
    ];
    encode_frame(1, stream, &encode_payload(&fields, b""))
}

/// Guards against losing requests that are in transit when the server closes an idle connection: a request that was
/// read but not yet processed, bytes that are unread because the reader waits for the dispatcher, or half a frame. The
/// connection must stay open, and each request must be answered on it.
#[test]
fn keeps_the_connection_open_when_a_request_is_in_transit() {
    let (one, two, three) = (request_frame(1), request_frame(2), request_frame(3));
    let (half, rest) = one.split_at(one.len() / 2);
    // Capacity of the event queue, bytes that are read, bytes sent just before the close, events processed by then,
    // bytes sent after the close, number of requests.
    let rows = [
        (8, one.clone(), vec![], 0, vec![], 1),
        // The first request fills the event queue and the second waits for room, so the third stays unread.
        (1, [one.clone(), two].concat(), three, 2, vec![], 3),
        (8, half.to_vec(), vec![], 0, rest.to_vec(), 1),
    ];
    for (capacity, read, before, processed, after, requests) in rows {
        Rig::run(capacity, None, |mut rig| async move {
            rig.sidecar.0.write_all(&read).unwrap();
            while rig.events.is_empty() && after.is_empty() {
                future::yield_now().await;
            }
            rig.run_until_stalled().await;
            rig.sidecar.0.write_all(&before).unwrap();
            rig.close(processed);
            rig.run_until_stalled().await;
            assert!(rig.is_open());
            rig.sidecar.0.write_all(&after).unwrap();
            for stream in 1..=requests {
                assert_eq!(rig.next_request().await, stream);
                rig.respond(stream, &[stream as u8]);
            }
            rig.run_until_stalled().await;
            for stream in 1..=requests {
                assert_eq!(rig.sidecar.receive().unwrap().body, [stream as u8]);
            }
        });
    }
}

/// Guards against a reset that destroys responses which the sidecar has not read yet. The kernel resets a connection
/// that is closed with unread input, so what the sidecar sends after the close must be read and discarded.
#[test]
fn discards_what_comes_after_a_close_without_resetting_responses() {
    Rig::run(8, Some(4_096), |mut rig| async move {
        let body = vec![7; 200_000];
        rig.send_request(1);
        assert_eq!(rig.next_request().await, 1);
        rig.respond(1, &body);
        rig.close(1);
        // Until the response is written to the kernel, which holds most of it back because the sidecar's receive
        // buffer is small.
        while !rig.handle.outgoing.is_closed() {
            future::yield_now().await;
        }
        rig.run_until_stalled().await;
        rig.send_request(2);
        rig.run_until_stalled().await;
        assert_eq!(rig.sidecar.receive().unwrap().body, body);
        let mut rest = Vec::new();
        assert_eq!(
            rig.sidecar.0.read_to_end(&mut rest).map_err(|e| e.kind()),
            Ok::<_, ErrorKind>(0)
        );
        drop(rig.sidecar);
        rig.serving.await;
        assert!(
            rig.events.try_recv().is_err(),
            "input after the half-close was passed to the dispatcher"
        );
    });
}

/// The counterpart of the tests above: an idle connection without data in transit is closed at once, without a reset.
#[test]
fn closes_the_connection_when_nothing_is_in_transit() {
    Rig::run(8, None, |mut rig| async move {
        rig.close(0);
        while !rig.handle.outgoing.is_closed() {
            future::yield_now().await;
        }
        assert_eq!(rig.sidecar.0.read(&mut [0]).unwrap(), 0);
        drop(rig.sidecar);
        rig.serving.await;
    });
}

/// Guards a request that waits for its turn among those of unknown clients when its connection is to be closed as idle:
/// it has been read, so it is passed on and the connection stays open.
#[test]
fn keeps_the_connection_when_a_request_waits_for_its_turn() {
    Rig::run(8, None, |mut rig| async move {
        let mut slots = Vec::new();
        for _ in 0..SLOTS {
            slots.push(rig.handle.account.request_turn().await);
        }
        assert!(matches!(slots.last(), Some(Turn::Unverified(_))));
        rig.send_request(1);
        rig.run_until_stalled().await;
        rig.close(0);
        rig.run_until_stalled().await;
        let next = rig.events.recv().await;
        assert!(matches!(
            next,
            Ok(Event::Request(..) | Event::OverQuota(..))
        ));
        assert!(rig.is_open());
    });
}

/// Guards sidecars on slow links: a sidecar that keeps reading is not cut off, even if the whole response takes longer
/// than the write timeout.
#[test]
fn keeps_the_connection_when_the_sidecar_reads_slowly() {
    Rig::run(8, Some(1 << 17), |mut rig| async move {
        rig.send_request(1);
        assert_eq!(rig.next_request().await, 1);
        let body = vec![7; 16 << 20];
        let total = encode_frame(2, 1, &[vec![1], encode_payload(&[], &body)].concat()).len();
        rig.respond(1, &body);
        let (start, mut received, mut chunk) = (Instant::now(), 0, vec![0; 1 << 19]);
        let sidecar = Async::new(rig.sidecar.0.try_clone().unwrap()).unwrap();
        while received < total {
            let count = chunk.len().min(total - received);
            (&mut &sidecar)
                .read_exact(&mut chunk[..count])
                .await
                .expect("the sidecar was cut off");
            received += count;
            // Reads slowly until the transfer has taken longer than the write timeout.
            if start.elapsed() < WRITE_TIMEOUT * 2 {
                Timer::after(WRITE_TIMEOUT / 15).await;
            }
        }
        assert!(start.elapsed() > WRITE_TIMEOUT && rig.is_open());
    });
}

/// Guards a sidecar at its limit of requests in flight: as soon as it has received one response it may send the next
/// request, although the server is still writing the other responses of the batch.
#[test]
fn accepts_the_next_request_when_a_response_is_being_written() {
    Rig::run(64, Some(4_096), |mut rig| async move {
        (1..=32).for_each(|stream| rig.send_request(stream));
        for stream in 1..=32 {
            assert_eq!(rig.next_request().await, stream);
        }
        rig.respond(1, b"first");
        // More than the kernel accepts from the writer at once.
        rig.respond(2, &vec![7; 16 << 20]);
        rig.run_until_stalled().await;
        assert_eq!(rig.sidecar.receive().unwrap().body, b"first");
        rig.send_request(33);
        assert_eq!(
            rig.next_request().await,
            33,
            "the request was counted as excess"
        );
    });
}
