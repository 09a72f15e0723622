//! Exponential backoff between connection attempts.
use async_io::Timer;
use std::time::Duration;

/// A delay that doubles with each failed attempt, up to a maximum.
#[derive(Debug)]
pub struct Backoff {
    min: Duration,
    max: Duration,
    next: Duration,
}

impl Backoff {
    /// Creates a backoff whose first delay is `min`.
    pub fn new(min: Duration, max: Duration) -> Self {
        Backoff {
            min,
            max,
            next: min,
        }
    }

    /// Waits before the next attempt. The delay also doubles if the wait is cancelled.
    pub async fn wait(&mut self) {
        let delay = self.next;
        self.next = (self.next * 2).min(self.max);
        Timer::after(delay).await;
    }

    /// Resets the delay to the minimum after a successful attempt.
    pub fn reset(&mut self) {
        self.next = self.min;
    }
}
