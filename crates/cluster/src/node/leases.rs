//! Leases: the lease manager, which grants them while this node is the leader, and the lease holder, which requests
//! leases for this node.

use super::ClusterNode;
use crate::event::{ClusterEvent, Output};
use crate::message::Message;
use cottondyke_quota::{BudgetSpec, LeaseRequest, LeaseResponse, MAX_HOLDERS};
use cottondyke_types::Time;
use std::net::SocketAddr;

impl ClusterNode {
    /// Handles a lease request of another node: passes it to the lease manager, or answers with the name of the leader.
    pub(super) fn handle_lease_request(
        &mut self,
        now: Time,
        from: SocketAddr,
        request: LeaseRequest,
    ) {
        if self.lease_manager.is_leader() {
            let is_known = self.requester_addresses.contains_key(&request.holder);
            if is_known || self.requester_addresses.len() < MAX_HOLDERS {
                self.requester_addresses
                    .insert(request.holder.clone(), from);
            }
            self.lease_manager.handle_request(now, request);
        } else {
            let leader = self
                .known_leader()
                .filter(|name| **name != self.config.holder.name)
                .cloned();
            self.send(from, &Message::NotLeader(leader));
        }
    }

    /// Handles a response of the leader to this node.
    pub(super) fn handle_lease_response(&mut self, response: &LeaseResponse) {
        self.lease_holder.handle_response(response);
        self.unanswered_since = None;
    }

    /// Sends each response to its holder, which may be this node.
    pub(super) fn deliver_lease_responses(&mut self, responses: Vec<LeaseResponse>) {
        for response in responses {
            if response.holder == *self.lease_holder.holder() {
                self.handle_lease_response(&response);
            } else if let Some(to) = self.requester_addresses.get(&response.holder).copied() {
                self.send(to, &Message::LeaseResponse(response));
            }
        }
    }

    /// On the leader: proposes the commands that are due, starts a read index if requests wait for one, and notifies
    /// holders whose quota changed.
    pub(super) fn run_lease_manager(&mut self, now: Time) {
        if !self.lease_manager.is_leader() {
            return;
        }
        let Some(host) = &mut self.replica_host else {
            return;
        };
        let is_due = now >= self.lease_manager.next_run();
        let mut effects = Vec::new();
        if is_due {
            let commands =
                self.lease_manager
                    .plan_commands(now, host.quota_table(), &self.config.budgets);
            effects.extend(commands.iter().flat_map(|command| host.propose(command)));
        }
        if let Some(number) = self.lease_manager.start_read_index() {
            effects.extend(host.start_read_index(number));
        }
        self.apply_replica_effects(now, effects);
        if is_due {
            self.notify_holders();
        }
    }

    /// On the leader: notifies holders whose quota differs from the one that they were last sent.
    fn notify_holders(&mut self) {
        let Some(host) = &self.replica_host else {
            return;
        };
        if self.lease_manager.is_leader() {
            let responses = self.lease_manager.pending_notifications(host.quota_table());
            self.deliver_lease_responses(responses);
        }
    }

    /// Sends the lease request of this node if one is due; if the request target did not respond in time, to the next
    /// replica.
    pub(super) fn send_lease_request_if_due(&mut self, now: Time) {
        if self
            .response_deadline()
            .is_some_and(|deadline| now >= deadline)
        {
            self.rotate_request_target(now);
        }
        let Some(request) = self.lease_holder.next_request(now) else {
            return;
        };
        self.unanswered_since.get_or_insert(now);
        let Some((name, addr)) = self.config.replicas.iter().nth(self.request_target) else {
            return;
        };
        if *name != self.config.holder.name {
            let to = *addr;
            self.send(to, &Message::LeaseRequest(request));
        } else if self.lease_manager.is_leader() {
            self.lease_manager.handle_request(now, request);
        } else {
            let other_leader = self
                .known_leader()
                .and_then(|name| self.config.replica_index(name))
                .filter(|index| *index != self.request_target);
            self.redirect_lease_requests(now, other_leader);
        }
    }

    /// Reports changes in whether a lease is in force, and in the available units of each budget.
    pub(super) fn report_lease_changes(&mut self, now: Time) {
        let in_force = now < self.lease_holder.latest_lease_expiry();
        if in_force != self.reported_lease_in_force {
            self.reported_lease_in_force = in_force;
            self.notify(ClusterEvent::LeaseChanged { in_force });
        }
        for BudgetSpec { name: budget, .. } in &self.config.budgets {
            let units = self.lease_holder.available(now, budget);
            let reported = self.reported_quotas.insert(budget.clone(), units);
            let before = reported.unwrap_or(0);
            if before != units {
                let event = ClusterEvent::QuotaChanged {
                    budget: budget.clone(),
                    before,
                    now: units,
                    epoch: self.lease_holder.epoch(budget),
                };
                self.outputs.push(Output::Notify(event));
            }
        }
    }
}
