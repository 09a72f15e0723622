//! The load that a server accepts during slow start.
use crate::fleet::*;
use cottondyke_test_support::fake_machine::*;
use std::time::Duration;

/// How long a killed server stays down.
const DOWNTIME: Duration = Duration::from_millis(2_500);
/// How long the fleet is under load before one of its servers is killed.
const BEFORE_KILL: Duration = Duration::from_millis(1_000);
/// How long the load continues after that server is restarted.
const AFTER_RESTART: Duration = Duration::from_secs(8);

/// A machine that starts faster than its settings say, which are allowed to be conservative.
const MACHINE: MachineConfig = MachineConfig {
    cores: 6.0,
    cold_speed: 0.6,
    warm_after: Duration::from_secs(5),
    configured_cold_speed: 0.26,
    configured_warm_within: Duration::from_secs(18),
    overload_factor: 8.0,
    ..STEADY_MACHINE
};

/// The work that a server may start in a window during slow start, in requests of mean work: `expected`, and a margin
/// for random variation.
fn with_margin(expected: f64) -> f64 {
    if expected < 30.0 {
        expected + 3.0 * expected.sqrt() + 3.0
    } else {
        expected + 2.0 * expected.sqrt() + 2.0
    }
}

/// The requests of mean work that a cold machine can complete, by its settings, in the window that ends at `at`.
fn expected_requests(config: &FleetConfig, at: Duration) -> f64 {
    let machine = config.machine;
    let warmed_fraction = at.as_secs_f64() / machine.configured_warm_within.as_secs_f64();
    let speed = (machine.configured_cold_speed
        + (1.0 - machine.configured_cold_speed) * warmed_fraction)
        .min(1.0);
    machine.cores * speed * OVERLOAD_WINDOW.as_secs_f64() / config.mean_work.as_secs_f64()
}

/// The largest fraction of the slow-start budget that was used in any window since the cold start.
fn peak_budget_use(config: &FleetConfig, started_runs: &[StartedRun]) -> f64 {
    let mean_work = config.mean_work.as_secs_f64();
    let mut peak: f64 = 0.0;
    for (index, last) in started_runs.iter().enumerate() {
        let in_window = started_runs[..=index].iter().rev();
        let in_window = in_window.take_while(|run| run.at + OVERLOAD_WINDOW > last.at);
        let requests = in_window.map(|run| run.work).sum::<f64>() / mean_work;
        peak = peak.max(requests / with_margin(expected_requests(config, last.at)));
    }
    peak
}

/// Kills the last server of a fleet, restarts it cold, and asserts that it stays within its slow-start budget.
fn assert_keeps_budget_after_restart(config: FleetConfig) {
    let mut fleet = Fleet::start(config);
    let outcomes = fleet.run_load(BEFORE_KILL + DOWNTIME + AFTER_RESTART, |servers| {
        std::thread::sleep(BEFORE_KILL);
        let killed = servers.last_mut().unwrap();
        killed.kill();
        std::thread::sleep(DOWNTIME);
        killed.restart();
    });
    let machine = &fleet.servers.last().unwrap().machine;
    let started_runs = machine.started_runs();
    let peak = peak_budget_use(&config, &started_runs);
    let peak_load = machine.peak_load(OVERLOAD_WINDOW);
    println!(
        "budget use {peak:.2}, peak load {peak_load:.2}, started {}, {outcomes:?}",
        started_runs.len()
    );
    assert!(peak <= 1.0, "{peak:.2} of the budget of slow start");
    assert!(peak_load <= 1.0, "{peak_load:.2} of what it survives");
    assert_eq!(outcomes.lost, 0, "{outcomes:?}");
    // Slow start still admits a useful amount of work.
    let expected_rate = expected_requests(&config, Duration::ZERO) / OVERLOAD_WINDOW.as_secs_f64();
    let min_started = 0.5 * expected_rate * AFTER_RESTART.as_secs_f64();
    assert!(
        started_runs.len() as f64 >= min_started,
        "started {}",
        started_runs.len()
    );
}

/// Guards against a cold server that accepts all requests that a fleet's sidecars send it.
#[test]
fn keeps_the_budget_of_a_restarted_server_in_a_fleet_of_three() {
    assert_keeps_budget_after_restart(FleetConfig {
        servers: 3,
        machine: MACHINE,
        mean_work: Duration::from_millis(60),
        rate: 110.0,
        effect: "repeatable",
        follows_load_advice: true,
        client_timeout: CLIENT_TIMEOUT,
    });
}

/// Guards the same budget where no other server can take rejected requests, and sidecars ignore load advice.
#[test]
fn keeps_the_budget_of_a_restarted_server_on_its_own() {
    assert_keeps_budget_after_restart(FleetConfig {
        servers: 1,
        machine: MACHINE,
        mean_work: Duration::from_millis(150),
        rate: 50.0,
        effect: "by_key",
        follows_load_advice: false,
        client_timeout: CLIENT_TIMEOUT,
    });
}

/// Guards the same budget on small machines, where it is only a few requests.
#[test]
fn keeps_the_budget_of_a_restarted_server_in_a_fleet_of_eight() {
    let machine = MachineConfig {
        cores: 1.0,
        ..MACHINE
    };
    assert_keeps_budget_after_restart(FleetConfig {
        servers: 8,
        machine,
        mean_work: Duration::from_millis(60),
        rate: 20.0,
        effect: "once",
        follows_load_advice: false,
        client_timeout: CLIENT_TIMEOUT,
    });
}
