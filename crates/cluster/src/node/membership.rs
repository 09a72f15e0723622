//! Membership: datagrams, shutdown, and the list of members.

use super::ClusterNode;
use crate::event::{ClusterEvent, Output};
use cottondyke_membership::{Effect, MemberStatus};
use cottondyke_types::Time;

impl ClusterNode {
    /// Handles a datagram; one that cannot be decoded is ignored.
    pub fn handle_datagram(&mut self, now: Time, bytes: &[u8]) -> Vec<Output> {
        let effects = self.membership.handle_datagram(now, bytes).effects;
        self.apply_membership_effects(effects);
        self.take_outputs()
    }

    /// Tells other members that the process is ending, so that they need not detect it by failed probes.
    pub fn shut_down(&mut self, now: Time) -> Vec<Output> {
        let effects = self.membership.leave(now);
        self.apply_membership_effects(effects);
        self.take_outputs()
    }

    /// All members that this node knows of, itself first.
    pub fn members(&self) -> Vec<MemberStatus> {
        self.membership.members()
    }

    pub(super) fn apply_membership_effects(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Send { to, bytes } => self.outputs.push(Output::Datagram { to, bytes }),
                Effect::MemberUp(member) => self.notify(ClusterEvent::MemberUp(member)),
                Effect::MemberDown(member) => self.notify(ClusterEvent::MemberDown(member)),
                Effect::Rejoined => self.notify(ClusterEvent::Rejoined),
                Effect::DuplicateName(member) => self.notify(ClusterEvent::DuplicateName(member)),
            }
        }
    }
}
