//! The replica within the node: its ticks and messages, its bootstrap, and the effects that it has on the lease
//! manager.

use super::ClusterNode;
use crate::event::{ClusterEvent, Output};
use crate::message::Message;
use cottondyke_consensus::{BootstrapProbe, Effect, ReplicaId};
use cottondyke_types::Time;
use std::collections::BTreeMap;
use std::net::SocketAddr;

impl ClusterNode {
    /// Ticks the replica's clock if a tick is due.
    pub(super) fn tick_replica(&mut self, now: Time) {
        let Some(host) = self
            .replica_host
            .as_mut()
            .filter(|host| now >= host.next_tick())
        else {
            return;
        };
        let effects = host.tick(now, &self.config.replica_names());
        if host.abort_overdue_read_index() {
            self.lease_manager.abort_read_index();
        }
        self.apply_replica_effects(now, effects);
        self.continue_bootstrap(now);
    }

    /// Handles a raft message of another replica.
    pub(super) fn handle_raft_message(
        &mut self,
        now: Time,
        from: SocketAddr,
        sender: ReplicaId,
        bytes: &[u8],
    ) {
        self.record_replica_address(sender, from);
        if let Some(host) = self.replica_host.as_mut().filter(|host| host.is_started()) {
            let effects = host.replica.handle_message(bytes);
            self.apply_replica_effects(now, effects);
        }
    }

    /// On a replica without a state: sends probes to the others. If its name sorts first, it bootstraps once all others
    /// have reported that they have no state either.
    fn continue_bootstrap(&mut self, now: Time) {
        let Some(host) = self
            .replica_host
            .as_mut()
            .filter(|host| !host.replica.is_initialized())
        else {
            return;
        };
        let probe = host.bootstrap.next_probe(now);
        let initial_members = host
            .bootstrap
            .initial_members(now, &self.config.replica_names());
        if let Some(probe) = probe {
            self.send_to_other_replicas(&Message::BootstrapProbe(probe));
        }
        if let Some(members) = initial_members {
            self.bootstrap_replica(&members);
        }
    }

    /// Handles the probe of a replica without a state: bootstraps with it, or lets it join.
    pub(super) fn handle_bootstrap_probe(
        &mut self,
        now: Time,
        from: SocketAddr,
        probe: &BootstrapProbe,
    ) {
        let replica_names = self.config.replica_names();
        let Some(host) = self.replica_host.as_mut().filter(|host| host.is_started()) else {
            return;
        };
        if !host.replica.is_initialized() {
            if let Some(members) = host.bootstrap.handle_probe(now, probe, &replica_names) {
                self.bootstrap_replica(&members);
            }
            return;
        }
        // An initial member without a state has not voted yet, so it starts from the initial state as the others did;
        // any other replica joins as a learner.
        let initial_members = host.replica.bootstrap_members();
        if initial_members.get(&probe.id) == Some(&probe.name) {
            let message = Message::Bootstrapped(initial_members.clone());
            self.send(from, &message);
        } else {
            let effects = host
                .replica
                .add_learner(probe.id, &probe.name, &replica_names);
            self.apply_replica_effects(now, effects);
        }
    }

    /// Handles the list of initial members: bootstraps if this replica is one of them and has no state.
    pub(super) fn handle_bootstrapped(&mut self, members: &BTreeMap<ReplicaId, String>) {
        let is_member = self.replica_host.as_ref().is_some_and(|host| {
            !host.replica.is_initialized()
                && members.get(&host.id()) == Some(&self.config.holder.name)
        });
        if is_member {
            self.bootstrap_replica(members);
        }
    }

    /// Starts from the initial state. The state is written first: no message that depends on it may be sent before it
    /// is on disk.
    fn bootstrap_replica(&mut self, members: &BTreeMap<ReplicaId, String>) {
        let Some(host) = &mut self.replica_host else {
            return;
        };
        if let Some(operation) = host.reset_to_initial_state(members) {
            self.outputs.push(Output::Store(operation));
            self.notify(ClusterEvent::Bootstrapped {
                replicas: members.len(),
            });
        }
    }

    /// Carries out the replica's effects: turns them into outputs, or passes them to the lease manager.
    pub(super) fn apply_replica_effects(&mut self, now: Time, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Send { to, bytes } => self.send_raft_message(to, bytes),
                Effect::Store(operation) => self.outputs.push(Output::Store(operation)),
                Effect::LeadershipChanged { is_leader } => {
                    self.handle_leadership_change(now, is_leader);
                }
                Effect::ReadIndexConfirmed(number) => self.handle_read_index(number),
                Effect::Applied => {
                    if let Some(host) = &self.replica_host {
                        self.lease_manager.handle_applied(host.quota_table());
                    }
                }
            }
        }
    }

    /// Sends a raft message to another replica; it is dropped if no address of that replica is known.
    fn send_raft_message(&mut self, to: ReplicaId, bytes: Vec<u8>) {
        let Some(host) = &self.replica_host else {
            return;
        };
        if let Some(addr) = self.replica_address(to) {
            let message = Message::Raft(host.id(), bytes);
            self.send(addr, &message);
        }
    }

    fn handle_leadership_change(&mut self, now: Time, is_leader: bool) {
        self.lease_manager.set_leadership(is_leader.then_some(now));
        self.requester_addresses.clear();
        if let Some(host) = &mut self.replica_host {
            host.finish_read_index();
        }
        self.notify(ClusterEvent::LeadershipChanged { is_leader });
    }

    /// Handles a confirmed read index: this node was still the leader after the read index was started, so the lease
    /// requests from before it can be answered.
    fn handle_read_index(&mut self, number: u64) {
        let Some(host) = &mut self.replica_host else {
            return;
        };
        host.finish_read_index();
        let responses = self
            .lease_manager
            .handle_read_index(number, host.quota_table());
        self.deliver_lease_responses(responses);
    }

    /// Reports once that the replica failed.
    pub(super) fn report_replica_failure(&mut self) {
        let has_failed = self
            .replica_host
            .as_mut()
            .is_some_and(|host| host.take_failure());
        if has_failed {
            self.notify(ClusterEvent::ReplicaFailed);
        }
    }
}
