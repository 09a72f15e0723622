//! The membership of one process: its inputs, its member list, and how it contacts members that do not know it yet.
use crate::config::{
    foca_config, MembershipConfig, FANOUT, MAX_DATAGRAM_BYTES, MAX_MEMBERS, REJOIN_PERIODS,
    SEED_CONTACT_PERIODS,
};
use crate::effect::{Effect, EffectCollector};
use crate::member::{Member, MemberState, MemberStatus};
use crate::timers::Timers;
use cottondyke_types::Time;
use foca::{Foca, NoCustomBroadcast, PostcardCodec, State};
use rand::rngs::StdRng;
use rand::SeedableRng;
use std::net::SocketAddr;
use thiserror::Error;

type Swim = Foca<Member, PostcardCodec, StdRng, NoCustomBroadcast>;

/// Why a datagram was dropped.
#[derive(Debug, Error)]
pub enum DatagramError {
    /// This member has left the group.
    #[error("this member has left")]
    HasLeft,
    /// The datagram is longer than any that a member sends.
    #[error("a datagram of {bytes} bytes: expected at most {MAX_DATAGRAM_BYTES}")]
    TooLong {
        /// Its length.
        bytes: usize,
    },
    /// The limit of known members is exceeded.
    #[error("more than {MAX_MEMBERS} members are known")]
    TooManyMembers,
    /// The datagram cannot be decoded, or is one that no correct member sends.
    #[error("the datagram is invalid: {0}")]
    Invalid(#[source] foca::Error),
}

/// The outcome of handling a datagram. Even an invalid datagram may have effects.
#[derive(Debug)]
pub struct DatagramOutcome {
    /// The effects to perform in order, even after an error.
    pub effects: Vec<Effect>,
    /// Whether the datagram was processed completely.
    pub result: Result<(), DatagramError>,
}

/// One member of the group. Each input returns the [`Effect`]s to perform, in order.
pub struct Membership {
    swim: Swim,
    timers: Timers,
    seeds: Vec<(String, SocketAddr)>,
    probe_period: Time,
    next_contact_at: Time,
    /// The number of contacts so far, by which each one goes to the next candidate.
    contact_count: usize,
    /// Whether this identity is known to at least one other member, as far as `foca` can tell.
    active: bool,
    has_left: bool,
}

impl Membership {
    /// Creates a member that does not know any other member yet.
    pub fn new(identity: Member, config: MembershipConfig) -> Self {
        let random = StdRng::seed_from_u64(config.random_seed);
        Membership {
            swim: Foca::new(identity, foca_config(&config), random, PostcardCodec),
            timers: Timers::default(),
            probe_period: config.probe_period,
            seeds: config.seeds,
            next_contact_at: Time(i64::MIN / 4),
            contact_count: 0,
            active: false,
            has_left: false,
        }
    }

    /// The current identity of this member.
    pub fn identity(&self) -> &Member {
        self.swim.identity()
    }

    /// Replaces the seeds, the members that are contacted while they are not in the list.
    pub fn set_seeds(&mut self, seeds: Vec<(String, SocketAddr)>) {
        self.seeds = seeds;
    }

    /// When [`Membership::handle_timer`] must be called next.
    pub fn next_timer(&self) -> Time {
        if self.has_left {
            return Time::MAX;
        }
        let next_due = self.timers.next_due();
        next_due.map_or(self.next_contact_at, |due| due.min(self.next_contact_at))
    }

    /// Fires the timers that are due, and contacts other members if that is due. Timers that are due at the same time
    /// fire in the order in which `foca` requested them; a timer that became due while the process was suspended fires
    /// once.
    pub fn handle_timer(&mut self, now: Time) -> Vec<Effect> {
        let mut effects = Vec::new();
        if self.has_left {
            return effects;
        }
        while let Some(timer) = self.timers.take_due(now) {
            effects.extend(self.run(now, |swim, mut collector| {
                let _ = swim.handle_timer(timer, &mut collector);
            }));
        }
        if now >= self.next_contact_at {
            effects.extend(self.contact_others(now));
        }
        effects
    }

    /// Handles a datagram. A datagram that cannot be decoded is dropped.
    pub fn handle_datagram(&mut self, now: Time, bytes: &[u8]) -> DatagramOutcome {
        if let Err(error) = self.check_limits(bytes) {
            return DatagramOutcome {
                effects: Vec::new(),
                result: Err(error),
            };
        }
        let mut result = Ok(());
        let effects = self.run(now, |swim, mut collector| {
            result = swim
                .handle_data(bytes, &mut collector)
                .map_err(DatagramError::Invalid);
        });
        DatagramOutcome { effects, result }
    }

    /// Announces that this member is going to leave. It stays in the lists of others until [`Membership::leave`].
    pub fn announce_leaving(&mut self, now: Time) -> Vec<Effect> {
        let identity = Member {
            leaving: true,
            version: self.identity().version.saturating_add(1),
            ..self.identity().clone()
        };
        self.run(now, |swim, mut collector| {
            let _ = swim.change_identity(identity, &mut collector);
        })
    }

    /// Leaves the group: others remove this member from their lists at once. Timers and datagrams have no effect after
    /// that.
    pub fn leave(&mut self, now: Time) -> Vec<Effect> {
        let effects = self.run(now, |swim, mut collector| {
            let _ = swim.leave_cluster(&mut collector);
        });
        self.has_left = true;
        effects
    }

    /// The status of all known members: this member first, then the others sorted by name.
    pub fn members(&self) -> Vec<MemberStatus> {
        let others = self.swim.iter_membership_state();
        let mut statuses: Vec<MemberStatus> = others.map(known_status).collect();
        statuses.sort_by(|a, b| a.name.cmp(&b.name));
        let own_state = if self.identity().leaving {
            MemberState::Leaving
        } else {
            MemberState::Alive
        };
        statuses.insert(0, self.identity().status(own_state));
        statuses
    }

    /// The number of other members in the list.
    pub fn peer_count(&self) -> usize {
        self.swim.num_members()
    }

    fn check_limits(&self, bytes: &[u8]) -> Result<(), DatagramError> {
        if self.has_left {
            return Err(DatagramError::HasLeft);
        }
        if bytes.len() > MAX_DATAGRAM_BYTES {
            return Err(DatagramError::TooLong { bytes: bytes.len() });
        }
        if self.swim.iter_membership_state().len() > MAX_MEMBERS {
            return Err(DatagramError::TooManyMembers);
        }
        Ok(())
    }

    /// Passes one input to `foca`, adds the timers that it requests, and returns its effects.
    fn run(
        &mut self,
        now: Time,
        input: impl FnOnce(&mut Swim, &mut EffectCollector),
    ) -> Vec<Effect> {
        let mut collector = EffectCollector::new(self.identity().name.clone());
        input(&mut self.swim, &mut collector);
        for requested in collector.timers {
            self.timers.add(now, requested.after, requested.timer);
        }
        if let Some(active) = collector.active {
            self.active = active;
            if !active {
                self.next_contact_at = now;
            }
        }
        collector.effects
    }

    /// Announces this member to some of the members that do not seem to know it.
    fn contact_others(&mut self, now: Time) -> Vec<Effect> {
        let interval = if self.active {
            Time(self.probe_period.0 * SEED_CONTACT_PERIODS)
        } else {
            self.probe_period.scaled(REJOIN_PERIODS)
        };
        self.next_contact_at = now + interval;
        let candidates = self.contact_candidates();
        let max_contacts = if self.active { 1 } else { FANOUT };
        let mut effects = Vec::new();
        for _ in 0..max_contacts.min(candidates.len()) {
            self.contact_count += 1;
            let contacted = candidates[self.contact_count % candidates.len()].clone();
            effects.extend(self.run(now, |swim, mut collector| {
                let _ = swim.announce(contacted, &mut collector);
            }));
        }
        effects
    }

    /// The seeds that are not in the list. While no other member knows this identity (`active` is false), the listed
    /// members are candidates too: after others declared this member dead, it has a new version that they do not know,
    /// and `foca` sends nothing until another member contacts it.
    fn contact_candidates(&self) -> Vec<Member> {
        let own_name = &self.identity().name;
        let listed = self.swim.iter_members().map(|member| member.id());
        let mut listed: Vec<Member> = listed.cloned().collect();
        let is_listed = |name: &String| listed.iter().any(|member| member.name == *name);
        let mut candidates: Vec<Member> = self
            .seeds
            .iter()
            .filter(|(name, _)| name != own_name && !is_listed(name))
            .map(|(name, addr)| seed_identity(name, *addr))
            .collect();
        if !self.active {
            candidates.append(&mut listed);
        }
        candidates
    }
}

/// A placeholder identity to contact a seed with; the seed's answer contains its real one.
fn seed_identity(name: &str, addr: SocketAddr) -> Member {
    Member {
        name: name.to_string(),
        zone: String::new(),
        addr,
        incarnation: 0,
        version: 0,
        leaving: false,
    }
}

fn known_status(known: &foca::Member<Member>) -> MemberStatus {
    let member = known.id();
    let state = match known.state() {
        State::Down => MemberState::Dead,
        _ if member.leaving => MemberState::Leaving,
        State::Alive => MemberState::Alive,
        State::Suspect => MemberState::Suspect,
    };
    member.status(state)
}
