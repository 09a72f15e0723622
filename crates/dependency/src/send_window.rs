//! The calls sent to one dependency within the last [`RATE_WINDOW`](crate::RATE_WINDOW), which count against its rate.
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
    /// A window in which as many calls as `calls` may have been sent just now.
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

    /// Calls that count against the rate at `now`.
    pub fn count(&self, now: Time) -> usize {
        self.sends
            .iter()
            .filter(|sent| sent.counted_until() > now)
            .count()
    }

    /// The times at which sent calls cease to count, past ones among them.
    pub fn releases(&self) -> impl Iterator<Item = Time> + '_ {
        self.sends
            .iter()
            .map(|sent| sent.counted_until())
            .filter(|until| *until < Time::MAX)
    }
}
