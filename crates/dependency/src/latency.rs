//! What was learned of a dependency's latency: quantiles over the last one to two spans, and how the recent mean
//! stands to the usual one.
use cottondyke_types::Time;
use hdrhistogram::Histogram;

/// Half of the time over which quantiles look back.
const SPAN: Time = Time(50_000);
/// Calls that must have ended before a quantile is believed.
const ENOUGH: u64 = 30;
/// The longest time that is told apart, in tenths of a millisecond.
const LONGEST: u64 = 600_000;
/// A quantile is reckoned anew after this many further calls. Each is asked for at every call; without this, and
/// with one place for all of them, it was a seventh of what a page costs.
const STALE: u64 = 32;
/// Weights of the newest in the recent mean, and in the usual one as it falls and as it rises.
const RECENT: f64 = 0.1;
const FALLS: f64 = 0.02;
const RISES: f64 = 0.005;

#[derive(Clone, Debug)]
pub struct LatencyTracker {
    newer: Histogram<u32>,
    older: Histogram<u32>,
    turned: Time,
    /// Quantiles that were asked for: the part, the count of calls by then, the time.
    cached: Vec<(f64, u64, Time)>,
    recent: f64,
    usual: f64,
}

impl LatencyTracker {
    pub fn new(now: Time) -> Self {
        // Two significant digits suffice, and the bounds are constants that fit.
        let new = || Histogram::new_with_bounds(1, LONGEST, 2).expect("constant bounds");
        LatencyTracker {
            newer: new(),
            older: new(),
            turned: now,
            cached: Vec::new(),
            recent: 0.0,
            usual: 0.0,
        }
    }

    /// Learns of a call that ended well. Quantiles are of those that ended `in_time`: those of a slow spell would
    /// put hedging off until long after it.
    pub fn learn(&mut self, now: Time, time: Time, in_time: bool) {
        if now - self.turned >= SPAN {
            std::mem::swap(&mut self.newer, &mut self.older);
            self.newer.reset();
            self.turned = now;
            self.cached.clear();
        }
        if in_time {
            self.newer
                .saturating_record(time.0.clamp(1, LONGEST as i64) as u64);
        }
        let t = time.as_f64().max(1.0);
        if self.usual == 0.0 {
            (self.recent, self.usual) = (t, t);
        }
        self.recent += (t - self.recent) * RECENT;
        let weight = if t < self.usual { FALLS } else { RISES };
        self.usual += (t - self.usual) * weight;
    }

    /// The time within which this part of the calls ended, once enough have.
    pub fn quantile(&mut self, part: f64) -> Option<Time> {
        let count = self.newer.len() + self.older.len();
        if count < ENOUGH {
            return None;
        }
        let known = self.cached.iter().position(|(of, _, _)| *of == part);
        if let Some((_, at, time)) = known.map(|place| self.cached[place]) {
            if count - at.min(count) < STALE {
                return Some(time);
            }
        }
        let mut all = self.older.clone();
        let _ = all.add(&self.newer);
        let time = Time(all.value_at_quantile(part.clamp(0.0, 1.0)) as i64);
        match known {
            Some(place) => self.cached[place] = (part, count, time),
            None => self.cached.push((part, count, time)),
        }
        Some(time)
    }

    /// The usual time of a call; none before the first.
    pub fn usual(&self) -> Option<Time> {
        (self.usual > 0.0).then_some(Time(self.usual as i64))
    }

    /// How many times longer than usual calls take of late.
    pub fn gradient(&self) -> f64 {
        if self.usual > 0.0 {
            self.recent / self.usual
        } else {
            1.0
        }
    }
}
