//! What a server puts on its machine and on a shared dependency while runs hang and calls break.
use crate::fleet::*;
use cottondyke_test_support::fake_machine::*;
use cottondyke_test_support::fakes::FakeService;
use std::net::TcpListener;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How long the machine hangs.
const HANG: Duration = Duration::from_secs(8);
/// How long the load goes on after it.
const AFTER_HANG: Duration = Duration::from_secs(3);
/// How long an abandoned call goes on, as the settings tell.
const LINGER: Duration = Duration::from_millis(200);

/// Guards the machine while runs that may not be stopped hang: long after their clients gave up they are on it still.
#[test]
fn puts_no_more_on_a_hung_machine_than_it_survives() {
    let mut fleet = Fleet::start(FleetConfig {
        servers: 1,
        machine: STEADY_MACHINE,
        mean_work: Duration::from_millis(20),
        rate: 60.0,
        effect: "once",
        heeds_advice: false,
        client_timeout: Duration::from_millis(300),
    });
    let outcomes = fleet.under_load(HANG + AFTER_HANG, |servers| {
        servers[0].machine.set_hung(true);
        std::thread::sleep(HANG);
        servers[0].machine.set_hung(false);
    });
    let crowding = fleet.servers[0].machine.peak_crowding(OVERLOAD_WINDOW);
    println!("crowding {crowding:.2}, {outcomes:?}");
    assert!(crowding <= 1.0, "{crowding:.2} of what it survives");
    assert_eq!(outcomes.lost, 0, "{outcomes:?}");
    // It serves again once the machine does.
    assert!(outcomes.completed > 60, "{outcomes:?}");
}

/// The calls that a dependency was sent, and when each came.
#[derive(Clone, Default)]
struct ReceivedCalls(Arc<Mutex<Vec<Instant>>>);

impl ReceivedCalls {
    /// Takes calls whose connections break at once, though the dependency goes on with each for as long as it may.
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

    /// The largest mean number of calls that the dependency held over any window.
    fn peak_held(&self, window: Duration) -> f64 {
        let calls = self.0.lock().unwrap();
        let held_until = |last: &Instant| {
            let recent = calls
                .iter()
                .filter(|at| **at <= *last && **at + window > *last);
            recent.count() as f64 * LINGER.as_secs_f64() / window.as_secs_f64()
        };
        calls.iter().map(held_until).fold(0.0, f64::max)
    }
}

/// Guards what all servers call while the network breaks their connections: a call whose connection broke is there still.
#[test]
fn puts_no_more_on_a_shared_dependency_than_its_share_while_connections_break() {
    let servers = 3;
    let mut fleet = Fleet::start(FleetConfig {
        servers,
        machine: MachineConfig {
            makes_calls: true,
            ..STEADY_MACHINE
        },
        mean_work: Duration::from_millis(20),
        rate: 60.0,
        effect: "repeatable",
        heeds_advice: false,
        client_timeout: CLIENT_TIMEOUT,
    });
    let calls = ReceivedCalls::default();
    for server in &fleet.servers {
        calls.break_all(server.peers[1].try_clone().unwrap());
    }
    let outcomes = fleet.under_load(Duration::from_secs(6), |_| {});
    let held = calls.peak_held(OVERLOAD_WINDOW);
    let survived = CALL_SHARE * servers as f64;
    println!("held {held:.2} of {survived}, {outcomes:?}");
    assert!(
        held <= survived,
        "{held:.2} calls held, {survived} survived"
    );
    assert_eq!(outcomes.lost, 0, "{outcomes:?}");
    // Without their call requests are still worth something.
    assert!(outcomes.completed > outcomes.sent / 2, "{outcomes:?}");
}
