//! What a server takes on while it is in slow start.
use crate::fleet::*;
use cottondyke_test_support::fake_machine::*;
use std::time::Duration;

/// How long a killed server stays down.
const DOWNTIME: Duration = Duration::from_millis(2_500);
/// How long a fleet runs before one of its servers is killed.
const BEFORE_KILL: Duration = Duration::from_millis(1_000);
/// How long it runs on after that server is back.
const AFTER_RESTART: Duration = Duration::from_secs(8);

/// A machine that starts faster than its settings tell, as they allow.
const MACHINE: MachineConfig = MachineConfig {
    cores: 6.0,
    cold_speed: 0.6,
    warm_after: Duration::from_secs(5),
    told_cold_speed: 0.26,
    told_warm_within: Duration::from_secs(18),
    overload_factor: 8.0,
    ..STEADY_MACHINE
};

/// What a server in slow start may begin over the window: `expected` requests of mean work, and a margin for chance.
fn with_margin(expected: f64) -> f64 {
    if expected < 30.0 {
        expected + 3.0 * expected.sqrt() + 3.0
    } else {
        expected + 2.0 * expected.sqrt() + 2.0
    }
}

/// The requests of mean work that the settings let a cold machine do over the window that ends `at`.
fn expected_requests(config: &FleetConfig, at: Duration) -> f64 {
    let machine = config.machine;
    let part = at.as_secs_f64() / machine.told_warm_within.as_secs_f64();
    let speed = (machine.told_cold_speed + (1.0 - machine.told_cold_speed) * part).min(1.0);
    machine.cores * speed * OVERLOAD_WINDOW.as_secs_f64() / config.mean_work.as_secs_f64()
}

/// The largest part of its budget that a machine was given over any window since its cold start.
fn peak_budget_use(config: &FleetConfig, begun: &[BegunRun]) -> f64 {
    let mean_work = config.mean_work.as_secs_f64();
    let mut peak: f64 = 0.0;
    for (place, last) in begun.iter().enumerate() {
        let in_window = begun[..=place].iter().rev();
        let in_window = in_window.take_while(|run| run.at + OVERLOAD_WINDOW > last.at);
        let requests = in_window.map(|run| run.work).sum::<f64>() / mean_work;
        peak = peak.max(requests / with_margin(expected_requests(config, last.at)));
    }
    peak
}

/// Kills the last server of a fleet, starts it again cold, and holds what it then takes on to its budget.
fn keeps_its_budget(config: FleetConfig) {
    let mut fleet = Fleet::start(config);
    let outcomes = fleet.under_load(BEFORE_KILL + DOWNTIME + AFTER_RESTART, |servers| {
        std::thread::sleep(BEFORE_KILL);
        let killed = servers.last_mut().unwrap();
        killed.kill();
        std::thread::sleep(DOWNTIME);
        killed.start_again();
    });
    let machine = &fleet.servers.last().unwrap().machine;
    let begun = machine.begun();
    let peak = peak_budget_use(&config, &begun);
    let crowding = machine.peak_crowding(OVERLOAD_WINDOW);
    println!(
        "budget use {peak:.2}, crowding {crowding:.2}, begun {}, {outcomes:?}",
        begun.len()
    );
    assert!(peak <= 1.0, "{peak:.2} of the budget of slow start");
    assert!(crowding <= 1.0, "{crowding:.2} of what it survives");
    assert_eq!(outcomes.lost, 0, "{outcomes:?}");
    // It is of use all the same: slow start is no standstill.
    let told = expected_requests(&config, Duration::ZERO) / OVERLOAD_WINDOW.as_secs_f64();
    let least = 0.5 * told * AFTER_RESTART.as_secs_f64();
    assert!(begun.len() as f64 >= least, "begun {}", begun.len());
}

/// Guards against a cold server that is kept busy by all that a fleet sends it.
#[test]
fn keeps_the_budget_of_a_restarted_server_in_a_fleet_of_three() {
    keeps_its_budget(FleetConfig {
        servers: 3,
        machine: MACHINE,
        mean_work: Duration::from_millis(60),
        rate: 110.0,
        effect: "repeatable",
        heeds_advice: true,
        client_timeout: CLIENT_TIMEOUT,
    });
}

/// Guards it where there is nobody else to take what it rejects, and nobody listens to it.
#[test]
fn keeps_the_budget_of_a_restarted_server_on_its_own() {
    keeps_its_budget(FleetConfig {
        servers: 1,
        machine: MACHINE,
        mean_work: Duration::from_millis(150),
        rate: 50.0,
        effect: "by_key",
        heeds_advice: false,
        client_timeout: CLIENT_TIMEOUT,
    });
}

/// Guards it on small machines, where a budget is a handful of requests.
#[test]
fn keeps_the_budget_of_a_restarted_server_in_a_fleet_of_eight() {
    let machine = MachineConfig {
        cores: 1.0,
        ..MACHINE
    };
    keeps_its_budget(FleetConfig {
        servers: 8,
        machine,
        mean_work: Duration::from_millis(60),
        rate: 20.0,
        effect: "once",
        heeds_advice: false,
        client_timeout: CLIENT_TIMEOUT,
    });
}
