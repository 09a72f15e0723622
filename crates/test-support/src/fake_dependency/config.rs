//! How a dependency behaves, what it does wrong, and what it counts.
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// What a dependency does wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    None,
    /// Accepts calls and answers none.
    Hang,
    /// Takes this many times its usual latency.
    Slow(u32),
    /// Resets connections, half of them in the middle of a response's body.
    Reset,
    /// Responds this long after the call arrived, whatever its usual latency.
    FixedLatency(Duration),
    /// Responds with bodies of the wrong length, of 3 GB, noise, and errors.
    Corrupt,
    /// Responds at once with an error.
    Fail,
    /// Has a lower concurrency limit: past this many calls in flight, latency grows with the square of the excess.
    Overloaded(u64),
    /// Every call in this many takes ten times its usual latency.
    LatencyOutliers(u32),
}

/// The text that reports show, which outlives the names of the variants.
impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::None => f.write_str("None"),
            Fault::Hang => f.write_str("Hang"),
            Fault::Slow(factor) => write!(f, "Slow({factor})"),
            Fault::Reset => f.write_str("Reset"),
            Fault::FixedLatency(latency) => write!(f, "Late({latency:?})"),
            Fault::Corrupt => f.write_str("Corrupt"),
            Fault::Fail => f.write_str("Fail"),
            Fault::Overloaded(limit) => write!(f, "Weak({limit})"),
            Fault::LatencyOutliers(interval) => write!(f, "Straggle({interval})"),
        }
    }
}

/// What a dependency counted since it started.
#[derive(Clone, Debug, Default)]
pub struct CallCounts {
    /// Calls that arrived.
    pub calls: u64,
    /// Calls in flight now.
    pub in_flight: u64,
    /// Most calls in flight at one time, those whose callers went away among them for as long as they go on.
    pub max_in_flight: u64,
    /// Calls of a request that had called before: retries and hedges.
    pub extra: u64,
    /// Calls that were answered in full.
    pub successes: u64,
    /// Most calls that arrived in any second.
    pub max_per_second: usize,
    /// Seconds that calls were in flight, summed by the first four digits of their requests' ids.
    pub in_flight_seconds: BTreeMap<String, f64>,
}

/// How a dependency behaves without a fault.
#[derive(Clone, Copy, Debug)]
pub struct FakeDependencyConfig {
    /// Mean latency of a call, which is drawn from half of it to one and a half.
    pub mean_latency: Duration,
    /// Past this many calls in flight latency grows in proportion (the knee of its throughput curve).
    pub concurrency_limit: u64,
    /// How long a call goes on at most once its caller went away.
    pub post_cancel_duration: Duration,
    /// Seed of the latencies.
    pub seed: u64,
}
