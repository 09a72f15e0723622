//! The phases of a shutdown.
use cottondyke::shutdown::{phase, ShutdownPhase};
use cottondyke_types::Time;

#[test]
fn passes_through_the_phases_when_their_time_comes() {
    let at = |ms: i64| phase(Some(Time(0)), Time(32_000), Time(ms * 10));
    assert_eq!(
        [at(0), at(2_700), at(2_900), at(3_100), at(3_180)],
        [
            ShutdownPhase::Draining,
            ShutdownPhase::Draining,
            ShutdownPhase::StoppedAccepting,
            ShutdownPhase::Closing,
            ShutdownPhase::Expired
        ]
    );
    assert_eq!(
        phase(None, Time(32_000), Time(1 << 40)),
        ShutdownPhase::Serving
    );
}
