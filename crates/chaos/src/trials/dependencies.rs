//! Three nodes and four dependencies that fail singly and together, near capacity. Beside the fleet on trial run
//! two others on the same schedule: one without fall-backs, one with fixed limits and no breaker.
use super::shop::{self, Worth, CEILING, RETRIES, TIMEOUT};
use crate::fleet::Node;
use crate::load::{Callers, Mix, Sent};
use crate::outcome::Outcome;
use crate::Usage;
use cottondyke_test_support::fake_dependency::{FakeDependency, Fault};
use std::io;
use std::time::{Duration, Instant};

const NODES: usize = 3;
const CONNECTIONS: u64 = 4;
/// Reqs a second at each node: the dependencies can answer some 125 a second of each node's.
const RATE: f64 = 90.0;
const CALM: f64 = 2.5;
const FAULT: f64 = 2.75;
const REST: f64 = 2.25;
const LAST_REST: f64 = 3.0;
/// What a dependency survives in the spell before the last.
const WEAK: u64 = CEILING / 3;
/// Every call in so many straggles in the last spell.
const STRAGGLER: u32 = 60;
const DEFENCES: [&str; 7] = [
    "budget", "limit", "adapt", "breaker", "hedge", "kept", "fallback",
];

/// One stretch of the schedule: when, from the start of the load, and what each dependency does wrong.
struct Spell {
    from: f64,
    to: f64,
    faults: Vec<(usize, Fault)>,
}

fn schedule(random: &mut fastrand::Rng, seconds: f64) -> Vec<Spell> {
    let late = Duration::from_millis(270);
    let mut kinds = vec![
        Fault::Hang,
        Fault::Slow(6),
        Fault::Reset,
        Fault::FixedLatency(late),
        Fault::Corrupt,
        Fault::Fail,
    ];
    random.shuffle(&mut kinds);
    let mut kinds = kinds.into_iter().cycle();
    let mut spells = Vec::new();
    let mut from = CALM;
    // One, two and all three together, each at least once.
    let mut together = vec![1, 3, 2, 2];
    random.shuffle(&mut together);
    for count in together {
        if from + 3.0 * FAULT + 2.0 * REST + LAST_REST > seconds && !spells.is_empty() {
            break;
        }
        let mut places = vec![0, 1, 2];
        random.shuffle(&mut places);
        let faults = places[..count]
            .iter()
            .zip(&mut kinds)
            .map(|(place, fault)| (*place, fault));
        spells.push(Spell {
            from,
            to: from + FAULT,
            faults: faults.collect(),
        });
        from += FAULT + REST;
    }
    // One survives a quarter of what it should: the more it holds, the less it does.
    spells.push(Spell {
        from,
        to: from + FAULT,
        faults: vec![(random.usize(0..3), Fault::Overloaded(WEAK))],
    });
    from += FAULT + REST;
    // Last, no dependency fails, but some calls of all three take ten times their time.
    let faults = (0..3)
        .map(|place| (place, Fault::LatencyOutliers(STRAGGLER)))
        .collect();
    spells.push(Spell {
        from,
        to: from + FAULT,
        faults,
    });
    spells
}

struct Fleet {
    nodes: Vec<Node>,
    dependencies: Vec<FakeDependency>,
}

fn fleet(seed: u64, off: &[&str], verbose: bool) -> io::Result<Fleet> {
    let dependencies = shop::dependencies(seed)?;
    let script = shop::script(&dependencies, NODES, off);
    let nodes = (0..NODES)
        .map(|_| Node::start(&script, verbose))
        .collect::<io::Result<_>>()?;
    Ok(Fleet {
        nodes,
        dependencies,
    })
}

/// All reqs of a fleet, with the time when each was due from the start.
struct Story(Vec<(f64, Worth)>);

impl Story {
    fn of(sent: Vec<Sent>, start: Instant) -> Self {
        let mut all: Vec<_> = sent
            .iter()
            .map(|s| {
                (
                    s.due.saturating_duration_since(start).as_secs_f64(),
                    shop::worth(s),
                )
            })
            .collect();
        all.sort_by(|a, b| a.0.total_cmp(&b.0));
        Story(all)
    }

    fn count(&self, is: impl Fn(&Worth) -> bool) -> f64 {
        self.0.iter().filter(|(_, w)| is(w)).count() as f64
    }

    fn value(&self) -> f64 {
        self.0.iter().map(|(_, w)| w.value).sum()
    }

    fn within(&self, from: f64, to: f64) -> impl Iterator<Item = &Worth> {
        self.0
            .iter()
            .filter(move |(at, _)| (from..to).contains(at))
            .map(|(_, w)| w)
    }

    /// The part answered whole and in time of what was due within a stretch.
    fn whole(&self, from: f64, to: f64) -> f64 {
        let (mut all, mut whole) = (0.0, 0.0);
        for worth in self.within(from, to) {
            all += 1.0;
            whole += f64::from(u8::from(worth.done && !worth.partial && !worth.late));
        }
        if all > 0.0 {
            whole / all
        } else {
            0.0
        }
    }

    /// How long after `from` 0.95 of the reqs of a quarter of a second are answered whole, from then to `until`.
    fn whole_again(&self, from: f64, until: f64) -> f64 {
        const SLOT: f64 = 0.25;
        let slots = ((until - from) / SLOT) as usize;
        let whole = |slot: usize| {
            let at = from + slot as f64 * SLOT;
            self.whole(at, at + SLOT) >= 0.95
        };
        let first = (0..slots).find(|slot| whole(*slot));
        first.map_or(until - from + 10.0, |slot| slot as f64 * SLOT)
    }
}

pub fn play(usage: &Usage) -> io::Result<Outcome> {
    let off = usage.off(&DEFENCES)?;
    let seconds = usage.seconds.unwrap_or(36) as f64;
    let mut random = fastrand::Rng::with_seed(usage.seed);
    let spells = schedule(&mut random, seconds);
    let fleets = [
        fleet(usage.seed, &off, usage.verbose)?,
        fleet(usage.seed, &["fallback"], false)?,
        fleet(usage.seed, &["adapt", "breaker"], false)?,
    ];
    // A node makes no call until what its former life may have left there is over.
    let start = Instant::now() + shop::LINGER + Duration::from_millis(500);
    let end = start + Duration::from_secs_f64(spells.last().map_or(CALM, |s| s.to) + LAST_REST);
    let mix = Mix {
        handler: "browse",
        rate: RATE,
        bodies: 200,
        tag: 0,
    };
    let callers = fleets.iter().map(|fleet| {
        let nodes = fleet.nodes.iter().zip(0u64..);
        let of = nodes.map(|(node, place)| {
            let seed = usage.seed ^ place << 32;
            Callers::start(
                node.addr,
                &mix,
                CONNECTIONS,
                seed,
                (start, end),
                TIMEOUT + TIMEOUT,
            )
        });
        of.collect::<Vec<_>>()
    });
    let callers: Vec<_> = callers.collect();
    for spell in &spells {
        let at = |seconds: f64| start + Duration::from_secs_f64(seconds);
        std::thread::sleep(at(spell.from).saturating_duration_since(Instant::now()));
        for fleet in &fleets {
            spell
                .faults
                .iter()
                .for_each(|(place, fault)| fleet.dependencies[*place].set_fault(*fault));
        }
        std::thread::sleep(at(spell.to).saturating_duration_since(Instant::now()));
        for fleet in &fleets {
            spell
                .faults
                .iter()
                .for_each(|(place, _)| fleet.dependencies[*place].set_fault(Fault::None));
        }
    }
    let stories: Vec<Story> = callers
        .into_iter()
        .map(|of| Story::of(of.into_iter().flat_map(Callers::join).collect(), start))
        .collect();
    let (fleet, story) = (&fleets[0], &stories[0]);
    let all = story.0.len() as f64;
    let mut outcome = Outcome::default();
    outcome.at_least("reqs sent", all, RATE * NODES as f64 * 10.0);
    outcome.at_most(
        "reqs without exactly one answer",
        story.count(|w| w.answers != 1),
        0.0,
    );
    outcome.at_most(
        "reqs answered after their due time",
        story.count(|w| w.lost),
        0.0,
    );
    outcome.at_most(
        "part of answers past the response target",
        story.count(|w| w.late) / all,
        0.01,
    );
    outcome.at_most(
        "answers that are not what their head says",
        story.count(|w| w.lied),
        0.0,
    );
    let most = fleet
        .dependencies
        .iter()
        .map(|d| d.counts().max_in_flight)
        .max()
        .unwrap_or_default();
    outcome.at_most("calls held at a dependency", most as f64, CEILING as f64);
    let ratio = |other: &Story| story.value() / other.value().max(1.0);
    outcome.at_least("value beside no fall-backs", ratio(&stories[1]), 1.5);
    outcome.over(
        "value beside fixed limits and no breaker",
        ratio(&stories[2]),
        1.0,
    );
    let ends = spells.iter().enumerate().map(|(place, spell)| {
        let until = spells
            .get(place + 1)
            .map_or(spell.to + LAST_REST, |next| next.from);
        story.whole_again(spell.to, until)
    });
    outcome.at_most(
        "seconds until 0.95 are whole again",
        ends.fold(0.0, f64::max),
        5.0,
    );
    for (name, dependency) in shop::NAMES.iter().zip(&fleet.dependencies) {
        let counts = dependency.counts();
        outcome.figure(&format!("calls at {name}"), counts.calls);
        outcome.figure(&format!("extra calls at {name}"), counts.extra);
        outcome.figure(&format!("most held at {name}"), counts.max_in_flight);
    }
    let extra = fleet.dependencies.iter().map(|d| d.counts()).map(|c| {
        let first = c.calls - c.extra;
        c.extra as f64 / (first as f64).max(1.0)
    });
    outcome.at_most(
        "extra calls as a part of first ones",
        extra.fold(0.0, f64::max),
        RETRIES,
    );
    let stretch = |spell: &Spell| story.whole(spell.from + 0.5, spell.to);
    if let [.., weak, straggling] = spells.as_slice() {
        outcome.figure("part whole while one is weak", stretch(weak));
        outcome.at_least("part whole while calls straggle", stretch(straggling), 0.98);
    }
    outcome.at_least(
        "part whole before anything is wrong",
        story.whole(0.0, CALM - 0.5),
        1.0,
    );
    outcome.figure("reqs", all);
    outcome.figure("whole", story.count(|w| w.done && !w.partial) / all);
    outcome.figure("partial", story.count(|w| w.partial) / all);
    outcome.figure("shed or errored", story.count(|w| !w.done) / all);
    outcome.figure("value a req", story.value() / all);
    outcome.figure("value a req without fall-backs", stories[1].value() / all);
    outcome.figure(
        "value a req with fixed limits and no breaker",
        stories[2].value() / all,
    );
    let spells = spells.iter().map(|s| {
        let faults = s
            .faults
            .iter()
            .map(|(place, fault)| format!("{} {fault}", shop::NAMES[*place]));
        let value = |story: &Story, from: f64, to: f64| {
            let worth: Vec<_> = story.within(from, to).collect();
            worth.iter().map(|w| w.value).sum::<f64>() / worth.len().max(1) as f64
        };
        let both = |from: f64, to: f64| {
            let [own, other] = [&stories[0], &stories[2]].map(|story| value(story, from, to));
            format!("{own:.3} (with fixed limits {other:.3})")
        };
        let faults = faults.collect::<Vec<_>>().join(", ");
        format!(
            "{faults}: value {}, after it {}",
            both(s.from, s.to),
            both(s.to, s.to + 1.5)
        )
    });
    outcome.figure("spells", spells.collect::<Vec<_>>());
    Ok(outcome)
}
