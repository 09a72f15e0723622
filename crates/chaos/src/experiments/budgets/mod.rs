//! Eight instances in three zones share the concurrency ceiling of a dependency, while links are partitioned and
//! stalled and processes are paused, killed, drained and lose their disks. A second fleet with fixed quotas runs the
//! same schedule for comparison. Calls are counted at the dependency.

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
use fleet::{Fleet, QuotaAllocation};
use operator_file::{LEASE_DURATION, POST_CANCEL_GRACE};
use schedule::draw_schedule;
use std::time::{Duration, Instant};

/// Added to the lease duration and the post-cancel grace period, during which a new registry grants nothing.
const BOOTSTRAP_DURATION: Duration = Duration::from_millis(3_000);

pub(super) fn run(options: &Options) -> Result<Report, Error> {
    let disabled = options.disabled_safeguards(&SHARED_BUDGET_SAFEGUARDS)?;
    let mut random = fastrand::Rng::with_seed(options.seed);
    let windows = draw_schedule(&mut random);
    let fleets = [
        Fleet::start(QuotaAllocation::Leased, &disabled, options)?,
        Fleet::start(QuotaAllocation::Fixed, &disabled, options)?,
    ];
    std::thread::sleep(LEASE_DURATION + POST_CANCEL_GRACE + BOOTSTRAP_DURATION);
    let monitor = StolenTimeMonitor::start();
    let mut driver = Driver::new(fleets, &windows, random, Instant::now());
    driver.run()?;
    let batches = std::mem::take(&mut driver.batches);
    let counts = count_requests(batches, &driver.fleets, driver.start);
    Ok(checks::report(&driver, &windows, counts, &monitor))
}
