//! The phases of a graceful shutdown, and when each begins. All fractions refer to the shutdown timeout, the configured
//! time from the shutdown signal to the end of the process.
use cottondyke_types::Time;

/// Fraction of the shutdown timeout until which aggregations may wait for all their parts. By then all of them end,
/// with the parts that are available.
pub const FULL_AGGREGATIONS_UNTIL: f64 = 0.9;
/// Fraction of the shutdown timeout from which on no connection is accepted. From then on, the process ends as soon
/// as no connection is open and every request is answered.
const STOP_ACCEPTING_AT: f64 = 0.88;
/// Fraction of the shutdown timeout from which on idle connections are closed. The admission controller has answered
/// all requests by 0.95.
const CLOSE_IDLE_AT: f64 = 0.955;
/// Fraction of the shutdown timeout from which on the process ends even if a sidecar has not read its responses.
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
