//! How long calls take.

/// Exponentially weighted means of the time of calls, in tenths of a millisecond; 0 before the first.
#[derive(Default)]
pub(crate) struct CallTimes {
    /// Over many calls.
    pub(crate) usual: f64,
    /// Over the last few.
    pub(crate) recent: f64,
}

impl CallTimes {
    /// Adds a call, with these weights of the newest. The first sets the means.
    pub(crate) fn record(&mut self, time: f64, usual_weight: f64, recent_weight: f64) {
        update(&mut self.usual, time, usual_weight);
        update(&mut self.recent, time, recent_weight);
    }
}

fn update(mean: &mut f64, time: f64, weight: f64) {
    let weight = if *mean > 0.0 { weight } else { 1.0 };
    *mean += (time - *mean) * weight;
}
