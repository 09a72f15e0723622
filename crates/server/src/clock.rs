//! The clocks: durations by the monotonic one, the time since a request reached the machine by the Unix one.
use cottondyke_types::Time;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The time at the start of the program: keeps points in time before it positive.
const START_TIME: Time = Time(864_000_000);
/// A request that seems to have arrived longer ago than this was stamped by a clock that differs.
const MAX_PLAUSIBLE_AGE: Time = Time(600_000);
/// The unit of `Time`: a tenth of a millisecond.
const TICK: Duration = Duration::from_micros(100);
/// Units of `Time` in a millisecond.
const TICKS_PER_MS: i128 = 10;

/// The program's monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Clock(Instant::now())
    }

    /// In complete ticks, rounded down: a timer that fired is never taken to be early.
    pub fn now(&self) -> Time {
        START_TIME + Time((self.0.elapsed().as_micros() / TICK.as_micros()) as i64)
    }

    /// The instant of a point in time.
    pub fn instant(&self, at: Time) -> Instant {
        self.0 + duration(at - START_TIME)
    }
}

/// A `Time` as the standard library's duration; one below zero is zero.
pub fn duration(time: Time) -> Duration {
    Duration::from_micros(time.0.clamp(0, 1 << 40) as u64 * TICK.as_micros() as u64)
}

/// A duration of so many milliseconds, rounded down, so that what it delays comes early.
pub fn time_of_ms(ms: f64) -> Time {
    Time((ms * 10.0).floor().clamp(0.0, 1e15) as i64)
}

/// A duration in milliseconds.
pub fn ms(time: Time) -> f64 {
    time.as_f64() / 10.0
}

/// How long ago `at` (Unix milliseconds) was, rounded up; zero where the clocks differ.
pub fn since_unix(at: u64) -> Time {
    let unix = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    since(at, unix)
}

fn since(at: u64, unix: Duration) -> Time {
    let ticks = unix.as_micros().div_ceil(TICK.as_micros()) as i128 - i128::from(at) * TICKS_PER_MS;
    if (0..=i128::from(MAX_PLAUSIBLE_AGE.0)).contains(&ticks) {
        Time(ticks as i64)
    } else {
        Time(0)
    }
}
