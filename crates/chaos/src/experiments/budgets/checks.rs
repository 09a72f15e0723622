//! The report: checks that budgets were not exceeded, and that leases yielded more value than fixed quotas.
use super::counting::Counts;
use super::driver::{Driver, FIXED, LEASED};
use super::operator_file::{CEILING, METERED_RATE};
use super::schedule::{FaultWindow, NODES, NODE_NAMES, ZONES};
use crate::report::{Report, StolenTimeMonitor};

const MIN_VALUE_RATIO: f64 = 1.3;
const MIN_UTILIZATION: f64 = 0.9;
const MIN_SENT_REQUESTS: f64 = 1_000.0;

pub(super) fn report(
    driver: &Driver,
    windows: &[FaultWindow],
    mut counts: Counts,
    monitor: &StolenTimeMonitor,
) -> Report {
    let mut report = Report::default();
    let unanswered_examples = std::mem::take(&mut counts.unanswered_examples);
    report.figure("without an answer in time", unanswered_examples);
    check_budgets(&mut report, driver, &counts);
    report.require_cpu_time(monitor);
    check_metered_rate(&mut report, driver);
    check_values(&mut report, &counts);
    check_utilization(&mut report, driver);
    check_answers(&mut report, &counts);
    add_figures(&mut report, driver, windows, &counts);
    report
}

/// Checks that do not depend on timing.
fn check_budgets(report: &mut Report, driver: &Driver, counts: &Counts) {
    let shared = driver.fleets[LEASED].shared.counts();
    report.check_at_most(
        "calls held at the shared dependency",
        shared.max_in_flight as f64,
        CEILING as f64,
    );
    report.check_at_most("reqs answered twice", counts.answered_twice as f64, 0.0);
    // Even if calls arrive late, one second holds at most the calls of two rate windows.
    report.check_at_most(
        "calls of any second at the metered dependency, late ones among them",
        max_metered_calls(driver),
        2.0 * METERED_RATE as f64,
    );
}

fn check_metered_rate(report: &mut Report, driver: &Driver) {
    report.check_at_most(
        "calls of any second at the metered dependency",
        max_metered_calls(driver),
        METERED_RATE as f64,
    );
}

/// Returns the maximum number of calls that arrived within one second.
fn max_metered_calls(driver: &Driver) -> f64 {
    driver.fleets[LEASED].metered.counts().max_per_second as f64
}

fn check_values(report: &mut Report, counts: &Counts) {
    let (leased, fixed) = (counts.leased, counts.fixed);
    let ratio = |leased: f64, fixed: f64| leased / f64::max(fixed, 1.0);
    report.check_at_least(
        "value of the metered dependency beside fixed parts",
        ratio(leased.metered, fixed.metered),
        1.0,
    );
    report.check_at_least(
        "value beside fixed parts",
        ratio(leased.shared, fixed.shared),
        MIN_VALUE_RATIO,
    );
    report.check_at_least(
        "value beside fixed parts without faults",
        ratio(leased.shared_before_faults, fixed.shared_before_faults),
        1.0,
    );
}

fn check_utilization(report: &mut Report, driver: &Driver) {
    report.check_at_least(
        "part of the whole in use after the faults",
        driver.mean_in_flight.last_phase / CEILING as f64,
        MIN_UTILIZATION,
    );
    let zone = driver.partitioned_zone;
    let majority_nodes = (0..NODES).filter(|node| node % ZONES != zone).count();
    let fair_share = CEILING as f64 * majority_nodes as f64 / NODES as f64;
    report.check_at_least(
        "fair part of the side with the registry, in use while a zone is cut off",
        driver.mean_in_flight.majority / fair_share,
        MIN_UTILIZATION,
    );
}

fn check_answers(report: &mut Report, counts: &Counts) {
    report.check_at_most(
        "reqs without an answer in time",
        counts.unanswered as f64,
        0.0,
    );
    let in_time = counts.unshared_in_time as f64 / f64::max(counts.unshared as f64, 1.0);
    report.check_at_least("reqs that use no budget, whole and in time", in_time, 0.99);
    report.check_at_least("reqs sent", counts.sent as f64, MIN_SENT_REQUESTS);
}

fn add_figures(report: &mut Report, driver: &Driver, windows: &[FaultWindow], counts: &Counts) {
    let describe = |window: &FaultWindow| {
        let name = NODE_NAMES[window.node];
        format!(
            "{} of {name} {:.1}-{:.1}",
            window.fault, window.start, window.end
        )
    };
    let max_in_flight = |fleet: usize| driver.fleets[fleet].shared.counts().max_in_flight;
    let windows: Vec<String> = windows.iter().map(describe).collect();
    report.figure("troubles", windows);
    report.figure("value", counts.leased.shared);
    report.figure("value of fixed parts", counts.fixed.shared);
    report.figure("most held under fixed parts", max_in_flight(FIXED));
    report.figure("most held", max_in_flight(LEASED));
}
