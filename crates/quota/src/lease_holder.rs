//! A member's own part: what it may use of each budget now, and what it asks for. It trusts a share until its lease
//! is over by its own clock, counted from before it asked, and not one moment longer.
use crate::config::DISTANT_PAST;
use crate::{Demand, Epoch, Holder, LeaseConfig, LeaseRequest, LeaseResponse, Nonce, MAX_BUDGETS};
use cottondyke_types::Time;
use std::collections::{BTreeMap, VecDeque};

/// Parts of a lease after which it asks again, and after which it asks once more where no answer came.
const RENEW: f64 = 0.25;
const AGAIN: f64 = 0.1;
/// A changed need or a share given back is told no sooner than this part of a lease after the last asking.
const SOON: f64 = 0.01;
/// Askings that may be unanswered; the oldest are forgotten.
const MAX_ASKED: usize = 64;

/// What a member sees of its own use of one budget.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// Units in use, those that linger among them.
    pub in_use: u32,
    pub needed: u32,
    pub weight: f64,
}

#[derive(Clone, Debug)]
struct Mine {
    epoch: Epoch,
    cap: u32,
    /// The end of its lease. Only words that name it lengthen that: one about another budget, come in place of an
    /// answer that was lost, must not revive what this one was before.
    until: Time,
    usage: Usage,
    /// The most that was allowed since use was last told: so much may have been begun meanwhile.
    allowed: u32,
    /// What was last asked, to see what has changed.
    said: (u32, u32, Epoch),
}

impl Default for Mine {
    fn default() -> Self {
        let (usage, never) = (Usage::default(), DISTANT_PAST);
        Mine {
            epoch: Epoch::default(),
            cap: 0,
            until: never,
            usage,
            allowed: 0,
            said: Default::default(),
        }
    }
}

#[derive(Clone, Debug)]
pub struct LeaseHolder {
    me: Holder,
    former: Option<u64>,
    terms: LeaseConfig,
    mine: BTreeMap<String, Mine>,
    nonce: Nonce,
    /// When each asking that is not answered yet was made.
    asked: VecDeque<(Nonce, Time)>,
    last: Option<Time>,
    /// The last asking that was answered, and when it was made.
    answered: (Nonce, Time),
    leaving: bool,
    hurried: bool,
}

impl LeaseHolder {
    /// `former`: an earlier life of this name that is known to be over.
    pub fn new(me: Holder, former: Option<u64>, terms: LeaseConfig) -> Self {
        LeaseHolder {
            me,
            former,
            terms,
            mine: BTreeMap::new(),
            nonce: Nonce(0),
            asked: VecDeque::new(),
            last: None,
            answered: (Nonce(0), DISTANT_PAST),
            leaving: false,
            hurried: false,
        }
    }

    pub fn holder(&self) -> &Holder {
        &self.me
    }

    /// The budgets that are used here; others are given up.
    pub fn set_budgets(&mut self, budgets: impl Iterator<Item = String>) {
        let names: Vec<String> = budgets.take(MAX_BUDGETS).collect();
        self.mine.retain(|name, _| names.contains(name));
        for name in names {
            self.mine.entry(name).or_default();
        }
    }

    /// What is in use at this moment.
    pub fn record_usage(&mut self, budget: &str, usage: Usage) {
        if let Some(mine) = self.mine.get_mut(budget) {
            (mine.usage, mine.allowed) = (usage, mine.cap);
        }
    }

    /// It needs nothing more, and gives back what falls free.
    pub fn release_all(&mut self) {
        self.leaving = true;
    }

    /// Units that may be in use now, lingering ones among them.
    pub fn available(&self, now: Time, budget: &str) -> u32 {
        self.mine
            .get(budget)
            .filter(|_| now < self.valid_until(budget))
            .map_or(0, |mine| mine.cap)
    }

    /// When what `ceiling` says ends by itself.
    pub fn valid_until(&self, budget: &str) -> Time {
        if self.terms.safeguards.lease {
            self.mine
                .get(budget)
                .map_or(DISTANT_PAST, |mine| mine.until)
        } else {
            Time::MAX
        }
    }

    /// When the last of its leases ends.
    pub fn lease_end(&self) -> Time {
        self.mine
            .keys()
            .map(|budget| self.valid_until(budget))
            .max()
            .unwrap_or(DISTANT_PAST)
    }

    pub fn epoch(&self, budget: &str) -> Epoch {
        self.mine
            .get(budget)
            .map_or(Epoch::default(), |mine| mine.epoch)
    }

    /// All that it was ever granted is back.
    pub fn empty(&self) -> bool {
        self.mine
            .values()
            .all(|mine| mine.cap == 0 && mine.usage.in_use == 0)
    }

    fn want(&self, name: &str, mine: &Mine) -> Demand {
        Demand {
            budget: name.to_string(),
            needed: if self.leaving {
                0
            } else {
                mine.usage.needed.max(mine.usage.in_use)
            },
            weight: mine.usage.weight,
            retained: mine.cap.max(mine.usage.in_use).max(mine.allowed),
            epoch: mine.epoch,
        }
    }

    /// The next asking is due soon: the last went to one who could not answer it.
    pub fn renew_soon(&mut self) {
        self.hurried = true;
    }

    /// When the next asking is due; it may be earlier where use changes.
    pub fn next_timer(&self) -> Time {
        let Some(last) = self.last else {
            return DISTANT_PAST;
        };
        let part = match self.asked.is_empty() {
            _ if self.hurried => SOON,
            true => RENEW,
            false => AGAIN,
        };
        last + self.terms.lease_duration.scaled(part)
    }

    /// An asking, where one is due: the time that its lease counts from is now, before it is sent.
    pub fn next_request(&mut self, now: Time) -> Option<LeaseRequest> {
        if self.mine.is_empty() {
            return None;
        }
        let wants: Vec<Demand> = self
            .mine
            .iter()
            .map(|(name, mine)| self.want(name, mine))
            .collect();
        let changed = self.mine.values().zip(&wants).any(|(mine, want)| {
            let (need, holds, epoch) = mine.said;
            // Under a new epoch nothing that was given back before counts.
            want.epoch != epoch
                || want.retained < holds
                || want.needed > need.max(mine.cap)
                || (want.needed == 0) != (need == 0)
        });
        let soon = self
            .last
            .is_none_or(|last| now >= last + self.terms.lease_duration.scaled(SOON));
        if now < self.next_timer() && !(changed && soon) {
            return None;
        }
        for (mine, want) in self.mine.values_mut().zip(&wants) {
            mine.said = (want.needed, want.retained, want.epoch);
        }
        self.nonce.0 += 1;
        self.last = Some(now);
        self.hurried = false;
        self.asked.push_back((self.nonce, now));
        if self.asked.len() > MAX_ASKED {
            self.asked.pop_front();
        }
        Some(LeaseRequest {
            holder: self.me.clone(),
            nonce: self.nonce,
            previous_incarnation: self.former,
            demands: wants,
        })
    }

    /// What the leader told. A late, repeated or foreign word changes nothing for the worse: an answer counts once and
    /// from its own asking, and under the epoch that is known a share only falls.
    pub fn handle_response(&mut self, reply: &LeaseResponse) {
        if reply.holder != self.me {
            return;
        }
        if reply.nonce < self.answered.0 {
            return;
        }
        if reply.nonce > self.answered.0 {
            let Some(asked) = self.asked.iter().find(|(n, _)| *n == reply.nonce).copied() else {
                return;
            };
            self.answered = asked;
            self.asked.retain(|(n, _)| *n > reply.nonce);
        }
        let until = self.answered.1 + self.terms.lease_duration;
        for told in &reply.granted {
            let Some(mine) = self.mine.get_mut(&told.budget) else {
                continue;
            };
            if told.epoch > mine.epoch {
                (mine.epoch, mine.cap) = (told.epoch, told.amount);
                mine.allowed = mine.allowed.max(mine.cap);
            } else if told.epoch == mine.epoch {
                mine.cap = mine.cap.min(told.amount);
            } else {
                continue;
            }
            mine.until = mine.until.max(until);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::{GrantedQuota, Safeguards};

    fn shares() -> LeaseHolder {
        let me = Holder {
            name: "a".into(),
            incarnation: 1,
        };
        let terms = LeaseConfig {
            lease_duration: Time(30_000),
            max_process_pause: Time(0),
            safeguards: Safeguards::default(),
        };
        let mut shares = LeaseHolder::new(me, None, terms);
        shares.set_budgets(["calls".to_string()].into_iter());
        shares
    }

    fn told(shares: &mut LeaseHolder, nonce: Nonce, epoch: u64, amount: u32) {
        let told = vec![GrantedQuota {
            budget: "calls".into(),
            epoch: Epoch(epoch),
            amount,
        }];
        shares.handle_response(&LeaseResponse {
            holder: shares.holder().clone(),
            nonce,
            granted: told,
        });
    }

    /// Guards the ceiling: calls begun after use was last told, and before the share shrank, are not given back.
    #[test]
    fn what_may_have_begun_since_use_was_told_is_not_given_back() {
        let mut shares = shares();
        let first = shares.next_request(Time(0)).unwrap().nonce;
        told(&mut shares, first, 1, 8);
        shares.record_usage(
            "calls",
            Usage {
                in_use: 2,
                needed: 8,
                weight: 1.0,
            },
        );
        // Six more begin here, and before they are told of the share shrinks.
        told(&mut shares, first, 1, 2);
        assert_eq!(shares.available(Time(1), "calls"), 2);
        assert_eq!(
            shares.next_request(Time(29_000)).unwrap().demands[0].retained,
            8
        );
        shares.record_usage(
            "calls",
            Usage {
                in_use: 5,
                needed: 8,
                weight: 1.0,
            },
        );
        assert_eq!(
            shares.next_request(Time(59_000)).unwrap().demands[0].retained,
            5
        );
    }

    /// Guards the ceiling: a lease counts from its asking, an old answer is worth nothing, an epoch only falls.
    #[test]
    fn answers_count_once_and_from_their_asking() {
        let mut shares = shares();
        let first = shares.next_request(Time(0)).unwrap().nonce;
        let second = shares.next_request(Time(10_000)).unwrap().nonce;
        told(&mut shares, second, 2, 4);
        told(&mut shares, first, 1, 9);
        told(&mut shares, second, 2, 9);
        assert_eq!(shares.available(Time(39_999), "calls"), 4);
        assert_eq!(shares.available(Time(40_000), "calls"), 0);
        // No asking bears this number.
        told(&mut shares, Nonce(99), 3, 9);
        assert_eq!(shares.available(Time(39_999), "calls"), 4);
    }

    /// Guards the ceiling: a holder comes back, the answer to its asking is lost, and a word about another budget comes
    /// with the asking's number.
    #[test]
    fn a_word_about_one_budget_does_not_lengthen_the_lease_of_another() {
        let mut shares = shares();
        shares.set_budgets(["beside", "calls"].map(String::from).into_iter());
        let first = shares.next_request(Time(0)).unwrap().nonce;
        told(&mut shares, first, 1, 8);
        let second = shares.next_request(Time(60_000)).unwrap().nonce;
        let beside = GrantedQuota {
            budget: "beside".into(),
            epoch: Epoch(2),
            amount: 3,
        };
        shares.handle_response(&LeaseResponse {
            holder: shares.holder().clone(),
            nonce: second,
            granted: vec![beside],
        });
        assert_eq!(
            (
                shares.available(Time(60_001), "beside"),
                shares.available(Time(60_001), "calls")
            ),
            (3, 0)
        );
        told(&mut shares, second, 4, 5);
        assert_eq!(shares.available(Time(60_001), "calls"), 5);
    }
}
