//! Mean durations of calls.

/// Exponentially weighted means of the durations of calls, in tenths of a millisecond; 0 before the first call.
#[derive(Default)]
pub(crate) struct CallTimes {
    /// The mean over many calls.
    pub(crate) long_term_mean: f64,
    /// The mean over the last few calls.
    pub(crate) short_term_mean: f64,
}

impl CallTimes {
    /// Adds a call. Each weight is that of the newest call in its mean; the first call sets both means.
    pub(crate) fn record(&mut self, time: f64, long_term_weight: f64, short_term_weight: f64) {
        update_mean(&mut self.long_term_mean, time, long_term_weight);
        update_mean(&mut self.short_term_mean, time, short_term_weight);
    }
}

fn update_mean(mean: &mut f64, time: f64, weight: f64) {
    let weight = if *mean > 0.0 { weight } else { 1.0 };
    *mean += (time - *mean) * weight;
}
