//! The retry budget: a token bucket that first calls fill and extra calls empty (as in Finagle's `RetryBudget`, without
//! its minimum a second). So at every moment extra calls are at most a fraction of first calls.

/// Tokens that the bucket holds at most: a burst of failures after a long calm finds no more than these.
const MAX_TOKENS: f64 = 10.0;

/// The budget of extra calls (hedges and retries) to one dependency.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    tokens: f64,
}

impl RetryBudget {
    /// An empty budget. A first call deposits `ratio` tokens; an extra call costs one.
    pub fn new(ratio: f64) -> Self {
        RetryBudget {
            ratio: ratio.max(0.0),
            tokens: 0.0,
        }
    }

    /// Changes what a first call deposits.
    pub fn set_ratio(&mut self, ratio: f64) {
        self.ratio = ratio.max(0.0);
    }

    /// Records a first call.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(MAX_TOKENS.max(self.ratio));
    }

    /// Pays for an extra call; false, and nothing is taken, where the budget does not suffice.
    pub fn try_withdraw(&mut self) -> bool {
        let suffices = self.tokens >= 1.0;
        self.tokens -= f64::from(suffices);
        suffices
    }
}
