//! A member's side of the protocol: what it may use of each budget now, and when it requests a new lease. It uses a
//! quota until the lease expires by its own clock, counted from before the request was sent, and not a moment longer.

use crate::config::DISTANT_PAST;
use crate::{Demand, Epoch, Holder, LeaseConfig, LeaseRequest, LeaseResponse, Nonce, MAX_BUDGETS};
use cottondyke_types::Time;
use std::collections::{BTreeMap, VecDeque};

/// Fraction of a lease after which it is renewed.
const RENEWAL_INTERVAL: f64 = 0.25;
/// Fraction of a lease after which an unanswered request is followed by another one.
const RETRY_INTERVAL: f64 = 0.1;
/// Fraction of a lease that lies at least between two requests, also where a need changed or units were released.
const MIN_REQUEST_INTERVAL: f64 = 0.01;
/// Requests whose answers are awaited; answers to older ones are ignored.
const MAX_UNANSWERED_REQUESTS: usize = 64;

/// What a member observes of its own use of one budget.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// Units in use, including those that a cancelled call may still occupy.
    pub in_use: u32,
    /// Units that it could use, including those in use.
    pub needed: u32,
    /// Value of one unit to this member, relative to the others.
    pub weight: f64,
}

/// What the last request stated of one budget.
#[derive(Clone, Copy, Debug, Default)]
struct StatedDemand {
    needed: u32,
    retained: u32,
    epoch: Epoch,
}

/// The member's quota of one budget.
#[derive(Clone, Debug)]
struct HeldQuota {
    epoch: Epoch,
    amount: u32,
    /// Only responses that name this budget extend it: a notification about another budget that overtakes a lost answer
    /// must not revive the quota from before the lease expired.
    lease_expiry: Time,
    usage: Usage,
    /// The largest amount allowed since usage was last recorded: so many units may have come into use meanwhile.
    max_amount_since_usage: u32,
    last_stated: StatedDemand,
}

impl Default for HeldQuota {
    fn default() -> Self {
        HeldQuota {
            epoch: Epoch::default(),
            amount: 0,
            lease_expiry: DISTANT_PAST,
            usage: Usage::default(),
            max_amount_since_usage: 0,
            last_stated: StatedDemand::default(),
        }
    }
}

impl HeldQuota {
    fn demand(&self, budget: &str, draining: bool) -> Demand {
        Demand {
            budget: budget.to_string(),
            needed: if draining {
                0
            } else {
                self.usage.needed.max(self.usage.in_use)
            },
            weight: self.usage.weight,
            retained: self
                .amount
                .max(self.usage.in_use)
                .max(self.max_amount_since_usage),
            epoch: self.epoch,
        }
    }

    /// Whether the leader should know of this demand before the next renewal.
    fn differs_from_last_stated(&self, demand: &Demand) -> bool {
        let last = &self.last_stated;
        // What was released under an earlier epoch does not count under a new one, and is stated again.
        demand.epoch != last.epoch
            || demand.retained < last.retained
            || demand.needed > last.needed.max(self.amount)
            || (demand.needed == 0) != (last.needed == 0)
    }
}

/// A request, and when it was made.
#[derive(Clone, Copy, Debug)]
struct SentRequest {
    nonce: Nonce,
    sent_at: Time,
}

/// A member's leases on its quotas.
///
/// The caller sends what [`next_request`](Self::next_request) returns to the leader and passes the responses to
/// [`handle_response`](Self::handle_response). [`next_timer`](Self::next_timer) says when to ask for a request again.
#[derive(Clone, Debug)]
pub struct LeaseHolder {
    holder: Holder,
    previous_incarnation: Option<u64>,
    config: LeaseConfig,
    quotas: BTreeMap<String, HeldQuota>,
    last_nonce: Nonce,
    unanswered: VecDeque<SentRequest>,
    last_sent_at: Option<Time>,
    last_answered: SentRequest,
    draining: bool,
    renewal_hastened: bool,
}

impl LeaseHolder {
    /// A member without any budget. `previous_incarnation` is an earlier incarnation of the same name whose process is
    /// known to have ended.
    pub fn new(holder: Holder, previous_incarnation: Option<u64>, config: LeaseConfig) -> Self {
        LeaseHolder {
            holder,
            previous_incarnation,
            config,
            quotas: BTreeMap::new(),
            last_nonce: Nonce(0),
            unanswered: VecDeque::new(),
            last_sent_at: None,
            last_answered: SentRequest {
                nonce: Nonce(0),
                sent_at: DISTANT_PAST,
            },
            draining: false,
            renewal_hastened: false,
        }
    }

    /// Under which identity this member holds its quotas.
    pub fn holder(&self) -> &Holder {
        &self.holder
    }

    /// Sets which budgets are used here; the quotas of others are dropped. Names beyond [`MAX_BUDGETS`] are ignored.
    pub fn set_budgets(&mut self, budgets: impl Iterator<Item = String>) {
        let names: Vec<String> = budgets.take(MAX_BUDGETS).collect();
        self.quotas.retain(|name, _| names.contains(name));
        for name in names {
            self.quotas.entry(name).or_default();
        }
    }

    /// Records what is in use and needed at this moment.
    pub fn record_usage(&mut self, budget: &str, usage: Usage) {
        if let Some(quota) = self.quotas.get_mut(budget) {
            quota.usage = usage;
            quota.max_amount_since_usage = quota.amount;
        }
    }

    /// From now on this member needs nothing, and gives units back as they come out of use.
    pub fn release_all(&mut self) {
        self.draining = true;
    }

    /// Units of a budget that may be in use now, including those that a cancelled call may still occupy.
    pub fn available(&self, now: Time, budget: &str) -> u32 {
        self.quotas
            .get(budget)
            .filter(|_| now < self.valid_until(budget))
            .map_or(0, |quota| quota.amount)
    }

    /// Until when [`available`](Self::available) stands unless a response changes it: the lease's expiry.
    pub fn valid_until(&self, budget: &str) -> Time {
        if self.config.safeguards.lease {
            self.quotas
                .get(budget)
                .map_or(DISTANT_PAST, |quota| quota.lease_expiry)
        } else {
            Time::MAX
        }
    }

    /// When the last of its leases expires.
    pub fn lease_end(&self) -> Time {
        self.quotas
            .keys()
            .map(|budget| self.valid_until(budget))
            .max()
            .unwrap_or(DISTANT_PAST)
    }

    /// The epoch of its quota of a budget; the lowest one where it has none.
    pub fn epoch(&self, budget: &str) -> Epoch {
        self.quotas
            .get(budget)
            .map_or(Epoch::default(), |quota| quota.epoch)
    }

    /// Hastens the next request, since the last one went to a replica that could not answer it.
    pub fn renew_soon(&mut self) {
        self.renewal_hastened = true;
    }

    /// When the next request is due at the latest. A change in usage can make it due earlier.
    pub fn next_timer(&self) -> Time {
        let Some(last_sent_at) = self.last_sent_at else {
            return DISTANT_PAST;
        };
        let interval = if self.renewal_hastened {
            MIN_REQUEST_INTERVAL
        } else if self.unanswered.is_empty() {
            RENEWAL_INTERVAL
        } else {
            RETRY_INTERVAL
        };
        last_sent_at + self.config.lease_duration.scaled(interval)
    }

    /// A request, where one is due. Its lease counts from `now`, before it is sent.
    pub fn next_request(&mut self, now: Time) -> Option<LeaseRequest> {
        if self.quotas.is_empty() {
            return None;
        }
        let demands: Vec<Demand> = self
            .quotas
            .iter()
            .map(|(name, quota)| quota.demand(name, self.draining))
            .collect();
        let changed = self
            .quotas
            .values()
            .zip(&demands)
            .any(|(quota, demand)| quota.differs_from_last_stated(demand));
        let interval_passed = self.last_sent_at.is_none_or(|last_sent_at| {
            now >= last_sent_at + self.config.lease_duration.scaled(MIN_REQUEST_INTERVAL)
        });
        if now < self.next_timer() && !(changed && interval_passed) {
            return None;
        }
        self.record_sent(now, &demands);
        Some(LeaseRequest {
            holder: self.holder.clone(),
            nonce: self.last_nonce,
            previous_incarnation: self.previous_incarnation,
            demands,
        })
    }

    fn record_sent(&mut self, now: Time, demands: &[Demand]) {
        for (quota, demand) in self.quotas.values_mut().zip(demands) {
            quota.last_stated = StatedDemand {
                needed: demand.needed,
                retained: demand.retained,
                epoch: demand.epoch,
            };
        }
        self.last_nonce.0 += 1;
        self.last_sent_at = Some(now);
        self.renewal_hastened = false;
        self.unanswered.push_back(SentRequest {
            nonce: self.last_nonce,
            sent_at: now,
        });
        if self.unanswered.len() > MAX_UNANSWERED_REQUESTS {
            self.unanswered.pop_front();
        }
    }

    /// Takes in a response of the leader. Late, repeated and foreign ones do no harm: an answer counts once and from
    /// when its own request was made, and under one epoch an amount only falls.
    pub fn handle_response(&mut self, response: &LeaseResponse) {
        if response.holder != self.holder || response.nonce < self.last_answered.nonce {
            return;
        }
        if response.nonce > self.last_answered.nonce {
            let answered = self
                .unanswered
                .iter()
                .find(|request| request.nonce == response.nonce);
            let Some(answered) = answered.copied() else {
                return;
            };
            self.last_answered = answered;
            self.unanswered
                .retain(|request| request.nonce > response.nonce);
        }
        let lease_expiry = self.last_answered.sent_at + self.config.lease_duration;
        for granted in &response.granted {
            let Some(quota) = self.quotas.get_mut(&granted.budget) else {
                continue;
            };
            if granted.epoch > quota.epoch {
                quota.epoch = granted.epoch;
                quota.amount = granted.amount;
                quota.max_amount_since_usage = quota.max_amount_since_usage.max(quota.amount);
            } else if granted.epoch == quota.epoch {
                quota.amount = quota.amount.min(granted.amount);
            } else {
                continue;
            }
            quota.lease_expiry = quota.lease_expiry.max(lease_expiry);
        }
    }
}
