//! How long before its deadline a request is answered. The server acts at a deadline only once it wakes, and
//! on a machine with more work than cores it wakes late: by the time for which other processes have the core.
use crate::Time;

const HALF_LIFE: Time = Time(10_000); // after which a measured delay counts half
const TOLERATED: Time = Time(200); // a delay so short is within what callers tolerate at their deadlines
const MAX_FRACTION: f64 = 0.5; // of the time that a request was given, which the margin may take

/// The margin before deadlines: the resolution of ticks or, if that is longer, the delay with which the
/// server has woken lately.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AnswerMargin {
    resolution: Time,
    longest_delay: Time, // of a wake-up; halves in each `HALF_LIFE` until a longer one is measured
    measured_at: Time,
}

impl AnswerMargin {
    pub(crate) fn new(now: Time, resolution: Time) -> Self {
        AnswerMargin { resolution, longest_delay: Time(0), measured_at: now }
    }

    /// Records that a tick came `delay` after the time for which it was asked.
    pub(crate) fn record_delay(&mut self, now: Time, delay: Time) {
        if delay >= self.wake_delay(now) {
            self.longest_delay = delay;
            self.measured_at = now;
        }
    }

    /// The delay with which the next wake-up must be expected to come.
    pub(crate) fn wake_delay(&self, now: Time) -> Time {
        let half_lives = (now - self.measured_at).as_f64() / HALF_LIFE.as_f64();
        self.longest_delay.scaled(0.5_f64.powf(half_lives))
    }

    /// The expected delay if callers do not tolerate it, limited for a request that was given `allowed` time
    /// in all.
    pub(crate) fn expected_delay(&self, now: Time, allowed: Time) -> Time {
        let delay = self.wake_delay(now);
        if delay <= TOLERATED {
            return Time(0);
        }
        delay.min(allowed.scaled(MAX_FRACTION))
    }

    /// How long before its deadline such a request is answered.
    pub(crate) fn before_deadline(&self, now: Time, allowed: Time) -> Time {
        self.expected_delay(now, allowed).max(self.resolution)
    }
}
