//! Granting units: the target of each live member for a budget, and which raises follow from the targets.

use super::context::LeaseContext;
use crate::{allocate, Budget, Claim, Command, Holder, Quota};
use cottondyke_types::Time;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// A target is lowered only if the decrease is at least this fraction of it: otherwise the allocation would fluctuate
/// with every change in need.
const MIN_RELATIVE_DECREASE: f64 = 0.125;

/// The target of each live holder for one budget, in units.
pub(super) type Targets = BTreeMap<Holder, u32>;

/// A live holder and its claim.
struct LiveHolder<'a> {
    holder: &'a Holder,
    claim: Claim,
}

/// Units that a holder may use.
fn usable_amount(budget: &Budget, holder: &Holder) -> u32 {
    budget
        .quotas
        .get(holder)
        .filter(|quota| !quota.fenced)
        .map_or(0, |quota| quota.amount)
}

/// Units to divide among the live holders: those of silent holders are quarantined until they can be reclaimed.
fn units_for_live_holders(budget: &Budget, live: &[LiveHolder]) -> u32 {
    let live: BTreeSet<&Holder> = live.iter().map(|live| live.holder).collect();
    let quarantined: u32 = budget
        .quotas
        .iter()
        .filter(|(holder, _)| !live.contains(holder))
        .map(|(_, quota)| quota.amount)
        .sum();
    budget.units.saturating_sub(quarantined)
}

impl LeaseContext<'_> {
    /// Recomputes the targets of the live members for a budget. The previous targets stay while the holders and the
    /// units are the same, all needs are met and the budget is not over-allocated.
    pub(super) fn compute_targets(
        &self,
        now: Time,
        budget_name: &str,
        budget: &Budget,
        previous: Targets,
    ) -> Targets {
        let live = self.live_holders(now, budget_name);
        let claims: Vec<Claim> = live.iter().map(|live| live.claim).collect();
        let units = units_for_live_holders(budget, &live);
        let shares = allocate(units, &claims);
        let over_allocated = budget.allocated() > budget.units;
        let needs_are_met = live
            .iter()
            .zip(&shares)
            .all(|(live, share)| live.claim.need.min(*share) <= usable_amount(budget, live.holder));
        let same_holders = previous.len() == live.len()
            && live.iter().all(|live| previous.contains_key(live.holder));
        // Units that became free since the previous targets were computed are spread as well.
        let all_units_assigned = previous.values().sum::<u32>() == units;
        if same_holders && all_units_assigned && needs_are_met && !over_allocated {
            return previous;
        }
        let damped = |holder: &Holder, share: u32| match previous.get(holder) {
            Some(old)
                if !over_allocated
                    && share < *old
                    && f64::from(old - share) < f64::from(*old) * MIN_RELATIVE_DECREASE =>
            {
                *old
            }
            _ => share,
        };
        live.iter()
            .zip(&shares)
            .map(|(live, share)| (live.holder.clone(), damped(live.holder, *share)))
            .collect()
    }

    fn live_holders<'a>(&'a self, now: Time, budget_name: &'a str) -> Vec<LiveHolder<'a>> {
        let equal_claim = Claim {
            need: 1,
            weight: 1.0,
        };
        self.members
            .running(budget_name)
            .filter(|(_, state)| self.is_live(now, state))
            .map(|(holder, state)| LiveHolder {
                holder,
                claim: if self.config.safeguards.demand {
                    Claim {
                        need: state.demand.needed,
                        weight: state.demand.weight,
                    }
                } else {
                    equal_claim
                },
            })
            .collect()
    }

    /// Adds commands that raise the quotas of holders below their target, as far as units are free. Holders with the
    /// largest shortfall come first.
    pub(super) fn raise_quotas(
        &self,
        budget_name: &str,
        budget: &Budget,
        targets: &Targets,
        commands: &mut Vec<Command>,
    ) {
        let mut free = budget.free();
        let mut by_shortfall: Vec<(&Holder, u32)> = targets
            .iter()
            .map(|(holder, target)| (holder, *target))
            .collect();
        by_shortfall.sort_by_key(|(holder, target)| {
            Reverse(target.saturating_sub(usable_amount(budget, holder)))
        });
        for (holder, target) in by_shortfall {
            let quota = budget.quotas.get(holder);
            let current = quota.map_or(0, |quota| quota.amount);
            let amount = target.min(current + free);
            if amount <= self.known_amount(budget_name, holder, quota)
                || self.fencings.is_pending(budget_name, holder)
            {
                continue;
            }
            free -= amount.saturating_sub(current);
            commands.push(Command::RaiseQuota {
                budget: budget_name.to_string(),
                holder: holder.clone(),
                amount,
                expected_epoch: quota.map(|quota| quota.epoch),
            });
        }
    }

    /// The amount of its quota that the holder knows of. It may be less than the quota; since an amount never increases
    /// within an epoch, the holder then needs a raise to a new epoch to use more again.
    fn known_amount(&self, budget_name: &str, holder: &Holder, quota: Option<&Quota>) -> u32 {
        let Some(quota) = quota.filter(|quota| !quota.fenced) else {
            return 0;
        };
        self.members
            .state(budget_name, holder)
            .map(|state| state.known)
            .filter(|known| known.epoch == quota.epoch)
            .map_or(quota.amount, |known| known.amount)
    }
}
