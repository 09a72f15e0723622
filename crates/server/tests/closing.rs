//! Closing a connection while something crosses it. Real connections, with the test in the place of the desk: it says
//! when what was read is taken, and when the connection is to close, so that every order comes each time.
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use cottondyke::answer::Outgoing;
use cottondyke::input::{ConnId, Input};
use cottondyke::intake::{self, Front};
use cottondyke::room::Room;
use cottondyke::wire::sidecar::Names;
use cottondyke_standin::peers::{frame, payload, unix_ms, Sidecar};
use futures_lite::{future, AsyncReadExt};
use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long the sidecar may take nothing.
const WRITE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// One connection, its sidecar and its desk; `room` is what may wait for the desk.
struct Rig {
    executor: Rc<LocalExecutor<'static>>,
    sidecar: Sidecar,
    desk: Receiver<Input>,
    outgoing: Sender<Outgoing>,
    /// Its end is the end of the connection's handling.
    ended: Receiver<()>,
}

impl Rig {
    /// Runs `test` beside the handling of one connection, whose sidecar takes `buffer` bytes at once.
    fn run<F: std::future::Future<Output = ()>>(
        room: usize, buffer: Option<usize>, test: impl FnOnce(Rig) -> F,
    ) {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let socket =
            rustix::net::socket(rustix::net::AddressFamily::INET, rustix::net::SocketType::STREAM, None)
                .unwrap();
        if let Some(buffer) = buffer {
            rustix::net::sockopt::set_socket_recv_buffer_size(&socket, buffer).unwrap();
        }
        rustix::net::connect(&socket, &addr).unwrap();
        let mut sidecar = Sidecar(TcpStream::from(socket));
        sidecar.0.set_nodelay(true).unwrap();
        sidecar.0.set_read_timeout(Some(cottondyke_standin::peers::PATIENCE)).unwrap();
        let _ = sidecar.0.flush();
        let stream = Async::new(listener.accept().unwrap().0).unwrap();
        let names = Names { handlers: vec!["greet".into()], customers: Vec::new(), longest_ms: 2_000.0 };
        let (to_desk, desk) = async_channel::bounded(room);
        let front = Front {
            names: Rc::new(names),
            room: Room::new(8, 1 << 20),
            desk: to_desk,
            write_timeout: WRITE_TIMEOUT,
        };
        let executor = Rc::new(LocalExecutor::new());
        let (over, ended) = async_channel::bounded(1);
        executor
            .spawn(async move {
                intake::serve(ConnId(0), stream, &front).await;
                drop(over);
            })
            .detach();
        async_io::block_on(executor.clone().run(async move {
            let Ok(Input::Opened(_, outgoing)) = desk.recv().await else { panic!("no connection") };
            test(Rig { executor, sidecar, desk, outgoing, ended }).await;
        }));
    }

    fn ask(&mut self, stream: u32) {
        self.sidecar.0.write_all(&asked(stream)).unwrap();
    }

    /// The reply to a req, as the desk would hand it over.
    fn reply(&self, stream: u32, body: &[u8]) {
        let bytes = frame(2, stream, &[vec![1], payload(&[], body)].concat());
        self.outgoing.try_send(Outgoing::Reply { bytes, settles: true }).unwrap();
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
        match self.desk.recv().await {
            Ok(Input::Req(_, req)) => req.stream.0,
            _ => panic!("expected a req"),
        }
    }

    fn is_open(&self) -> bool {
        !self.ended.is_closed() && !self.outgoing.is_closed()
    }
}

fn asked(stream: u32) -> Vec<u8> {
    let (id, at) = (format!("{stream:016x}"), unix_ms().to_string());
    let fields = [("class", "greet"), ("id", &id), ("at", &at), ("from", "1"), ("kb", "1.0")];
    frame(1, stream, &payload(&fields, b""))
}

/// Guards a req that was read, and not yet taken by the desk, as the desk closes the connection: it stays open, and
/// its answer goes out on it.
#[test]
fn a_req_read_before_a_close_keeps_the_connection() {
    Rig::run(8, None, |mut rig| async move {
        rig.ask(1);
        // The desk has taken nothing yet as it decides.
        while rig.desk.is_empty() {
            future::yield_now().await;
        }
        rig.close(0);
        rig.settle().await;
        assert!(rig.is_open());
        assert_eq!(rig.taken().await, 1);
        rig.reply(1, b"there");
        rig.settle().await;
        assert_eq!(rig.sidecar.hear().unwrap().body, b"there");
        rig.close(1);
        drop(rig.outgoing);
        assert!(rig.ended.recv().await.is_err());
    });
}

/// Guards a req whose bytes lie unread in the socket as the desk closes the connection: the reader, which waits for
/// room at the desk, cannot have seen them.
#[test]
fn bytes_that_lie_unread_keep_the_connection() {
    Rig::run(1, None, |mut rig| async move {
        // The first waits at the desk, the second for a place there; no more is read meanwhile.
        let both = [asked(1), asked(2)].concat();
        rig.sidecar.0.write_all(&both).unwrap();
        while rig.desk.is_empty() {
            future::yield_now().await;
        }
        rig.settle().await;
        rig.ask(3);
        rig.close(2);
        rig.settle().await;
        assert!(rig.is_open());
        for stream in 1..=3 {
            assert_eq!(rig.taken().await, stream);
            rig.reply(stream, &[stream as u8]);
        }
        rig.settle().await;
        for stream in 1..=3 {
            assert_eq!(rig.sidecar.hear().unwrap().body, [stream]);
        }
    });
}

/// Guards a req of which half has come as the desk closes the connection: its sidecar is in the midst of sending it.
#[test]
fn half_a_frame_keeps_the_connection() {
    Rig::run(8, None, |mut rig| async move {
        let bytes = asked(1);
        let (first, second) = bytes.split_at(bytes.len() / 2);
        rig.sidecar.0.write_all(first).unwrap();
        rig.settle().await;
        rig.close(0);
        rig.settle().await;
        assert!(rig.is_open());
        rig.sidecar.0.write_all(second).unwrap();
        assert_eq!(rig.taken().await, 1);
        rig.reply(1, b"whole");
        rig.settle().await;
        assert_eq!(rig.sidecar.hear().unwrap().body, b"whole");
    });
}

/// Guards answers that the sidecar has not taken yet: what it sends after the close is read and handed to nobody, and
/// does not reset the connection under them.
#[test]
fn what_comes_after_a_close_resets_no_answer_and_reaches_nobody() {
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
        assert_eq!(rig.sidecar.hear().unwrap().body, body);
        let mut rest = Vec::new();
        assert_eq!(rig.sidecar.0.read_to_end(&mut rest).map_err(|e| e.kind()), Ok::<_, ErrorKind>(0));
        drop(rig.sidecar);
        assert!(rig.ended.recv().await.is_err());
        assert!(rig.desk.try_recv().is_err(), "nothing was read after the half-close and sent on");
    });
}

/// Guards the other way round: a connection on which nothing crosses is closed at once, in order.
#[test]
fn a_quiet_connection_closes() {
    Rig::run(8, None, |mut rig| async move {
        rig.close(0);
        while !rig.outgoing.is_closed() {
            future::yield_now().await;
        }
        assert_eq!(rig.sidecar.0.read(&mut [0]).unwrap(), 0);
        drop(rig.sidecar);
        assert!(rig.ended.recv().await.is_err());
    });
}

/// Guards slow links: a sidecar that goes on taking what is written to it is not cut off, however long all takes.
#[test]
fn a_sidecar_that_takes_little_at_a_time_is_not_cut_off() {
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
            (&mut &sidecar).read_exact(&mut piece[..least]).await.expect("it is not cut off");
            taken += least;
            // A piece at a time, until all of it took longer than the write_timeout.
            if start.elapsed() < WRITE_TIMEOUT * 2 {
                Timer::after(WRITE_TIMEOUT / 15).await;
            }
        }
        assert!(start.elapsed() > WRITE_TIMEOUT && rig.is_open());
    });
}

/// Guards a sidecar that has as many reqs open as it may: with the first answer that it has it may send the next,
/// though the server still writes the others of the batch.
#[test]
fn an_answer_makes_room_for_the_next_req() {
    Rig::run(64, Some(4_096), |mut rig| async move {
        (1..=32).for_each(|stream| rig.ask(stream));
        for stream in 1..=32 {
            assert_eq!(rig.taken().await, stream);
        }
        rig.reply(1, b"first");
        // More than the system takes from the writer at once.
        rig.reply(2, &vec![7; 16 << 20]);
        rig.settle().await;
        assert_eq!(rig.sidecar.hear().unwrap().body, b"first");
        rig.ask(33);
        assert_eq!(rig.taken().await, 33, "it is no surplus");
    });
}
