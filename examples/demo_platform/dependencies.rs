//! Fakes of the dependencies of the shop page.
use cottondyke_test_support::fake_dependency::{FakeDependency, FakeDependencyConfig, Fault};
use std::io;
use std::thread;
use std::time::Duration;

/// Ports of the dependencies `catalogue`, `prices` and `stock`.
const PORTS: [u16; 3] = [8101, 8102, 8103];
/// The index of the dependency that gets the fault.
const PRICES: usize = 1;
const MEAN_LATENCY: Duration = Duration::from_millis(40);
const CONCURRENCY_LIMIT: u64 = 24;
const POST_CANCEL_DURATION: Duration = Duration::from_millis(300);

/// Runs the dependencies until the program is interrupted, with a fault in `prices`.
pub(crate) fn run(fault: Fault) -> io::Result<()> {
    let start = |(port, seed): (u16, u64)| {
        let config = FakeDependencyConfig {
            mean_latency: MEAN_LATENCY,
            concurrency_limit: CONCURRENCY_LIMIT,
            post_cancel_duration: POST_CANCEL_DURATION,
            seed,
        };
        FakeDependency::start_at(([127, 0, 0, 1], port).into(), config)
    };
    let dependencies: Vec<FakeDependency> = PORTS
        .into_iter()
        .zip(0..)
        .map(start)
        .collect::<io::Result<_>>()?;
    dependencies[PRICES].set_fault(fault);
    println!("catalogue, prices and stock on 127.0.0.1:8101 to 8103; prices: {fault}");
    loop {
        thread::park();
    }
}
