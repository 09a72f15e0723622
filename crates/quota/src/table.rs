//! The replicated state: the budgets, and the quota and epoch of each holder. It changes only by committed commands, in
//! the order of the log, and is the same on every replica that applied the same commands.
//!
//! The order of the fields is the snapshot's format (postcard) and must not change.

use crate::{Command, CommandRejected, Epoch, Holder, MAX_BUDGETS, MAX_HOLDERS};
use cottondyke_types::Time;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The share of one budget that is granted to one holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quota {
    /// The quota's size in units.
    pub amount: u32,
    /// The epoch that the last raise or fencing assigned.
    pub epoch: Epoch,
    /// Whether the lease expired and the rest of the quota is quarantined, for a call that a suspended process may
    /// still send.
    pub fenced: bool,
}

/// A number of units shared by all members, and their quotas.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Budget {
    /// Units that all members together may use.
    pub units: u32,
    /// How long a unit can stay in use at most after its holder's lease expired, in tenths of a millisecond: for a
    /// budget of calls the longest duration of a call, for a budget of calls per second the window of the rate.
    #[serde(rename = "post_cancel_grace")]
    pub expiry_grace: i64,
    /// The quotas in force, quarantined ones included.
    pub quotas: BTreeMap<Holder, Quota>,
}

impl Budget {
    /// Units that are granted or quarantined.
    pub fn allocated(&self) -> u32 {
        self.quotas.values().map(|quota| quota.amount).sum()
    }

    /// Units that are neither granted nor quarantined; 0 while the budget is over-allocated.
    pub fn free(&self) -> u32 {
        self.units.saturating_sub(self.allocated())
    }

    /// The field of the same name as a duration.
    pub fn expiry_grace(&self) -> Time {
        Time(self.expiry_grace)
    }

    /// The quota of a holder if its epoch is the expected one.
    fn quota_at(
        &mut self,
        holder: &Holder,
        expected: Epoch,
    ) -> Result<&mut Quota, CommandRejected> {
        let found = self.quotas.get(holder).map(|quota| quota.epoch);
        self.quotas
            .get_mut(holder)
            .filter(|quota| quota.epoch == expected)
            .ok_or(CommandRejected::StaleEpoch {
                expected: Some(expected),
                found,
            })
    }

    fn raise(
        &mut self,
        holder: &Holder,
        amount: u32,
        expected: Option<Epoch>,
        epoch: Epoch,
    ) -> Result<(), CommandRejected> {
        let current = self.quotas.get(holder).copied();
        let found = current.map(|quota| quota.epoch);
        if found != expected {
            return Err(CommandRejected::StaleEpoch { expected, found });
        }
        if current.is_none() && self.quotas.len() >= MAX_HOLDERS {
            return Err(CommandRejected::TableFull { limit: MAX_HOLDERS });
        }
        let current_amount = current.map_or(0, |quota| quota.amount);
        let needed = amount.saturating_sub(current_amount);
        let free = self.free();
        if needed > free {
            return Err(CommandRejected::BudgetExceeded { needed, free });
        }
        let raised = Quota {
            amount: amount.max(current_amount),
            epoch,
            fenced: false,
        };
        self.quotas.insert(holder.clone(), raised);
        Ok(())
    }

    fn lower(
        &mut self,
        holder: &Holder,
        amount: u32,
        expected: Epoch,
    ) -> Result<(), CommandRejected> {
        let quota = self.quota_at(holder, expected)?;
        quota.amount = quota.amount.min(amount);
        Ok(())
    }

    fn fence(
        &mut self,
        holder: &Holder,
        quarantined: u32,
        expected: Epoch,
        epoch: Epoch,
    ) -> Result<(), CommandRejected> {
        let quota = self.quota_at(holder, expected)?;
        let amount = quota.amount.min(quarantined);
        if amount == 0 {
            self.quotas.remove(holder);
        } else {
            *quota = Quota {
                amount,
                epoch,
                fenced: true,
            };
        }
        Ok(())
    }
}

/// The replicated state machine: all budgets with their quotas.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaTable {
    /// Whether quotas may be granted. Until this is set, leases of an earlier cluster that lost all its disks may still
    /// be in force.
    pub open: bool,
    /// The budgets by name.
    pub budgets: BTreeMap<String, Budget>,
    last_epoch: Epoch,
}

impl QuotaTable {
    /// Applies a committed command.
    ///
    /// # Errors
    ///
    /// If the command does not match the current state. It then changes nothing, except that a rejected raise on an
    /// open table and a rejected fencing consume an epoch; every replica must do so to stay identical.
    pub fn apply(&mut self, command: &Command) -> Result<(), CommandRejected> {
        match command {
            Command::Open => {
                self.open = true;
                Ok(())
            }
            Command::SetBudget {
                budget,
                units,
                expiry_grace,
            } => self.set_budget(budget, *units, *expiry_grace),
            Command::RaiseQuota {
                budget,
                holder,
                amount,
                expected_epoch,
            } => {
                if !self.open {
                    return Err(CommandRejected::NotOpen);
                }
                let epoch = self.next_epoch();
                self.budget_mut(budget)?
                    .raise(holder, *amount, *expected_epoch, epoch)
            }
            Command::LowerQuota {
                budget,
                holder,
                amount,
                expected_epoch,
            } => self
                .budget_mut(budget)?
                .lower(holder, *amount, *expected_epoch),
            Command::FenceHolder {
                budget,
                holder,
                quarantined,
                expected_epoch,
            } => {
                let epoch = self.next_epoch();
                self.budget_mut(budget)?
                    .fence(holder, *quarantined, *expected_epoch, epoch)
            }
        }
    }

    /// The quota of one holder.
    pub(crate) fn quota(&self, budget: &str, holder: &Holder) -> Option<&Quota> {
        self.budgets.get(budget)?.quotas.get(holder)
    }

    fn next_epoch(&mut self) -> Epoch {
        self.last_epoch.0 += 1;
        self.last_epoch
    }

    fn budget_mut(&mut self, name: &str) -> Result<&mut Budget, CommandRejected> {
        self.budgets
            .get_mut(name)
            .ok_or_else(|| CommandRejected::UnknownBudget {
                budget: name.to_string(),
            })
    }

    fn set_budget(
        &mut self,
        name: &str,
        units: u32,
        expiry_grace: i64,
    ) -> Result<(), CommandRejected> {
        if !self.budgets.contains_key(name) && self.budgets.len() >= MAX_BUDGETS {
            return Err(CommandRejected::TableFull { limit: MAX_BUDGETS });
        }
        let budget = self.budgets.entry(name.to_string()).or_default();
        // Calls in flight may have been sent under the longer grace, so it is not reduced while there are quotas.
        let min_grace = if budget.quotas.is_empty() {
            0
        } else {
            budget.expiry_grace
        };
        budget.units = units;
        budget.expiry_grace = expiry_grace.max(min_grace);
        Ok(())
    }
}
