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
const REST_SECONDS: f64 = 2.25;
pub(super) const LAST_REST_SECONDS: f64 = 3.0;
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
    let mut windows = Vec::new();
    let mut start = CALM_SECONDS;
    let mut add_window = |start: &mut f64, faults| {
        let end = *start + FAULT_SECONDS;
        windows.push(FaultWindow {
            start: *start,
            end,
            faults,
        });
        *start += FAULT_SECONDS + REST_SECONDS;
    };
    // One, two and all three together, each at least once.
    let mut fault_counts = vec![1, 3, 2, 2];
    random.shuffle(&mut fault_counts);
    for (number, count) in fault_counts.into_iter().enumerate() {
        let end = start + 3.0 * FAULT_SECONDS + 2.0 * REST_SECONDS + LAST_REST_SECONDS;
        if end > seconds && number > 0 {
            break;
        }
        let mut dependencies: Vec<usize> = (0..PAGE_PARTS).collect();
        random.shuffle(&mut dependencies);
        let faults = dependencies[..count]
            .iter()
            .zip(&mut kinds)
            .map(|(dependency, fault)| DependencyFault {
                dependency: *dependency,
                fault,
            });
        add_window(&mut start, faults.collect());
    }
    // One survives a third of what it should: the more is in flight, the less it does.
    let overload = DependencyFault {
        dependency: random.usize(0..PAGE_PARTS),
        fault: Fault::Overloaded(OVERLOAD_LIMIT),
    };
    add_window(&mut start, vec![overload]);
    // Last, no dependency fails, but some calls of all three take ten times their time.
    let outliers = |dependency| DependencyFault {
        dependency,
        fault: Fault::LatencyOutliers(OUTLIER_INTERVAL),
    };
    add_window(&mut start, (0..PAGE_PARTS).map(outliers).collect());
    windows
}
