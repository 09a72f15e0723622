//! The calls that may be running at one dependency: those that this instance awaits, those that it no longer awaits but
//! whose grace period lasts, and orphans, which the previous incarnation of this instance may have left running.
use cottondyke_types::Time;

/// What is known about a call at the dependency once this instance no longer waits for its response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// It is no longer running.
    Stopped,
    /// It may keep running until this time.
    MayRunUntil(Time),
}

/// Counts the calls in flight at one dependency.
#[derive(Clone, Debug)]
pub struct InFlightCalls {
    /// Calls whose responses this instance still waits for.
    awaited: usize,
    /// When each call that is no longer awaited, and is not known to have ended, has ended at the latest.
    grace_until: Vec<Time>,
    /// Calls that the previous incarnation may have left running, and when they have ended at the latest.
    orphans: usize,
    orphans_until: Time,
}

impl InFlightCalls {
    /// Starts with `orphans` calls of the previous incarnation, which have ended by `orphans_until` at the latest.
    pub fn new(orphans: usize, orphans_until: Time) -> Self {
        InFlightCalls {
            awaited: 0,
            grace_until: Vec::new(),
            orphans,
            orphans_until,
        }
    }

    /// Records that a call is issued.
    pub fn start(&mut self) {
        self.awaited += 1;
    }

    /// Records that this instance no longer waits for the response of a call.
    pub fn finish(&mut self, now: Time, end: CallEnd) {
        self.awaited -= 1;
        self.grace_until.retain(|until| *until > now);
        if let CallEnd::MayRunUntil(until) = end {
            self.grace_until.push(until);
        }
    }

    /// Calls whose responses this instance still waits for.
    pub fn awaited(&self) -> usize {
        self.awaited
    }

    /// Calls that may be running at `now`.
    pub fn count(&self, now: Time) -> usize {
        let is_running = |until: &&Time| **until > now;
        let unawaited = self.grace_until.iter().filter(is_running).count();
        let orphans = if self.orphans_until > now {
            self.orphans
        } else {
            0
        };
        self.awaited + unawaited + orphans
    }

    /// The times at which calls that are no longer awaited and orphans stop counting, including times in the past.
    pub fn release_times(&self) -> impl Iterator<Item = Time> + '_ {
        self.grace_until.iter().copied().chain([self.orphans_until])
    }
}
