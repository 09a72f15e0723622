//! Runs many simulated clusters with faults, one for each seed, on all cores.
use crate::error::Error;
use crate::options::{Options, SHARED_BUDGET_SAFEGUARDS};
use crate::report::Report;
use crate::simulation::{
    ClusterSimulation, EventLog, SimulationConfig, SimulationError, SimulationResult,
};
use cottondyke_quota::Safeguards;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::thread;

/// Runs `options.count` simulations with consecutive seeds that start at `options.seed`.
pub(super) fn run(options: &Options) -> Result<Report, Error> {
    let disabled = options.disabled_safeguards(&SHARED_BUDGET_SAFEGUARDS)?;
    let is_enabled = |name: &str| !disabled.contains(&name);
    let safeguards = Safeguards {
        lease: is_enabled("lease"),
        fence: is_enabled("fence"),
        expiry_grace: is_enabled("linger"),
        demand: is_enabled("need"),
    };
    let next_seed = AtomicU64::new(options.seed);
    let end = options.seed + options.count;
    let results = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for _ in 0..thread::available_parallelism().map_or(1, usize::from) {
            scope.spawn(|| loop {
                let seed = next_seed.fetch_add(1, Ordering::Relaxed);
                if seed >= end {
                    return;
                }
                let result = run_seed(seed, safeguards, options);
                results
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .push(result);
            });
        }
    });
    let results = results.into_inner().unwrap_or_else(PoisonError::into_inner);
    Ok(summarize(&results))
}

fn run_seed(
    seed: u64,
    safeguards: Safeguards,
    options: &Options,
) -> Result<SimulationResult, SimulationError> {
    let config = SimulationConfig {
        safeguards,
        ..SimulationConfig::random(seed, options.members)
    };
    let log = if options.verbose {
        EventLog::Stderr
    } else {
        EventLog::Off
    };
    let result = ClusterSimulation::new(seed, config, log).run();
    if let Err(error) = &result {
        eprintln!("seed {seed}, {} members: {error}", config.members);
    }
    result
}

fn summarize(results: &[Result<SimulationResult, SimulationError>]) -> Report {
    let successes: Vec<&SimulationResult> = results.iter().flatten().collect();
    let failures = results.len() - successes.len();
    let sum = |count: fn(&SimulationResult) -> u64| -> u64 {
        successes.iter().map(|result| count(result)).sum()
    };
    let max_utilization = successes
        .iter()
        .map(|result| f64::from(result.max_in_use) / f64::from(result.total_units.max(1)))
        .fold(0.0, f64::max);
    let mut report = Report::default();
    report.check_at_most("worlds that broke a promise", failures as f64, 0.0);
    report.figure("worlds", results.len());
    report.figure("steps", sum(|result| result.steps));
    report.figure("faults", sum(|result| result.faults));
    report.figure("calls", sum(|result| result.calls));
    report.figure("most of a whole in use", max_utilization);
    report
}
