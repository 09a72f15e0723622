//! The leader's part: who was heard when, what each needs, and which commands follow from it. All of it is this
//! leader's own and starts empty with its leadership; what must outlive it stands in the table.
//!
//! Why a share that was freed cannot be in use any more: a holder's lease counts from before its asking. A leader
//! answers an asking only once a majority confirmed, after it came, that it still leads; so a later leader began
//! after that, and it waits a whole lease from there before it takes a share whose holder it has not heard itself.
use crate::config::DISTANT_PAST;
use crate::{
    allocate, Budget, BudgetSpec, Claim, Command, Demand, Epoch, GrantedQuota, Holder, LeaseConfig,
    LeaseRequest, LeaseResponse, Nonce, Quota, QuotaTable, MAX_CLOCK_DRIFT,
};
use cottondyke_types::Time;
use std::collections::{BTreeMap, BTreeSet};

/// Members that are remembered, askings that wait for a confirmation, and commands made at one time.
const MAX_MEMBERS: usize = 4_096;
const MAX_WAITING: usize = 8_192;
const MAX_COMMANDS: usize = 256;
/// Part of a lease after which commands that were not applied are made again.
const AGAIN: f64 = 0.1;
/// A share is not lowered for less than this part of it: division would wander with every need.
const STEADY: f64 = 0.125;
/// Part of a lease between two divisions: what a division costs grows with the members, and so do their askings.
const ROUND: f64 = 0.003;
/// The same where nobody asked and nothing was applied.
const IDLE: f64 = 0.02;

#[derive(Clone, Debug)]
struct HolderState {
    at: Time,
    want: Demand,
    /// What the holder was told last under this epoch.
    told: Option<(Epoch, u32)>,
}

#[derive(Clone, Debug, Default)]
struct Member {
    budgets: BTreeMap<String, HolderState>,
    /// The last asking that was answered.
    answered: Option<Nonce>,
    /// Since when its process is known to be over.
    over: Option<Time>,
}

/// A share that is kept back, for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuarantinedQuota {
    pub budget: String,
    pub holder: Holder,
    pub units: u32,
    pub until: Time,
}

#[derive(Clone, Debug)]
pub struct LeaseManager {
    terms: LeaseConfig,
    since: Option<Time>,
    members: BTreeMap<Holder, Member>,
    /// Askings that wait for a confirmation, with the one that they wait for.
    waiting: Vec<(u64, LeaseRequest)>,
    /// Confirmations that were asked for.
    round: u64,
    asking: bool,
    /// Shares whose taking was proposed, with the epoch that it is good for: until that is settled their holders are
    /// told nothing of use.
    condemned: BTreeMap<(String, Holder), Epoch>,
    fenced: BTreeMap<(String, Holder), Time>,
    targets: BTreeMap<String, BTreeMap<Holder, u32>>,
    busy: Option<Time>,
    /// When it divided last, and whether anything came since that could change it.
    divided: Time,
    stirred: bool,
}

impl LeaseManager {
    pub fn new(terms: LeaseConfig) -> Self {
        LeaseManager {
            terms,
            since: None,
            members: BTreeMap::new(),
            waiting: Vec::new(),
            round: 0,
            asking: false,
            condemned: BTreeMap::new(),
            fenced: BTreeMap::new(),
            targets: BTreeMap::new(),
            busy: None,
            divided: DISTANT_PAST,
            stirred: true,
        }
    }

    pub fn is_leader(&self) -> bool {
        self.since.is_some()
    }

    /// Leadership began or ended: nothing that an earlier one knew counts.
    pub fn set_leadership(&mut self, since: Option<Time>) {
        let round = self.round + 1;
        *self = LeaseManager {
            since,
            round,
            ..LeaseManager::new(self.terms)
        };
    }

    /// An asking came. It is answered by `confirmed`.
    pub fn handle_request(&mut self, now: Time, ask: LeaseRequest) {
        if self.since.is_none() || self.waiting.len() >= MAX_WAITING {
            return;
        }
        if !self.members.contains_key(&ask.holder) && self.members.len() >= MAX_MEMBERS {
            return;
        }
        if let Some(former) = ask
            .previous_incarnation
            .filter(|life| *life != ask.holder.incarnation)
        {
            let former = Holder {
                name: ask.holder.name.clone(),
                incarnation: former,
            };
            if self.members.contains_key(&former) || self.members.len() < MAX_MEMBERS {
                self.members
                    .entry(former)
                    .or_default()
                    .over
                    .get_or_insert(now);
            }
        }
        self.stirred = true;
        let member = self.members.entry(ask.holder.clone()).or_default();
        for want in &ask.demands {
            let told = member
                .budgets
                .get(&want.budget)
                .and_then(|heard| heard.told);
            // What it holds by its own word, it was told to hold at least.
            let told = told.filter(|(epoch, _)| *epoch == want.epoch);
            let told = told.map_or(want.retained, |(_, amount)| amount.min(want.retained));
            let heard = HolderState {
                at: now,
                want: want.clone(),
                told: Some((want.epoch, told)),
            };
            member.budgets.insert(want.budget.clone(), heard);
        }
        // A round that is under way began before this asking came: it waits for the next one.
        let waits_for = self.round + u64::from(self.asking) + 1;
        self.waiting.push((waits_for, ask));
    }

    /// Asks for a confirmation of leadership, where any asking waits and none is under way.
    pub fn start_read_index(&mut self) -> Option<u64> {
        if self.asking || self.waiting.is_empty() {
            return None;
        }
        self.asking = true;
        Some(self.round + 1)
    }

    /// No word came of the confirmation: another is asked for, and the word of this one, should it still come, is
    /// older than some that wait by then.
    pub fn abort_read_index(&mut self) {
        if std::mem::take(&mut self.asking) {
            self.round += 1;
        }
    }

    /// This leader still led after the confirmation was asked for: askings from before it are answered.
    pub fn handle_read_index(&mut self, round: u64, table: &QuotaTable) -> Vec<LeaseResponse> {
        if round != self.round + 1 {
            return Vec::new();
        }
        (self.round, self.asking) = (round, false);
        let (ready, waits) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(|(at, _)| *at <= round);
        self.waiting = waits;
        let ready: Vec<(u64, LeaseRequest)> = ready;
        ready
            .into_iter()
            .map(|(_, ask)| self.answer(&ask, table))
            .collect()
    }

    fn answer(&mut self, ask: &LeaseRequest, table: &QuotaTable) -> LeaseResponse {
        // A share that is gone is told as nothing: the lease that this answer brings must not revive what its holder
        // had before, when it was silent for so long that nothing is kept back of it any more.
        let gone = |want: &Demand| GrantedQuota {
            budget: want.budget.clone(),
            epoch: want.epoch,
            amount: 0,
        };
        let amount = |want: &Demand| {
            self.amount(&want.budget, &ask.holder, table)
                .unwrap_or_else(|| gone(want))
        };
        let amounts: Vec<GrantedQuota> = ask.demands.iter().map(amount).collect();
        if let Some(member) = self.members.get_mut(&ask.holder) {
            member.answered = member.answered.max(Some(ask.nonce));
            for told in &amounts {
                if let Some(heard) = member.budgets.get_mut(&told.budget) {
                    heard.told = Some((told.epoch, told.amount));
                }
            }
        }
        LeaseResponse {
            holder: ask.holder.clone(),
            nonce: ask.nonce,
            granted: amounts,
        }
    }

    /// What a holder may use: its share, or less where it is to shrink.
    fn amount(&self, budget: &str, holder: &Holder, table: &QuotaTable) -> Option<GrantedQuota> {
        let Quota {
            amount,
            epoch,
            fenced,
        } = *table.budgets.get(budget)?.quotas.get(holder)?;
        let lost = fenced
            || self
                .condemned
                .contains_key(&(budget.to_string(), holder.clone()));
        let target = self
            .targets
            .get(budget)
            .and_then(|of| of.get(holder))
            .copied()
            .unwrap_or(amount);
        let amount = if lost { 0 } else { amount.min(target) };
        Some(GrantedQuota {
            budget: budget.to_string(),
            epoch,
            amount,
        })
    }

    /// Words to holders that were answered and whose share differs now from what they know.
    pub fn pending_notifications(&mut self, table: &QuotaTable) -> Vec<LeaseResponse> {
        let mut out = Vec::new();
        let holders: Vec<Holder> = self.members.keys().cloned().collect();
        for holder in holders {
            let member = &self.members[&holder];
            let Some(nonce) = member.answered else {
                continue;
            };
            let differs = |heard: &HolderState, told: &GrantedQuota| match heard.told {
                Some((epoch, amount)) => {
                    told.epoch > epoch || (told.epoch == epoch && told.amount < amount)
                }
                None => true,
            };
            let now = member.budgets.iter().filter_map(|(budget, heard)| {
                self.amount(budget, &holder, table)
                    .filter(|told| differs(heard, told))
            });
            let told: Vec<GrantedQuota> = now.collect();
            if told.is_empty() {
                continue;
            }
            if let Some(member) = self.members.get_mut(&holder) {
                for told in &told {
                    let heard = member.budgets.get_mut(&told.budget);
                    heard
                        .into_iter()
                        .for_each(|heard| heard.told = Some((told.epoch, told.amount)));
                }
            }
            out.push(LeaseResponse {
                holder,
                nonce,
                granted: told,
            });
        }
        out
    }

    /// Commands were applied: what was proposed may be settled.
    pub fn handle_applied(&mut self, table: &QuotaTable) {
        (self.busy, self.stirred) = (None, true);
        self.condemned.retain(|(budget, holder), was| {
            let share = table
                .budgets
                .get(budget)
                .and_then(|whole| whole.quotas.get(holder));
            // A raise may have come in between: then the taking is void.
            share.is_some_and(|share| share.epoch == *was)
        });
        let condemned = &self.condemned;
        self.fenced.retain(|of, _| {
            let share = table
                .budgets
                .get(&of.0)
                .and_then(|whole| whole.quotas.get(&of.1));
            // Commands proposed with the fence may be applied before it.
            condemned.contains_key(of) || share.is_some_and(|share| share.fenced)
        });
    }

    /// A holder's lease on this clock, at the longest.
    fn lease_here(&self) -> Time {
        self.terms.lease_duration.scaled(1.0 + MAX_CLOCK_DRIFT) + Time(1)
    }

    /// When a holder's share is free again, and how much of it stays back then.
    fn ends(
        &self,
        since: Time,
        budget: &str,
        whole: &Budget,
        holder: &Holder,
        share: &Quota,
    ) -> (Time, u32) {
        let linger = if self.terms.safeguards.post_cancel_grace {
            whole.post_cancel_grace()
        } else {
            Time(0)
        };
        let member = self.members.get(holder);
        let heard = member
            .and_then(|m| m.budgets.get(budget))
            .map_or(since, |heard| heard.at);
        let lease = heard + self.lease_here() + linger;
        match member.and_then(|m| m.over) {
            // Its connections ended with it: only what lingers is left.
            Some(over) => (lease.min(over + linger), 0),
            None if share.fenced => {
                let from = self
                    .fenced
                    .get(&(budget.to_string(), holder.clone()))
                    .copied()
                    .unwrap_or(since);
                (from + self.terms.max_process_pause, 0)
            }
            None => (lease, 1),
        }
    }

    /// What is kept back of all budgets, and until when by this leader's clock.
    pub fn quarantined(&self, now: Time, table: &QuotaTable) -> Vec<QuarantinedQuota> {
        let Some(since) = self.since else {
            return Vec::new();
        };
        let all = table
            .budgets
            .iter()
            .flat_map(|(budget, whole)| whole.quotas.iter().map(move |s| (budget, whole, s)));
        let silent = all.filter(|(budget, _, (holder, share))| {
            share.fenced || !self.live(now, since, budget, holder)
        });
        silent
            .map(|(budget, whole, (holder, share))| QuarantinedQuota {
                budget: budget.clone(),
                holder: holder.clone(),
                units: share.amount,
                until: self.ends(since, budget, whole, holder, share).0,
            })
            .collect()
    }

    /// What each live member is to have.
    pub fn targets(&self, budget: &str) -> Vec<(String, u32)> {
        let of = self.targets.get(budget);
        of.into_iter()
            .flatten()
            .map(|(holder, units)| (holder.name.clone(), *units))
            .collect()
    }

    /// Whether a holder was heard of a budget within a lease.
    fn live(&self, now: Time, since: Time, budget: &str, holder: &Holder) -> bool {
        let heard = self
            .members
            .get(holder)
            .filter(|m| m.over.is_none())
            .and_then(|m| m.budgets.get(budget));
        heard.is_some_and(|heard| heard.at >= since && now < heard.at + self.terms.lease_duration)
    }

    /// When `commands` and `news` are due next.
    pub fn next_run(&self) -> Time {
        let part = if self.stirred { ROUND } else { IDLE };
        self.divided + self.terms.lease_duration.scaled(part)
    }

    /// What to propose now; `budgets` are those of the leader's file.
    pub fn plan_commands(
        &mut self,
        now: Time,
        table: &QuotaTable,
        budgets: &[BudgetSpec],
    ) -> Vec<Command> {
        let Some(since) = self.since else {
            return Vec::new();
        };
        (self.divided, self.stirred) = (now, false);
        if self
            .busy
            .is_some_and(|at| now < at + self.terms.lease_duration.scaled(AGAIN))
        {
            return Vec::new();
        }
        let mut out = Vec::new();
        for spec in budgets {
            let stands = table.budgets.get(&spec.name);
            let same = |w: &Budget| {
                w.units == spec.units
                    && (w.post_cancel_grace() == spec.post_cancel_grace
                        || w.post_cancel_grace() > spec.post_cancel_grace && !w.quotas.is_empty())
            };
            if !stands.is_some_and(same) {
                out.push(Command::SetBudget {
                    budget: spec.name.clone(),
                    units: spec.units,
                    post_cancel_grace: spec.post_cancel_grace.0,
                });
            }
        }
        if !table.open {
            let linger = budgets
                .iter()
                .map(|spec| spec.post_cancel_grace)
                .max()
                .unwrap_or_default();
            if now >= since + self.lease_here() + linger {
                out.push(Command::Open);
            }
        }
        for (budget, whole) in table.budgets.iter().filter(|_| table.open) {
            self.take_back(now, since, budget, whole, &mut out);
            self.raise(now, since, budget, whole, &mut out);
        }
        out.truncate(MAX_COMMANDS);
        for command in &out {
            if let Command::FenceHolder {
                budget,
                holder,
                quarantined,
                expected_epoch,
            } = command
            {
                self.condemned
                    .insert((budget.clone(), holder.clone()), *expected_epoch);
                if *quarantined > 0 {
                    self.fenced.insert((budget.clone(), holder.clone()), now);
                }
            }
        }
        self.busy = (!out.is_empty()).then_some(now);
        self.forget(now, since, table);
        out
    }

    /// Shares that ran out, and those whose holders said that they hold less.
    fn take_back(
        &self,
        now: Time,
        since: Time,
        budget: &str,
        whole: &Budget,
        out: &mut Vec<Command>,
    ) {
        for (holder, share) in &whole.quotas {
            let (at, keep) = self.ends(since, budget, whole, holder, share);
            let heard = self.members.get(holder).and_then(|m| m.budgets.get(budget));
            // One that was condemned is told of nothing until that is settled, though it may have asked meanwhile.
            let condemned =
                self.condemned.get(&(budget.to_string(), holder.clone())) == Some(&share.epoch);
            if now >= at || condemned {
                let (budget, holder) = (budget.to_string(), holder.clone());
                out.push(Command::FenceHolder {
                    budget,
                    holder,
                    quarantined: keep,
                    expected_epoch: share.epoch,
                });
            } else if let Some(want) = heard.map(|heard| &heard.want).filter(|_| !share.fenced) {
                let fits = want.epoch == share.epoch || !self.terms.safeguards.fence;
                if fits && want.retained < share.amount {
                    let (budget, holder) = (budget.to_string(), holder.clone());
                    out.push(Command::LowerQuota {
                        budget,
                        holder,
                        amount: want.retained,
                        expected_epoch: share.epoch,
                    });
                }
            }
        }
    }

    /// Divides anew what the live members may have, and raises those that have less, as far as units are free.
    fn raise(
        &mut self,
        now: Time,
        since: Time,
        budget: &str,
        whole: &Budget,
        out: &mut Vec<Command>,
    ) {
        let mut live: Vec<(Holder, Claim)> = Vec::new();
        for (holder, member) in &self.members {
            if let Some(heard) = member
                .budgets
                .get(budget)
                .filter(|_| self.live(now, since, budget, holder))
            {
                let need = if self.terms.safeguards.demand {
                    heard.want.needed
                } else {
                    1
                };
                let weight = if self.terms.safeguards.demand {
                    heard.want.weight
                } else {
                    1.0
                };
                live.push((holder.clone(), Claim { need, weight }));
            }
        }
        let there: BTreeSet<&Holder> = live.iter().map(|(holder, _)| holder).collect();
        let silent = |holder: &Holder| !there.contains(holder);
        let kept: u32 = whole
            .quotas
            .iter()
            .filter(|(h, _)| silent(h))
            .map(|(_, s)| s.amount)
            .sum();
        let claims: Vec<Claim> = live.iter().map(|(_, claim)| *claim).collect();
        let parts = allocate(whole.units.saturating_sub(kept), &claims);
        let before = self.targets.remove(budget).unwrap_or_default();
        let amount = |holder: &Holder| {
            whole
                .quotas
                .get(holder)
                .filter(|s| !s.fenced)
                .map_or(0, |s| s.amount)
        };
        let over = whole.allocated() > whole.units;
        let hungry = live
            .iter()
            .zip(&parts)
            .any(|((h, claim), part)| claim.need.min(*part) > amount(h));
        let same = before.len() == live.len() && live.iter().all(|(h, _)| before.contains_key(h));
        // What fell free since is spread as well.
        let all = before.values().sum::<u32>() == whole.units.saturating_sub(kept);
        let targets: BTreeMap<Holder, u32> = if same && all && !hungry && !over {
            before
        } else {
            let steady = |holder: &Holder, part: u32| match before.get(holder) {
                Some(old)
                    if !over && part < *old && f64::from(old - part) < f64::from(*old) * STEADY =>
                {
                    *old
                }
                _ => part,
            };
            live.iter()
                .zip(&parts)
                .map(|((h, _), part)| (h.clone(), steady(h, *part)))
                .collect()
        };
        let mut free = whole.free();
        // Those that lack most come first.
        let mut wanting: Vec<(&Holder, u32)> =
            targets.iter().map(|(h, target)| (h, *target)).collect();
        wanting.sort_by_key(|(h, target)| std::cmp::Reverse(target.saturating_sub(amount(h))));
        for (holder, target) in wanting {
            let share = whole.quotas.get(holder).copied();
            let told = self
                .members
                .get(holder)
                .and_then(|m| m.budgets.get(budget))
                .and_then(|heard| heard.told);
            let knows = match (share, told) {
                (Some(share), Some((epoch, amount))) if epoch == share.epoch && !share.fenced => {
                    amount
                }
                (Some(share), _) if !share.fenced => share.amount,
                _ => 0,
            };
            let had = share.map_or(0, |s| s.amount);
            let to = target.min(had + free);
            if to > knows
                && !self
                    .condemned
                    .contains_key(&(budget.to_string(), holder.clone()))
            {
                free -= to.saturating_sub(had);
                let was = share.map(|s| s.epoch);
                out.push(Command::RaiseQuota {
                    budget: budget.to_string(),
                    holder: holder.clone(),
                    amount: to,
                    expected_epoch: was,
                });
            }
        }
        self.targets.insert(budget.to_string(), targets);
    }

    /// Members of whom nothing is left are forgotten.
    fn forget(&mut self, now: Time, since: Time, table: &QuotaTable) {
        let span = self.terms.lease_duration.scaled(2.0);
        let holds = |h: &Holder| {
            table
                .budgets
                .values()
                .any(|whole| whole.quotas.contains_key(h))
        };
        self.members.retain(|holder, member| {
            let last = member
                .budgets
                .values()
                .map(|heard| heard.at)
                .chain(member.over)
                .max()
                .unwrap_or(since);
            now < last + span || holds(holder)
        });
    }
}
