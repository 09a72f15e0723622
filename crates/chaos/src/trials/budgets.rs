//! Eight instances in three zones that share one dependency's ceiling, while links are cut and stall and processes
//! are stopped, killed and lose their disks; beside them the same fleet with fixed parts. Calls are counted at the
//! dependency.
use crate::fleet::Node;
use crate::load::{Callers, Mix, Sent};
use crate::outcome::{Cores, Outcome};
use crate::Usage;
use cottondyke_test_support::fake_dependency::{FakeDependency, FakeDependencyConfig, Fault};
use cottondyke_test_support::faulty_link::{FaultyLink, LinkState};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::io;
use std::path::PathBuf;
use std::time::{Duration, Instant};

const NODES: usize = 8;
const KEEPERS: usize = 3;
const ZONES: usize = 3;
const CEILING: u64 = 24;
/// Calls a second of the metered dependency.
const METERED: usize = 60;
/// Reqs for it, as a part of those for the shared one.
const METERED_PART: f64 = 0.4;
const METERED_MOST: f64 = 50.0;
const TARGET: Duration = Duration::from_millis(900);
const TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long calls may go on that were given up, as the file says; the stand-in is built to less, since its own threads
/// may have to wait for a core.
const LINGER: Duration = Duration::from_millis(400);
const LEASE: Duration = Duration::from_secs(2);
/// Reqs a second of each fleet, of which two nodes get this part each, and each node's beside them.
const RATE: f64 = 300.0;
const HOT: f64 = 0.4;
const PLAIN: f64 = 4.0;
/// Reqs a second of each node where all are to use what they may.
const FULL: f64 = 70.0;
const CONNECTIONS: u64 = 2;
const SEGMENT: Duration = Duration::from_millis(1_500);
/// The phases, in seconds from when the load begins: calm, faults, a zone cut off, quiet, and full use at the end.
const FAULTS: f64 = 6.0;
const ZONE: f64 = 19.5;
const QUIET: f64 = 25.5;
const LAST: f64 = 31.0;
const END: f64 = 33.0;
/// Reqs without an answer in time that are shown one by one.
const MOST_SHOWN: usize = 8;
const DEFENCES: [&str; 4] = ["lease", "fence", "linger", "need"];
/// The node whose words come late once, when it asks for little, and how late.
const LATE: usize = NODES - 1;
const LATE_AT: f64 = 18.2;
const LATE_BY: Duration = Duration::from_millis(4_400);
/// From then on all others use what they may, so that it has next to nothing.
const CROWDED: f64 = LATE_AT - 3.0;
/// Who dials whom in a cut of one direction: words to the keepers are lost, or answers of theirs.
const NAMES: [&str; 9] = ["n0", "n1", "n2", "n3", "n4", "n5", "n6", "n7", "n8"];

#[derive(Clone, Copy, Debug, PartialEq)]
enum Kind {
    Cut,
    OneWay(bool),
    Stall,
    Stop,
    Kill,
    DiskLost,
    /// Drains and ends, and joins again later.
    Leave,
}

#[derive(Clone, Copy, Debug)]
struct Trouble {
    node: usize,
    kind: Kind,
    from: f64,
    until: f64,
}

/// At least five, two and more at a time; at most one keeper is in trouble at a time.
fn drawn(random: &mut fastrand::Rng) -> Vec<Trouble> {
    let mut nodes: Vec<usize> = (KEEPERS..LATE).collect();
    random.shuffle(&mut nodes);
    let keeper = random.usize(0..KEEPERS);
    nodes.truncate(4);
    nodes.insert(random.usize(0..=nodes.len()), keeper);
    let kind = |random: &mut fastrand::Rng| match random.u8(0..8) {
        0 => Kind::Cut,
        1 => Kind::OneWay(random.bool()),
        2 => Kind::Stall,
        3 | 4 => Kind::Stop,
        5 => Kind::Kill,
        6 => Kind::Leave,
        _ => Kind::DiskLost,
    };
    let trouble = |(number, node): (usize, usize)| {
        let from = FAULTS + number as f64 * 1.7 + random.f64();
        let until = (from + 2.5 + random.f64() * 3.5).min(ZONE - 1.0);
        Trouble {
            node,
            kind: kind(random),
            from,
            until,
        }
    };
    nodes.into_iter().enumerate().map(trouble).collect()
}

struct Fleet {
    lent: bool,
    off: Vec<String>,
    nodes: Vec<Option<Node>>,
    /// By who dials and who is dialled.
    links: BTreeMap<(usize, usize), FaultyLink>,
    folders: Vec<PathBuf>,
    shared: FakeDependency,
    local: FakeDependency,
    metered: FakeDependency,
    /// When each node was away, from and until.
    away: Vec<(usize, Instant, Instant)>,
    verbose: bool,
}

impl Fleet {
    fn start(lent: bool, off: &[&str], usage: &Usage) -> io::Result<Self> {
        let shape = |place: u64, concurrency_limit| FakeDependencyConfig {
            mean_latency: Duration::from_millis(60),
            concurrency_limit,
            post_cancel_duration: LINGER.mul_f64(0.5),
            seed: usage.seed.wrapping_mul(31).wrapping_add(place),
        };
        let base =
            std::env::temp_dir().join(format!("cottondyke-lab-{}-budgets", std::process::id()));
        let mut fleet = Fleet {
            lent,
            off: off.iter().map(|name| name.to_string()).collect(),
            nodes: Vec::new(),
            links: BTreeMap::new(),
            folders: NAMES.iter().map(|name| base.join(name)).collect(),
            shared: FakeDependency::start(shape(0, CEILING))?,
            local: FakeDependency::start(shape(1, 1_000))?,
            metered: FakeDependency::start(shape(2, 1_000))?,
            away: Vec::new(),
            verbose: usage.verbose,
        };
        if lent {
            for (from, to) in
                (0..NAMES.len()).flat_map(|from| (0..KEEPERS).map(move |to| (from, to)))
            {
                fleet.links.insert((from, to), FaultyLink::start()?);
            }
        }
        for place in 0..NODES {
            fleet.nodes.push(None);
            fleet.begin(place)?;
        }
        Ok(fleet)
    }

    fn script(&self, place: usize) -> String {
        let mut text = String::from("fleet(kept_mb = 1");
        if self.lent {
            let keepers = (0..KEEPERS)
                .map(|to| format!("\"{}\": \"{}\"", NAMES[to], self.links[&(place, to)].addr));
            let keepers = keepers.collect::<Vec<_>>().join(", ");
            let _ = write!(
                text,
                ")\npeers(name = \"{}\", zone = \"z{}\", listen = \"127.0.0.1:0\", keepers = {{{keepers}}}, data = {:?}, \
                 lease = \"{}ms\", longest_stop = \"7s\")\n",
                NAMES[place],
                place % ZONES,
                self.folders[place].display().to_string(),
                LEASE.as_millis()
            );
        } else {
            let _ = writeln!(text, ", instances = {NODES})");
        }
        let (target, timeout) = (TARGET.as_millis(), TIMEOUT.as_millis());
        let _ = write!(
            text,
            "serve(listen = \"127.0.0.1:0\", at_once = 64, sockets = 1024, stop = \"2s\")\n\
             browse = handler(\"browse\", effect = \"replayable\", response_target = \"{target}ms\", client_timeout = \"{timeout}ms\")\n\
             plain = handler(\"plain\", effect = \"replayable\", response_target = \"{target}ms\", client_timeout = \"{timeout}ms\")\n\
             dependency(\"shared\", addr = \"{}\", budget = \"600ms\", ceiling = {CEILING}, waiting = 4, linger = \"{}ms\", replies = \"json\")\n\
             dependency(\"local\", addr = \"{}\", budget = \"400ms\", ceiling = 24, ceiling_of = \"instance\", replies = \"json\")\n\
             metered = handler(\"metered\", effect = \"replayable\", response_target = \"{target}ms\", client_timeout = \"{timeout}ms\")\n\
             dependency(\"metered\", addr = \"{}\", budget = \"400ms\", ceiling = 64, rate = {METERED}, linger = \"{}ms\", replies = \"json\")\n\
             page(metered, parts = [part(\"metered\", required = True)])\n\
             page(browse, parts = [part(\"shared\", required = True)])\n\
             page(plain, parts = [part(\"local\", required = True)])\n",
            self.shared.addr,
            LINGER.as_millis(),
            self.local.addr,
            self.metered.addr,
            LINGER.as_millis(),
        );
        // What adapts to a dependency's state would blur what the budgets do.
        let fixed = ["adapt", "breaker", "hedge"].map(String::from);
        let off: Vec<&String> = fixed
            .iter()
            .chain(self.off.iter().filter(|_| self.lent))
            .collect();
        let _ = writeln!(text, "defences(off = {off:?})");
        text
    }

    fn begin(&mut self, place: usize) -> io::Result<()> {
        let node = Node::start(&self.script(place), self.verbose && self.lent)?;
        if place < KEEPERS && self.lent {
            self.links
                .iter()
                .filter(|((_, to), _)| *to == place)
                .for_each(|(_, link)| link.set_target(node.peers));
        }
        self.nodes[place] = Some(node);
        Ok(())
    }

    /// Whether a node says that it leads; asked for the schedule alone, no check rests on it.
    fn leads(&self, place: usize) -> bool {
        let view = self.nodes[place].as_ref().and_then(Node::view);
        view.is_some_and(|view| view["leads"] == true)
    }

    /// The links of a node to others, with whether it is the one who dials.
    fn around(&self, place: usize) -> impl Iterator<Item = (bool, &FaultyLink)> {
        let of = self
            .links
            .iter()
            .filter(move |((from, to), _)| (*from == place) != (*to == place));
        of.map(move |((from, _), link)| (*from == place, link))
    }

    fn trouble(&mut self, trouble: &Trouble, begins: bool) -> io::Result<()> {
        let place = trouble.node;
        let now = Instant::now();
        match (trouble.kind, begins) {
            (Kind::Cut, begins) => {
                let way = if begins {
                    LinkState::Partitioned
                } else {
                    LinkState::Open
                };
                self.around(place)
                    .for_each(|(_, link)| link.set_directions(way, way));
            }
            (Kind::OneWay(out), begins) => {
                // Words that it sends, or words that come to it.
                for (dials, link) in self.around(place) {
                    let (forth, back) = if dials == out {
                        (LinkState::Partitioned, LinkState::Open)
                    } else {
                        (LinkState::Open, LinkState::Partitioned)
                    };
                    if begins {
                        link.set_directions(forth, back)
                    } else {
                        link.set_directions(LinkState::Open, LinkState::Open)
                    }
                }
            }
            (Kind::Stall, begins) => {
                let way = if begins {
                    LinkState::Stalled
                } else {
                    LinkState::Open
                };
                self.around(place)
                    .for_each(|(_, link)| link.set_directions(way, way));
            }
            (Kind::Stop, begins) => {
                if let Some(node) = &self.nodes[place] {
                    node.stop(begins);
                }
                self.mark(place, now, begins);
            }
            (Kind::Kill | Kind::DiskLost, true) => {
                self.nodes[place] = None;
                self.mark(place, now, true);
                if trouble.kind == Kind::DiskLost && self.lent {
                    let _ = std::fs::remove_dir_all(&self.folders[place]);
                }
            }
            (Kind::Leave, true) => {
                self.nodes[place].iter().for_each(Node::leave);
                self.mark(place, now, true);
            }
            (Kind::Kill | Kind::DiskLost | Kind::Leave, false) => {
                self.begin(place)?;
                self.mark(place, Instant::now(), false);
            }
        }
        Ok(())
    }

    fn mark(&mut self, place: usize, now: Instant, goes: bool) {
        if goes {
            self.away
                .push((place, now, now + Duration::from_secs(3_600)));
        } else if let Some(last) = self.away.iter_mut().rev().find(|(of, ..)| *of == place) {
            last.2 = now;
        }
    }

    /// Whether the node was there from before a req was due until it had to be answered.
    fn there(&self, place: usize, due: Instant) -> bool {
        let end = due + TIMEOUT;
        !self.away.iter().any(|(of, from, until)| {
            *of == place && due < *until + Duration::from_millis(50) && end > *from
        })
    }

    fn call(
        &self,
        place: usize,
        handler: &'static str,
        rate: f64,
        span: (Instant, Instant),
        seed: u64,
    ) -> Option<Callers> {
        let node = self.nodes[place].as_ref()?;
        let mix = Mix {
            handler,
            rate,
            bodies: 200,
            tag: place as u64,
        };
        let connections = if rate > 20.0 { CONNECTIONS } else { 1 };
        Some(Callers::start(
            node.addr,
            &mix,
            connections,
            seed ^ place as u64,
            span,
            TIMEOUT,
        ))
    }

    /// Calls held at the shared dependency by some nodes, in seconds since it began.
    fn in_flight_seconds(&self, of: impl Fn(usize) -> bool) -> f64 {
        let counts = self.shared.counts();
        let tag = |tag: &str| usize::from_str_radix(tag, 16).unwrap_or(usize::MAX);
        counts
            .in_flight_seconds
            .iter()
            .filter(|(t, _)| of(tag(t)))
            .map(|(_, seconds)| seconds)
            .sum()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.nodes.clear();
        if self.lent {
            for folder in &self.folders {
                let _ = std::fs::remove_dir_all(folder);
            }
            let _ = self.folders[0].parent().map(std::fs::remove_dir);
        }
    }
}

/// What was sent to one node of one fleet in one segment.
struct Batch {
    fleet: usize,
    place: usize,
    handler: &'static str,
    callers: Callers,
}

fn value(sent: &Sent) -> f64 {
    match sent.heard.first() {
        Some((at, heard)) if heard.code == 1 => {
            let took = at.saturating_duration_since(sent.due);
            if took <= TARGET {
                1.0
            } else {
                0.2
            }
        }
        _ => 0.0,
    }
}

pub fn play(usage: &Usage) -> io::Result<Outcome> {
    let off = usage.off(&DEFENCES)?;
    let mut random = fastrand::Rng::with_seed(usage.seed);
    let troubles = drawn(&mut random);
    let mut fleets = [
        Fleet::start(true, &off, usage)?,
        Fleet::start(false, &off, usage)?,
    ];
    // The registry is founded, and grants nothing for a lease and the longest call.
    std::thread::sleep(LEASE + LINGER + Duration::from_millis(3_000));
    let cores = Cores::watch();
    let start = Instant::now();
    let at = |seconds: f64| start + Duration::from_secs_f64(seconds);
    let mut batches: Vec<Batch> = Vec::new();
    let mut events: Vec<(f64, usize, bool)> = Vec::new();
    for (number, trouble) in troubles.iter().enumerate() {
        events.push((trouble.from, number, true));
        events.push((trouble.until, number, false));
    }
    events.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut events = events.into_iter().peekable();
    let (mut segment, mut late) = (start, false);
    let (mut cut, mut cut_from, mut side, mut zone) = (0, 0.0, 0.0, ZONES - 1);
    let (mut last_from, mut last) = (None, 0.0);
    while Instant::now() < at(END) {
        let now = Instant::now();
        while let Some((_, number, begins)) = events.next_if(|(due, ..)| now >= at(*due)) {
            for fleet in &mut fleets {
                fleet.trouble(&troubles[number], begins)?;
            }
        }
        if now >= segment && segment < at(END) {
            let span = (now, (segment + SEGMENT).min(at(END)));
            let seconds = now.saturating_duration_since(start).as_secs_f64();
            let full = seconds >= ZONE - 0.1;
            // Before its words come late the node needs little.
            let hot = [random.usize(0..NODES), random.usize(0..NODES)];
            let seed = random.u64(..);
            for (number, fleet) in fleets.iter().enumerate() {
                for place in 0..NODES {
                    let cold = RATE * (1.0 - 2.0 * HOT) / NODES as f64;
                    let heat = hot.iter().filter(|h| **h == place).count() as f64;
                    let metered = if full { 10.0 } else { METERED_MOST };
                    let rate = match () {
                        _ if full => FULL,
                        _ if seconds >= CROWDED && place == LATE => 1.0,
                        _ if seconds >= CROWDED => FULL * 2.0,
                        _ => cold + heat * RATE * HOT,
                    };
                    let kinds = [
                        ("browse", rate),
                        ("plain", PLAIN),
                        ("metered", (rate * METERED_PART).min(metered)),
                    ];
                    for (kind, (handler, rate)) in (0u64..).zip(kinds) {
                        let callers = fleet.call(place, handler, rate, span, seed ^ kind << 32);
                        batches.extend(callers.map(|callers| Batch {
                            fleet: number,
                            place,
                            handler,
                            callers,
                        }));
                    }
                }
            }
            segment += SEGMENT;
        }
        if !late && now >= at(LATE_AT) {
            late = true;
            let of = fleets[0]
                .links
                .iter()
                .filter(|((from, _), _)| *from == LATE);
            of.for_each(|(_, link)| link.deliver_late(LATE_BY));
        }
        // A zone with one keeper is cut off, and all use what they may.
        let majority = move |place: usize| place < NODES && place % ZONES != zone;
        if cut == 0 && now >= at(ZONE) {
            cut = 1;
            // Not the zone of the leader: a new one counts all leases anew, and would show nothing of the old ones' ends.
            zone = if fleets[0].leads(ZONES - 1) {
                0
            } else {
                ZONES - 1
            };
            fleets
                .iter()
                .for_each(|fleet| fleet.shared.set_fault(Fault::Slow(4)));
            for ((from, to), link) in &fleets[0].links {
                if (from % ZONES == zone) != (to % ZONES == zone) {
                    link.set_directions(LinkState::Partitioned, LinkState::Partitioned);
                }
            }
        }
        if cut == 1 && now >= at(ZONE + 1.5) {
            (cut, cut_from) = (2, fleets[0].in_flight_seconds(majority));
        }
        if cut == 2 && now >= at(QUIET) {
            cut = 3;
            fleets
                .iter()
                .for_each(|fleet| fleet.shared.set_fault(Fault::Slow(2)));
            side = (fleets[0].in_flight_seconds(majority) - cut_from) / (QUIET - ZONE - 1.5);
            fleets[0]
                .links
                .values()
                .for_each(|link| link.set_directions(LinkState::Open, LinkState::Open));
        }
        if last_from.is_none() && now >= at(LAST) {
            last_from = Some(fleets[0].in_flight_seconds(|_| true));
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    if let Some(from) = last_from {
        last = (fleets[0].in_flight_seconds(|_| true) - from) / (END - LAST);
    }
    let mut late: Vec<String> = Vec::new();
    let (mut values, mut calm, mut metered) = ([0.0; 2], [0.0; 2], [0.0; 2]);
    let (mut lost, mut twice, mut plain, mut plain_good, mut sent) = (0, 0, 0, 0, 0);
    for Batch {
        fleet,
        place,
        handler,
        callers,
    } in batches
    {
        for req in callers.join() {
            let seconds = req.due.saturating_duration_since(start).as_secs_f64();
            if handler == "browse" && seconds < CROWDED {
                values[fleet] += value(&req);
                calm[fleet] += if seconds < FAULTS { value(&req) } else { 0.0 };
            }
            if handler == "metered" && seconds < CROWDED {
                metered[fleet] += value(&req);
            }
            if fleet != 0 {
                continue;
            }
            sent += 1;
            twice += usize::from(req.heard.len() > 1);
            if fleets[0].there(place, req.due) {
                let in_time = req
                    .heard
                    .first()
                    .is_some_and(|(at, _)| at.saturating_duration_since(req.due) <= TIMEOUT);
                lost += usize::from(!in_time);
                if !in_time && late.len() < MOST_SHOWN {
                    let heard = req
                        .heard
                        .first()
                        .map(|(at, heard)| (*at - req.due, heard.code));
                    late.push(format!(
                        "{handler} at {} due {seconds:.2} s, heard {heard:?}",
                        NAMES[place]
                    ));
                }
                if handler == "plain" {
                    plain += 1;
                    plain_good += usize::from(value(&req) == 1.0);
                }
            }
        }
    }
    let mut outcome = Outcome::default();
    outcome.figure("without an answer in time", late);
    let most = fleets[0].shared.counts().max_in_flight;
    outcome.at_most(
        "calls held at the shared dependency",
        most as f64,
        CEILING as f64,
    );
    outcome.at_most("reqs answered twice", twice as f64, 0.0);
    // Whatever came late: with one window's calls no more than the next one's can come in a second.
    let most_a_second = fleets[0].metered.counts().max_per_second;
    outcome.at_most(
        "calls of any second at the metered dependency, late ones among them",
        most_a_second as f64,
        2.0 * METERED as f64,
    );
    outcome.needs(&cores);
    outcome.at_most(
        "calls of any second at the metered dependency",
        most_a_second as f64,
        METERED as f64,
    );
    let metered = metered[0] / f64::max(metered[1], 1.0);
    outcome.at_least(
        "value of the metered dependency beside fixed parts",
        metered,
        1.0,
    );
    outcome.at_least(
        "value beside fixed parts",
        values[0] / f64::max(values[1], 1.0),
        1.3,
    );
    outcome.at_least(
        "value beside fixed parts without faults",
        calm[0] / f64::max(calm[1], 1.0),
        1.0,
    );
    outcome.at_least(
        "part of the whole in use after the faults",
        last / CEILING as f64,
        0.9,
    );
    let fair = CEILING as f64 * (0..NODES).filter(|place| place % ZONES != zone).count() as f64
        / NODES as f64;
    outcome.at_least(
        "fair part of the side with the registry, in use while a zone is cut off",
        side / fair,
        0.9,
    );
    outcome.at_most("reqs without an answer in time", lost as f64, 0.0);
    let part = plain_good as f64 / f64::max(plain as f64, 1.0);
    outcome.at_least("reqs that use no budget, whole and in time", part, 0.99);
    outcome.at_least("reqs sent", sent as f64, 1_000.0);
    let shown: Vec<String> = troubles
        .iter()
        .map(|t| {
            format!(
                "{:?} of {} {:.1}-{:.1}",
                t.kind, NAMES[t.node], t.from, t.until
            )
        })
        .collect();
    outcome.figure("troubles", shown);
    outcome.figure("value", values[0]);
    outcome.figure("value of fixed parts", values[1]);
    outcome.figure(
        "most held under fixed parts",
        fleets[1].shared.counts().max_in_flight,
    );
    outcome.figure("most held", most);
    Ok(outcome)
}
