//! Closing a connection while something crosses it. Real connections, with the test in the place of the dispatcher: it says
//! when what was read is taken, and when the connection is to close, so that every order comes each time.
use async_channel::{Receiver, Sender};
use async_executor::{LocalExecutor, Task};
use async_io::{Async, Timer};

use cottondyke::connection::reader::{self, ConnectionContext};
use cottondyke::event::{ConnectionId, Event, Outgoing};
use cottondyke::protocol::sidecar::NameTable;
use cottondyke::resource_limits::ResourceLimits;
use cottondyke_test_support::fakes::{frame, payload, unix_ms, FakeSidecar, IO_TIMEOUT};
use futures_lite::{future, AsyncReadExt};
use rustix::net::sockopt::set_socket_recv_buffer_size;
use rustix::net::{connect, socket, AddressFamily, SocketType};
use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long the sidecar may take nothing.
const WRITE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// One connection, its sidecar and its dispatcher; `capacity` is what may wait for the dispatcher.
struct Rig {
    executor: Rc<LocalExecutor<'static>>,
    sidecar: FakeSidecar,
    dispatcher: Receiver<Event>,
    outgoing: Sender<Outgoing>,
    /// The connection's handling.
    ended: Task<()>,
}

impl Rig {
    /// Runs `test` beside the handling of one connection, whose sidecar takes `buffer` bytes at once.
    fn run<F: std::future::Future<Output = ()>>(
        capacity: usize,
        buffer: Option<usize>,
        test: impl FnOnce(Rig) -> F,
    ) {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let socket = socket(AddressFamily::INET, SocketType::STREAM, None).unwrap();
        if let Some(buffer) = buffer {
            set_socket_recv_buffer_size(&socket, buffer).unwrap();
        }
        connect(&socket, &listener.local_addr().unwrap()).unwrap();
        let sidecar = FakeSidecar(TcpStream::from(socket));
        sidecar.0.set_nodelay(true).unwrap();
        sidecar.0.set_read_timeout(Some(IO_TIMEOUT)).unwrap();
        let stream = Async::new(listener.accept().unwrap().0).unwrap();
        let names = NameTable {
            handlers: vec!["greet".into()],
            tenants: Vec::new(),
            max_client_timeout_ms: 2_000.0,
        };
        let (to_dispatcher, dispatcher) = async_channel::bounded(capacity);
        let context = ConnectionContext {
            names: Rc::new(names),
            limits: ResourceLimits::new(8, 1 << 20),
            events: to_dispatcher,
            write_timeout: WRITE_TIMEOUT,
        };
        let executor = Rc::new(LocalExecutor::new());
        let ended =
            executor.spawn(async move { reader::serve(ConnectionId(0), stream, &context).await });
        async_io::block_on(executor.clone().run(async move {
            let Ok(Event::Opened(_, outgoing)) = dispatcher.recv().await else {
                panic!("no connection")
            };
            test(Rig {
                executor,
                sidecar,
                dispatcher,
                outgoing,
                ended,
            })
            .await;
        }));
    }

    fn ask(&mut self, stream: u32) {
        self.sidecar.0.write_all(&asked(stream)).unwrap();
    }

    /// The reply to a request, as the dispatcher would hand it over.
    fn reply(&self, stream: u32, body: &[u8]) {
        let bytes = frame(2, stream, &[vec![1], payload(&[], body)].concat());
        self.outgoing
            .try_send(Outgoing::Response {
                bytes,
                settles_request: true,
            })
            .unwrap();
    }

    fn close(&self, taken: u64) {
        self.outgoing.try_send(Outgoing::Close { taken }).unwrap();
    }

    /// Lets the connection do all that it can do now.
    async fn settle(&self) {
        for _ in 0..100 {
            future::yield_now().await;
            while self.executor.try_tick() {}
        }
    }

    async fn taken(&self) -> u32 {
        match self.dispatcher.recv().await {
            Ok(Event::Request(_, request)) => request.stream.0,
            _ => panic!("expected a request"),
        }
    }

    fn is_open(&self) -> bool {
        !self.ended.is_finished() && !self.outgoing.is_closed()
    }
}

fn asked(stream: u32) -> Vec<u8> {
    let (id, at) = (format!("{stream:016x}"), unix_ms().to_string());
    let fields = [
        ("class", "greet"),
        ("id", &id),
        ("at", &at),
        ("from", "1"),
        ("kb", "1.0"),
    ];
    frame(1, stream, &payload(&fields, b""))
}

/// Guards what crosses a close: a request that was read and is not taken yet, bytes that lie unread while the reader waits
/// for the dispatcher, half a frame. The connection stays open, and each request is answered on it.
#[test]
fn keeps_the_connection_when_a_request_crosses_its_close() {
    let (one, two, three) = (asked(1), asked(2), asked(3));
    let (half, rest) = one.split_at(one.len() / 2);
    // What may wait for the dispatcher, what is read, what comes just before the close, inputs taken then, what comes after.
    let rows = [
        (8, one.clone(), vec![], 0, vec![], 1),
        // The first waits at the dispatcher, the second for a place there; no more is read meanwhile.
        (1, [one.clone(), two].concat(), three, 2, vec![], 3),
        (8, half.to_vec(), vec![], 0, rest.to_vec(), 1),
    ];
    for (capacity, read, before, taken, after, requests) in rows {
        Rig::run(capacity, None, |mut rig| async move {
            rig.sidecar.0.write_all(&read).unwrap();
            while rig.dispatcher.is_empty() && after.is_empty() {
                future::yield_now().await;
            }
            rig.settle().await;
            rig.sidecar.0.write_all(&before).unwrap();
            rig.close(taken);
            rig.settle().await;
            assert!(rig.is_open());
            rig.sidecar.0.write_all(&after).unwrap();
            for stream in 1..=requests {
                assert_eq!(rig.taken().await, stream);
                rig.reply(stream, &[stream as u8]);
            }
            rig.settle().await;
            for stream in 1..=requests {
                assert_eq!(rig.sidecar.receive().unwrap().body, [stream as u8]);
            }
        });
    }
}

/// Guards answers that the sidecar has not taken yet: what it sends after the close is read and handed to nobody, and
/// does not reset the connection under them.
#[test]
fn discards_what_comes_after_a_close_without_resetting_responses() {
    Rig::run(8, Some(4_096), |mut rig| async move {
        let body = vec![7; 200_000];
        rig.ask(1);
        assert_eq!(rig.taken().await, 1);
        rig.reply(1, &body);
        rig.close(1);
        // Written whole to the system, which holds most of it back for a sidecar that takes little.
        while !rig.outgoing.is_closed() {
            future::yield_now().await;
        }
        rig.settle().await;
        rig.ask(2);
        rig.settle().await;
        assert_eq!(rig.sidecar.receive().unwrap().body, body);
        let mut rest = Vec::new();
        assert_eq!(
            rig.sidecar.0.read_to_end(&mut rest).map_err(|e| e.kind()),
            Ok::<_, ErrorKind>(0)
        );
        drop(rig.sidecar);
        rig.ended.await;
        assert!(
            rig.dispatcher.try_recv().is_err(),
            "nothing was read after the half-close and sent on"
        );
    });
}

/// Guards the other way round: a connection on which nothing crosses is closed at once, in order.
#[test]
fn closes_the_connection_when_it_is_quiet() {
    Rig::run(8, None, |mut rig| async move {
        rig.close(0);
        while !rig.outgoing.is_closed() {
            future::yield_now().await;
        }
        assert_eq!(rig.sidecar.0.read(&mut [0]).unwrap(), 0);
        drop(rig.sidecar);
        rig.ended.await;
    });
}

/// Guards slow links: a sidecar that goes on taking what is written to it is not cut off, however long all takes.
#[test]
fn keeps_the_connection_when_the_sidecar_reads_slowly() {
    Rig::run(8, Some(1 << 17), |mut rig| async move {
        rig.ask(1);
        assert_eq!(rig.taken().await, 1);
        let body = vec![7; 16 << 20];
        let whole = frame(2, 1, &[vec![1], payload(&[], &body)].concat()).len();
        rig.reply(1, &body);
        let (start, mut taken, mut piece) = (Instant::now(), 0, vec![0; 1 << 19]);
        let sidecar = Async::new(rig.sidecar.0.try_clone().unwrap()).unwrap();
        while taken < whole {
            let least = piece.len().min(whole - taken);
            (&mut &sidecar)
                .read_exact(&mut piece[..least])
                .await
                .expect("it is not cut off");
            taken += least;
            // A piece at a time, until all of it took longer than the write_timeout.
            if start.elapsed() < WRITE_TIMEOUT * 2 {
                Timer::after(WRITE_TIMEOUT / 15).await;
            }
        }
        assert!(start.elapsed() > WRITE_TIMEOUT && rig.is_open());
    });
}

/// Guards a sidecar that has as many requests open as it may: with the first answer that it has it may send the next,
/// though the server still writes the others of the batch.
#[test]
fn accepts_the_next_request_when_a_response_is_being_written() {
    Rig::run(64, Some(4_096), |mut rig| async move {
        (1..=32).for_each(|stream| rig.ask(stream));
        for stream in 1..=32 {
            assert_eq!(rig.taken().await, stream);
        }
        rig.reply(1, b"first");
        // More than the system takes from the writer at once.
        rig.reply(2, &vec![7; 16 << 20]);
        rig.settle().await;
        assert_eq!(rig.sidecar.receive().unwrap().body, b"first");
        rig.ask(33);
        assert_eq!(rig.taken().await, 33, "it is no surplus");
    });
}
