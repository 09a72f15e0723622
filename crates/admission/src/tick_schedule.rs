//! The schedule of the controller's ticks and load samples.

use cottondyke_types::Time;

/// The next pending tick, and when the load is sampled next.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TickSchedule {
    /// The shortest delay after which a tick can be requested.
    pub(crate) resolution: Time,
    /// The first tick from this time on samples the load.
    pub(crate) next_sample_at: Time,
    /// The earliest pending tick.
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

    /// Records a tick: ticks scheduled up to `now` are no longer pending. Returns how late it came; `None` if none was
    /// due.
    pub(crate) fn record_tick(&mut self, now: Time) -> Option<Time> {
        let due_at = self.scheduled_at.take_if(|at| *at <= now)?;
        Some(now - due_at)
    }

    /// Returns the time until the next tick, if it must come before the pending one. `earliest_deadline` is the
    /// earliest time at which a request must be answered.
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
