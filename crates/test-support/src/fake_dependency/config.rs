//! Configuration, faults and call counts of a fake dependency.
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// How a dependency fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It does not fail.
    None,
    /// Accepts calls and answers none.
    Hang,
    /// Responds after this many times its usual latency.
    Slow(u32),
    /// Resets connections, half of them in the middle of a response's body.
    Reset,
    /// Responds after exactly this latency instead of its usual one.
    FixedLatency(Duration),
    /// Responds with wrong content lengths (one of them 3 GB), with bytes that are not HTTP, and with truncated JSON.
    Corrupt,
    /// Responds at once with an error.
    Fail,
    /// Has a lower concurrency limit: above this many calls in flight, latency grows with the square of their ratio to
    /// the limit.
    Overloaded(u64),
    /// Every call in this many takes ten times its usual latency.
    LatencyOutliers(u32),
}

/// The text that reports show. It stays as it is when a variant is renamed.
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

/// Calls that a dependency has counted since it started.
#[derive(Clone, Debug, Default)]
pub struct CallCounts {
    /// Calls that arrived.
    pub calls: u64,
    /// Calls in flight now.
    pub in_flight: u64,
    /// The most calls in flight at the same time, including those that go on after their callers disconnected.
    pub max_in_flight: u64,
    /// Calls after the first one of the same request: retries and hedges.
    pub extra: u64,
    /// Calls that were answered in full.
    pub successes: u64,
    /// The most calls that arrived within any second.
    pub max_per_second: usize,
    /// Total seconds that calls were in flight, by the first four digits of their requests' ids.
    pub in_flight_seconds: BTreeMap<String, f64>,
}

/// How a dependency behaves without a fault.
#[derive(Clone, Copy, Debug)]
pub struct FakeDependencyConfig {
    /// Mean latency of a call; each latency is drawn uniformly from 0.5 to 1.5 times the mean.
    pub mean_latency: Duration,
    /// Above this many calls in flight, latency grows in proportion to them (the knee of the throughput curve).
    pub concurrency_limit: u64,
    /// How long a call goes on at most after its caller disconnected.
    pub post_cancel_duration: Duration,
    /// Seed of the latencies.
    pub seed: u64,
}
