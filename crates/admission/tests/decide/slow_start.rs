//! What a server in slow start starts, rejects and asks of its callers.
use crate::server_model::*;
use cottondyke_admission::*;

/// The window over which overload is measured.
const WINDOW: Time = Time(30_000);
const COLD: Setup = Setup {
    is_cold: true,
    overload_window: WINDOW,
    has_cost_hints: true,
    ..DEFAULT_SETUP
};
/// The time between two arrivals: their work is five times what the cores can do at full speed.
const ARRIVAL_INTERVAL: Time = Time(125);

/// Lets requests arrive without pause and each run end at once, so that only the slow-start budget bounds how many are
/// started. Returns how many were.
fn start_all_that_fits(server: &mut ServerModel, duration: Time) -> usize {
    let before = started(server);
    let end = server.now + duration;
    while server.now < end {
        server.arrive(0, Time(0), CLIENT_TIMEOUT, None);
        for id in server.in_state(State::Running) {
            server.end_run(id, RunOutcome::Completed);
        }
        server.advance(ARRIVAL_INTERVAL);
    }
    started(server) - before
}

fn started(server: &ServerModel) -> usize {
    server.requests.values().filter(|r| r.was_started).count()
}

/// How many requests a cold server can run over a window at the speed that the settings state for its start.
fn initial_budget() -> usize {
    let work = CORES as f64 * START_CAPACITY * WINDOW.as_f64();
    (work / FULL_SPEED_WORK.as_f64()) as usize
}

#[test]
fn starts_no_more_than_its_budget_while_cold() {
    // Runs that ended at once never reached the concurrency limit: a cold server started all requests that arrived.
    let mut server = ServerModel::new(COLD);
    let count = start_all_that_fits(&mut server, WINDOW);
    let growth = 1.0 + WINDOW.as_f64() / 2.0 / WARM_WITHIN.as_f64() / START_CAPACITY;
    let most = (initial_budget() as f64 * growth).ceil() as usize;
    assert!((initial_budget()..=most).contains(&count), "{count}");
    // The budget grows with the speed that the settings state, and ends with slow start.
    let later = start_all_that_fits(&mut server, WINDOW);
    assert!(later > initial_budget(), "{later}");
    server.advance(WARM_WITHIN);
    let warm = start_all_that_fits(&mut server, WINDOW);
    assert!(warm > 4 * initial_budget(), "{warm}");
}

#[test]
fn has_no_budget_when_the_server_is_warm_or_no_window_is_configured() {
    let no_window = Setup {
        overload_window: Time(0),
        ..COLD
    };
    let warm = Setup {
        is_cold: false,
        ..COLD
    };
    for setup in [no_window, warm] {
        let mut server = ServerModel::new(setup);
        let count = start_all_that_fits(&mut server, WINDOW);
        assert!(count > 4 * initial_budget(), "{count}");
    }
}

#[test]
fn rejects_at_once_a_request_that_its_budget_lets_start_too_late() {
    // A request that waited for the budget past its response target would be answered late, although another server
    // could have answered it in time.
    let mut server = ServerModel::new(COLD);
    for _ in 0..initial_budget() {
        server.arrive(0, Time(0), CLIENT_TIMEOUT, None);
        for id in server.in_state(State::Running) {
            server.end_run(id, RunOutcome::Completed);
        }
    }
    assert!(server.rejections.is_empty(), "{:?}", server.rejections);
    server.arrive(0, Time(0), CLIENT_TIMEOUT, None);
    let rejection = server.rejections.last().expect("rejected at once");
    // The budget is free again only after the window: the caller is told to stay away for the longest time it accepts.
    assert_eq!(rejection.retry_after, RESPONSE_TARGET);
    let rules = server.actions.iter().flat_map(|actions| &actions.firings);
    let last = rules.last().map(|firing| firing.rule);
    assert_eq!(last, Some(Rule::OverSlowStartBudget));
}

#[test]
fn asks_for_the_share_of_traffic_that_its_budget_has_room_for() {
    // Cold servers asked for a share of their traffic that matched their speed, even of five times what they can do.
    let mut server = ServerModel::new(COLD);
    start_all_that_fits(&mut server, WINDOW);
    assert!(server.advice < START_CAPACITY, "{}", server.advice);
}

#[test]
fn starts_a_request_that_is_larger_than_its_whole_budget() {
    let setup = Setup {
        overload_window: Time(1_000),
        ..COLD
    };
    let mut server = ServerModel::new(setup);
    server.arrive(0, Time(0), CLIENT_TIMEOUT, None);
    assert_eq!(started(&server), 1);
}
