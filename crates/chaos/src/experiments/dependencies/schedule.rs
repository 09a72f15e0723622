//! The load, and which dependencies fail when and how: drawn from a seed.
use super::super::shop::{CEILING, PAGE_PARTS};
use cottondyke_test_support::fake_dependency::Fault;
use std::time::Duration;

pub(super) const NODES: usize = 3;
/// Requests a second at each node: the dependencies can answer some 125 a second of each node's.
pub(super) const RATE: f64 = 90.0;
/// Times of the schedule, in seconds: before the first fault, of a fault, after it, and after the last.
pub(super) const CALM_SECONDS: f64 = 2.5;
const FAULT_SECONDS: f64 = 2.75;
const RECOVERY_SECONDS: f64 = 2.25;
pub(super) const LAST_RECOVERY_SECONDS: f64 = 3.0;
/// Calls in flight that a dependency survives in the window before the last.
const OVERLOAD_LIMIT: u64 = CEILING / 3;
/// Every call in so many is an outlier in the last window.
const OUTLIER_INTERVAL: u32 = 60;
/// Longer than the dependencies' budget.
const FIXED_LATENCY: Duration = Duration::from_millis(270);
const SLOWDOWN: u32 = 6;

/// A fault of one dependency.
#[derive(Clone, Copy, Debug)]
pub(super) struct DependencyFault {
    /// The dependency's index.
    pub(super) dependency: usize,
    pub(super) fault: Fault,
}

/// A time in which some dependencies fail, in seconds from the start of the load.
pub(super) struct FaultWindow {
    pub(super) start: f64,
    pub(super) end: f64,
    pub(super) faults: Vec<DependencyFault>,
}

/// Draws the windows of a schedule of so many seconds; the last two are always an overload and latency outliers.
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
        next_start: CALM_SECONDS,
    };
    // One, two and all three together, each at least once.
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
    /// When the next window starts, in seconds.
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

/// One dependency survives a third of what it should: the more is in flight, the less it does.
fn overload(random: &mut fastrand::Rng) -> DependencyFault {
    DependencyFault {
        dependency: random.usize(0..PAGE_PARTS),
        fault: Fault::Overloaded(OVERLOAD_LIMIT),
    }
}

/// The dependency does not fail, but some calls of it take ten times their time.
fn latency_outliers(dependency: usize) -> DependencyFault {
    DependencyFault {
        dependency,
        fault: Fault::LatencyOutliers(OUTLIER_INTERVAL),
    }
}
