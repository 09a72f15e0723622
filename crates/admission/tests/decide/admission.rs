//! What is admitted, coalesced and rejected, and what starts first.
use crate::server_model::*;
use crate::workloads::*;
use cottondyke_admission::*;

#[test]
fn answers_at_once_when_a_request_arrives_past_its_deadline() {
    let mut server = ServerModel::new(DEFAULT_SETUP);
    let first = server.arrive(1, Time(0), CLIENT_TIMEOUT, Some(1));
    let duplicate = server.arrive(1, CLIENT_TIMEOUT, CLIENT_TIMEOUT, Some(1));
    assert!(!server.requests[&first].answered);
    assert!(server.requests[&duplicate].answered);
}

#[test]
fn coalesces_a_duplicate_while_its_original_runs() {
    let mut server = ServerModel::new(DEFAULT_SETUP);
    server.arrive(1, Time(0), CLIENT_TIMEOUT, Some(1));
    let duplicate = server.arrive(1, Time(0), CLIENT_TIMEOUT, Some(1));
    assert_eq!(server.requests[&duplicate].state, State::Coalesced);
}

#[test]
fn rejects_requests_that_arrive_after_the_drain_grace() {
    let mut server = ServerModel::new(DEFAULT_SETUP);
    server.drain(Time(20_000));
    server.advance(DRAIN_GRACE + Time(100));
    let late = server.arrive(0, Time(0), CLIENT_TIMEOUT, None);
    let late = &server.requests[&late];
    assert!(late.answered && !late.was_started);
    assert_eq!(server.advice, 0.0);
}

/// A controller that was created after the shutdown notice counted the grace and the time to answer from its creation: it
/// ran requests that came too late, and answered others after the end of the process.
#[test]
fn counts_the_drain_from_its_notice_when_the_controller_is_told_later() {
    let timeout = DRAIN_GRACE + DRAIN_GRACE;
    let mut server = ServerModel::new(DEFAULT_SETUP);
    let notice = server.now;
    server.advance(DRAIN_GRACE - Time(100));
    server.drain_since(notice, timeout);
    let in_time = server.arrive(0, Time(0), timeout, None);
    server.advance(Time(200));
    let late = server.arrive(0, Time(0), timeout, None);
    let late = &server.requests[&late];
    assert!(late.answered && !late.was_started);
    assert!(server.requests[&in_time].was_started);
    server.advance(notice + timeout - server.now);
    assert!(
        server.requests[&in_time].answered,
        "before the process ends"
    );
}

#[test]
fn rejects_a_queued_request_that_is_predicted_late_while_the_limit_is_shrunk() {
    // With few runs on the cores, predictive admission took a server for idle that was busy reading requests.
    let mut server = ServerModel::new(DEFAULT_SETUP);
    arrive(&mut server, 3, Time(6500));
    server.cores_frozen = true;
    server.advance(Time(2000));
    assert!(!server.rejections.is_empty());
}

#[test]
fn starts_another_tenant_first_when_a_tenant_has_filled_its_share() {
    // When one tenant sent three times its share, as many requests of the other tenants were rejected as of its excess.
    let mut server = ServerModel::new(Setup {
        tells_client_time_left: true,
        ..DEFAULT_SETUP
    });
    for n in 0..33 {
        server.tenant = Some(usize::from(n % 11 == 0));
        let id = server.arrive(0, Time(0), CLIENT_TIMEOUT, None);
        server.advance(Time(400));
        server.end_run(id, RunOutcome::Completed);
    }
    server.tenant = Some(0);
    arrive(&mut server, 12, Time(0));
    server.tenant = Some(1);
    let other = server.arrive(0, Time(0), CLIENT_TIMEOUT, None);
    assert_eq!(server.requests[&other].state, State::Queued);
    let first = server.in_state(State::Running)[0];
    server.end_run(first, RunOutcome::Completed);
    assert_eq!(server.requests[&other].state, State::Running);
}

#[test]
fn rejects_a_request_that_is_predicted_late_with_a_retry_time_when_overloaded() {
    // A request that was predicted late but stayed queued until its client timeout kept its caller from trying another
    // server, and gave it no retry time. A server that rejected quickly without a retry time attracted the traffic of
    // callers that choose the least busy server.
    for advice_format in [
        AdviceFormat::Share,
        AdviceFormat::Credit,
        AdviceFormat::Rank,
        AdviceFormat::Unused,
    ] {
        let mut server = ServerModel::new(Setup {
            advice_format,
            ..DEFAULT_SETUP
        });
        server.tick(1.0);
        arrive(&mut server, 40, Time(500));
        let queued = server.count(State::Queued);
        assert!(
            server.rejections.len() + queued + server.count(State::Running) == 40 && queued < 10,
            "{queued} queued"
        );
        assert!(
            server.rejections.iter().all(|r| r.retry_after > Time(0)),
            "{advice_format:?}: {:?}",
            server.rejections
        );
    }
}
