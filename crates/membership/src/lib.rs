//! Who is there: membership by SWIM (the crate `foca`), with no socket, clock or randomness of its own. What it says
//! is hearsay: quick, and sometimes wrong. Nothing that must be right is decided by it.
//!
//! A member is found dead `SUSPECTED` probe periods after it was first suspected, and suspected within about two; so a
//! dead one is out of all lists after `DEAD_WITHIN` probe periods. One that is slow or hard to reach has that long to
//! refute it.
#![expect(missing_docs, reason = "not yet read through; see docs/ROADMAP.md")]

use cottondyke_types::Time;
use foca::{
    Config, Foca, Identity, NoCustomBroadcast, Notification, PeriodicParams, PostcardCodec,
    Runtime, State, Timer,
};
use rand::rngs::StdRng;
use rand::SeedableRng;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// Probe periods from the first suspicion to death, and from a death to when all know of it.
const SUSPECTED: i64 = 6;
pub const DEAD_WITHIN: i64 = 12;
/// Members that are asked to probe in another's place, and that hear each round of gossip.
const INDIRECT: usize = 3;
/// How often one change is passed on.
const PASSED_ON: u8 = 30;
/// Bytes of one datagram.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;
/// Members that are known, dead ones among them: past that nothing more is heard.
const MAX_MEMBERS: usize = 4_096;
/// Probe periods between two tries to reach a seed that is not in the list.
const SEEK: i64 = 4;

/// One life of an instance. Of two with one name the later life stays in the lists.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    pub name: String,
    pub zone: String,
    pub addr: SocketAddr,
    pub incarnation: u64,
    /// Grows where the same life comes back after it was taken for dead, and when it begins to leave.
    pub version: u32,
    pub leaving: bool,
}

impl Identity for Member {
    type Addr = String;

    fn renew(&self) -> Option<Self> {
        Some(Member {
            version: self.version.checked_add(1)?,
            ..self.clone()
        })
    }

    fn addr(&self) -> String {
        self.name.clone()
    }

    fn win_addr_conflict(&self, other: &Self) -> bool {
        (self.incarnation, self.version) > (other.incarnation, other.version)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberState {
    Alive,
    Suspect,
    Leaving,
    Dead,
}

/// A line of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    pub name: String,
    pub zone: String,
    #[serde(rename = "life")]
    pub incarnation: u64,
    #[serde(rename = "standing")]
    pub state: MemberState,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    Send {
        to: SocketAddr,
        bytes: Vec<u8>,
    },
    /// A member came into the list, or went out of it.
    MemberUp(Member),
    MemberDown(Member),
    /// It was taken for dead by others, and says otherwise.
    SuspicionRefuted,
    /// Another process has the same name, and lives later.
    DuplicateName(Member),
}

#[derive(Default)]
struct Out {
    effects: Vec<Effect>,
    timers: Vec<(Timer<Member>, Duration)>,
    own: String,
    /// Whether others know this identity now, where that changed.
    active: Option<bool>,
}

impl Runtime<Member> for &mut Out {
    fn notify(&mut self, notification: Notification<'_, Member>) {
        match notification {
            Notification::MemberUp(member) => self.effects.push(Effect::MemberUp(member.clone())),
            Notification::MemberDown(member) => {
                self.effects.push(Effect::MemberDown(member.clone()))
            }
            Notification::Active => self.active = Some(true),
            Notification::Idle | Notification::Defunct => self.active = Some(false),
            Notification::Rejoin(_) => {
                self.active = Some(false);
                self.effects.push(Effect::SuspicionRefuted);
            }
            Notification::Rename(_, member) if member.name == self.own => {
                self.effects.push(Effect::DuplicateName(member.clone()));
            }
            _ => {}
        }
    }

    fn send_to(&mut self, to: Member, data: &[u8]) {
        self.effects.push(Effect::Send {
            to: to.addr,
            bytes: data.to_vec(),
        });
    }

    fn submit_after(&mut self, event: Timer<Member>, after: Duration) {
        self.timers.push((event, after));
    }
}

pub struct Membership {
    foca: Foca<Member, PostcardCodec, StdRng, NoCustomBroadcast>,
    timers: BTreeMap<(Time, u64), Timer<Member>>,
    number: u64,
    seeds: Vec<(String, SocketAddr)>,
    seek: Time,
    sought: usize,
    probe: Time,
    /// Whether anyone is known to know this identity.
    active: bool,
    left: bool,
}

fn span(time: Time) -> Duration {
    Duration::from_micros(time.0.max(1) as u64 * 100)
}

impl Membership {
    /// `seeds`: names and addresses that are asked who is there. `suspicion` off is for trials alone.
    pub fn new(
        me: Member,
        seeds: Vec<(String, SocketAddr)>,
        probe: Time,
        suspicion: bool,
        seed: u64,
    ) -> Self {
        let some = |count: usize| NonZeroUsize::new(count).unwrap_or(NonZeroUsize::MIN);
        let often = |periods: f64, members: usize| {
            Some(PeriodicParams {
                frequency: span(probe.scaled(periods)),
                num_members: some(members),
            })
        };
        let config = Config {
            probe_period: span(probe),
            probe_rtt: span(probe.scaled(0.3)),
            num_indirect_probes: some(INDIRECT),
            max_transmissions: NonZeroU8::new(PASSED_ON).unwrap_or(NonZeroU8::MIN),
            suspect_to_down_after: if suspicion {
                span(Time(probe.0 * SUSPECTED))
            } else {
                span(Time(1))
            },
            remove_down_after: Some(span(Time(probe.0 * 120))),
            max_packet_size: some(MAX_DATAGRAM_BYTES),
            notify_down_members: true,
            periodic_announce: often(4.0, 1),
            periodic_announce_to_down_members: often(10.0, 1),
            periodic_gossip: often(0.4, INDIRECT),
        };
        let foca = Foca::new(me, config, StdRng::seed_from_u64(seed), PostcardCodec);
        let (timers, number, seek, sought) = (BTreeMap::new(), 0, Time(i64::MIN / 4), 0);
        Membership {
            foca,
            timers,
            number,
            seeds,
            seek,
            sought,
            probe,
            active: false,
            left: false,
        }
    }

    pub fn identity(&self) -> &Member {
        self.foca.identity()
    }

    pub fn set_seeds(&mut self, seeds: Vec<(String, SocketAddr)>) {
        self.seeds = seeds;
    }

    fn with(
        &mut self,
        now: Time,
        input: impl FnOnce(&mut Foca<Member, PostcardCodec, StdRng, NoCustomBroadcast>, &mut Out),
    ) -> Vec<Effect> {
        let mut out = Out {
            own: self.identity().name.clone(),
            ..Out::default()
        };
        input(&mut self.foca, &mut out);
        for (timer, after) in out.timers {
            self.number += 1;
            let at = now + Time((after.as_micros() / 100) as i64);
            self.timers.insert((at, self.number), timer);
        }
        if let Some(active) = out.active {
            self.active = active;
            self.seek = if active { self.seek } else { now };
        }
        out.effects
    }

    /// When `timer` is to be called.
    pub fn next_timer(&self) -> Time {
        if self.left {
            return Time::MAX;
        }
        self.timers
            .first_key_value()
            .map_or(self.seek, |((at, _), _)| (*at).min(self.seek))
    }

    pub fn handle_timer(&mut self, now: Time) -> Vec<Effect> {
        let mut out = Vec::new();
        if self.left {
            return out;
        }
        // Those of one moment in the order that the crate asks for; one that a stop made late counts once.
        while let Some(entry) = self
            .timers
            .first_entry()
            .filter(|entry| entry.key().0 <= now)
        {
            let timer = entry.remove();
            out.extend(self.with(now, |foca, mut to| {
                let _ = foca.handle_timer(timer, &mut to);
            }));
        }
        if now >= self.seek {
            out.extend(self.seek(now));
        }
        out
    }

    /// Asks a seed that is not in the list who is there. One that was taken for dead has a new turn, under which nobody
    /// knows it: the crate falls silent until it is spoken to, so it speaks to those that it knows until one answers.
    fn seek(&mut self, now: Time) -> Vec<Effect> {
        self.seek = now
            + if self.active {
                Time(self.probe.0 * SEEK)
            } else {
                self.probe.scaled(0.5)
            };
        let own = self.identity().name.clone();
        let mut known: Vec<Member> = self
            .foca
            .iter_members()
            .map(|member| member.id().clone())
            .collect();
        let listed = |name: &str| known.iter().any(|member| member.name == name);
        let seed = |(name, addr): &(String, SocketAddr)| Member {
            name: name.clone(),
            zone: String::new(),
            addr: *addr,
            incarnation: 0,
            version: 0,
            leaving: false,
        };
        let mut whom: Vec<Member> = self
            .seeds
            .iter()
            .filter(|(name, _)| *name != own && !listed(name))
            .map(seed)
            .collect();
        if !self.active {
            whom.append(&mut known);
        }
        let asked = if self.active { 1 } else { INDIRECT };
        let mut out = Vec::new();
        for _ in 0..asked.min(whom.len()) {
            self.sought += 1;
            let to = whom[self.sought % whom.len()].clone();
            out.extend(self.with(now, |foca, mut out| {
                let _ = foca.announce(to, &mut out);
            }));
        }
        out
    }

    /// A datagram came. What cannot be read is dropped, and told by false.
    pub fn handle_datagram(&mut self, now: Time, bytes: &[u8]) -> (Vec<Effect>, bool) {
        if self.left
            || bytes.len() > MAX_DATAGRAM_BYTES
            || self.foca.iter_membership_state().len() > MAX_MEMBERS
        {
            return (Vec::new(), false);
        }
        let mut good = true;
        let effects = self.with(now, |foca, mut out| {
            good = foca.handle_data(bytes, &mut out).is_ok()
        });
        (effects, good)
    }

    /// It begins to leave: others hear of it, and still count it.
    pub fn announce_leaving(&mut self, now: Time) -> Vec<Effect> {
        let me = Member {
            leaving: true,
            version: self.identity().version.saturating_add(1),
            ..self.identity().clone()
        };
        self.with(now, |foca, mut out| {
            let _ = foca.change_identity(me, &mut out);
        })
    }

    /// It goes: others strike it from their lists at once.
    pub fn leave(&mut self, now: Time) -> Vec<Effect> {
        let effects = self.with(now, |foca, mut out| {
            let _ = foca.leave_cluster(&mut out);
        });
        self.left = true;
        effects
    }

    /// All that is known, this member first.
    pub fn members(&self) -> Vec<MemberStatus> {
        let listed = |member: &Member, standing| MemberStatus {
            name: member.name.clone(),
            zone: member.zone.clone(),
            incarnation: member.incarnation,
            state: standing,
        };
        let own = listed(
            self.identity(),
            if self.identity().leaving {
                MemberState::Leaving
            } else {
                MemberState::Alive
            },
        );
        let others = self.foca.iter_membership_state().map(|member| {
            let standing = match member.state() {
                State::Down => MemberState::Dead,
                _ if member.id().leaving => MemberState::Leaving,
                State::Alive => MemberState::Alive,
                State::Suspect => MemberState::Suspect,
            };
            listed(member.id(), standing)
        });
        let mut list: Vec<MemberStatus> = others.collect();
        list.sort_by(|a, b| a.name.cmp(&b.name));
        list.insert(0, own);
        list
    }

    /// How many others are in the list.
    pub fn peer_count(&self) -> usize {
        self.foca.num_members()
    }
}
