//! The desk at the end of the process, with the test in the place of its connections, so that it says when an answer
//! that was handed over is written.
use async_executor::LocalExecutor;
use cottondyke::answer::Outgoing;
use cottondyke::config::Config;
use cottondyke::desk::Desk;
use cottondyke::input::{ConnId, Input, Lines};
use cottondyke::room::Room;
use cottondyke::time::Clock;
use cottondyke::wire::engine::{Command, Notice, NoticeNo};
use cottondyke::wire::sidecar::{Req, Stream};
use cottondyke::wire::WireId;
use cottondyke_decide::types::{HandlerId, RunEnd};
use futures_lite::{future, FutureExt};
use std::rc::Rc;
use std::time::{Duration, Instant};

const STOP: u64 = 1_000;

struct Rig {
    executor: Rc<LocalExecutor<'static>>,
    inputs: async_channel::Sender<Input>,
    /// What the engine is told.
    commands: async_channel::Receiver<Command>,
    engine: async_channel::Sender<Command>,
}

impl Rig {
    /// Runs `test` beside a desk; true where the desk left before the test was through.
    fn run<F: std::future::Future<Output = ()>>(test: impl FnOnce(Rig) -> F) -> bool {
        let mut conf: serde_json::Value =
            serde_json::from_str(include_str!("../../../examples/config.json")).unwrap();
        conf["stop_ms"] = STOP.into();
        conf["settings"]["classes"][0]["effect"] = "once".into();
        let config = Rc::new(Config::parse(&conf.to_string()).unwrap());
        let clock = Clock::start();
        let decider = config.decider(clock.now()).unwrap();
        let executor = Rc::new(LocalExecutor::new());
        let (inputs, desk_inputs) = async_channel::unbounded();
        let (engine, commands) = async_channel::unbounded();
        let (news, _news) = async_channel::unbounded();
        let (moves, _moves) = async_channel::unbounded();
        let (close, _closed) = async_channel::bounded(1);
        let lines = Lines { news, engine: moves, close };
        let room = Room::new(100, 1 << 20);
        let desk = Desk::new(config, decider, clock, executor.clone(), inputs.clone(), room, lines, None);
        let rig = Rig { executor: executor.clone(), inputs, commands, engine };
        let leaves = async {
            desk.run(desk_inputs).await;
            true
        };
        let tests = async {
            test(rig).await;
            false
        };
        async_io::block_on(executor.run(leaves.or(tests)))
    }

    fn tell(&self, input: Input) {
        self.inputs.try_send(input).unwrap();
    }

    /// The engine is there, and has answered the question that fences off what was before.
    async fn engine_up(&self) {
        self.tell(Input::EngineUp { age_ms: 1.0, outlet: self.engine.clone() });
        let Ok(Command::Stat(tag)) = self.commands.recv().await else { panic!("the fence comes first") };
        self.tell(Input::Notice(Notice::Stats { tag, gauges: Vec::new() }));
    }

    fn open(&self, conn: u64, most: usize) -> async_channel::Receiver<Outgoing> {
        let (outlet, outgoing) = async_channel::bounded(most);
        self.tell(Input::Opened(ConnId(conn), outlet));
        outgoing
    }

    fn ask(&self, conn: u64, stream: u32) {
        let id = WireId::new(&format!("{stream:016x}")).unwrap();
        let at = cottondyke_standin::peers::unix_ms();
        let req = Req {
            stream: Stream(stream),
            id,
            handler: HandlerId(0),
            customer: None,
            at,
            retry: false,
            wait: None,
            hint: None,
            kb: 1.0,
            mark: None,
            body: Vec::new(),
        };
        self.tell(Input::Req(ConnId(conn), req));
    }

    /// Lets the desk do all that it can do now.
    async fn settle(&self) {
        for _ in 0..100 {
            future::yield_now().await;
            while self.executor.try_tick() {}
        }
    }

    /// Those that were told to run.
    fn runs(&self) -> usize {
        std::iter::from_fn(|| self.commands.try_recv().ok())
            .filter(|command| matches!(command, Command::Run { .. }))
            .count()
    }
}

/// Guards answers that left the desk's queue and are not written yet: the process ends when they are, or when its
/// time is over, not as soon as the queue is empty.
#[test]
fn the_end_waits_for_an_answer_that_is_being_written() {
    let start = Instant::now();
    let left = Rig::run(|rig| async move {
        let outgoing = rig.open(1, 100);
        rig.ask(1, 1);
        rig.tell(Input::Leave);
        // The writer takes all that is handed over, and has written none of it: the connection stands.
        while outgoing.recv().await.is_ok() {}
        future::pending().await
    });
    let end = Duration::from_millis(STOP).mul_f64(0.985);
    assert!(left && start.elapsed() >= end, "it ended after {:?}", start.elapsed());
}

/// Guards the time of leaving: the end comes as soon as the last connection has written what it had.
#[test]
fn the_end_comes_with_the_last_connection() {
    let start = Instant::now();
    let left = Rig::run(|rig| async move {
        let outgoing = rig.open(1, 100);
        rig.tell(Input::Leave);
        while !matches!(outgoing.recv().await, Ok(Outgoing::Close { .. })) {}
        rig.tell(Input::Closed(ConnId(1)));
        future::pending().await
    });
    assert!(left && start.elapsed() >= Duration::from_millis(STOP).mul_f64(0.88));
}

/// Guards effects: a req that waits for the desk as its connection is given up can carry no answer. It must not run,
/// since its sidecar, which sees the connection fail, may send it again elsewhere.
#[test]
fn a_req_on_a_connection_that_was_given_up_does_not_run() {
    let left = Rig::run(|rig| async move {
        rig.engine_up().await;
        let _reads_nothing = rig.open(1, 1);
        let _other = rig.open(2, 100);
        // The second answer finds the queue full: the connection is dropped, with a req behind.
        for stream in 1..=2 {
            rig.tell(Input::Check { conn: ConnId(1), stream: Stream(stream), deep: false });
        }
        rig.ask(1, 3);
        rig.settle().await;
        assert_eq!(rig.runs(), 0);
        rig.ask(2, 4);
        rig.settle().await;
        assert_eq!(rig.runs(), 1, "others are served");
    });
    assert!(!left);
}

/// What of these settles a req.
fn settled(outgoing: &async_channel::Receiver<Outgoing>) -> usize {
    let all = std::iter::from_fn(|| outgoing.try_recv().ok());
    all.filter(|one| matches!(one, Outgoing::Reply { settles: true, .. })).count()
}

/// Guards the one final answer where the end of the run, the sidecar's cancel, its half-close, the notice to leave and
/// the end of the connection fall into one turn, in each order: one answer, but where the connection went first none.
#[test]
fn what_falls_into_one_turn_answers_once_in_each_order() {
    type Tell = fn(&Rig, u32);
    let events: [Tell; 5] = [
        |rig, n| {
            let id = WireId::new(&format!("{n:016x}")).unwrap();
            let (no, end) = (NoticeNo(u64::from(n)), RunEnd::Done);
            rig.tell(Input::Notice(Notice::Done { no, id, end, result: Vec::new() }));
        },
        |rig, n| rig.tell(Input::Cancelled(ConnId(u64::from(n)), Stream(n))),
        |rig, n| rig.tell(Input::Finished(ConnId(u64::from(n)))),
        |rig, n| rig.tell(Input::Malformed(ConnId(u64::from(n)), "on purpose")),
        |rig, n| rig.tell(Input::Closed(ConnId(u64::from(n)))),
    ];
    let left = Rig::run(|rig| async move {
        rig.engine_up().await;
        // Each order of the five, by the number of the order.
        for order in 0..120u32 {
            let (conn, n) = (u64::from(order) + 1, order + 1);
            let outgoing = rig.open(conn, 100);
            rig.ask(conn, n);
            rig.settle().await;
            assert_eq!(rig.runs(), 1);
            let (mut rest, mut number) = (vec![0, 1, 2, 3, 4], order as usize);
            let mut turn = Vec::new();
            for left in (1..=5).rev() {
                turn.push(rest.remove(number % left));
                number /= left;
            }
            turn.iter().for_each(|event| events[*event](&rig, n));
            rig.settle().await;
            let place = |event| turn.iter().position(|e| *e == event).unwrap();
            let answers = usize::from(place(4) > place(0).min(place(1)));
            assert_eq!(settled(&outgoing), answers, "{turn:?}");
            // The run ends in any case, and leaves its place.
            events[0](&rig, n);
        }
    });
    assert!(!left);
}

/// Guards the last answer: the notice to leave falls into the step in which it is handed over, before or after.
#[test]
fn the_notice_beside_the_last_answer_loses_neither() {
    for before in [false, true] {
        let left = Rig::run(|rig| async move {
            rig.engine_up().await;
            let outgoing = rig.open(1, 100);
            rig.ask(1, 1);
            rig.settle().await;
            let id = WireId::new(&format!("{:016x}", 1)).unwrap();
            let done = || Notice::Done { no: NoticeNo(1), id, end: RunEnd::Done, result: Vec::new() };
            if before {
                rig.tell(Input::Leave);
            }
            rig.tell(Input::Notice(done()));
            if !before {
                rig.tell(Input::Leave);
            }
            rig.settle().await;
            assert_eq!(settled(&outgoing), 1);
        });
        assert!(!left);
    }
}
