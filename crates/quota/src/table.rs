//! What is agreed of budgets: wholes, and who holds how much under which epoch. It changes by commands alone, in
//! their order, and is the same wherever the same commands were applied.
use crate::{MOST_BUDGETS, MOST_HOLDERS};
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
    pub life: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    pub amount: u32,
    pub epoch: Epoch,
    /// Its lease ran out; what is left of it is kept back for a call that may have slipped.
    pub fenced: bool,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Whole {
    pub units: u32,
    /// The longest, in tenths of a millisecond, that a unit is in use after its holder's lease: a call's time limit
    /// and how long it may go on at the dependency, or the window of a rate.
    pub linger: i64,
    pub shares: BTreeMap<Holder, Share>,
}

impl Whole {
    /// Units that are someone's, or kept back.
    pub fn taken(&self) -> u32 {
        self.shares.values().map(|share| share.amount).sum()
    }

    pub fn free(&self) -> u32 {
        self.units.saturating_sub(self.taken())
    }

    pub fn linger(&self) -> Time {
        Time(self.linger)
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Nothing that was promised before this table began is in force any longer.
    Open,
    /// A whole is this much from now on. Made smaller, nothing is raised until shares are given back.
    Whole {
        budget: String,
        units: u32,
        linger: i64,
    },
    /// A holder gets more: refused where that would pass the whole, or another change came first.
    Raise {
        budget: String,
        holder: Holder,
        to: u32,
        was: Option<Epoch>,
    },
    /// A holder said that it holds no more than this.
    Lower {
        budget: String,
        holder: Holder,
        to: u32,
        was: Epoch,
    },
    /// A lease ran out, with all that can linger: `keep` units of it stay back.
    Fence {
        budget: String,
        holder: Holder,
        keep: u32,
        was: Epoch,
    },
}

/// Why a command changed nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    NoBudget,
    NotOpen,
    /// It was made from another state than the one it met.
    Outrun,
    OverWhole,
    /// The table has no more room.
    Bound,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    /// Until then nothing is granted: an earlier registry, lost with all its disks, may have leases in force.
    pub open: bool,
    pub budgets: BTreeMap<String, Whole>,
    last: Epoch,
}

impl Table {
    fn next(&mut self) -> Epoch {
        self.last.0 += 1;
        self.last
    }

    pub fn apply(&mut self, command: &Command) -> Result<(), Refused> {
        match command {
            Command::Open => {
                self.open = true;
                Ok(())
            }
            Command::Whole {
                budget,
                units,
                linger,
            } => {
                if !self.budgets.contains_key(budget) && self.budgets.len() >= MOST_BUDGETS {
                    return Err(Refused::Bound);
                }
                let whole = self.budgets.entry(budget.clone()).or_default();
                // Calls in hand may have been sent under the longer one.
                let in_use = !whole.shares.is_empty();
                (whole.units, whole.linger) = (
                    *units,
                    if in_use {
                        (*linger).max(whole.linger)
                    } else {
                        (*linger).max(0)
                    },
                );
                Ok(())
            }
            Command::Raise {
                budget,
                holder,
                to,
                was,
            } => {
                if !self.open {
                    return Err(Refused::NotOpen);
                }
                let epoch = self.next();
                let whole = self.budgets.get_mut(budget).ok_or(Refused::NoBudget)?;
                let now = whole.shares.get(holder).copied();
                if now.map(|share| share.epoch) != *was {
                    return Err(Refused::Outrun);
                }
                if now.is_none() && whole.shares.len() >= MOST_HOLDERS {
                    return Err(Refused::Bound);
                }
                let more = to.saturating_sub(now.map_or(0, |share| share.amount));
                if more > whole.free() {
                    return Err(Refused::OverWhole);
                }
                let amount = (*to).max(now.map_or(0, |share| share.amount));
                whole.shares.insert(
                    holder.clone(),
                    Share {
                        amount,
                        epoch,
                        fenced: false,
                    },
                );
                Ok(())
            }
            Command::Lower {
                budget,
                holder,
                to,
                was,
            } => {
                let whole = self.budgets.get_mut(budget).ok_or(Refused::NoBudget)?;
                let share = whole
                    .shares
                    .get_mut(holder)
                    .filter(|share| share.epoch == *was);
                let share = share.ok_or(Refused::Outrun)?;
                share.amount = share.amount.min(*to);
                Ok(())
            }
            Command::Fence {
                budget,
                holder,
                keep,
                was,
            } => {
                let epoch = self.next();
                let whole = self.budgets.get_mut(budget).ok_or(Refused::NoBudget)?;
                let share = whole
                    .shares
                    .get_mut(holder)
                    .filter(|share| share.epoch == *was);
                let share = share.ok_or(Refused::Outrun)?;
                let amount = share.amount.min(*keep);
                if amount == 0 {
                    whole.shares.remove(holder);
                } else {
                    *share = Share {
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
