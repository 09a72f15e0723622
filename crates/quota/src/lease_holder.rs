//! The member's side of the protocol: how many units of each budget it may use now, and when it requests a new lease.
//! It uses a quota only until the lease expires on its own clock, counted from before the request was sent.

use crate::config::DISTANT_PAST;
use crate::{Demand, Epoch, Holder, LeaseConfig, LeaseRequest, LeaseResponse, Nonce, MAX_BUDGETS};
use cottondyke_types::Time;
use std::collections::{BTreeMap, VecDeque};

/// Interval between renewals, as a fraction of the lease duration.
const RENEWAL_INTERVAL: f64 = 0.25;
/// Interval after which an unanswered request is followed by another one, as a fraction of the lease duration.
const RETRY_INTERVAL: f64 = 0.1;
/// Minimum interval between two requests, even if a need changed or units were released, as a fraction of the lease
/// duration.
const MIN_REQUEST_INTERVAL: f64 = 0.01;
/// Maximum number of requests that await an answer; answers to older ones are ignored.
const MAX_UNANSWERED_REQUESTS: usize = 64;

/// A member's current use of one budget.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// Units in use, including those that a cancelled call may still occupy.
    pub in_use: u32,
    /// Units that the member could use, including those in use.
    pub needed: u32,
    /// Value of one unit to this member, relative to the other members.
    pub weight: f64,
}

/// The demand for one budget as the last request contained it.
#[derive(Clone, Copy, Debug, Default)]
struct SentDemand {
    needed: u32,
    retained: u32,
    epoch: Epoch,
}

/// The member's quota of one budget.
#[derive(Clone, Debug)]
struct HeldQuota {
    epoch: Epoch,
    amount: u32,
    /// Extended only by responses that contain this budget: if the answer to a request is lost, a notification about
    /// another budget with the nonce of that request must not revive a quota whose lease expired.
    lease_expiry: Time,
    usage: Usage,
    /// The largest amount since usage was last recorded: up to this many units may have come into use since then.
    max_amount_since_usage: u32,
    last_sent: SentDemand,
}

impl Default for HeldQuota {
    fn default() -> Self {
        HeldQuota {
            epoch: Epoch::default(),
            amount: 0,
            lease_expiry: DISTANT_PAST,
            usage: Usage::default(),
            max_amount_since_usage: 0,
            last_sent: SentDemand::default(),
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

    /// Whether the demand must be sent to the leader before the next renewal is due.
    fn differs_from_last_sent(&self, demand: &Demand) -> bool {
        let last = &self.last_sent;
        // A release under an earlier epoch does not count under the new one and must be sent again.
        demand.epoch != last.epoch
            || demand.retained < last.retained
            || demand.needed > last.needed.max(self.amount)
            || (demand.needed == 0) != (last.needed == 0)
    }
}

/// The nonce of a request, and when the request was made.
#[derive(Clone, Copy, Debug)]
struct SentRequest {
    nonce: Nonce,
    sent_at: Time,
}

/// A member's leases on its quotas.
///
/// The caller sends what [`next_request`](Self::next_request) returns to the leader and passes the responses to
/// [`handle_response`](Self::handle_response). [`next_timer`](Self::next_timer) is the latest time at which to call
/// `next_request` again.
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
    early_renewal: bool,
}

impl LeaseHolder {
    /// Creates the state of a member without budgets. `previous_incarnation` is an earlier incarnation of the same name
    /// whose process is known to have ended.
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
            early_renewal: false,
        }
    }

    /// The identity under which this member holds its quotas.
    pub fn holder(&self) -> &Holder {
        &self.holder
    }

    /// Sets which budgets this member uses and drops the quotas of others. Names beyond [`MAX_BUDGETS`] are ignored.
    pub fn set_budgets(&mut self, budgets: impl Iterator<Item = String>) {
        let names: Vec<String> = budgets.take(MAX_BUDGETS).collect();
        self.quotas.retain(|name, _| names.contains(name));
        for name in names {
            self.quotas.entry(name).or_default();
        }
    }

    /// Records the current use of a budget. Ignored for a budget that this member does not use.
    pub fn record_usage(&mut self, budget: &str, usage: Usage) {
        if let Some(quota) = self.quotas.get_mut(budget) {
            quota.usage = usage;
            quota.max_amount_since_usage = quota.amount;
        }
    }

    /// Starts draining: from now on this member reports that it needs no units, so that the leader lowers its quotas,
    /// usually not to 0. The rest is reclaimed after its process has ended or its lease has expired.
    pub fn start_draining(&mut self) {
        self.draining = true;
    }

    /// Units of a budget that may be in use now, including those that a cancelled call may still occupy.
    pub fn available(&self, now: Time, budget: &str) -> u32 {
        self.quotas
            .get(budget)
            .filter(|_| now < self.valid_until(budget))
            .map_or(0, |quota| quota.amount)
    }

    /// Until when the result of [`available`](Self::available) holds unless a response changes it: the lease's expiry.
    pub fn valid_until(&self, budget: &str) -> Time {
        if self.config.safeguards.lease {
            self.quotas
                .get(budget)
                .map_or(DISTANT_PAST, |quota| quota.lease_expiry)
        } else {
            Time::MAX
        }
    }

    /// When the last of this member's leases expires.
    pub fn latest_lease_expiry(&self) -> Time {
        self.quotas
            .keys()
            .map(|budget| self.valid_until(budget))
            .max()
            .unwrap_or(DISTANT_PAST)
    }

    /// The epoch of this member's quota of a budget; the lowest epoch if it has none.
    pub fn epoch(&self, budget: &str) -> Epoch {
        self.quotas
            .get(budget)
            .map_or(Epoch::default(), |quota| quota.epoch)
    }

    /// Makes the next request due early, because the last one went to a replica that could not answer it.
    pub fn renew_early(&mut self) {
        self.early_renewal = true;
    }

    /// When the next request is due at the latest. A change in usage can make it due earlier.
    pub fn next_timer(&self) -> Time {
        let Some(last_sent_at) = self.last_sent_at else {
            return DISTANT_PAST;
        };
        let interval = if self.early_renewal {
            MIN_REQUEST_INTERVAL
        } else if self.unanswered.is_empty() {
            RENEWAL_INTERVAL
        } else {
            RETRY_INTERVAL
        };
        last_sent_at + self.config.lease_duration.scaled(interval)
    }

    /// Returns a request if one is due. Its lease counts from `now`, which is before it is sent.
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
            .any(|(quota, demand)| quota.differs_from_last_sent(demand));
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
            quota.last_sent = SentDemand {
                needed: demand.needed,
                retained: demand.retained,
                epoch: demand.epoch,
            };
        }
        self.last_nonce.0 += 1;
        self.last_sent_at = Some(now);
        self.early_renewal = false;
        self.unanswered.push_back(SentRequest {
            nonce: self.last_nonce,
            sent_at: now,
        });
        if self.unanswered.len() > MAX_UNANSWERED_REQUESTS {
            self.unanswered.pop_front();
        }
    }

    /// Handles a response of the leader. Late, duplicate and misdirected responses are harmless: an answer counts once,
    /// its lease counts from when its own request was made, and an amount never increases within an epoch.
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
