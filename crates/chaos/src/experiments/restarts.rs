//! Kills and restarts half of the nodes while their calls are in flight, and checks that the calls in flight at each
//! dependency stay within its ceiling.
use super::shop::{self, CEILING};
use crate::error::Error;
use crate::load::{LoadGenerator, TimeWindow};
use crate::options::Options;
use crate::process::NodeProcess;
use crate::report::Report;
use cottondyke_test_support::fake_dependency::{FakeDependency, Fault};
use std::time::{Duration, Instant};

const NODES: usize = 4;
const ROUNDS: usize = 6;
const RESTARTS_PER_ROUND: usize = NODES / 2;
const ROUND_DURATION: Duration = Duration::from_secs(2);
const CONNECTIONS: u64 = 2;
/// Requests per second at each node.
const RATE: f64 = 80.0;
/// Factor by which the dependencies are slower than usual.
const SLOWDOWN: u32 = 3;
const MIN_ANSWERED: f64 = 200.0;

struct RestartRounds<'a> {
    options: &'a Options,
    operator_text: String,
    random: fastrand::Rng,
    nodes: Vec<NodeProcess>,
    answered: usize,
    restarted: usize,
}

impl RestartRounds<'_> {
    fn start_node(&self) -> Result<NodeProcess, Error> {
        NodeProcess::start(&self.operator_text, self.options.verbose)
    }

    /// Sends load to all nodes, and restarts half of them in the meantime.
    fn run_round(&mut self, round: u64) -> Result<(), Error> {
        let start = Instant::now();
        let end = start + ROUND_DURATION;
        let round_seed = self.options.seed ^ round << 16;
        let start_load = |node: &NodeProcess, number: u64, start: Instant| {
            let window = TimeWindow { start, end };
            let load = shop::load(RATE, CONNECTIONS, round_seed ^ number, window);
            LoadGenerator::start(node.addr, &load)
        };
        let mut generators: Vec<LoadGenerator> = self
            .nodes
            .iter()
            .zip(0..)
            .map(|(node, number)| start_load(node, number, start))
            .collect();
        std::thread::sleep(Duration::from_millis(self.random.u64(500..1_500)));
        self.random.shuffle(&mut self.nodes);
        for _ in 0..RESTARTS_PER_ROUND {
            // The old process has exited before the new one starts, but its calls may continue at the dependencies.
            let mut old = self.nodes.remove(0);
            self.restarted += usize::from(old.is_running());
            drop(old);
            let new = self.start_node()?;
            // Send load at once, while calls of the previous incarnation may still be in flight.
            let number = (NODES + generators.len()) as u64;
            generators.push(start_load(&new, number, Instant::now()));
            self.nodes.push(new);
        }
        let sent = generators.into_iter().flat_map(LoadGenerator::join);
        self.answered += sent.filter(|request| !request.answers.is_empty()).count();
        Ok(())
    }
}

pub(super) fn run(options: &Options) -> Result<Report, Error> {
    let disabled = options.disabled_safeguards(&["restart"])?;
    let dependencies = shop::start_dependencies(options.seed)?;
    let mut rounds = RestartRounds {
        options,
        operator_text: shop::operator_text(&dependencies, NODES, &disabled),
        random: fastrand::Rng::with_seed(options.seed),
        nodes: Vec::new(),
        answered: 0,
        restarted: 0,
    };
    for _ in 0..NODES {
        let node = rounds.start_node()?;
        rounds.nodes.push(node);
    }
    std::thread::sleep(shop::POST_CANCEL_GRACE);
    // Slow dependencies make nodes reach their limits, and leave calls running after their node was killed.
    for dependency in &dependencies {
        dependency.set_fault(Fault::Slow(SLOWDOWN));
    }
    for round in 0..ROUNDS as u64 {
        rounds.run_round(round)?;
    }
    Ok(report(&rounds, &dependencies))
}

fn report(rounds: &RestartRounds, dependencies: &[FakeDependency]) -> Report {
    let max_in_flight = |dependency: &FakeDependency| dependency.counts().max_in_flight;
    let max = dependencies.iter().map(max_in_flight).max();
    let expected_restarts = (ROUNDS * RESTARTS_PER_ROUND) as f64;
    let mut report = Report::default();
    report.check_at_least("reqs answered", rounds.answered as f64, MIN_ANSWERED);
    report.check_at_least(
        "nodes restarted",
        rounds.restarted as f64,
        expected_restarts,
    );
    report.check_at_most(
        "calls held at a dependency",
        max.unwrap_or_default() as f64,
        CEILING as f64,
    );
    for (name, dependency) in shop::DEPENDENCY_NAMES.iter().zip(dependencies) {
        report.figure(&format!("most held at {name}"), max_in_flight(dependency));
    }
    report
}
