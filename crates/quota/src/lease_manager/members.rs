//! What this leader itself received from the members and granted to them. It starts empty with each leadership.

use crate::{Demand, Epoch, GrantedQuota, Holder, LeaseRequest, Nonce, QuotaTable};
use cottondyke_types::Time;
use std::collections::BTreeMap;

/// Maximum number of members that are tracked; requests of further ones are dropped.
const MAX_MEMBERS: usize = 4_096;
/// Lease durations after which a silent member without any quota is removed.
const IDLE_RETENTION_LEASES: f64 = 2.0;

/// The epoch and the amount of its quota that a holder knows, by its last request and by what it was sent since.
#[derive(Clone, Copy, Debug)]
pub(super) struct KnownQuota {
    pub(super) epoch: Epoch,
    pub(super) amount: u32,
}

impl KnownQuota {
    /// Whether the holder must be notified of `granted`: it has a newer epoch, or a smaller amount in the same epoch.
    pub(super) fn is_outdated_by(&self, granted: &GrantedQuota) -> bool {
        granted.epoch > self.epoch || (granted.epoch == self.epoch && granted.amount < self.amount)
    }
}

/// What this leader knows about one holder and one budget.
#[derive(Clone, Debug)]
pub(super) struct HolderState {
    /// When the last demand was received.
    pub(super) received_at: Time,
    pub(super) demand: Demand,
    pub(super) known: KnownQuota,
}

#[derive(Clone, Debug, Default)]
struct Member {
    budgets: BTreeMap<String, HolderState>,
    last_answered: Option<Nonce>,
    /// The time since which its process is known to have ended.
    terminated_at: Option<Time>,
}

/// A member whose requests were answered, so that it can be notified of changes.
pub(super) struct AnsweredMember<'a> {
    pub(super) holder: &'a Holder,
    pub(super) last_answered: Nonce,
    pub(super) budgets: &'a BTreeMap<String, HolderState>,
}

/// All members that this leader received requests from, and those that are known to have ended.
#[derive(Clone, Debug, Default)]
pub(super) struct Members {
    by_holder: BTreeMap<Holder, Member>,
}

impl Members {
    /// Whether the holder is tracked already or there is room to add it.
    pub(super) fn admits(&self, holder: &Holder) -> bool {
        self.by_holder.contains_key(holder) || self.by_holder.len() < MAX_MEMBERS
    }

    /// Records that the process of this holder has ended, at `now` at the latest.
    pub(super) fn record_termination(&mut self, now: Time, holder: Holder) {
        if self.admits(&holder) {
            let member = self.by_holder.entry(holder).or_default();
            member.terminated_at.get_or_insert(now);
        }
    }

    /// Records the demands of a request that was received.
    pub(super) fn record_request(&mut self, now: Time, request: &LeaseRequest) {
        let member = self.by_holder.entry(request.holder.clone()).or_default();
        for demand in &request.demands {
            let known = member
                .budgets
                .get(&demand.budget)
                .map(|state| state.known)
                .filter(|known| known.epoch == demand.epoch);
            // A holder never reports to retain less than the amount that it knows: if it retains less than the recorded
            // amount, it knows a smaller one.
            let amount = known.map_or(demand.retained, |known| known.amount.min(demand.retained));
            let state = HolderState {
                received_at: now,
                demand: demand.clone(),
                known: KnownQuota {
                    epoch: demand.epoch,
                    amount,
                },
            };
            member.budgets.insert(demand.budget.clone(), state);
        }
    }

    /// Records that a request of the holder was answered.
    pub(super) fn record_answer(&mut self, holder: &Holder, nonce: Nonce) {
        if let Some(member) = self.by_holder.get_mut(holder) {
            member.last_answered = member.last_answered.max(Some(nonce));
        }
    }

    /// Records the quotas of which the holder is notified.
    pub(super) fn record_notified(&mut self, holder: &Holder, granted: &[GrantedQuota]) {
        let Some(member) = self.by_holder.get_mut(holder) else {
            return;
        };
        for quota in granted {
            if let Some(state) = member.budgets.get_mut(&quota.budget) {
                state.known = KnownQuota {
                    epoch: quota.epoch,
                    amount: quota.amount,
                };
            }
        }
    }

    pub(super) fn state(&self, budget: &str, holder: &Holder) -> Option<&HolderState> {
        self.by_holder.get(holder)?.budgets.get(budget)
    }

    /// The holders that sent a demand for this budget and are not known to have ended.
    pub(super) fn running<'a>(
        &'a self,
        budget: &'a str,
    ) -> impl Iterator<Item = (&'a Holder, &'a HolderState)> {
        self.by_holder
            .iter()
            .filter(|(_, member)| member.terminated_at.is_none())
            .filter_map(move |(holder, member)| Some((holder, member.budgets.get(budget)?)))
    }

    /// The state of a holder that is not known to have ended.
    pub(super) fn running_state(&self, budget: &str, holder: &Holder) -> Option<&HolderState> {
        self.by_holder
            .get(holder)
            .filter(|member| member.terminated_at.is_none())?
            .budgets
            .get(budget)
    }

    pub(super) fn terminated_at(&self, holder: &Holder) -> Option<Time> {
        self.by_holder.get(holder)?.terminated_at
    }

    pub(super) fn answered(&self) -> impl Iterator<Item = AnsweredMember<'_>> {
        self.by_holder.iter().filter_map(|(holder, member)| {
            Some(AnsweredMember {
                holder,
                last_answered: member.last_answered?,
                budgets: &member.budgets,
            })
        })
    }

    /// Removes members that have been silent for `IDLE_RETENTION_LEASES` lease durations and hold no quota.
    pub(super) fn remove_idle(
        &mut self,
        now: Time,
        leader_since: Time,
        lease_duration: Time,
        table: &QuotaTable,
    ) {
        let retention = lease_duration.scaled(IDLE_RETENTION_LEASES);
        let holds_quota = |holder: &Holder| {
            let mut budgets = table.budgets.values();
            budgets.any(|budget| budget.quotas.contains_key(holder))
        };
        self.by_holder.retain(|holder, member| {
            let last_event = member
                .budgets
                .values()
                .map(|state| state.received_at)
                .chain(member.terminated_at)
                .max()
                .unwrap_or(leader_since);
            now < last_event + retention || holds_quota(holder)
        });
    }
}
