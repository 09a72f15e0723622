//! Members in a simulated world: datagrams that are late and lost, clocks of one world, lists looked at from outside.
use cottondyke_membership::{Effect, Member, MemberState, MemberStatus, Membership, DEAD_WITHIN};
use cottondyke_types::Time;
use std::collections::BTreeMap;
use std::net::SocketAddr;

const PROBE: i64 = 5_000;

struct World {
    now: i64,
    random: fastrand::Rng,
    peers: Vec<Option<Membership>>,
    words: BTreeMap<(i64, u64), (SocketAddr, Vec<u8>)>,
    number: u64,
    loss: f64,
    late: i64,
    downs: usize,
    bytes: usize,
}

fn addr(place: usize) -> SocketAddr {
    ([10, 0, (place / 250) as u8, (place % 250) as u8], 7_000).into()
}

fn place(addr: SocketAddr) -> usize {
    let SocketAddr::V4(addr) = addr else {
        unreachable!()
    };
    addr.ip().octets()[2] as usize * 250 + addr.ip().octets()[3] as usize
}

fn member(place: usize, life: u64) -> Member {
    Member {
        name: format!("n{place}"),
        zone: "z".into(),
        addr: addr(place),
        incarnation: life,
        version: 0,
        leaving: false,
    }
}

impl World {
    fn new(seed: u64, count: usize, loss: f64, late: i64, suspicion: bool) -> Self {
        let seeds = || {
            (0..3)
                .map(|place| (format!("n{place}"), addr(place)))
                .collect()
        };
        let peers = |place| {
            Some(Membership::new(
                member(place, 1),
                seeds(),
                Time(PROBE),
                suspicion,
                seed ^ place as u64,
            ))
        };
        let (words, number, downs, bytes) = (BTreeMap::new(), 0, 0, 0);
        let (now, random) = (0, fastrand::Rng::with_seed(seed));
        let peers = (0..count).map(peers).collect();
        World {
            now,
            random,
            peers,
            words,
            number,
            loss,
            late,
            downs,
            bytes,
        }
    }

    fn carry(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Send { to, bytes } => {
                    self.bytes += bytes.len();
                    if self.random.f64() >= self.loss {
                        self.number += 1;
                        let at = self.now + 2 + self.random.i64(0..=self.late);
                        self.words.insert((at, self.number), (to, bytes));
                    }
                }
                Effect::MemberDown(_) => self.downs += 1,
                Effect::MemberUp(_) | Effect::SuspicionRefuted | Effect::DuplicateName(_) => {}
            }
        }
    }

    fn run(&mut self, span: i64) {
        let end = self.now + span;
        while self.now < end {
            self.now += 20;
            let now = Time(self.now);
            while let Some(entry) = self
                .words
                .first_entry()
                .filter(|entry| entry.key().0 <= self.now)
            {
                let (to, bytes) = entry.remove();
                if let Some(peers) = &mut self.peers[place(to)] {
                    let (effects, _) = peers.handle_datagram(now, &bytes);
                    self.carry(effects);
                }
            }
            for place in 0..self.peers.len() {
                let due = self.peers[place]
                    .as_mut()
                    .filter(|peers| peers.next_timer() <= now);
                let effects = due.map_or(Vec::new(), |peers| peers.handle_timer(now));
                self.carry(effects);
            }
        }
    }

    /// In how many lists a member stands as there.
    fn listed(&self, name: &str) -> usize {
        let there = |one: &MemberStatus| one.name == name && one.state != MemberState::Dead;
        self.peers
            .iter()
            .flatten()
            .filter(|peers| peers.members()[1..].iter().any(there))
            .count()
    }

    fn whole(&self) -> bool {
        let there = self.peers.iter().flatten().count();
        self.peers
            .iter()
            .flatten()
            .all(|peers| peers.peer_count() == there - 1)
    }
}

/// Guards the lists: whoever dies is out of all of them within what the page says, for any seed and size tried.
#[test]
fn a_dead_member_is_out_of_all_lists_in_time() {
    for (seed, count) in [(1, 5), (2, 8), (3, 20), (4, 60)] {
        let mut world = World::new(seed, count, 0.0, 20, true);
        world.run(PROBE * 20);
        assert!(world.whole(), "seed {seed}");
        world.peers[4] = None;
        world.run(PROBE * DEAD_WITHIN);
        assert_eq!(world.listed("n4"), 0, "seed {seed}, {count} members");
        assert!(world.whole(), "seed {seed}");
    }
}

/// Guards members on bad links: a fifth of all datagrams lost, and nobody is taken for dead in 60 s. Without suspicion
/// somebody always is.
#[test]
fn lost_datagrams_kill_nobody() {
    let downs = |suspicion| {
        let run = |seed| {
            let mut world = World::new(seed, 8, 0.0, 20, suspicion);
            world.run(PROBE * 20);
            world.loss = 0.2;
            world.downs = 0;
            world.run(600_000);
            world.downs
        };
        (1..=8).map(run).sum::<usize>()
    };
    assert_eq!(downs(true), 0);
    assert!(downs(false) > 0);
}

/// Guards drains and restarts: one that leaves is seen to leave and is gone at once; its next life is back at once.
#[test]
fn leaving_and_coming_back_are_heard_at_once() {
    let mut world = World::new(7, 6, 0.0, 20, true);
    world.run(PROBE * 20);
    let now = Time(world.now);
    let effects = world.peers[5].as_mut().unwrap().announce_leaving(now);
    world.carry(effects);
    world.run(PROBE * 2);
    let leaving = |peers: &Membership| {
        peers
            .members()
            .iter()
            .any(|l| l.name == "n5" && l.state == MemberState::Leaving)
    };
    assert!(world.peers[..5].iter().flatten().all(leaving));
    let effects = world.peers[5].as_mut().unwrap().leave(Time(world.now));
    world.carry(effects);
    world.peers[5] = None;
    world.run(PROBE * 2);
    assert_eq!(world.listed("n5"), 0);
    let seeds = (0..3)
        .map(|place| (format!("n{place}"), addr(place)))
        .collect();
    world.peers[5] = Some(Membership::new(member(5, 2), seeds, Time(PROBE), true, 9));
    world.run(PROBE * 4);
    assert!(world.whole());
}

/// Guards against garbage: what is cut short, too long or no word at all changes no list.
#[test]
fn garbage_changes_no_list() {
    let mut world = World::new(3, 5, 0.0, 20, true);
    world.run(PROBE * 20);
    let before = world.peers[0].as_ref().unwrap().members();
    let mut random = fastrand::Rng::with_seed(5);
    for size in 0..3_000 {
        let bytes: Vec<u8> = (0..size % 1_600).map(|_| random.u8(..)).collect();
        world.peers[0]
            .as_mut()
            .unwrap()
            .handle_datagram(Time(world.now), &bytes);
    }
    assert_eq!(world.peers[0].as_ref().unwrap().members(), before);
}
