//! Health checks, and the self-tests that some of them wait for.
use cottondyke::event::ConnectionId;
use cottondyke::health_check::{HealthCheckOrigin, HealthChecker};
use cottondyke::protocol::engine::Tag;
use cottondyke::protocol::sidecar::StreamId;
use cottondyke_types::Time;

const ORIGIN: HealthCheckOrigin = HealthCheckOrigin {
    connection: ConnectionId(1),
    stream: StreamId(2),
};

/// Guards against an engine that hangs: a check whose self-test does not end is answered as unhealthy in bounded time.
#[test]
fn answers_unhealthy_when_a_self_test_does_not_end() {
    let mut health = HealthChecker::default();
    assert_eq!(
        [health.answer(true, false), health.answer(false, true)],
        [Some(false), Some(true)]
    );
    assert_eq!(health.answer(true, true), None, "only the engine can tell");
    health.wait_for_test(Time(0), Tag(1), ORIGIN);
    assert!(health.take_expired(Time(4_999)).is_empty());
    assert_eq!(health.take_expired(Time(5_000)), [ORIGIN]);
    assert_eq!(health.finish_test(Tag(1)), None, "a check is answered once");
    (0..64).for_each(|n| health.wait_for_test(Time(0), Tag(n), ORIGIN));
    assert_eq!(
        health.answer(true, true),
        Some(false),
        "the number of pending self-tests is limited"
    );
    assert!(health.set_healthy(true) && !health.set_healthy(true));
    assert_eq!(
        health.answer(true, true),
        Some(true),
        "a status that was set answers all checks"
    );
}
