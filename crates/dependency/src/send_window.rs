//! The calls sent to one dependency within the last [`RATE_WINDOW`](crate::RATE_WINDOW), which count against its rate
//! limit.
use crate::lease::SendTimestamp;
use crate::plan::Dependency;
use cottondyke_types::Time;
use std::rc::Rc;

/// The send timestamps of recent calls, and of issued calls that are not sent yet.
#[derive(Debug, Default)]
pub struct SendWindow {
    sends: Vec<Rc<SendTimestamp>>,
}

impl SendWindow {
    /// Creates a window that assumes that `calls` calls were sent just now.
    pub fn assume_sent(now: Time, dependency: &Dependency, calls: usize) -> Self {
        let sent_now = || {
            let timestamp = Rc::new(dependency.issue_timestamp());
            timestamp.record_send(now);
            timestamp
        };
        SendWindow {
            sends: std::iter::repeat_with(sent_now).take(calls).collect(),
        }
    }

    /// Records that a call is issued.
    pub fn record(&mut self, now: Time, timestamp: &Rc<SendTimestamp>) {
        self.sends.retain(|sent| sent.counted_until() > now);
        self.sends.push(timestamp.clone());
    }

    /// Calls that count against the rate limit at `now`.
    pub fn count(&self, now: Time) -> usize {
        self.sends
            .iter()
            .filter(|sent| sent.counted_until() > now)
            .count()
    }

    /// The times at which sent calls stop counting, including times in the past.
    pub fn release_times(&self) -> impl Iterator<Item = Time> + '_ {
        self.sends
            .iter()
            .map(|sent| sent.counted_until())
            .filter(|until| *until < Time::MAX)
    }
}
