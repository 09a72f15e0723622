//! Half of the nodes are killed and started again while their calls are out: what a dependency holds stays under
//! its ceiling.
use super::shop::{self, CEILING, TIMEOUT};
use crate::fleet::Node;
use crate::load::{Callers, Mix};
use crate::outcome::Outcome;
use crate::Usage;
use cottondyke_test_support::fake_dependency::Fault;
use std::io;
use std::time::{Duration, Instant};

const NODES: usize = 4;
const ROUNDS: usize = 6;
const CONNECTIONS: u64 = 2;

pub fn play(usage: &Usage) -> io::Result<Outcome> {
    let off = usage.off(&["restart"])?;
    let dependencies = shop::dependencies(usage.seed)?;
    let script = shop::script(&dependencies, NODES, &off);
    let mut random = fastrand::Rng::with_seed(usage.seed);
    let start_node = || Node::start(&script, usage.verbose);
    let mut nodes: Vec<Node> = (0..NODES)
        .map(|_| start_node())
        .collect::<io::Result<_>>()?;
    std::thread::sleep(shop::LINGER);
    // Slow, so that limits are reached and calls go on when their node is gone.
    dependencies
        .iter()
        .for_each(|d| d.set_fault(Fault::Slow(3)));
    let mix = Mix {
        handler: "browse",
        rate: 80.0,
        bodies: 200,
        tag: 0,
    };
    let (mut answered, mut restarted) = (0, 0);
    for round in 0..ROUNDS as u64 {
        let start = Instant::now();
        let end = start + Duration::from_secs(2);
        let call = |node: &Node, place: u64, from: Instant| {
            let seed = usage.seed ^ round << 16 ^ place;
            Callers::start(node.addr, &mix, CONNECTIONS, seed, (from, end), TIMEOUT)
        };
        let mut callers: Vec<_> = nodes
            .iter()
            .zip(0..)
            .map(|(node, place)| call(node, place, start))
            .collect();
        std::thread::sleep(Duration::from_millis(random.u64(500..1_500)));
        random.shuffle(&mut nodes);
        // An old process is gone before the new one starts; its calls may go on.
        for _ in 0..NODES / 2 {
            let mut old = nodes.remove(0);
            restarted += usize::from(old.alive());
            drop(old);
            let new = start_node()?;
            // Its callers come at once, while calls of its former life may still be held.
            callers.push(call(&new, (NODES + callers.len()) as u64, Instant::now()));
            nodes.push(new);
        }
        let sent = callers.into_iter().flat_map(Callers::join);
        answered += sent.filter(|s| !s.heard.is_empty()).count();
    }
    let mut outcome = Outcome::default();
    let most = dependencies
        .iter()
        .map(|d| d.counts().max_in_flight)
        .max()
        .unwrap_or_default();
    outcome.at_least("reqs answered", answered as f64, 200.0);
    outcome.at_least(
        "nodes restarted",
        restarted as f64,
        (ROUNDS * NODES / 2) as f64,
    );
    outcome.at_most("calls held at a dependency", most as f64, CEILING as f64);
    for (name, dependency) in shop::NAMES.iter().zip(&dependencies) {
        outcome.figure(
            &format!("most held at {name}"),
            dependency.counts().max_in_flight,
        );
    }
    Ok(outcome)
}
