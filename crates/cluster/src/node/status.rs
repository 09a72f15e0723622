//! The status of a node, for operators.

use super::ClusterNode;
use crate::status::{BudgetStatus, NodeStatus, QuarantineStatus, QuotaStatus};
use cottondyke_quota::{Budget, Holder, QuarantinedQuota};
use cottondyke_types::Time;

/// The unit of [`Time`] is a tenth of a millisecond.
const TIME_UNITS_PER_MILLISECOND: i64 = 10;

impl ClusterNode {
    /// The status of the cluster as this node sees it.
    pub fn status(&self, now: Time) -> NodeStatus {
        let replica = self.replica_host.as_ref().map(|host| &host.replica);
        let quotas = self
            .budget_names()
            .map(|budget| (budget.clone(), self.available_quota(now, budget)));
        let budgets = self
            .quota_table()
            .into_iter()
            .flat_map(|table| &table.budgets);
        let quarantined = self.quarantined(now);
        NodeStatus {
            name: self.config.holder.name.clone(),
            incarnation: self.config.holder.incarnation,
            leader: self.known_leader().cloned(),
            is_leader: self.is_leader(),
            members: self.members(),
            is_replica: replica.is_some_and(|r| r.is_initialized() && !r.has_failed()),
            lease_ms: remaining_ms(now, self.lease_holder.latest_lease_expiry()),
            quotas: quotas.collect(),
            budgets: budgets
                .map(|(name, budget)| budget_status(name, budget))
                .collect(),
            quarantined: quarantined
                .into_iter()
                .map(|quota| quarantine_status(now, quota))
                .collect(),
        }
    }
}

fn budget_status(name: &str, budget: &Budget) -> BudgetStatus {
    let quotas = budget.quotas.iter().map(|(holder, quota)| QuotaStatus {
        holder: holder_label(holder),
        amount: quota.amount,
        epoch: quota.epoch.0,
        fenced: quota.fenced,
    });
    BudgetStatus {
        name: name.to_string(),
        units: budget.units,
        expiry_grace_ms: budget.expiry_grace / TIME_UNITS_PER_MILLISECOND,
        quotas: quotas.collect(),
    }
}

fn quarantine_status(now: Time, quota: QuarantinedQuota) -> QuarantineStatus {
    QuarantineStatus {
        budget: quota.budget,
        holder: holder_label(&quota.holder),
        units: quota.units,
        remaining_ms: remaining_ms(now, quota.until),
    }
}

fn holder_label(holder: &Holder) -> String {
    format!("{}.{}", holder.name, holder.incarnation)
}

/// Milliseconds until `end`; 0 if it has passed.
fn remaining_ms(now: Time, end: Time) -> i64 {
    ((end - now).0 / TIME_UNITS_PER_MILLISECOND).max(0)
}
