//! Members in a simulated network that delays and loses datagrams, with one clock; the tests check the member lists.
use cottondyke_membership::{
    DatagramError, Effect, Member, MemberState, MemberStatus, Membership, MembershipConfig,
    MAX_DATAGRAM_BYTES, MAX_DETECTION_PERIODS,
};
use cottondyke_types::Time;
use std::collections::BTreeMap;
use std::net::SocketAddr;

const PROBE_PERIOD: i64 = 5_000;
/// The interval at which the simulation delivers datagrams and runs the timers.
const STEP: i64 = 20;
const MIN_DELAY: i64 = 2;

struct Simulation {
    now: i64,
    random: fastrand::Rng,
    /// By index; `None` for a process that is not running.
    members: Vec<Option<Membership>>,
    /// Datagrams in transit, by arrival time and sequence number.
    datagrams: BTreeMap<(i64, u64), (SocketAddr, Vec<u8>)>,
    last_datagram: u64,
    loss: f64,
    max_extra_delay: i64,
    down_events: usize,
}

fn address(index: usize) -> SocketAddr {
    ([10, 0, (index / 250) as u8, (index % 250) as u8], 7_000).into()
}

fn index_of(address: SocketAddr) -> usize {
    let SocketAddr::V4(address) = address else {
        unreachable!()
    };
    address.ip().octets()[2] as usize * 250 + address.ip().octets()[3] as usize
}

fn member(index: usize, incarnation: u64) -> Member {
    Member {
        name: format!("n{index}"),
        zone: "z".into(),
        addr: address(index),
        incarnation,
        version: 0,
        leaving: false,
    }
}

fn membership(
    index: usize,
    incarnation: u64,
    suspicion_enabled: bool,
    random_seed: u64,
) -> Membership {
    let seeds = (0..3).map(|index| (format!("n{index}"), address(index)));
    let config = MembershipConfig {
        seeds: seeds.collect(),
        probe_period: Time(PROBE_PERIOD),
        suspicion_enabled,
        random_seed,
    };
    Membership::new(member(index, incarnation), config)
}

impl Simulation {
    fn new(seed: u64, count: usize, suspicion_enabled: bool) -> Self {
        let members = (0..count)
            .map(|index| Some(membership(index, 1, suspicion_enabled, seed ^ index as u64)));
        Simulation {
            now: 0,
            random: fastrand::Rng::with_seed(seed),
            members: members.collect(),
            datagrams: BTreeMap::new(),
            last_datagram: 0,
            loss: 0.0,
            max_extra_delay: 20,
            down_events: 0,
        }
    }

    fn perform(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Send { to, bytes } => {
                    if self.random.f64() >= self.loss {
                        self.last_datagram += 1;
                        let delay = MIN_DELAY + self.random.i64(0..=self.max_extra_delay);
                        let key = (self.now + delay, self.last_datagram);
                        self.datagrams.insert(key, (to, bytes));
                    }
                }
                Effect::MemberDown(_) => self.down_events += 1,
                Effect::MemberUp(_) | Effect::Rejoined | Effect::DuplicateName(_) => {}
            }
        }
    }

    fn run(&mut self, duration: i64) {
        let end = self.now + duration;
        while self.now < end {
            self.now += STEP;
            self.deliver_datagrams();
            self.run_timers();
        }
    }

    fn deliver_datagrams(&mut self) {
        while let Some(entry) = self
            .datagrams
            .first_entry()
            .filter(|entry| entry.key().0 <= self.now)
        {
            let (to, bytes) = entry.remove();
            if let Some(receiver) = &mut self.members[index_of(to)] {
                let outcome = receiver.handle_datagram(Time(self.now), &bytes);
                self.perform(outcome.effects);
            }
        }
    }

    fn run_timers(&mut self) {
        let now = Time(self.now);
        for index in 0..self.members.len() {
            let due = self.members[index]
                .as_mut()
                .filter(|member| member.next_timer() <= now);
            let effects = due.map_or(Vec::new(), |member| member.handle_timer(now));
            self.perform(effects);
        }
    }

    fn member(&mut self, index: usize) -> &mut Membership {
        self.members[index].as_mut().unwrap()
    }

    /// The number of other members that list this member in any state but dead.
    fn count_listing(&self, name: &str) -> usize {
        let is_listed =
            |status: &MemberStatus| status.name == name && status.state != MemberState::Dead;
        let running = self.members.iter().flatten();
        running
            .filter(|member| member.members()[1..].iter().any(is_listed))
            .count()
    }

    /// Whether each running member lists as many peers as there are other running members.
    fn lists_are_complete(&self) -> bool {
        let running = self.members.iter().flatten().count();
        let mut members = self.members.iter().flatten();
        members.all(|member| member.peer_count() == running - 1)
    }
}

/// A member that stops must be out of all lists within [`MAX_DETECTION_PERIODS`], for each seed and group size tried.
#[test]
fn removes_a_dead_member_from_all_lists_within_the_detection_time() {
    for (seed, count) in [(1, 5), (2, 8), (3, 20), (4, 60)] {
        let mut simulation = Simulation::new(seed, count, true);
        simulation.run(PROBE_PERIOD * 20);
        assert!(simulation.lists_are_complete(), "seed {seed}");
        simulation.members[4] = None;
        simulation.run(PROBE_PERIOD * MAX_DETECTION_PERIODS);
        assert_eq!(
            simulation.count_listing("n4"),
            0,
            "seed {seed}, {count} members"
        );
        assert!(simulation.lists_are_complete(), "seed {seed}");
    }
}

/// Members with bad links must not be declared dead: none is in 60 s with a fifth of all datagrams lost. Without
/// suspicion some always are.
#[test]
fn declares_no_member_dead_when_datagrams_are_lost() {
    let down_events = |suspicion_enabled| {
        let run = |seed| {
            let mut simulation = Simulation::new(seed, 8, suspicion_enabled);
            simulation.run(PROBE_PERIOD * 20);
            simulation.loss = 0.2;
            simulation.down_events = 0;
            simulation.run(600_000);
            simulation.down_events
        };
        (1..=8).map(run).sum::<usize>()
    };
    assert_eq!(down_events(true), 0);
    assert!(down_events(false) > 0);
}

/// Covers drains and restarts: a member that announces that it is leaving is listed as leaving, is removed at once when
/// it leaves, and its next incarnation is listed at once.
#[test]
fn updates_all_lists_at_once_when_a_member_leaves_and_returns() {
    let mut simulation = Simulation::new(7, 6, true);
    simulation.run(PROBE_PERIOD * 20);
    let now = Time(simulation.now);
    let effects = simulation.member(5).announce_leaving(now);
    simulation.perform(effects);
    simulation.run(PROBE_PERIOD * 2);
    let sees_leaving = |member: &Membership| {
        let statuses = member.members();
        let mut statuses = statuses.iter();
        statuses.any(|status| status.name == "n5" && status.state == MemberState::Leaving)
    };
    let mut others = simulation.members[..5].iter().flatten();
    assert!(others.all(sees_leaving));
    let now = Time(simulation.now);
    let effects = simulation.member(5).leave(now);
    simulation.perform(effects);
    simulation.members[5] = None;
    simulation.run(PROBE_PERIOD * 2);
    assert_eq!(simulation.count_listing("n5"), 0);
    simulation.members[5] = Some(membership(5, 2, true, 9));
    simulation.run(PROBE_PERIOD * 4);
    assert!(simulation.lists_are_complete());
}

/// Bytes that are truncated, too long or not a member's datagram must not change a list.
#[test]
fn changes_no_list_when_datagrams_are_garbage() {
    let mut simulation = Simulation::new(3, 5, true);
    simulation.run(PROBE_PERIOD * 20);
    let before = simulation.member(0).members();
    let now = Time(simulation.now);
    let mut random = fastrand::Rng::with_seed(5);
    for size in 0..3_000 {
        let bytes: Vec<u8> = (0..size % 1_600).map(|_| random.u8(..)).collect();
        simulation.member(0).handle_datagram(now, &bytes);
    }
    assert_eq!(simulation.member(0).members(), before);
}

/// Each reason for which a datagram is dropped must be reported as its own error.
#[test]
fn reports_why_a_datagram_is_dropped() {
    let now = Time(0);
    let mut receiver = membership(0, 1, true, 1);
    // Invalid, since no string is as long as the first bytes state. (Bytes that are all zero are a valid header.)
    let longest = vec![0xff; MAX_DATAGRAM_BYTES];
    let outcome = receiver.handle_datagram(now, &longest);
    assert!(matches!(outcome.result, Err(DatagramError::Invalid(_))));
    let too_long = vec![0xff; MAX_DATAGRAM_BYTES + 1];
    let outcome = receiver.handle_datagram(now, &too_long);
    let length = match outcome.result {
        Err(DatagramError::TooLong { bytes }) => bytes,
        other => panic!("{other:?}"),
    };
    assert_eq!(length, MAX_DATAGRAM_BYTES + 1);
    receiver.leave(now);
    let outcome = receiver.handle_datagram(now, &[]);
    assert!(matches!(outcome.result, Err(DatagramError::HasLeft)));
    assert!(outcome.effects.is_empty());
}
