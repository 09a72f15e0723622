//! The clocks: spans by the monotonic one, the time since a req came to the machine by the Unix one.
use cottondyke_types::Time;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Keeps points in time before the start of the program positive.
const BEFORE: Time = Time(864_000_000);
/// A req that seems to have come longer ago than this came by a clock that differs.
const ABSURD: Time = Time(600_000);
const TENTH: Duration = Duration::from_micros(100);

#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Clock {
    pub fn start() -> Self {
        Clock(Instant::now())
    }

    /// Whole tenths, rounded down: a timer that fired is never taken to be early.
    pub fn now(&self) -> Time {
        BEFORE + Time((self.0.elapsed().as_micros() / TENTH.as_micros()) as i64)
    }

    pub fn instant(&self, at: Time) -> Instant {
        self.0 + duration(at - BEFORE)
    }
}

pub fn duration(span: Time) -> Duration {
    Duration::from_micros(span.0.clamp(0, 1 << 40) as u64 * TENTH.as_micros() as u64)
}

/// A span rounded down, so that what it delays comes early.
pub fn span_of_ms(ms: f64) -> Time {
    Time((ms * 10.0).floor().clamp(0.0, 1e15) as i64)
}

pub fn ms(span: Time) -> f64 {
    span.as_f64() / 10.0
}

/// How long ago `at` (Unix milliseconds) was, rounded up; none where the clocks differ.
pub fn since_unix(at: u64) -> Time {
    let unix = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    since(at, unix)
}

fn since(at: u64, unix: Duration) -> Time {
    let tenths = unix.as_micros().div_ceil(TENTH.as_micros()) as i128 - i128::from(at) * 10;
    if (0..=i128::from(ABSURD.0)).contains(&tenths) {
        Time(tenths as i64)
    } else {
        Time(0)
    }
}
