//! The retry budget: a token bucket that first calls fill and extra calls drain (as in Finagle's `RetryBudget`, but
//! without its minimum of retries per second), so that extra calls are always at most a fraction of first calls.

/// Capacity of the bucket in tokens. It limits the burst of extra calls when failures follow a long healthy period.
const MAX_TOKENS: f64 = 10.0;

/// The budget of extra calls (hedges and retries) to one dependency.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    tokens: f64,
}

impl RetryBudget {
    /// Creates an empty budget. A first call deposits `ratio` tokens; an extra call costs one.
    pub fn new(ratio: f64) -> Self {
        RetryBudget {
            ratio: ratio.max(0.0),
            tokens: 0.0,
        }
    }

    /// Changes the number of tokens that a first call deposits.
    pub fn set_ratio(&mut self, ratio: f64) {
        self.ratio = ratio.max(0.0);
    }

    /// Records a first call.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(MAX_TOKENS.max(self.ratio));
    }

    /// Withdraws the token for an extra call. Returns false and withdraws nothing if the budget does not suffice.
    pub fn try_withdraw(&mut self) -> bool {
        let suffices = self.tokens >= 1.0;
        self.tokens -= f64::from(suffices);
        suffices
    }
}
