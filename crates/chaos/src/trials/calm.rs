//! Nothing wrong: what a page costs, beside one that calls the same three with no limits, breakers or budgets.
use super::shop::{self, TIMEOUT};
use crate::fleet::Node;
use crate::load::{Callers, Mix};
use crate::outcome::Outcome;
use crate::Usage;
use std::io;
use std::time::{Duration, Instant};

const CONNECTIONS: u64 = 4;
const RATE: f64 = 100.0;
const ROUNDS: usize = 4;

/// Core time a page in milliseconds, and how many answers were not whole.
fn measured(node: &Node, seed: u64, seconds: f64) -> io::Result<(f64, usize, usize)> {
    let start = Instant::now() + Duration::from_millis(50);
    let end = start + Duration::from_secs_f64(seconds);
    let mix = Mix {
        handler: "browse",
        rate: RATE,
        bodies: 200,
        tag: 0,
    };
    let before = node.cpu()?;
    let sent = Callers::start(
        node.addr,
        &mix,
        CONNECTIONS,
        seed,
        (start, end),
        TIMEOUT / 2,
    )
    .join();
    let used = node.cpu()? - before;
    let worth: Vec<_> = sent.iter().map(shop::worth).collect();
    let whole = worth
        .iter()
        .filter(|w| w.done && !w.partial && !w.late && w.answers == 1)
        .count();
    Ok((
        used * 1_000.0 / worth.len().max(1) as f64,
        worth.len() - whole,
        worth.len(),
    ))
}

pub fn play(usage: &Usage) -> io::Result<Outcome> {
    usage.off(&[])?;
    let seconds = usage.seconds.unwrap_or(24) as f64 / (2 * ROUNDS) as f64;
    let dependencies = shop::dependencies(usage.seed)?;
    let with = Node::start(&shop::script(&dependencies, 1, &[]), usage.verbose)?;
    let all_off = [
        "budget", "limit", "adapt", "breaker", "hedge", "kept", "fallback",
    ];
    let without = Node::start(&shop::script(&dependencies, 1, &all_off), usage.verbose)?;
    std::thread::sleep(shop::LINGER + Duration::from_millis(500));
    let (mut costs, mut bare, mut not_whole, mut pages) = (Vec::new(), Vec::new(), 0, 0);
    for round in 0..ROUNDS as u64 {
        let (cost, wrong, count) = measured(&with, usage.seed ^ round, seconds)?;
        costs.push(cost);
        (not_whole, pages) = (not_whole + wrong, pages + count);
        bare.push(measured(&without, usage.seed ^ round, seconds)?.0);
    }
    let middle = |costs: &mut Vec<f64>| {
        costs.sort_by(f64::total_cmp);
        (costs[ROUNDS / 2 - 1] + costs[ROUNDS / 2]) / 2.0
    };
    let (cost, bare) = (middle(&mut costs), middle(&mut bare));
    let mut outcome = Outcome::default();
    outcome.at_least("pages", pages as f64, 100.0);
    outcome.at_most("answers not whole", not_whole as f64, 0.0);
    outcome.at_most("core time a page beside bare calls", cost / bare, 1.1);
    outcome.figure("core ms a page", cost);
    outcome.figure("core ms a page of bare calls", bare);
    outcome.figure("resident kB", with.memory()?);
    Ok(outcome)
}
