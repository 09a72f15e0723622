//! Granting units: what each live member is to have of a budget, and which raises follow from that.

use super::context::LeaseContext;
use crate::{allocate, Budget, Claim, Command, Holder, Quota};
use cottondyke_types::Time;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// A target is not lowered by less than this fraction of it: the allocation would wander with every change of a need.
const MIN_RELATIVE_DECREASE: f64 = 0.125;

/// Units that each live holder is to have of one budget.
pub(super) type Targets = BTreeMap<Holder, u32>;

/// A live holder and what it claims.
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

/// Units that are left for live holders: those that silent ones hold are quarantined until they can be taken back.
fn units_for_live(budget: &Budget, live: &[LiveHolder]) -> u32 {
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
    /// Allocates a budget anew among the live members.
    pub(super) fn compute_targets(
        &self,
        now: Time,
        budget_name: &str,
        budget: &Budget,
        previous: Targets,
    ) -> Targets {
        let live = self.live_holders(now, budget_name);
        let claims: Vec<Claim> = live.iter().map(|live| live.claim).collect();
        let units = units_for_live(budget, &live);
        let shares = allocate(units, &claims);
        let over_allocated = budget.allocated() > budget.units;
        let needs_are_met = live
            .iter()
            .zip(&shares)
            .all(|(live, share)| live.claim.need.min(*share) <= usable_amount(budget, live.holder));
        let same_holders = previous.len() == live.len()
            && live.iter().all(|live| previous.contains_key(live.holder));
        // Units that came free since are spread as well.
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

    /// Raises the quotas of holders that have less than their target, as far as units are free.
    pub(super) fn raise_quotas(
        &self,
        budget_name: &str,
        budget: &Budget,
        targets: &Targets,
        commands: &mut Vec<Command>,
    ) {
        let mut free = budget.free();
        let mut by_lack: Vec<(&Holder, u32)> = targets
            .iter()
            .map(|(holder, target)| (holder, *target))
            .collect();
        by_lack.sort_by_key(|(holder, target)| {
            Reverse(target.saturating_sub(usable_amount(budget, holder)))
        });
        for (holder, target) in by_lack {
            let quota = budget.quotas.get(holder);
            let current = quota.map_or(0, |quota| quota.amount);
            let amount = target.min(current + free);
            if amount <= self.notified_amount(budget_name, holder, quota)
                || self.revocations.is_pending(budget_name, holder)
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

    /// What the holder takes its quota to be. That may be less than the quota; since an amount only falls under one
    /// epoch, it then needs a raise to a new epoch to use more again.
    fn notified_amount(&self, budget_name: &str, holder: &Holder, quota: Option<&Quota>) -> u32 {
        let Some(quota) = quota.filter(|quota| !quota.fenced) else {
            return 0;
        };
        self.members
            .state(budget_name, holder)
            .map(|state| state.notified)
            .filter(|notified| notified.epoch == quota.epoch)
            .map_or(quota.amount, |notified| notified.amount)
    }
}
