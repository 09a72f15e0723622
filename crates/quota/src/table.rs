//! What is agreed of budgets: wholes, and who holds how much under which epoch. It changes by commands alone, in
//! their order, and is the same wherever the same commands were applied.
use crate::{MAX_BUDGETS, MAX_HOLDERS};
use cottondyke_types::Time;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Fences: each change of what a share allows upwards, and each taking away, has a number of its own.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Epoch(pub u64);

/// One life of a member: its name, and a number that differs from life to life. Two processes of one name are two
/// holders.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Holder {
    pub name: String,
    pub incarnation: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quota {
    pub amount: u32,
    pub epoch: Epoch,
    /// Its lease ran out; what is left of it is kept back for a call that may have slipped.
    pub fenced: bool,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Budget {
    pub units: u32,
    /// The longest, in tenths of a millisecond, that a unit is in use after its holder's lease: a call's time limit
    /// and how long it may go on at the dependency, or the window of a rate.
    pub post_cancel_grace: i64,
    pub quotas: BTreeMap<Holder, Quota>,
}

impl Budget {
    /// Units that are someone's, or kept back.
    pub fn taken(&self) -> u32 {
        self.quotas.values().map(|share| share.amount).sum()
    }

    pub fn free(&self) -> u32 {
        self.units.saturating_sub(self.taken())
    }

    pub fn post_cancel_grace(&self) -> Time {
        Time(self.post_cancel_grace)
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Nothing that was promised before this table began is in force any longer.
    Open,
    /// A whole is this much from now on. Made smaller, nothing is raised until shares are given back.
    SetBudget {
        budget: String,
        units: u32,
        post_cancel_grace: i64,
    },
    /// A holder gets more: refused where that would pass the whole, or another change came first.
    RaiseQuota {
        budget: String,
        holder: Holder,
        to: u32,
        was: Option<Epoch>,
    },
    /// A holder said that it holds no more than this.
    LowerQuota {
        budget: String,
        holder: Holder,
        to: u32,
        was: Epoch,
    },
    /// A lease ran out, with all that can linger: `keep` units of it stay back.
    FenceHolder {
        budget: String,
        holder: Holder,
        keep: u32,
        was: Epoch,
    },
}

/// Why a command changed nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandRejected {
    UnknownBudget,
    NotOpen,
    /// It was made from another state than the one it met.
    StaleEpoch,
    BudgetExceeded,
    /// The table has no more room.
    TableFull,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaTable {
    /// Until then nothing is granted: an earlier registry, lost with all its disks, may have leases in force.
    pub open: bool,
    pub budgets: BTreeMap<String, Budget>,
    last_epoch: Epoch,
}

impl QuotaTable {
    fn next(&mut self) -> Epoch {
        self.last_epoch.0 += 1;
        self.last_epoch
    }

    pub fn apply(&mut self, command: &Command) -> Result<(), CommandRejected> {
        match command {
            Command::Open => {
                self.open = true;
                Ok(())
            }
            Command::SetBudget {
                budget,
                units,
                post_cancel_grace: linger,
            } => {
                if !self.budgets.contains_key(budget) && self.budgets.len() >= MAX_BUDGETS {
                    return Err(CommandRejected::TableFull);
                }
                let whole = self.budgets.entry(budget.clone()).or_default();
                // Calls in hand may have been sent under the longer one.
                let in_use = !whole.quotas.is_empty();
                (whole.units, whole.post_cancel_grace) = (
                    *units,
                    if in_use {
                        (*linger).max(whole.post_cancel_grace)
                    } else {
                        (*linger).max(0)
                    },
                );
                Ok(())
            }
            Command::RaiseQuota {
                budget,
                holder,
                to,
                was,
            } => {
                if !self.open {
                    return Err(CommandRejected::NotOpen);
                }
                let epoch = self.next();
                let whole = self
                    .budgets
                    .get_mut(budget)
                    .ok_or(CommandRejected::UnknownBudget)?;
                let now = whole.quotas.get(holder).copied();
                if now.map(|share| share.epoch) != *was {
                    return Err(CommandRejected::StaleEpoch);
                }
                if now.is_none() && whole.quotas.len() >= MAX_HOLDERS {
                    return Err(CommandRejected::TableFull);
                }
                let more = to.saturating_sub(now.map_or(0, |share| share.amount));
                if more > whole.free() {
                    return Err(CommandRejected::BudgetExceeded);
                }
                let amount = (*to).max(now.map_or(0, |share| share.amount));
                whole.quotas.insert(
                    holder.clone(),
                    Quota {
                        amount,
                        epoch,
                        fenced: false,
                    },
                );
                Ok(())
            }
            Command::LowerQuota {
                budget,
                holder,
                to,
                was,
            } => {
                let whole = self
                    .budgets
                    .get_mut(budget)
                    .ok_or(CommandRejected::UnknownBudget)?;
                let share = whole
                    .quotas
                    .get_mut(holder)
                    .filter(|share| share.epoch == *was);
                let share = share.ok_or(CommandRejected::StaleEpoch)?;
                share.amount = share.amount.min(*to);
                Ok(())
            }
            Command::FenceHolder {
                budget,
                holder,
                keep,
                was,
            } => {
                let epoch = self.next();
                let whole = self
                    .budgets
                    .get_mut(budget)
                    .ok_or(CommandRejected::UnknownBudget)?;
                let share = whole
                    .quotas
                    .get_mut(holder)
                    .filter(|share| share.epoch == *was);
                let share = share.ok_or(CommandRejected::StaleEpoch)?;
                let amount = share.amount.min(*keep);
                if amount == 0 {
                    whole.quotas.remove(holder);
                } else {
                    *share = Quota {
                        amount,
                        epoch,
                        fenced: true,
                    };
                }
                Ok(())
            }
        }
    }
}
