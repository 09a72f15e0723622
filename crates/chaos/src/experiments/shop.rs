//! The web shop that the experiments with dependencies run: its operator file and its fake dependencies.
use crate::load::{LoadConfig, TimeWindow};
use cottondyke_test_support::fake_dependency::{FakeDependency, FakeDependencyConfig};
use std::fmt::Write;
use std::io;
use std::time::Duration;

pub(super) const RESPONSE_TARGET: Duration = Duration::from_millis(420);
pub(super) const CLIENT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Concurrency ceiling of each dependency, over all instances.
pub(super) const CEILING: u64 = 24;
/// Limit of retries and hedges, as a fraction of first calls.
pub(super) const RETRY_BUDGET: f64 = 0.1;
/// How long calls may continue at a dependency after they were cancelled.
pub(super) const POST_CANCEL_GRACE: Duration = Duration::from_millis(300);
/// Handler of the only page.
const HANDLER: &str = "browse";
const DISTINCT_BODIES: u64 = 200;

/// Dependencies of one fleet: one for each of the page's three parts, and the backup for prices.
pub(super) const DEPENDENCY_NAMES: [&str; 4] = ["catalogue", "prices", "stock", "backup"];
const BACKUP: &str = "backup";
/// Number of parts of the page. Their dependencies come first in [`DEPENDENCY_NAMES`].
pub(super) const PAGE_PARTS: usize = 3;

/// Starts the dependencies of one fleet, in the order of [`DEPENDENCY_NAMES`].
pub(super) fn start_dependencies(seed: u64) -> io::Result<Vec<FakeDependency>> {
    let config = |name: &str, index: u64| FakeDependencyConfig {
        mean_latency: Duration::from_millis(if name == BACKUP { 30 } else { 60 }),
        concurrency_limit: CEILING,
        post_cancel_duration: POST_CANCEL_GRACE,
        seed: seed.wrapping_mul(31).wrapping_add(index),
    };
    DEPENDENCY_NAMES
        .iter()
        .zip(0..)
        .map(|(name, index)| FakeDependency::start(config(name, index)))
        .collect()
}

/// Returns the text of the operator file of each instance, with the given safeguards switched off.
pub(super) fn operator_text(
    dependencies: &[FakeDependency],
    instances: usize,
    disabled: &[&str],
) -> String {
    let mut text = format!(
        "fleet(instances = {instances}, kept_mb = 1)\n\
         serve(listen = \"127.0.0.1:0\", at_once = 14, sockets = 512, stop = \"2s\")\n\
         browse = handler(\"browse\", effect = \"replayable\", response_target = \"{}ms\", \
         client_timeout = \"{}ms\")\n",
        RESPONSE_TARGET.as_millis(),
        CLIENT_TIMEOUT.as_millis(),
    );
    for (name, dependency) in DEPENDENCY_NAMES.iter().zip(dependencies) {
        let budget = if *name == BACKUP { 130 } else { 260 };
        let _ = writeln!(
            text,
            "dependency({name:?}, addr = \"{}\", budget = \"{budget}ms\", ceiling = {CEILING}, floor = 1, \
             linger = \"{}ms\", retries = {RETRY_BUDGET}, hedge = 0.95, replies = \"json\")",
            dependency.addr,
            POST_CANCEL_GRACE.as_millis(),
        );
    }
    text += "page(browse, parts = [\n\
             part(\"catalogue\", fallbacks = [kept(\"60s\"), leave_out()]),\n\
             part(\"prices\", fallbacks = [other(\"backup\"), fixed({\"price\": None})]),\n\
             part(\"stock\", fallbacks = [kept(\"60s\"), leave_out()]),\n])\n";
    let _ = writeln!(text, "defences(off = {disabled:?})");
    text
}

/// Returns a load of requests for the page that waits one client timeout for answers.
pub(super) fn load(rate: f64, connections: u64, seed: u64, window: TimeWindow) -> LoadConfig {
    LoadConfig {
        handler: HANDLER,
        rate,
        connections,
        distinct_bodies: DISTINCT_BODIES,
        tag: 0,
        seed,
        window,
        answer_timeout: CLIENT_TIMEOUT,
    }
}
