//! The dispatcher with the test in the place of its connections, so that the test decides when a response that was
//! handed over counts as written.
use async_executor::LocalExecutor;

use cottondyke::clock::Clock;
use cottondyke::config::Config;
use cottondyke::connection_account::RequestReservation;
use cottondyke::dispatcher::{DispatcherParts, RequestDispatcher};
use cottondyke::event::{ConnectionHandle, ConnectionId, Event, Outgoing, TaskChannels};
use cottondyke::memory_plan::MemoryPlan;
use cottondyke::protocol::engine::{EngineCommand, EngineMessage, EngineStart, MessageNumber};
use cottondyke::protocol::sidecar::{Request, StreamId};
use cottondyke::protocol::{ProtocolError, WireId};
use cottondyke::resource_limits::ResourceLimits;
use cottondyke_admission::RunOutcome;
use cottondyke_types::HandlerId;
use futures_lite::{future, FutureExt};
use std::rc::Rc;
use std::time::{Duration, Instant};

const SHUTDOWN_TIMEOUT_MS: u64 = 1_000;

struct Rig {
    executor: Rc<LocalExecutor<'static>>,
    events: async_channel::Sender<Event>,
    /// The commands that the engine receives.
    commands: async_channel::Receiver<EngineCommand>,
    engine: async_channel::Sender<EngineCommand>,
    limits: Rc<ResourceLimits>,
}

impl Rig {
    /// Runs `test` alongside a dispatcher; true if the dispatcher ended before the test did.
    fn run<F: std::future::Future<Output = ()>>(test: impl FnOnce(Rig) -> F) -> bool {
        let mut conf: serde_json::Value =
            serde_json::from_str(include_str!("../../../examples/config.json")).unwrap();
        conf["stop_ms"] = SHUTDOWN_TIMEOUT_MS.into();
        conf["settings"]["classes"][0]["effect"] = "once".into();
        let config = Rc::new(Config::parse(&conf.to_string()).unwrap());
        let clock = Clock::start();
        let admission = config.admission_controller(clock.now()).unwrap();
        let executor = Rc::new(LocalExecutor::new());
        let (events, pending) = async_channel::unbounded();
        let (engine, commands) = async_channel::unbounded();
        let (report, _updates) = async_channel::unbounded();
        let (engine_address, _address_changes) = async_channel::unbounded();
        let (stop_listening, _stopped) = async_channel::bounded(1);
        let channels = TaskChannels {
            report,
            engine_address,
            stop_listening,
        };
        let limits = ResourceLimits::new(MemoryPlan::unlimited(100));
        let dispatcher = RequestDispatcher::new(DispatcherParts {
            config,
            admission,
            clock,
            tasks: executor.clone(),
            events: events.clone(),
            limits: limits.clone(),
            channels,
            cluster: None,
        });
        let rig = Rig {
            limits,
            executor: executor.clone(),
            events,
            commands,
            engine,
        };
        let dispatching = async {
            dispatcher.run(pending).await;
            true
        };
        let testing = async {
            test(rig).await;
            false
        };
        async_io::block_on(executor.run(dispatching.or(testing)))
    }

    fn send(&self, event: Event) {
        self.events.try_send(event).unwrap();
    }

    /// Connects the engine, which has answered the load query that serves as a fence.
    async fn engine_up(&self) {
        self.send(Event::EngineUp {
            start: EngineStart::Warm,
            age_ms: 1.0,
            commands: self.engine.clone(),
        });
        let Ok(EngineCommand::QueryLoad(tag)) = self.commands.recv().await else {
            panic!("expected the fence first")
        };
        self.send(Event::EngineMessage(EngineMessage::Load {
            tag,
            gauges: Vec::new(),
        }));
    }

    fn open(&self, conn: u64, capacity: usize) -> async_channel::Receiver<Outgoing> {
        let (sender, outgoing) = async_channel::bounded(capacity);
        let handle = ConnectionHandle {
            outgoing: sender,
            account: self.limits.open_account(),
        };
        self.send(Event::Opened(ConnectionId(conn), handle));
        outgoing
    }

    fn send_request(&self, conn: u64, stream: u32) {
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
        let account = self.limits.open_account();
        let reservation = RequestReservation {
            memory: account.reserve(&request).unwrap(),
            slot: None,
        };
        self.send(Event::Request(ConnectionId(conn), request, reservation));
    }

    /// Lets the dispatcher do everything that it can do now.
    async fn settle(&self) {
        for _ in 0..100 {
            future::yield_now().await;
            while self.executor.try_tick() {}
        }
    }

    /// Counts the runs that the engine was told to start since the last call.
    fn take_started_runs(&self) -> usize {
        std::iter::from_fn(|| self.commands.try_recv().ok())
            .filter(|command| matches!(command, EngineCommand::StartRun { .. }))
            .count()
    }
}

/// Guards against the loss of responses that were handed to a writer and are not written yet: the process ends when
/// they are or when the timeout is over, not as soon as its queues are empty; and, with all connections closed, not
/// before it has stopped listening.
#[test]
fn ends_when_the_last_connection_closes_or_the_time_is_over() {
    for (closes, earliest) in [(false, 0.985), (true, 0.88)] {
        let start = Instant::now();
        let ended = Rig::run(|rig| async move {
            let outgoing = rig.open(1, 100);
            rig.send_request(1, 1);
            rig.send(Event::Shutdown);
            // The writer receives everything that is handed over and may have written none of it: the connection stays
            // open.
            while !matches!(outgoing.recv().await, Ok(Outgoing::Close { .. }) if closes) {}
            rig.send(Event::Closed(ConnectionId(1)));
            future::pending().await
        });
        assert!(
            ended
                && start.elapsed() >= Duration::from_millis(SHUTDOWN_TIMEOUT_MS).mul_f64(earliest),
            "{closes}"
        );
    }
}

/// Guards against effects that occur twice: a request that is queued for the dispatcher when its connection is dropped
/// can get no response. It must not run, since its sidecar, which sees the connection fail, may send it again
/// elsewhere.
#[test]
fn runs_no_request_of_a_dropped_connection() {
    let ended = Rig::run(|rig| async move {
        rig.engine_up().await;
        let _reads_nothing = rig.open(1, 1);
        let _other = rig.open(2, 100);
        // The second response finds the queue full: the connection is dropped, with a request queued behind it.
        for stream in 1..=2 {
            rig.send(Event::HealthCheck {
                connection: ConnectionId(1),
                stream: StreamId(stream),
                deep: false,
            });
        }
        rig.send_request(1, 3);
        rig.settle().await;
        assert_eq!(rig.take_started_runs(), 0);
        rig.send_request(2, 4);
        rig.settle().await;
        assert_eq!(rig.take_started_runs(), 1, "other connections are served");
    });
    assert!(!ended);
}

/// The permutation of `count` elements with this number.
fn permutation(count: usize, mut number: usize) -> Vec<usize> {
    let mut rest: Vec<_> = (0..count).collect();
    let next = |left| {
        let at = number % left;
        number /= left;
        rest.remove(at)
    };
    (1..=count).rev().map(next).collect()
}

/// Guards against a missing or second final response when the end of the run, the sidecar's cancellation, the end of
/// the connection, its half-close, a malformed frame and the shutdown signal are handled in one batch, in any order:
/// one response, or none if the connection ended before anything could be sent.
#[test]
fn answers_once_when_events_of_one_batch_come_in_any_order() {
    for number in 0..720 {
        let order = permutation(6, number);
        let ended = Rig::run(|rig| async move {
            rig.engine_up().await;
            let outgoing = rig.open(1, 100);
            rig.send_request(1, 1);
            rig.settle().await;
            assert_eq!(rig.take_started_runs(), 1);
            let id = WireId::new(&format!("{:016x}", 1)).unwrap();
            for choice in &order {
                rig.send(match choice {
                    0 => {
                        let (number, outcome) = (MessageNumber(1), RunOutcome::Completed);
                        Event::EngineMessage(EngineMessage::RunEnded {
                            number,
                            id,
                            outcome,
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
                .filter(|message| {
                    matches!(
                        message,
                        Outgoing::Response {
                            settles: Some(_),
                            ..
                        }
                    )
                })
                .count();
            assert_eq!(settled, usize::from(at(2) > at(0).min(at(1))), "{order:?}");
        });
        assert!(!ended);
    }
}
