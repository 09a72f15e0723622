//! The phases of a graceful shutdown, and when each begins. All fractions are of the time from the shutdown signal to
//! the end that the configuration sets.
use cottondyke_types::Time;

/// Until then aggregations are answered with all their parts; after it, with those that are there.
pub const FULL_AGGREGATIONS_UNTIL: f64 = 0.9;
/// From then on no connection is accepted. The admission controller has answered all by 0.95.
const STOP_ACCEPTING_AT: f64 = 0.88;
/// From then on the program ends as soon as everything it read is answered.
const END_WHEN_IDLE_AT: f64 = 0.955;
/// From then on it ends although a sidecar has not taken its responses.
const FORCE_END_AT: f64 = 0.985;

/// How far the shutdown has come, in the order in which the phases follow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownPhase {
    /// No shutdown signal has come.
    Serving,
    /// Requests are still read, and answered.
    Draining,
    /// No connection is accepted any more.
    StoppedAccepting,
    /// Idle connections are closed.
    Closing,
    /// The program ends.
    Expired,
}

/// The phase at `now` of a server that was told at `signalled_at` to end, within `timeout`.
pub fn phase(signalled_at: Option<Time>, timeout: Time, now: Time) -> ShutdownPhase {
    let Some(signalled_at) = signalled_at else {
        return ShutdownPhase::Serving;
    };
    let has_reached = |fraction: f64| now >= signalled_at + timeout.scaled(fraction);
    if has_reached(FORCE_END_AT) {
        ShutdownPhase::Expired
    } else if has_reached(END_WHEN_IDLE_AT) {
        ShutdownPhase::Closing
    } else if has_reached(STOP_ACCEPTING_AT) {
        ShutdownPhase::StoppedAccepting
    } else {
        ShutdownPhase::Draining
    }
}
