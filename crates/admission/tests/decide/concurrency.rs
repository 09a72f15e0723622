//! How many requests run at once.
use crate::server_model::*;
use crate::workloads::*;
use cottondyke_admission::*;

#[test]
fn runs_fewer_requests_while_arrivals_wait_unread() {
    // A server that had slowed down ran requests that it read only after their clients had stopped waiting.
    for (delay, running) in [(0, CORES), (6500, 1)] {
        let mut server = ServerModel::new(DEFAULT_SETUP);
        arrive(&mut server, 4, Time(delay));
        assert_eq!(server.count(State::Running), running, "delay {delay}");
    }
}

#[test]
fn raises_the_limit_when_runs_wait_for_the_disk_and_not_when_the_gauge_is_late() {
    // The gauge reports past utilization, so a burst on idle cores raised the limit until runs slowed each other down.
    for (count, grows) in [(6, false), (40, true)] {
        let mut server = ServerModel::new(DEFAULT_SETUP);
        arrive(&mut server, 6, Time(0));
        tick_repeatedly(&mut server, count, RESPONSE_TARGET.scaled(0.06), 0.5);
        assert_eq!(
            server.count(State::Running) > CORES,
            grows,
            "after {count} samples"
        );
    }
}

#[test]
fn runs_cancellable_requests_past_the_ceiling_while_others_wait_for_the_disk() {
    // When no more requests ran than may be on the cores at once, long disk waits left fast cores half idle.
    let ceiling = (CORES as f64 * OVERLOAD_FACTOR * 0.85) as usize;
    for (handler, runnable_tasks, exceeds_ceiling) in [
        (0, Some(1.0), true),
        (0, None, false),
        (2, Some(1.0), false),
    ] {
        let mut server = ServerModel::new(DEFAULT_SETUP);
        server.runnable_tasks = runnable_tasks;
        for _ in 0..10 {
            for _ in 0..3 {
                server.arrive(handler, Time(0), CLIENT_TIMEOUT, None);
            }
            tick_repeatedly(&mut server, 1, RESPONSE_TARGET.scaled(0.06), 0.1);
        }
        let running = server.count(State::Running);
        assert_eq!(
            running > ceiling,
            exceeds_ceiling,
            "{running} of handler {handler}, runnable {runnable_tasks:?}"
        );
        assert!(
            running >= ceiling,
            "{running} of handler {handler}, runnable {runnable_tasks:?}"
        );
        // All runs return to the cores: at the next sample those above the ceiling are cancelled.
        server.runnable_tasks = runnable_tasks.map(|_| running as f64);
        tick_repeatedly(&mut server, 1, RESPONSE_TARGET.scaled(0.06), 1.0);
        assert_eq!(
            server.count(State::Running),
            ceiling,
            "handler {handler}, runnable {runnable_tasks:?}"
        );
    }
}

#[test]
fn admits_arrivals_while_runs_wait_for_the_disk() {
    // Runs that waited for the disk on idle cores were counted as work: two of them got all arrivals rejected.
    let mut server = ServerModel::new(DEFAULT_SETUP);
    for _ in 0..8 {
        run_all(&mut server, &[0, 0], 12, Time(500), 0.1);
    }
    assert!(server.rejections.is_empty(), "{:?}", server.rejections);
    arrive(&mut server, 2, Time(0));
    tick_repeatedly(&mut server, 4, Time(500), 0.1);
    arrive(&mut server, 1, Time(0));
    assert!(
        server.rejections.is_empty(),
        "an arrival beside two runs at the disk was rejected: {:?}",
        server.rejections
    );
    // Disk waits counted as use of the cores: a handler whose runs had been slow once was rejected permanently.
    let mut server = ServerModel::new(DEFAULT_SETUP);
    for _ in 0..8 {
        run_all(&mut server, &[0; 4], 17, Time(500), 0.2);
    }
    server.rejections.clear();
    for _ in 0..8 {
        run_all(&mut server, &[0, 0, 2], 30, Time(500), 0.2);
    }
    assert!(
        server.rejections.is_empty(),
        "rejected beside two runs at the disk: {:?}",
        server.rejections
    );
}

#[test]
fn counts_overdue_runs_against_the_ceiling_and_not_against_the_concurrency_limit() {
    // Runs that hung were dropped from the count long after their callers had given up, so others were started beside
    // them without end.
    let ceiling = (CORES as f64 * OVERLOAD_FACTOR * 0.85) as usize;
    let mut server = ServerModel::new(DEFAULT_SETUP);
    for round in 1..=8 {
        for _ in 0..CORES {
            server.arrive(2, Time(0), CLIENT_TIMEOUT, None);
        }
        server.advance(CLIENT_TIMEOUT.scaled(1.5));
        let running = server.in_state(State::Running);
        assert_eq!(running.len(), ceiling.min(round * CORES), "round {round}");
        for id in running {
            server.run_overdue(id);
        }
    }
    // Each run that ends makes room for one.
    let first = server.in_state(State::Running)[0];
    server.end_run(first, RunOutcome::Completed);
    server.arrive(2, Time(0), CLIENT_TIMEOUT, None);
    assert_eq!(server.count(State::Running), ceiling);
}
