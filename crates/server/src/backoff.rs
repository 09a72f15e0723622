//! Exponential backoff between attempts to connect.
use async_io::Timer;
use std::time::Duration;

/// A delay that doubles with each attempt that failed, up to a maximum.
#[derive(Debug)]
pub struct Backoff {
    min: Duration,
    max: Duration,
    next: Duration,
}

impl Backoff {
    /// Starts at `min`.
    pub fn new(min: Duration, max: Duration) -> Self {
        Backoff {
            min,
            max,
            next: min,
        }
    }

    /// Waits before the next attempt. One that is cut short counts.
    pub async fn wait(&mut self) {
        let delay = self.next;
        self.next = (self.next * 2).min(self.max);
        Timer::after(delay).await;
    }

    /// An attempt has succeeded: starts at the minimum again.
    pub fn reset(&mut self) {
        self.next = self.min;
    }
}
