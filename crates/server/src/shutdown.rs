//! The phases of a graceful shutdown, and when each begins. All fractions refer to the shutdown timeout, the configured
//! time from the shutdown signal to the end of the process.
use cottondyke_types::Time;

/// Until then aggregations are answered with all their parts; after it, with the parts that are available.
pub const FULL_AGGREGATIONS_UNTIL: f64 = 0.9;
/// From then on no connection is accepted. The admission controller has answered all requests by 0.95.
const STOP_ACCEPTING_AT: f64 = 0.88;
/// From then on idle connections are closed, and the process ends as soon as everything it read is answered.
const CLOSE_IDLE_AT: f64 = 0.955;
/// From then on the process ends even if a sidecar has not read its responses.
const FORCE_END_AT: f64 = 0.985;

/// The phases, in the order in which they follow each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownPhase {
    /// No shutdown signal was received.
    Serving,
    /// Requests are still read and answered.
    Draining,
    /// New connections are no longer accepted.
    StoppedAccepting,
    /// Idle connections are closed.
    Closing,
    /// The process ends.
    Expired,
}

/// The phase at `now` of a server that received the shutdown signal at `signalled_at` and ends within `timeout`.
pub fn phase(signalled_at: Option<Time>, timeout: Time, now: Time) -> ShutdownPhase {
    let Some(signalled_at) = signalled_at else {
        return ShutdownPhase::Serving;
    };
    let has_reached = |fraction: f64| now >= signalled_at + timeout.scaled(fraction);
    if has_reached(FORCE_END_AT) {
        ShutdownPhase::Expired
    } else if has_reached(CLOSE_IDLE_AT) {
        ShutdownPhase::Closing
    } else if has_reached(STOP_ACCEPTING_AT) {
        ShutdownPhase::StoppedAccepting
    } else {
        ShutdownPhase::Draining
    }
}
