//! The leader's side of the protocol: which demands it received at which time, and the commands that follow. This state
//! is local to one leadership and starts empty; what must outlive a leadership is in the replicated table.
//!
//! # Why a reclaimed quota can no longer be in use
//!
//! A holder's lease counts from before it sent the request. A leader answers a request only after a majority confirmed,
//! in a read index round that started after the request arrived, that it is still the leader. Any later leader's term
//! therefore began after that request, and a leader waits a whole lease from the beginning of its term before it
//! reclaims the quota of a holder from which it has not received a request itself. By then the lease has expired on the
//! holder's clock, allowing for [`MAX_CLOCK_DRIFT`](crate::MAX_CLOCK_DRIFT), and the grace after it covers calls that
//! the dependency continues to process. A process that was suspended between checking its lease and sending a call can
//! still send that one call: therefore a unit of each fenced quota stays quarantined for
//! [`LeaseConfig::max_process_pause`].

mod allocation;
mod context;
mod members;
mod read_index;
mod reclaim;
mod revocations;

pub use reclaim::QuarantinedQuota;

use crate::config::DISTANT_PAST;
use crate::{
    Budget, BudgetSpec, Command, Demand, GrantedQuota, Holder, LeaseConfig, LeaseRequest,
    LeaseResponse, QuotaTable,
};
use allocation::Targets;
use context::{max_lease_duration, LeaseContext};
use cottondyke_types::Time;
use members::Members;
use read_index::ReadIndexQueue;
use revocations::Fencings;
use std::collections::BTreeMap;

/// Maximum number of commands that are proposed at a time.
const MAX_COMMANDS: usize = 256;
/// Time after which commands that were not applied are proposed again, as a fraction of the lease duration.
const PROPOSAL_TIMEOUT: f64 = 0.1;
/// Interval between two planning runs, as a fraction of the lease duration. Planning does not run on every request
/// because both its cost and the rate of requests grow with the number of members.
const PLANNING_INTERVAL: f64 = 0.003;
/// Interval between two planning runs if no request arrived and no command was applied since the last run, as a
/// fraction of the lease duration.
const IDLE_PLANNING_INTERVAL: f64 = 0.02;

/// The leader's side of the lease protocol: confirms leadership, answers lease requests and proposes changes to the
/// replicated table.
#[derive(Clone, Debug)]
pub struct LeaseManager {
    config: LeaseConfig,
    leader_since: Option<Time>,
    members: Members,
    read_index: ReadIndexQueue,
    fencings: Fencings,
    /// The targets of each budget, by its name.
    targets: BTreeMap<String, Targets>,
    /// When the commands that are not applied yet were proposed.
    proposed_at: Option<Time>,
    last_run: Time,
    /// Whether a request arrived or a command was applied since the last run.
    dirty: bool,
}

impl LeaseManager {
    /// Creates the manager of a replica that is not the leader.
    pub fn new(config: LeaseConfig) -> Self {
        LeaseManager {
            config,
            leader_since: None,
            members: Members::default(),
            read_index: ReadIndexQueue::default(),
            fencings: Fencings::default(),
            targets: BTreeMap::new(),
            proposed_at: None,
            last_run: DISTANT_PAST,
            dirty: true,
        }
    }

    /// Whether this replica is the leader and therefore accepts requests.
    pub fn is_leader(&self) -> bool {
        self.leader_since.is_some()
    }

    /// Starts leadership at the given time or, with `None`, ends it. All earlier state is discarded; only the numbering
    /// of the read index rounds continues.
    pub fn set_leadership(&mut self, since: Option<Time>) {
        *self = LeaseManager {
            leader_since: since,
            read_index: self.read_index.restarted(),
            ..LeaseManager::new(self.config)
        };
    }

    /// Queues a request until [`handle_read_index`](Self::handle_read_index) answers it. It is dropped if this
    /// replica is not the leader or already tracks too many requests or members.
    pub fn handle_request(&mut self, now: Time, request: LeaseRequest) {
        let accepted =
            self.is_leader() && !self.read_index.is_full() && self.members.admits(&request.holder);
        if !accepted {
            return;
        }
        let previous = request
            .previous_incarnation
            .filter(|previous| *previous != request.holder.incarnation);
        if let Some(incarnation) = previous {
            let holder = Holder {
                name: request.holder.name.clone(),
                incarnation,
            };
            self.members.record_termination(now, holder);
        }
        self.dirty = true;
        self.members.record_request(now, &request);
        self.read_index.push(request);
    }

    /// Starts a confirmation of leadership (a read index round) if a request waits for one and none is in flight.
    /// Returns the number of the round, whose confirmation the caller requests.
    pub fn start_read_index(&mut self) -> Option<u64> {
        self.read_index.start()
    }

    /// Aborts the round in flight, whose confirmation did not arrive in time. Another one may be started, and a late
    /// confirmation of this one is ignored.
    pub fn abort_read_index(&mut self) {
        self.read_index.abort();
    }

    /// Handles the confirmation that this replica was still the leader after the round started. Answers the requests
    /// that arrived before the start.
    pub fn handle_read_index(&mut self, round: u64, table: &QuotaTable) -> Vec<LeaseResponse> {
        let requests = self.read_index.complete(round);
        requests
            .iter()
            .map(|request| self.answer(request, table))
            .collect()
    }

    fn answer(&mut self, request: &LeaseRequest, table: &QuotaTable) -> LeaseResponse {
        // A quota that no longer exists is granted with amount 0: its holder was silent for so long that nothing of it
        // is quarantined any more, and the lease that this answer grants must not revive the amount that it had.
        let empty_grant = |demand: &Demand| GrantedQuota {
            budget: demand.budget.clone(),
            epoch: demand.epoch,
            amount: 0,
        };
        let granted: Vec<GrantedQuota> = request
            .demands
            .iter()
            .map(|demand| {
                self.granted_quota(&demand.budget, &request.holder, table)
                    .unwrap_or_else(|| empty_grant(demand))
            })
            .collect();
        self.members.record_answer(&request.holder, request.nonce);
        self.members.record_notified(&request.holder, &granted);
        LeaseResponse {
            holder: request.holder.clone(),
            nonce: request.nonce,
            granted,
        }
    }

    /// What a holder may use: its quota, but at most its target, and 0 if the quota is fenced or its fencing pending.
    fn granted_quota(
        &self,
        budget: &str,
        holder: &Holder,
        table: &QuotaTable,
    ) -> Option<GrantedQuota> {
        let quota = table.quota(budget, holder)?;
        let is_fenced_or_pending = quota.fenced || self.fencings.is_pending(budget, holder);
        let target = self
            .targets
            .get(budget)
            .and_then(|targets| targets.get(holder))
            .copied()
            .unwrap_or(quota.amount);
        Some(GrantedQuota {
            budget: budget.to_string(),
            epoch: quota.epoch,
            amount: if is_fenced_or_pending {
                0
            } else {
                quota.amount.min(target)
            },
        })
    }

    /// Notifications for holders whose quotas changed since they were last answered or notified.
    pub fn pending_notifications(&mut self, table: &QuotaTable) -> Vec<LeaseResponse> {
        let mut notifications = Vec::new();
        for member in self.members.answered() {
            let granted: Vec<GrantedQuota> = member
                .budgets
                .iter()
                .filter_map(|(budget, state)| {
                    self.granted_quota(budget, member.holder, table)
                        .filter(|granted| state.known.is_outdated_by(granted))
                })
                .collect();
            if !granted.is_empty() {
                notifications.push(LeaseResponse {
                    holder: member.holder.clone(),
                    nonce: member.last_answered,
                    granted,
                });
            }
        }
        for notification in &notifications {
            self.members
                .record_notified(&notification.holder, &notification.granted);
        }
        notifications
    }

    /// Records that commands were applied to the table, which may settle proposed fencings.
    pub fn handle_applied(&mut self, table: &QuotaTable) {
        self.proposed_at = None;
        self.dirty = true;
        self.fencings.settle(table);
    }

    /// Quotas of fenced or silent holders, and until when they are quarantined on this leader's clock. Empty if this
    /// replica is not the leader.
    pub fn quarantined(&self, now: Time, table: &QuotaTable) -> Vec<QuarantinedQuota> {
        self.lease_context()
            .map_or(Vec::new(), |context| context.quarantined(now, table))
    }

    /// The target of each live member for a budget, in units, with the member's name.
    pub fn targets(&self, budget: &str) -> Vec<(String, u32)> {
        self.targets
            .get(budget)
            .into_iter()
            .flatten()
            .map(|(holder, units)| (holder.name.clone(), *units))
            .collect()
    }

    /// When [`plan_commands`](Self::plan_commands) and [`pending_notifications`](Self::pending_notifications) are due.
    pub fn next_run(&self) -> Time {
        let interval = if self.dirty {
            PLANNING_INTERVAL
        } else {
            IDLE_PLANNING_INTERVAL
        };
        self.last_run + self.config.lease_duration.scaled(interval)
    }

    /// Returns the commands to propose now. `specs` are the budgets of the leader's configuration.
    pub fn plan_commands(
        &mut self,
        now: Time,
        table: &QuotaTable,
        specs: &[BudgetSpec],
    ) -> Vec<Command> {
        let Some(leader_since) = self.leader_since else {
            return Vec::new();
        };
        self.last_run = now;
        self.dirty = false;
        if self.awaits_proposed_commands(now) {
            return Vec::new();
        }
        let mut commands = plan_budgets(table, specs);
        if table.open {
            self.plan_quotas(now, table, &mut commands);
        } else if self.may_open(now, leader_since, specs) {
            commands.push(Command::Open);
        }
        commands.truncate(MAX_COMMANDS);
        for command in &commands {
            self.fencings.record(now, command);
        }
        self.proposed_at = (!commands.is_empty()).then_some(now);
        self.members
            .remove_idle(now, leader_since, self.config.lease_duration, table);
        commands
    }

    fn awaits_proposed_commands(&self, now: Time) -> bool {
        let timeout = self.config.lease_duration.scaled(PROPOSAL_TIMEOUT);
        self.proposed_at
            .is_some_and(|proposed_at| now < proposed_at + timeout)
    }

    /// Whether all leases that an earlier cluster granted before this one was bootstrapped have expired, and the grace
    /// for calls made under them has passed.
    fn may_open(&self, now: Time, leader_since: Time, specs: &[BudgetSpec]) -> bool {
        let longest_grace = specs
            .iter()
            .map(|spec| spec.expiry_grace)
            .max()
            .unwrap_or_default();
        now >= leader_since + max_lease_duration(&self.config) + longest_grace
    }

    fn plan_quotas(&mut self, now: Time, table: &QuotaTable, commands: &mut Vec<Command>) {
        let mut targets = std::mem::take(&mut self.targets);
        if let Some(context) = self.lease_context() {
            for (name, budget) in &table.budgets {
                context.reclaim_expired(now, name, budget, commands);
                let previous = targets.remove(name).unwrap_or_default();
                let current = context.compute_targets(now, name, budget, previous);
                context.raise_quotas(name, budget, &current, commands);
                targets.insert(name.clone(), current);
            }
        }
        self.targets = targets;
    }

    fn lease_context(&self) -> Option<LeaseContext<'_>> {
        Some(LeaseContext {
            config: &self.config,
            leader_since: self.leader_since?,
            members: &self.members,
            fencings: &self.fencings,
        })
    }
}

/// Commands that set the budgets whose entry in the table differs from the configuration.
fn plan_budgets(table: &QuotaTable, specs: &[BudgetSpec]) -> Vec<Command> {
    let is_applied = |budget: &Budget, spec: &BudgetSpec| {
        let grace = budget.expiry_grace();
        // The table keeps a longer grace while any quota is in force.
        let grace_retained = grace > spec.expiry_grace && !budget.quotas.is_empty();
        budget.units == spec.units && (grace == spec.expiry_grace || grace_retained)
    };
    specs
        .iter()
        .filter(|spec| {
            let budget = table.budgets.get(&spec.name);
            !budget.is_some_and(|budget| is_applied(budget, spec))
        })
        .map(|spec| Command::SetBudget {
            budget: spec.name.clone(),
            units: spec.units,
            expiry_grace: spec.expiry_grace.0,
        })
        .collect()
}
