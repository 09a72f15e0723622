//! Three nodes near capacity, and four dependencies that fail one at a time and together. Two more fleets run with the
//! same schedule for comparison: one without fallbacks, and one with fixed limits and no breaker.

mod checks;
mod schedule;
mod timeline;

use super::shop::{self, CLIENT_TIMEOUT};
use crate::error::Error;
use crate::load::{LoadConfig, LoadGenerator, TimeWindow};
use crate::options::Options;
use crate::process::NodeProcess;
use crate::report::Report;
use cottondyke_test_support::fake_dependency::{FakeDependency, Fault};
use schedule::{draw_schedule, FaultWindow, BASELINE_SECONDS, LAST_RECOVERY_SECONDS, NODES, RATE};
use std::time::{Duration, Instant};
use timeline::Timeline;

const CONNECTIONS: u64 = 4;
const DEFAULT_SECONDS: u64 = 36;
/// Added to the post-cancel grace period, during which a new node makes no calls because calls of a previous
/// incarnation may still be running.
const WARM_UP: Duration = Duration::from_millis(500);
const SAFEGUARDS: [&str; 7] = [
    "budget", "limit", "adapt", "breaker", "hedge", "kept", "fallback",
];

struct Fleet {
    nodes: Vec<NodeProcess>,
    dependencies: Vec<FakeDependency>,
}

impl Fleet {
    fn start(seed: u64, disabled: &[&str], verbose: bool) -> Result<Self, Error> {
        let dependencies = shop::start_dependencies(seed)?;
        let operator_text = shop::operator_text(&dependencies, NODES, disabled);
        let nodes = (0..NODES)
            .map(|_| NodeProcess::start(&operator_text, verbose))
            .collect::<Result<_, _>>()?;
        Ok(Fleet {
            nodes,
            dependencies,
        })
    }

    /// Starts the load on all nodes.
    fn start_load(&self, seed: u64, window: TimeWindow) -> Vec<LoadGenerator> {
        let start = |(node, number): (&NodeProcess, u64)| {
            let load = LoadConfig {
                answer_timeout: CLIENT_TIMEOUT + CLIENT_TIMEOUT,
                ..shop::load(RATE, CONNECTIONS, seed ^ number << 32, window)
            };
            LoadGenerator::start(node.addr, &load)
        };
        self.nodes.iter().zip(0u64..).map(start).collect()
    }
}

pub(super) fn run(options: &Options) -> Result<Report, Error> {
    let disabled = options.disabled_safeguards(&SAFEGUARDS)?;
    let seconds = options.seconds.unwrap_or(DEFAULT_SECONDS) as f64;
    let mut random = fastrand::Rng::with_seed(options.seed);
    let windows = draw_schedule(&mut random, seconds);
    let fleets = [
        Fleet::start(options.seed, &disabled, options.verbose)?,
        Fleet::start(options.seed, &["fallback"], false)?,
        Fleet::start(options.seed, &["adapt", "breaker"], false)?,
    ];
    let start = Instant::now() + shop::POST_CANCEL_GRACE + WARM_UP;
    let last_fault = windows.last().map_or(BASELINE_SECONDS, |window| window.end);
    let end = start + Duration::from_secs_f64(last_fault + LAST_RECOVERY_SECONDS);
    let load_window = TimeWindow { start, end };
    let generators = fleets
        .each_ref()
        .map(|fleet| fleet.start_load(options.seed, load_window));
    for window in &windows {
        run_fault_window(window, &fleets, start);
    }
    let timelines = generators.map(|generators| {
        let sent: Vec<_> = generators
            .into_iter()
            .flat_map(LoadGenerator::join)
            .collect();
        Timeline::new(&sent, start)
    });
    Ok(checks::report(
        &windows,
        &fleets[0].dependencies,
        &timelines,
    ))
}

/// Waits for the start of a window, and injects its faults into all fleets until its end.
fn run_fault_window(window: &FaultWindow, fleets: &[Fleet], start: Instant) {
    let sleep_until = |seconds: f64| {
        let at = start + Duration::from_secs_f64(seconds);
        std::thread::sleep(at.saturating_duration_since(Instant::now()));
    };
    sleep_until(window.start);
    for fleet in fleets {
        for fault in &window.faults {
            fleet.dependencies[fault.dependency].set_fault(fault.fault);
        }
    }
    sleep_until(window.end);
    for fleet in fleets {
        for fault in &window.faults {
            fleet.dependencies[fault.dependency].set_fault(Fault::None);
        }
    }
}
