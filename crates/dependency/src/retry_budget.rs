//! The retry budget: a token bucket that first calls fill and extra calls empty (as in Finagle's `RetryBudget`,
//! without its minimum a second). So at every moment extra calls are at most a part of first calls.

#[derive(Clone, Debug)]
pub struct RetryBudget {
    part: f64,
    tokens: f64,
}

/// Tokens that are saved up at the most: a burst of failures after a long calm finds no more than these.
const MOST: f64 = 10.0;

impl RetryBudget {
    /// `part`: tokens that a first call brings; an extra call takes one.
    pub fn new(part: f64) -> Self {
        RetryBudget {
            part: part.max(0.0),
            tokens: 0.0,
        }
    }

    pub fn set(&mut self, part: f64) {
        self.part = part.max(0.0);
    }

    pub fn first(&mut self) {
        self.tokens = (self.tokens + self.part).min(MOST.max(self.part));
    }

    /// Pays for an extra call; false where it cannot be paid for.
    pub fn take(&mut self) -> bool {
        let can = self.tokens >= 1.0;
        self.tokens -= f64::from(can);
        can
    }
}
