//! The clocks: durations by the monotonic one, the time since a request reached the machine by the Unix one.
use cottondyke_types::Time;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The time at the start of the program: keeps points in time before it positive.
const START_TIME: Time = Time(864_000_000);
/// A request that seems to have arrived longer ago than this was stamped by a clock that differs.
const MAX_PLAUSIBLE_AGE: Time = Time(600_000);
/// A wall clock that differs by less from where it should be is not stepped.
const MAX_SLEW: Duration = Duration::from_millis(20);
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

/// The wall clock and the monotonic one, read together.
#[derive(Clone, Copy, Debug)]
pub struct ClockReading {
    /// Since the Unix epoch, by the wall clock.
    pub unix: Duration,
    /// Since the start of the program, by the monotonic clock.
    pub monotonic: Duration,
}

/// Tells how long ago requests were stamped. Guards deadlines, windows and graces against a wall clock that is stepped,
/// here or where the stamps come from: beside the wall clock it goes by the one that the program would have if its own
/// had not been stepped since its start, and believes whichever makes a request younger.
#[derive(Clone, Copy, Debug)]
pub struct StampClock {
    started: Instant,
    /// The wall clock at the start of the monotonic one, without steps.
    unix_at_start: Duration,
}

impl StampClock {
    /// A clock that trusts the wall clock as it is now.
    pub fn start() -> Self {
        StampClock {
            started: Instant::now(),
            unix_at_start: unix_now(),
        }
    }

    /// How long ago `at` (Unix milliseconds) was, rounded up; zero where the clocks differ.
    pub fn since(&mut self, at: u64) -> Time {
        let monotonic = self.started.elapsed();
        let unix = unix_now();
        self.age(at, ClockReading { unix, monotonic })
    }

    /// As [`StampClock::since`], by a reading of the clocks.
    pub fn age(&mut self, at: u64, reading: ClockReading) -> Time {
        let unstepped = self.unix_at_start + reading.monotonic;
        if unstepped.abs_diff(reading.unix) < MAX_SLEW {
            // The wall clock is not stepped but slewed, all the time and by little.
            self.unix_at_start = reading.unix.saturating_sub(reading.monotonic);
        }
        let ages = [reading.unix, unstepped].map(|unix| plausible_age(at, unix));
        ages.into_iter().flatten().min().unwrap_or(Time(0))
    }
}

fn unix_now() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

/// The time since `at`, if a request can have waited for that long.
fn plausible_age(at: u64, unix: Duration) -> Option<Time> {
    let ticks = unix.as_micros().div_ceil(TICK.as_micros()) as i128 - i128::from(at) * TICKS_PER_MS;
    let is_plausible = (0..=i128::from(MAX_PLAUSIBLE_AGE.0)).contains(&ticks);
    is_plausible.then_some(Time(ticks as i64))
}
