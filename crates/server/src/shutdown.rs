//! The phases of a graceful shutdown, and when each begins.
use cottondyke_types::Time;

/// Parts of the time between the notice and the end: from when no connection is taken, and from when the
/// program ends as soon as everything it read is answered. The decider has answered all by 0.95.
const CLOSE_PART: f64 = 0.88;
const END_PART: f64 = 0.955;
/// From when it ends although a sidecar has not taken its answers.
const OVER_PART: f64 = 0.985;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownPhase {
    Serving,
    Leaving,
    Closed,
    Ended,
    Over,
}

/// How far a server that was told to leave at `notice` has come.
pub fn stage(notice: Option<Time>, left: Time, now: Time) -> ShutdownPhase {
    let Some(notice) = notice else {
        return ShutdownPhase::Serving;
    };
    let reached = |part: f64| now >= notice + left.scaled(part);
    let stages = [
        (OVER_PART, ShutdownPhase::Over),
        (END_PART, ShutdownPhase::Ended),
        (CLOSE_PART, ShutdownPhase::Closed),
    ];
    stages
        .into_iter()
        .find(|(part, _)| reached(*part))
        .map_or(ShutdownPhase::Leaving, |(_, stage)| stage)
}
