//! Sums over a sliding window of time.

use crate::Time;

/// `K` sums over the last `window`, kept in `BUCKETS` buckets of equal width that are reused as a ring. Amounts
/// older than the window expire one bucket at a time.
#[derive(Clone, Debug)]
pub struct SlidingWindow<const K: usize, const BUCKETS: usize> {
    bucket_width: i64,
    /// The number of the newest bucket, counted from time 0.
    newest: i64,
    buckets: [[f64; K]; BUCKETS],
}

impl<const K: usize, const BUCKETS: usize> SlidingWindow<K, BUCKETS> {
    /// Creates an empty window of this length.
    pub fn new(window: Time) -> Self {
        SlidingWindow {
            bucket_width: (window.0 / BUCKETS as i64).max(1),
            newest: 0,
            buckets: [[0.0; K]; BUCKETS],
        }
    }

    /// The length of the window, in tenths of a millisecond.
    pub fn duration(&self) -> f64 {
        (self.bucket_width * BUCKETS as i64) as f64
    }

    fn index(bucket: i64) -> usize {
        bucket.rem_euclid(BUCKETS as i64) as usize
    }

    /// All `K` sums as of `now`.
    pub fn sums(&self, now: Time) -> [f64; K] {
        let oldest = now.0.div_euclid(self.bucket_width) - BUCKETS as i64;
        let live = (0..BUCKETS as i64)
            .map(|back| self.newest - back)
            .filter(|bucket| *bucket > oldest);
        live.fold([0.0; K], |sums, bucket| {
            std::array::from_fn(|k| sums[k] + self.buckets[Self::index(bucket)][k])
        })
    }

    /// Treats the sums as the bins of a histogram and returns the first bin up to which `fraction` of the total lies;
    /// `None` if the histogram is empty.
    pub fn quantile(&self, now: Time, fraction: f64) -> Option<usize> {
        let sums = self.sums(now);
        let total = sums.iter().sum::<f64>();
        (0..K).find(|k| total > 0.0 && sums[..=*k].iter().sum::<f64>() >= fraction * total)
    }

    /// Adds one amount to each sum.
    pub fn add_all(&mut self, now: Time, amounts: [f64; K]) {
        for (k, amount) in amounts.into_iter().enumerate() {
            self.add(now, k, amount);
        }
    }

    /// Adds `amount` to the `k`-th sum.
    pub fn add(&mut self, now: Time, k: usize, amount: f64) {
        let bucket = now.0.div_euclid(self.bucket_width).max(self.newest);
        for old in (self.newest + 1).max(bucket - BUCKETS as i64 + 1)..=bucket {
            self.buckets[Self::index(old)] = [0.0; K];
        }
        self.newest = bucket;
        self.buckets[Self::index(bucket)][k] += amount;
    }
}
