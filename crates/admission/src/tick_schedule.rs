//! When the controller is to be ticked.

use cottondyke_types::Time;

/// The ticks that are asked for, and when the load is sampled.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TickSchedule {
    /// The shortest time between two inputs.
    pub(crate) resolution: Time,
    /// The first tick from this time on samples the load.
    pub(crate) next_sample_at: Time,
    /// The earliest tick that is asked for and still to come.
    scheduled_at: Option<Time>,
}

impl TickSchedule {
    pub(crate) fn new(resolution: Time) -> Self {
        TickSchedule {
            resolution,
            next_sample_at: Time(i64::MIN),
            scheduled_at: None,
        }
    }

    /// Whether no tick has sampled the load yet.
    pub(crate) fn is_first_tick(&self) -> bool {
        self.next_sample_at == Time(i64::MIN)
    }

    /// Notes a tick: what was asked for up to `now` has come.
    pub(crate) fn ticked(&mut self, now: Time) {
        self.scheduled_at = self.scheduled_at.filter(|at| *at > now);
    }

    /// The time until the next tick, if an earlier one is needed than was asked for. `earliest_deadline` is the first at
    /// which a request must be answered.
    pub(crate) fn schedule(&mut self, now: Time, earliest_deadline: Option<Time>) -> Option<Time> {
        let at = earliest_deadline
            .unwrap_or(Time::MAX)
            .min(self.next_sample_at)
            .max(now + self.resolution);
        let is_earlier = self.scheduled_at.is_none_or(|scheduled| at < scheduled);
        is_earlier.then(|| {
            self.scheduled_at = Some(at);
            at - now
        })
    }
}
