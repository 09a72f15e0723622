//! The load that servers put on a machine whose runs hang, and on a shared dependency whose connections break.
use crate::fleet::*;
use cottondyke_test_support::fake_machine::*;
use cottondyke_test_support::fakes::FakeService;
use std::net::TcpListener;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How long the machine hangs.
const HANG: Duration = Duration::from_secs(8);
/// How long the load continues after the hang.
const AFTER_HANG: Duration = Duration::from_secs(3);
/// How long the dependency continues an abandoned call, as configured by `linger_ms`.
const LINGER: Duration = Duration::from_millis(200);

/// Guards a machine on which runs hang that may not be cancelled: they still occupy it long after their clients gave up.
#[test]
fn puts_no_more_on_a_hung_machine_than_it_survives() {
    let mut fleet = Fleet::start(FleetConfig {
        servers: 1,
        machine: STEADY_MACHINE,
        mean_work: Duration::from_millis(20),
        rate: 60.0,
        effect: "once",
        follows_load_advice: false,
        client_timeout: Duration::from_millis(300),
    });
    let outcomes = fleet.run_load(HANG + AFTER_HANG, |servers| {
        servers[0].machine.set_hung(true);
        std::thread::sleep(HANG);
        servers[0].machine.set_hung(false);
    });
    let peak_load = fleet.servers[0].machine.peak_load(OVERLOAD_WINDOW);
    println!("peak load {peak_load:.2}, {outcomes:?}");
    assert!(peak_load <= 1.0, "{peak_load:.2} of what it survives");
    assert_eq!(outcomes.lost, 0, "{outcomes:?}");
    // Requests complete again once the machine recovers.
    assert!(outcomes.completed > 60, "{outcomes:?}");
}

/// The times at which a dependency received calls.
#[derive(Clone, Default)]
struct ReceivedCalls(Arc<Mutex<Vec<Instant>>>);

impl ReceivedCalls {
    /// Receives calls and closes each connection at once. The dependency is assumed to continue each call for `LINGER`.
    fn break_all(&self, listener: TcpListener) {
        let calls = self.0.clone();
        std::thread::spawn(move || {
            while let Ok(mut service) = FakeService::accept(&listener) {
                if service.receive_request().is_ok() {
                    calls.lock().unwrap().push(Instant::now());
                }
            }
        });
    }

    /// The largest mean number of calls in progress at the dependency over any window.
    fn peak_concurrency(&self, window: Duration) -> f64 {
        let calls = self.0.lock().unwrap();
        let mean_concurrency = |last: &Instant| {
            let recent = calls
                .iter()
                .filter(|at| **at <= *last && **at + window > *last);
            recent.count() as f64 * LINGER.as_secs_f64() / window.as_secs_f64()
        };
        calls.iter().map(mean_concurrency).fold(0.0, f64::max)
    }
}

/// Guards a shared dependency while the network breaks the connections of all servers: it continues a call whose
/// connection broke.
#[test]
fn puts_no_more_on_a_shared_dependency_than_its_share_while_connections_break() {
    let servers = 3;
    let mut fleet = Fleet::start(FleetConfig {
        servers,
        machine: MachineConfig {
            calls: 1,
            ..STEADY_MACHINE
        },
        mean_work: Duration::from_millis(20),
        rate: 60.0,
        effect: "repeatable",
        follows_load_advice: false,
        client_timeout: CLIENT_TIMEOUT,
    });
    let calls = ReceivedCalls::default();
    for server in &fleet.servers {
        calls.break_all(server.listeners[1].try_clone().unwrap());
    }
    let outcomes = fleet.run_load(Duration::from_secs(6), |_| {});
    let concurrency = calls.peak_concurrency(OVERLOAD_WINDOW);
    let survived = CALL_SHARE * servers as f64;
    println!("concurrency {concurrency:.2} of {survived}, {outcomes:?}");
    assert!(
        concurrency <= survived,
        "{concurrency:.2} calls at once, {survived} survived"
    );
    assert_eq!(outcomes.lost, 0, "{outcomes:?}");
    // Requests whose call is skipped still have some value.
    assert!(outcomes.completed > outcomes.sent / 2, "{outcomes:?}");
}
