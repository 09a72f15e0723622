//! When runs are terminated and cancelled.
use crate::server_model::*;
use crate::workloads::*;
use cottondyke_admission::*;

#[test]
fn lowers_the_threshold_to_the_lower_bound_as_loss_grows() {
    let (lower_bound, upper_bound) = (Time(1000), Time(9000));
    for loss in [0.0, 0.05] {
        assert_eq!(
            termination_threshold(lower_bound, upper_bound, loss),
            upper_bound
        );
    }
    for loss in [0.15, 0.5, 2.0] {
        assert_eq!(
            termination_threshold(lower_bound, upper_bound, loss),
            lower_bound
        );
    }
    assert_eq!(
        termination_threshold(lower_bound, upper_bound, 0.10),
        Time(1500)
    );
}

#[test]
fn admits_requests_again_after_its_runs_hung() {
    let mut server = ServerModel::new(DEFAULT_SETUP);
    arrive(&mut server, 3, Time(0));
    server.cores_frozen = true;
    server.advance(CLIENT_TIMEOUT);
    assert!(server.requests.values().all(|r| r.answered));
    server.cores_frozen = false;
    server.advance(Time(5000));
    let id = server.arrive(0, Time(0), CLIENT_TIMEOUT, None);
    assert_eq!(server.requests[&id].state, State::Running);
}

#[test]
fn repeats_cancellations_after_the_cores_were_frozen() {
    // A cancellation has no effect while the cores are frozen: unless it is repeated, the run keeps its core for ever.
    let mut server = ServerModel::new(DEFAULT_SETUP);
    let id = server.arrive(0, Time(0), CLIENT_TIMEOUT, None);
    server.cores_frozen = true;
    server.advance(CLIENT_TIMEOUT);
    assert_eq!(server.requests[&id].state, State::Running);
    server.cores_frozen = false;
    server.advance(RESPONSE_TARGET);
    assert_eq!(server.requests[&id].state, State::Ended);
}

#[test]
fn terminates_no_run_before_its_target_when_loss_is_high() {
    // While many requests were rejected, four in five terminated runs were terminated before their response target.
    let mut server = ServerModel::new(DEFAULT_SETUP);
    for _ in 0..20 {
        let id = server.arrive(0, Time(0), CLIENT_TIMEOUT, None);
        server.advance(Time(500));
        server.end_run(id, RunOutcome::Completed);
    }
    let id = server.arrive(0, Time(0), CLIENT_TIMEOUT, None);
    for _ in 0..60 {
        server.arrive(0, Time(9000), CLIENT_TIMEOUT, None);
        server.advance(Time(150));
    }
    assert!(server.rejections.len() > 20);
    assert_eq!(server.requests[&id].state, State::Running);
    server.advance(RESPONSE_TARGET.scaled(0.5));
    assert!(server.requests[&id].answered);
}
