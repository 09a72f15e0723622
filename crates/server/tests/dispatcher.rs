//! The dispatcher at the end of the process, with the test in the place of its connections, so that it says when an answer
//! that was handed over is written.
use async_executor::LocalExecutor;

use cottondyke::clock::Clock;
use cottondyke::config::Config;
use cottondyke::dispatcher::{DispatcherParts, RequestDispatcher};
use cottondyke::event::{ConnectionId, Event, Outgoing, TaskChannels};
use cottondyke::protocol::engine::{EngineCommand, EngineMessage, EngineStart, MessageNumber};
use cottondyke::protocol::sidecar::{Request, StreamId};
use cottondyke::protocol::{ProtocolError, WireId};
use cottondyke::resource_limits::ResourceLimits;
use cottondyke_admission::RunOutcome;
use cottondyke_types::HandlerId;
use futures_lite::{future, FutureExt};
use std::rc::Rc;
use std::time::{Duration, Instant};

const STOP: u64 = 1_000;

struct Rig {
    executor: Rc<LocalExecutor<'static>>,
    events: async_channel::Sender<Event>,
    /// What the engine is told.
    commands: async_channel::Receiver<EngineCommand>,
    engine: async_channel::Sender<EngineCommand>,
}

impl Rig {
    /// Runs `test` beside a dispatcher; true where the dispatcher left before the test was through.
    fn run<F: std::future::Future<Output = ()>>(test: impl FnOnce(Rig) -> F) -> bool {
        let mut conf: serde_json::Value =
            serde_json::from_str(include_str!("../../../examples/config.json")).unwrap();
        conf["stop_ms"] = STOP.into();
        conf["settings"]["classes"][0]["effect"] = "once".into();
        let config = Rc::new(Config::parse(&conf.to_string()).unwrap());
        let clock = Clock::start();
        let admission = config.admission_controller(clock.now()).unwrap();
        let executor = Rc::new(LocalExecutor::new());
        let (events, pending) = async_channel::unbounded();
        let (engine, commands) = async_channel::unbounded();
        let (report, _updates) = async_channel::unbounded();
        let (engine_address, _moves) = async_channel::unbounded();
        let (stop_listening, _stopped) = async_channel::bounded(1);
        let channels = TaskChannels {
            report,
            engine_address,
            stop_listening,
        };
        let dispatcher = RequestDispatcher::new(DispatcherParts {
            config,
            admission,
            clock,
            tasks: executor.clone(),
            events: events.clone(),
            limits: ResourceLimits::new(100, 1 << 20),
            channels,
            cluster: None,
        });
        let rig = Rig {
            executor: executor.clone(),
            events,
            commands,
            engine,
        };
        let leaves = async {
            dispatcher.run(pending).await;
            true
        };
        let tests = async {
            test(rig).await;
            false
        };
        async_io::block_on(executor.run(leaves.or(tests)))
    }

    fn tell(&self, event: Event) {
        self.events.try_send(event).unwrap();
    }

    /// The engine is there, and has answered the question that fences off what was before.
    async fn engine_up(&self) {
        self.tell(Event::EngineUp {
            start: EngineStart::Warm,
            age_ms: 1.0,
            commands: self.engine.clone(),
        });
        let Ok(EngineCommand::QueryLoad(tag)) = self.commands.recv().await else {
            panic!("the fence comes first")
        };
        self.tell(Event::EngineMessage(EngineMessage::Load {
            tag,
            gauges: Vec::new(),
        }));
    }

    fn open(&self, conn: u64, most: usize) -> async_channel::Receiver<Outgoing> {
        let (sender, outgoing) = async_channel::bounded(most);
        self.tell(Event::Opened(ConnectionId(conn), sender));
        outgoing
    }

    fn ask(&self, conn: u64, stream: u32) {
        let id = WireId::new(&format!("{stream:016x}")).unwrap();
        let at = cottondyke_test_support::fakes::unix_ms();
        let request = Request {
            stream: StreamId(stream),
            id,
            handler: HandlerId(0),
            tenant: None,
            arrived_unix_ms: at,
            is_retry: false,
            client_wait_ms: None,
            cost_hint_ms: None,
            memory_kb: 1.0,
            idempotency_key: None,
            body: Vec::new(),
        };
        self.tell(Event::Request(ConnectionId(conn), request));
    }

    /// Lets the dispatcher do all that it can do now.
    async fn settle(&self) {
        for _ in 0..100 {
            future::yield_now().await;
            while self.executor.try_tick() {}
        }
    }

    /// Those that were told to run.
    fn runs(&self) -> usize {
        std::iter::from_fn(|| self.commands.try_recv().ok())
            .filter(|command| matches!(command, EngineCommand::StartRun { .. }))
            .count()
    }
}

/// Guards answers that left the dispatcher's queue and are not written yet: the process ends when they are, or when its time
/// is over, not as soon as the queue is empty; with its connections closed, not before it has stopped listening.
#[test]
fn ends_when_the_last_connection_closes_or_the_time_is_over() {
    for (closes, earliest) in [(false, 0.985), (true, 0.88)] {
        let start = Instant::now();
        let left = Rig::run(|rig| async move {
            let outgoing = rig.open(1, 100);
            rig.ask(1, 1);
            rig.tell(Event::Shutdown);
            // The writer takes all that is handed over, and may have written none of it: the connection stands.
            while !matches!(outgoing.recv().await, Ok(Outgoing::Close { .. }) if closes) {}
            rig.tell(Event::Closed(ConnectionId(1)));
            future::pending().await
        });
        assert!(
            left && start.elapsed() >= Duration::from_millis(STOP).mul_f64(earliest),
            "{closes}"
        );
    }
}

/// Guards effects: a request that waits for the dispatcher as its connection is given up can carry no answer. It must not run,
/// since its sidecar, which sees the connection fail, may send it again elsewhere.
#[test]
fn runs_no_request_of_a_dropped_connection() {
    let left = Rig::run(|rig| async move {
        rig.engine_up().await;
        let _reads_nothing = rig.open(1, 1);
        let _other = rig.open(2, 100);
        // The second answer finds the queue full: the connection is dropped, with a request behind.
        for stream in 1..=2 {
            rig.tell(Event::HealthCheck {
                connection: ConnectionId(1),
                stream: StreamId(stream),
                deep: false,
            });
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

/// Every order of `count` things, by the number of the order.
fn order(count: usize, mut number: usize) -> Vec<usize> {
    let mut rest: Vec<_> = (0..count).collect();
    let next = |left| {
        let at = number % left;
        number /= left;
        rest.remove(at)
    };
    (1..=count).rev().map(next).collect()
}

/// Guards the one final answer where the end of the run, the sidecar's cancel, the end of the connection, its half-close,
/// a malformed frame and the shutdown signal fall into one turn, in each order: one answer, none where the connection
/// went before anything could answer.
#[test]
fn answers_once_when_events_of_one_turn_come_in_any_order() {
    for number in 0..720 {
        let order = order(6, number);
        let left = Rig::run(|rig| async move {
            rig.engine_up().await;
            let outgoing = rig.open(1, 100);
            rig.ask(1, 1);
            rig.settle().await;
            assert_eq!(rig.runs(), 1);
            let id = WireId::new(&format!("{:016x}", 1)).unwrap();
            for choice in &order {
                rig.tell(match choice {
                    0 => {
                        let (no, end) = (MessageNumber(1), RunOutcome::Completed);
                        Event::EngineMessage(EngineMessage::RunEnded {
                            number: no,
                            id,
                            outcome: end,
                            result: Vec::new(),
                        })
                    }
                    1 => Event::Cancelled(ConnectionId(1), StreamId(1)),
                    2 => Event::Closed(ConnectionId(1)),
                    3 => Event::HalfClosed(ConnectionId(1)),
                    4 => Event::ProtocolError(ConnectionId(1), ProtocolError::FrameLength),
                    _ => Event::Shutdown,
                });
            }
            rig.settle().await;
            let at = |event| order.iter().position(|e| *e == event);
            let settled = std::iter::from_fn(|| outgoing.try_recv().ok());
            let settled = settled
                .filter(|one| {
                    matches!(
                        one,
                        Outgoing::Response {
                            settles_request: true,
                            ..
                        }
                    )
                })
                .count();
            assert_eq!(settled, usize::from(at(2) > at(0).min(at(1))), "{order:?}");
        });
        assert!(!left);
    }
}
