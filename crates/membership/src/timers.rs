//! The timers that `foca` requested, and the conversion between its durations and [`Time`].
use crate::member::Member;
use cottondyke_types::Time;
use foca::Timer;
use std::collections::BTreeMap;
use std::time::Duration;

/// One unit of [`Time`].
const MICROSECONDS_PER_UNIT: u64 = 100;

/// Converts to a duration for `foca`, at least one unit long.
pub(crate) fn duration(time: Time) -> Duration {
    Duration::from_micros(time.0.max(1) as u64 * MICROSECONDS_PER_UNIT)
}

fn time(duration: Duration) -> Time {
    Time((duration.as_micros() / u128::from(MICROSECONDS_PER_UNIT)) as i64)
}

/// Timers that are due at the same time fire in the order in which they were added.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct TimerKey {
    due: Time,
    number: u64,
}

/// The timers in the order in which they fire.
#[derive(Default)]
pub(crate) struct Timers {
    last_number: u64,
    pending: BTreeMap<TimerKey, Timer<Member>>,
}

impl Timers {
    /// Adds a timer that is due `after` from now.
    pub(crate) fn add(&mut self, now: Time, after: Duration, timer: Timer<Member>) {
        self.last_number += 1;
        let key = TimerKey {
            due: now + time(after),
            number: self.last_number,
        };
        self.pending.insert(key, timer);
    }

    /// When the next timer is due.
    pub(crate) fn next_due(&self) -> Option<Time> {
        self.pending.first_key_value().map(|(key, _)| key.due)
    }

    /// Removes and returns the next timer that is due.
    pub(crate) fn take_due(&mut self, now: Time) -> Option<Timer<Member>> {
        let next = self.pending.first_entry()?;
        (next.key().due <= now).then(|| next.remove())
    }
}
