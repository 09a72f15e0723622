//! The load, and the schedule of dependency faults, which is drawn from a seed.
use super::super::shop::{CEILING, PAGE_PARTS};
use cottondyke_test_support::fake_dependency::Fault;
use std::time::Duration;

pub(super) const NODES: usize = 3;
/// Requests per second at each node. The dependencies can answer about 125 per second for each node.
pub(super) const RATE: f64 = 90.0;
/// Durations of the schedule's phases, in seconds: before the first fault, during a fault, after a fault, and after the
/// last fault.
pub(super) const BASELINE_SECONDS: f64 = 2.5;
const FAULT_SECONDS: f64 = 2.75;
const RECOVERY_SECONDS: f64 = 2.25;
pub(super) const LAST_RECOVERY_SECONDS: f64 = 3.0;
/// Calls in flight that the dependency overloaded in the second-to-last window can handle.
const OVERLOAD_LIMIT: u64 = CEILING / 3;
/// In the last window one of this many calls is a latency outlier.
const OUTLIER_INTERVAL: u32 = 60;
/// Longer than the time budget of a call to a dependency.
const FIXED_LATENCY: Duration = Duration::from_millis(270);
const SLOWDOWN: u32 = 6;

/// A fault of one dependency.
#[derive(Clone, Copy, Debug)]
pub(super) struct DependencyFault {
    /// Index of the dependency.
    pub(super) dependency: usize,
    pub(super) fault: Fault,
}

/// An interval in which some dependencies fail, in seconds from the start of the load.
pub(super) struct FaultWindow {
    pub(super) start: f64,
    pub(super) end: f64,
    pub(super) faults: Vec<DependencyFault>,
}

/// Draws the fault windows of a schedule of the given length. The last two are always an overload and latency outliers.
pub(super) fn draw_schedule(random: &mut fastrand::Rng, seconds: f64) -> Vec<FaultWindow> {
    let mut kinds = vec![
        Fault::Hang,
        Fault::Slow(SLOWDOWN),
        Fault::Reset,
        Fault::FixedLatency(FIXED_LATENCY),
        Fault::Corrupt,
        Fault::Fail,
    ];
    random.shuffle(&mut kinds);
    let mut kinds = kinds.into_iter().cycle();
    let mut schedule = Schedule {
        windows: Vec::new(),
        next_start: BASELINE_SECONDS,
    };
    // Number of dependencies that fail at the same time; one, two and all three occur at least once.
    let mut fault_counts = vec![1, 3, 2, 2];
    random.shuffle(&mut fault_counts);
    for count in fault_counts {
        let end = schedule.next_start
            + 3.0 * FAULT_SECONDS
            + 2.0 * RECOVERY_SECONDS
            + LAST_RECOVERY_SECONDS;
        if end > seconds && !schedule.windows.is_empty() {
            break;
        }
        let mut dependencies: Vec<usize> = (0..PAGE_PARTS).collect();
        random.shuffle(&mut dependencies);
        let failing = dependencies[..count].iter().zip(&mut kinds);
        let faults = failing.map(|(dependency, fault)| DependencyFault {
            dependency: *dependency,
            fault,
        });
        schedule.add(faults.collect());
    }
    schedule.add(vec![overload(random)]);
    schedule.add((0..PAGE_PARTS).map(latency_outliers).collect());
    schedule.windows
}

struct Schedule {
    windows: Vec<FaultWindow>,
    /// Start of the next window, in seconds.
    next_start: f64,
}

impl Schedule {
    fn add(&mut self, faults: Vec<DependencyFault>) {
        let start = self.next_start;
        let end = start + FAULT_SECONDS;
        self.windows.push(FaultWindow { start, end, faults });
        self.next_start += FAULT_SECONDS + RECOVERY_SECONDS;
    }
}

/// One dependency handles only a third of its ceiling; its throughput falls as more calls are in flight.
fn overload(random: &mut fastrand::Rng) -> DependencyFault {
    DependencyFault {
        dependency: random.usize(0..PAGE_PARTS),
        fault: Fault::Overloaded(OVERLOAD_LIMIT),
    }
}

/// The dependency does not fail, but some of its calls take ten times their usual latency.
fn latency_outliers(dependency: usize) -> DependencyFault {
    DependencyFault {
        dependency,
        fault: Fault::LatencyOutliers(OUTLIER_INTERVAL),
    }
}
