//! Eight instances in three zones that share one dependency's ceiling, while links are partitioned and stalled and
//! processes are paused, killed and lose their disks; beside them the same fleet with fixed quotas. Calls are counted
//! at the dependency.

mod checks;
mod counting;
mod driver;
mod fleet;
mod load;
mod operator_file;
mod schedule;

use crate::error::Error;
use crate::options::{Options, SHARED_BUDGET_SAFEGUARDS};
use crate::report::{Report, StolenTimeMonitor};
use counting::count_requests;
use driver::Driver;
use fleet::{Division, Fleet};
use operator_file::{LEASE_DURATION, POST_CANCEL_GRACE};
use schedule::draw_schedule;
use std::time::{Duration, Instant};

/// Beside a lease and the longest call, for which a new registry grants nothing.
const BOOTSTRAP_DURATION: Duration = Duration::from_millis(3_000);

pub(super) fn run(options: &Options) -> Result<Report, Error> {
    let disabled = options.disabled_safeguards(&SHARED_BUDGET_SAFEGUARDS)?;
    let mut random = fastrand::Rng::with_seed(options.seed);
    let windows = draw_schedule(&mut random);
    let fleets = [
        Fleet::start(Division::Leased, &disabled, options)?,
        Fleet::start(Division::Fixed, &disabled, options)?,
    ];
    std::thread::sleep(LEASE_DURATION + POST_CANCEL_GRACE + BOOTSTRAP_DURATION);
    let monitor = StolenTimeMonitor::start();
    let mut driver = Driver::new(fleets, &windows, random, Instant::now());
    driver.run()?;
    let batches = std::mem::take(&mut driver.batches);
    let counts = count_requests(batches, &driver.fleets, driver.start);
    Ok(checks::report(&driver, &windows, counts, &monitor))
}
