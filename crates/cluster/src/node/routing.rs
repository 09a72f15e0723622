//! Routing: which part of the node handles a message, which replica lease requests are sent to, and at which address
//! a replica is reached.

use super::ClusterNode;
use crate::event::Output;
use crate::message::Message;
use cottondyke_consensus::ReplicaId;
use cottondyke_types::Time;
use std::net::SocketAddr;

/// The time after which a lease request without a response goes to another replica, as a fraction of the lease
/// duration.
const RESPONSE_TIMEOUT_LEASE_FRACTION: f64 = 0.15;

/// The maximum number of replicas whose last address is remembered.
const MAX_REPLICA_ADDRESSES: usize = 64;

impl ClusterNode {
    /// A message arrived from the node that listens at `from`; one that cannot be decoded is ignored.
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

    /// Sends to all configured replicas but this node's own.
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

    /// The name of the leading replica, if this node holds a replica that knows it.
    pub(super) fn known_leader(&self) -> Option<&String> {
        self.replica_host.as_ref()?.leader_name()
    }

    /// Remembers where a replica sent a message from, within the bound.
    pub(super) fn record_replica_address(&mut self, replica: ReplicaId, addr: SocketAddr) {
        let is_known = self.replica_addresses.contains_key(&replica);
        if is_known || self.replica_addresses.len() < MAX_REPLICA_ADDRESSES {
            self.replica_addresses.insert(replica, addr);
        }
    }

    /// Where a replica is reached: at its configured address, or else where it last sent a message from.
    pub(super) fn replica_address(&self, replica: ReplicaId) -> Option<SocketAddr> {
        let configured = self
            .replica_host
            .as_ref()?
            .replica
            .member_names()
            .get(&replica)
            .and_then(|name| self.config.replicas.get(name));
        // A replica that joins knows no names of others yet: it can only respond to where a message came from.
        configured.or(self.replica_addresses.get(&replica)).copied()
    }

    /// When the request target is given up.
    pub(super) fn response_deadline(&self) -> Option<Time> {
        let lease_duration = self.config.lease_config.lease_duration;
        let timeout = lease_duration.scaled(RESPONSE_TIMEOUT_LEASE_FRACTION);
        self.unanswered_since.map(|since| since + timeout)
    }

    /// The receiver of a lease request is not the leader. Ignored if it comes from a replica that is no longer the
    /// request target.
    fn handle_not_leader(&mut self, now: Time, from: SocketAddr, leader: Option<String>) {
        let target_addr = self.config.replicas.values().nth(self.request_target);
        if target_addr != Some(&from) {
            return;
        }
        let leader_index = leader.and_then(|name| self.config.replica_index(&name));
        self.redirect_lease_requests(now, leader_index);
    }

    /// Sends the next lease request to this replica soon; if it is not known which one, to the next in order,
    /// whose time to respond starts now.
    pub(super) fn redirect_lease_requests(&mut self, now: Time, replica_index: Option<usize>) {
        if let Some(index) = replica_index {
            self.request_target = index;
            self.lease_holder.renew_soon();
        } else {
            self.rotate_request_target(now);
        }
    }

    /// Sends further lease requests to the next replica in order.
    pub(super) fn rotate_request_target(&mut self, now: Time) {
        self.request_target = (self.request_target + 1) % self.config.replicas.len().max(1);
        self.unanswered_since = Some(now);
    }
}
