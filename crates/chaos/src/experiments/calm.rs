//! CPU cost of a page without faults, compared with a baseline node that calls the same dependencies with all
//! safeguards (limits, breakers, budgets and others) switched off.
use super::score::score;
use super::shop::{self, CLIENT_TIMEOUT};
use crate::error::Error;
use crate::load::{LoadConfig, LoadGenerator, TimeWindow};
use crate::options::Options;
use crate::process::NodeProcess;
use crate::report::Report;
use std::time::{Duration, Instant};

const CONNECTIONS: u64 = 4;
/// Requests per second.
const RATE: f64 = 100.0;
/// Measurements of each node. They alternate between the nodes, so that other load on the machine affects both alike.
const ROUNDS: usize = 4;
const DEFAULT_SECONDS: u64 = 24;
/// Time for the clients to start before a measurement.
const START_DELAY: Duration = Duration::from_millis(50);
/// Added to the post-cancel grace period, during which a new node makes no calls.
const WARM_UP: Duration = Duration::from_millis(500);
const ALL_SAFEGUARDS: [&str; 7] = [
    "budget", "limit", "adapt", "breaker", "hedge", "kept", "fallback",
];

struct CostMeasurement {
    cpu_milliseconds_per_page: f64,
    incomplete: usize,
    pages: usize,
}

fn measure(node: &NodeProcess, seed: u64, seconds: f64) -> Result<CostMeasurement, Error> {
    let start = Instant::now() + START_DELAY;
    let end = start + Duration::from_secs_f64(seconds);
    let load = LoadConfig {
        answer_timeout: CLIENT_TIMEOUT / 2,
        ..shop::load(RATE, CONNECTIONS, seed, TimeWindow { start, end })
    };
    let cpu_before = node.cpu_seconds()?;
    let sent = LoadGenerator::start(node.addr, &load).join();
    let cpu_seconds = node.cpu_seconds()? - cpu_before;
    let complete = sent
        .iter()
        .map(score)
        .filter(|score| score.is_complete() && score.answers == 1)
        .count();
    Ok(CostMeasurement {
        cpu_milliseconds_per_page: cpu_seconds * 1_000.0 / sent.len().max(1) as f64,
        incomplete: sent.len() - complete,
        pages: sent.len(),
    })
}

pub(super) fn run(options: &Options) -> Result<Report, Error> {
    options.disabled_safeguards(&[])?;
    let seconds = options.seconds.unwrap_or(DEFAULT_SECONDS) as f64 / (2 * ROUNDS) as f64;
    let dependencies = shop::start_dependencies(options.seed)?;
    let start_node = |disabled: &[&str]| {
        let operator_text = shop::operator_text(&dependencies, 1, disabled);
        NodeProcess::start(&operator_text, options.verbose)
    };
    let node = start_node(&[])?;
    let baseline_node = start_node(&ALL_SAFEGUARDS)?;
    std::thread::sleep(shop::POST_CANCEL_GRACE + WARM_UP);
    let (mut costs, mut baseline_costs) = (Vec::new(), Vec::new());
    let (mut incomplete, mut pages) = (0, 0);
    for round in 0..ROUNDS as u64 {
        let measured = measure(&node, options.seed ^ round, seconds)?;
        costs.push(measured.cpu_milliseconds_per_page);
        incomplete += measured.incomplete;
        pages += measured.pages;
        let baseline = measure(&baseline_node, options.seed ^ round, seconds)?;
        baseline_costs.push(baseline.cpu_milliseconds_per_page);
    }
    let (cost, baseline_cost) = (median(costs), median(baseline_costs));
    let mut report = Report::default();
    report.check_at_least("pages", pages as f64, 100.0);
    report.check_at_most("answers not whole", incomplete as f64, 0.0);
    report.check_at_most(
        "core time a page beside bare calls",
        cost / baseline_cost,
        1.1,
    );
    report.figure("core ms a page", cost);
    report.figure("core ms a page of bare calls", baseline_cost);
    report.figure("resident kB", node.resident_kilobytes()?);
    Ok(report)
}

/// Returns the median of [`ROUNDS`] values, an even number.
fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    (values[ROUNDS / 2 - 1] + values[ROUNDS / 2]) / 2.0
}
