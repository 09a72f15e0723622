//! Points in time and durations.

use std::ops::{Add, AddAssign, Sub};

/// A point in time or a duration, in whole tenths of a millisecond. Sums and differences saturate.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Time(pub i64);

/// The duration of one second.
pub const SECOND: Time = Time(10_000);

impl Time {
    /// Later than any point in time that occurs; far enough from overflow that durations can be added to it.
    pub const MAX: Time = Time(i64::MAX / 4);

    /// This duration multiplied by `ratio`, rounded to the nearest tenth of a millisecond.
    pub fn scaled(self, ratio: f64) -> Time {
        Time((self.0 as f64 * ratio).round() as i64)
    }

    /// The number of tenths of a millisecond.
    pub fn as_f64(self) -> f64 {
        self.0 as f64
    }
}

impl Add for Time {
    type Output = Time;
    fn add(self, other: Time) -> Time {
        Time(self.0.saturating_add(other.0))
    }
}

impl Sub for Time {
    type Output = Time;
    fn sub(self, other: Time) -> Time {
        Time(self.0.saturating_sub(other.0))
    }
}

impl AddAssign for Time {
    fn add_assign(&mut self, other: Time) {
        *self = *self + other;
    }
}
