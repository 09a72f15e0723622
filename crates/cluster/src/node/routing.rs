//! Routing: which component handles a message, to which replica lease requests are sent, and at which address a replica
//! is reached.

use super::ClusterNode;
use crate::event::Output;
use crate::message::Message;
use cottondyke_consensus::ReplicaId;
use cottondyke_types::Time;
use std::net::SocketAddr;

/// The time after which an unanswered lease request is sent to another replica, as a fraction of the lease duration.
const RESPONSE_TIMEOUT_LEASE_FRACTION: f64 = 0.15;

/// The maximum number of replicas whose last source address is stored.
const MAX_REPLICA_ADDRESSES: usize = 64;

impl ClusterNode {
    /// Handles a message from the node at `from`, where responses are sent; one that cannot be decoded is ignored.
    pub fn handle_message(&mut self, now: Time, from: SocketAddr, bytes: &[u8]) -> Vec<Output> {
        match Message::decode(bytes) {
            Some(Message::LeaseRequest(request)) => self.handle_lease_request(now, from, request),
            Some(Message::LeaseResponse(response)) => self.handle_lease_response(&response),
            Some(Message::NotLeader(leader)) => self.handle_not_leader(now, from, leader),
            Some(Message::Raft(sender, bytes)) => {
                self.handle_raft_message(now, from, sender, &bytes);
            }
            Some(Message::BootstrapProbe(probe)) => self.handle_bootstrap_probe(now, from, &probe),
            Some(Message::Bootstrapped(members)) => self.handle_bootstrapped(&members),
            Some(Message::StatusRequest) => {
                let status = self.status(now);
                self.send(from, &Message::Status(Box::new(status)));
            }
            Some(Message::Status(_)) | None => {}
        }
        self.finish_input(now)
    }

    pub(super) fn send(&mut self, to: SocketAddr, message: &Message) {
        let bytes = message.encode();
        self.outputs.push(Output::Send { to, bytes });
    }

    /// Sends to all configured replicas except this node.
    pub(super) fn send_to_other_replicas(&mut self, message: &Message) {
        let own_name = &self.config.holder.name;
        let others: Vec<SocketAddr> = self
            .config
            .replicas
            .iter()
            .filter(|(name, _)| *name != own_name)
            .map(|(_, addr)| *addr)
            .collect();
        for to in others {
            self.send(to, message);
        }
    }

    /// The name of the leader, if this node holds a replica that knows it.
    pub(super) fn known_leader(&self) -> Option<&String> {
        self.replica_host.as_ref()?.leader_name()
    }

    /// Stores the source address of a replica, unless [`MAX_REPLICA_ADDRESSES`] others are stored.
    pub(super) fn record_replica_address(&mut self, replica: ReplicaId, addr: SocketAddr) {
        let is_known = self.replica_addresses.contains_key(&replica);
        if is_known || self.replica_addresses.len() < MAX_REPLICA_ADDRESSES {
            self.replica_addresses.insert(replica, addr);
        }
    }

    /// The address of a replica: the configured one, or else the source address of its last message.
    pub(super) fn replica_address(&self, replica: ReplicaId) -> Option<SocketAddr> {
        let configured = self
            .replica_host
            .as_ref()?
            .replica
            .member_names()
            .get(&replica)
            .and_then(|name| self.config.replicas.get(name));
        // A replica that is joining does not know the names of others yet, so it can only answer to source addresses.
        configured.or(self.replica_addresses.get(&replica)).copied()
    }

    /// When lease requests go to another replica unless the request target has responded.
    pub(super) fn response_deadline(&self) -> Option<Time> {
        let lease_duration = self.config.lease_config.lease_duration;
        let timeout = lease_duration.scaled(RESPONSE_TIMEOUT_LEASE_FRACTION);
        self.unanswered_since.map(|since| since + timeout)
    }

    /// Handles the response of a replica that is not the leader. Ignored if that replica is no longer the request
    /// target.
    fn handle_not_leader(&mut self, now: Time, from: SocketAddr, leader: Option<String>) {
        let target_addr = self.config.replicas.values().nth(self.request_target);
        if target_addr != Some(&from) {
            return;
        }
        let leader_index = leader.and_then(|name| self.config.replica_index(&name));
        self.redirect_lease_requests(now, leader_index);
    }

    /// Makes the replica with this index the request target and sends the next lease request soon. Without an index,
    /// the next replica in order becomes the target, with a response timeout that starts now.
    pub(super) fn redirect_lease_requests(&mut self, now: Time, replica_index: Option<usize>) {
        if let Some(index) = replica_index {
            self.request_target = index;
            self.lease_holder.renew_early();
        } else {
            self.rotate_request_target(now);
        }
    }

    /// Makes the next replica in order the request target, with a response timeout that starts now.
    pub(super) fn rotate_request_target(&mut self, now: Time) {
        self.request_target = (self.request_target + 1) % self.config.replicas.len().max(1);
        self.unanswered_since = Some(now);
    }
}
