//! What a server in slow start begins, rejects and asks for.
use crate::server_model::*;
use cottondyke_admission::*;

/// Over which overload is judged.
const WINDOW: Time = Time(30_000);
const COLD: Setup = Setup {
    is_cold: true,
    overload_window: WINDOW,
    has_hints: true,
    ..DEFAULT_SETUP
};
/// Between two arrivals: five times what the cores can do at full speed.
const ARRIVAL_INTERVAL: Time = Time(125);

/// Requests arrive without pause, and each run ends at once: nothing but a budget bounds how many begin. Returns how
/// many did.
fn begin_all_that_fits(server: &mut ServerModel, duration: Time) -> usize {
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

/// What the settings let a cold server do over a window from its start.
fn told_at_start() -> usize {
    let work = CORES as f64 * START_CAPACITY * WINDOW.as_f64();
    (work / FULL_SPEED_WORK.as_f64()) as usize
}

#[test]
fn begins_no_more_than_its_budget_while_cold() {
    // Runs that end at once kept the pool free: a cold server began all that came.
    let mut server = ServerModel::new(COLD);
    let begun = begin_all_that_fits(&mut server, WINDOW);
    let growth = 1.0 + WINDOW.as_f64() / 2.0 / WARM_WITHIN.as_f64() / START_CAPACITY;
    let most = (told_at_start() as f64 * growth).ceil() as usize;
    assert!((told_at_start()..=most).contains(&begun), "{begun}");
    // It grows with the speed that is told, and ends with slow start.
    let later = begin_all_that_fits(&mut server, WINDOW);
    assert!(later > told_at_start(), "{later}");
    server.advance(WARM_WITHIN);
    let warm = begin_all_that_fits(&mut server, WINDOW);
    assert!(warm > 4 * told_at_start(), "{warm}");
}

#[test]
fn has_no_budget_where_the_server_is_warm_or_no_window_is_told() {
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
        let begun = begin_all_that_fits(&mut server, WINDOW);
        assert!(begun > 4 * told_at_start(), "{begun}");
    }
}

#[test]
fn rejects_at_once_what_its_budget_lets_begin_too_late() {
    // What waits for the budget past its response target would be answered late, and hold up what could be won elsewhere.
    let mut server = ServerModel::new(COLD);
    for _ in 0..told_at_start() {
        server.arrive(0, Time(0), CLIENT_TIMEOUT, None);
        for id in server.in_state(State::Running) {
            server.end_run(id, RunOutcome::Completed);
        }
    }
    assert!(server.rejections.is_empty(), "{:?}", server.rejections);
    server.arrive(0, Time(0), CLIENT_TIMEOUT, None);
    let rejection = server.rejections.last().expect("rejected at once");
    // The budget is free again after the window: the caller is told to stay away for as long as it heeds.
    assert_eq!(rejection.retry_after, RESPONSE_TARGET);
    let rules = server.actions.iter().flat_map(|actions| &actions.firings);
    let last = rules.last().map(|firing| firing.rule);
    assert_eq!(last, Some(Rule::OverSlowStartBudget));
}

#[test]
fn asks_for_the_share_of_traffic_that_its_budget_has_room_for() {
    // Cold servers asked for their told speed's share of whatever came, be it five times what they can do.
    let mut server = ServerModel::new(COLD);
    begin_all_that_fits(&mut server, WINDOW);
    assert!(server.advice < START_CAPACITY, "{}", server.advice);
}

#[test]
fn begins_a_request_that_is_larger_than_its_whole_budget() {
    let setup = Setup {
        overload_window: Time(1_000),
        ..COLD
    };
    let mut server = ServerModel::new(setup);
    server.arrive(0, Time(0), CLIENT_TIMEOUT, None);
    assert_eq!(started(&server), 1);
}
