//! Clocks: the monotonic clock measures durations; the wall clock gives the age of requests, whose timestamps are in
//! Unix time.
use cottondyke_types::Time;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// [`Clock::now`] at the start of the program. Above zero, so that points in time before the start are positive.
const START_TIME: Time = Time(864_000_000);
/// A request that seems to be older than this was timestamped by a clock that differs from this machine's.
const MAX_PLAUSIBLE_AGE: Time = Time(600_000);
/// A wall clock that is off its expected value by less than this was slewed, not stepped.
const MAX_SLEW: Duration = Duration::from_millis(20);
/// The unit of `Time`: a tenth of a millisecond.
const TIME_UNIT: Duration = Duration::from_micros(100);
/// Tenths of a millisecond, the unit of `Time`, in a millisecond.
const TENTHS_PER_MS: i128 = 10;

/// The program's monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Clock {
    /// Creates a clock that starts now.
    pub fn start() -> Self {
        Clock(Instant::now())
    }

    /// The time now in whole tenths of a millisecond, rounded down. Timers are set to whole tenths of a millisecond, so
    /// `now` is never before the time for which a timer has fired.
    pub fn now(&self) -> Time {
        START_TIME + Time((self.0.elapsed().as_micros() / TIME_UNIT.as_micros()) as i64)
    }

    /// Converts a point in time to an `Instant`.
    pub fn instant(&self, at: Time) -> Instant {
        self.0 + to_duration(at - START_TIME)
    }
}

/// Converts a `Time` to a `Duration`; a negative one becomes zero.
pub fn to_duration(time: Time) -> Duration {
    Duration::from_micros(time.0.clamp(0, 1 << 40) as u64 * TIME_UNIT.as_micros() as u64)
}

/// Converts milliseconds to a `Time`, rounded down, so that no timeout becomes longer.
pub fn time_from_ms(ms: f64) -> Time {
    Time((ms * 10.0).floor().clamp(0.0, 1e15) as i64)
}

/// Converts a `Time` to milliseconds.
pub fn to_ms(time: Time) -> f64 {
    time.as_f64() / 10.0
}

/// The wall clock and the monotonic clock, read at the same time.
#[derive(Clone, Copy, Debug)]
pub struct ClockReading {
    /// Time since the Unix epoch, by the wall clock.
    pub unix: Duration,
    /// Time since the start of the program, by the monotonic clock.
    pub monotonic: Duration,
}

/// Computes the age of requests from their timestamps. Protects deadlines, dedup windows and grace periods against
/// steps of the wall clock, here or where the timestamps come from: the age is computed both by the wall clock and by
/// the wall clock as it would be without steps since the start of the program, and the lower plausible age is used.
#[derive(Clone, Copy, Debug)]
pub struct TimestampClock {
    started: Instant,
    /// The wall clock at the start of the monotonic one, corrected for slewing but not for steps.
    unix_at_start: Duration,
}

impl TimestampClock {
    /// Creates a clock that takes the wall clock as correct now.
    pub fn start() -> Self {
        TimestampClock {
            started: Instant::now(),
            unix_at_start: unix_now(),
        }
    }

    /// The age of a timestamp in Unix milliseconds, rounded up; zero if neither clock gives a plausible age.
    pub fn age(&mut self, unix_ms: u64) -> Time {
        let monotonic = self.started.elapsed();
        let unix = unix_now();
        self.age_by(unix_ms, ClockReading { unix, monotonic })
    }

    /// Like [`TimestampClock::age`], for a given reading of the clocks.
    pub fn age_by(&mut self, unix_ms: u64, reading: ClockReading) -> Time {
        let unstepped = self.unix_at_start + reading.monotonic;
        if unstepped.abs_diff(reading.unix) < MAX_SLEW {
            // Not a step: time synchronization slews the wall clock all the time, by small amounts.
            self.unix_at_start = reading.unix.saturating_sub(reading.monotonic);
        }
        let ages = [reading.unix, unstepped].map(|unix| plausible_age(unix_ms, unix));
        ages.into_iter().flatten().min().unwrap_or(Time(0))
    }
}

fn unix_now() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

/// The time since `unix_ms`, if a request can have waited for that long.
fn plausible_age(unix_ms: u64, unix: Duration) -> Option<Time> {
    let tenths = unix.as_micros().div_ceil(TIME_UNIT.as_micros()) as i128
        - i128::from(unix_ms) * TENTHS_PER_MS;
    let is_plausible = (0..=i128::from(MAX_PLAUSIBLE_AGE.0)).contains(&tenths);
    is_plausible.then_some(Time(tenths as i64))
}
