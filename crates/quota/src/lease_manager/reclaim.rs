//! Reclaiming quotas: when the units of a quota can no longer be in use, and which commands follow from that.

use super::context::{max_lease_duration, LeaseContext};
use crate::{Budget, Command, Holder, Quota, QuotaTable};
use cottondyke_types::Time;

/// Units of a fenced quota that stay quarantined: a suspended process sends one call when it resumes, and checks its
/// lease before the next one.
const QUARANTINED_UNITS: u32 = 1;

/// Units of a fenced or silent holder, which are not granted to other members yet. Shown to operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuarantinedQuota {
    /// The budget's name.
    pub budget: String,
    /// Whose quota it is or was.
    pub holder: Holder,
    /// The number of quarantined units.
    pub units: u32,
    /// When the leader reclaims them, on its own clock. Of a quota that is not fenced yet, `QUARANTINED_UNITS` then
    /// stay quarantined for `max_process_pause`.
    pub until: Time,
}

/// When a quota, or the quarantined part of it, can be reclaimed.
struct Reclaimable {
    /// The time on the leader's clock.
    at: Time,
    /// Units of the quota that must be quarantined from then on.
    quarantined: u32,
}

impl LeaseContext<'_> {
    /// When the quota's units can no longer be in use.
    fn reclaimable(
        &self,
        budget_name: &str,
        budget: &Budget,
        holder: &Holder,
        quota: &Quota,
    ) -> Reclaimable {
        let grace = if self.config.safeguards.expiry_grace {
            budget.expiry_grace()
        } else {
            Time(0)
        };
        // A holder from which this leader received no request may have a lease from the previous leader, but none that
        // started after this leadership began.
        let lease_start = self
            .members
            .state(budget_name, holder)
            .map_or(self.leader_since, |state| state.received_at);
        let grace_end = lease_start + max_lease_duration(self.config) + grace;
        if let Some(terminated_at) = self.members.terminated_at(holder) {
            // The process's connections closed when it ended: only calls that the dependency continues to process
            // remain.
            return Reclaimable {
                at: grace_end.min(terminated_at + grace),
                quarantined: 0,
            };
        }
        if quota.fenced {
            let fenced_at = self
                .fencings
                .fenced_at(budget_name, holder)
                .unwrap_or(self.leader_since);
            return Reclaimable {
                at: fenced_at + self.config.max_process_pause,
                quarantined: 0,
            };
        }
        Reclaimable {
            at: grace_end,
            quarantined: QUARANTINED_UNITS,
        }
    }

    /// Adds commands that fence the holders whose quotas can be reclaimed, and that lower the quotas of holders that
    /// reported to retain less.
    pub(super) fn reclaim_expired(
        &self,
        now: Time,
        budget_name: &str,
        budget: &Budget,
        commands: &mut Vec<Command>,
    ) {
        for (holder, quota) in &budget.quotas {
            let reclaimable = self.reclaimable(budget_name, budget, holder, quota);
            // A proposed fencing that is neither applied nor rejected yet is proposed again, even if the holder has
            // sent a request since: until then, the holder is granted nothing.
            let pending = self
                .fencings
                .is_pending_at(budget_name, holder, quota.epoch);
            if now >= reclaimable.at || pending {
                commands.push(Command::FenceHolder {
                    budget: budget_name.to_string(),
                    holder: holder.clone(),
                    quarantined: reclaimable.quarantined,
                    expected_epoch: quota.epoch,
                });
            } else if let Some(retained) = self.retained_below(budget_name, holder, quota) {
                commands.push(Command::LowerQuota {
                    budget: budget_name.to_string(),
                    holder: holder.clone(),
                    amount: retained,
                    expected_epoch: quota.epoch,
                });
            }
        }
    }

    /// The units that the holder reported to retain, if these are fewer than its quota.
    fn retained_below(&self, budget_name: &str, holder: &Holder, quota: &Quota) -> Option<u32> {
        let demand = &self.members.state(budget_name, holder)?.demand;
        let is_current = demand.epoch == quota.epoch || !self.config.safeguards.fence;
        (!quota.fenced && is_current && demand.retained < quota.amount).then_some(demand.retained)
    }

    /// The quotas of all holders that are fenced or silent.
    pub(super) fn quarantined(&self, now: Time, table: &QuotaTable) -> Vec<QuarantinedQuota> {
        let mut quarantined = Vec::new();
        for (budget_name, budget) in &table.budgets {
            for (holder, quota) in &budget.quotas {
                let is_live = self
                    .members
                    .running_state(budget_name, holder)
                    .is_some_and(|state| self.is_live(now, state));
                if is_live && !quota.fenced {
                    continue;
                }
                quarantined.push(QuarantinedQuota {
                    budget: budget_name.clone(),
                    holder: holder.clone(),
                    units: quota.amount,
                    until: self.reclaimable(budget_name, budget, holder, quota).at,
                });
            }
        }
        quarantined
    }
}
