//! The operator's configuration of dependencies and aggregations, validated and typed.
use crate::lease::{LeaseTerms, LeasedQuota, SendTimestamp};
use cottondyke_types::Time;
use std::net::SocketAddr;
use std::rc::Rc;

/// Time reserved before a run's deadline or response target for composing the response and sending it.
pub const RESPONSE_TIME_RESERVE: Time = Time(100);

/// A service that answers parts of aggregations.
#[derive(Clone, Debug, PartialEq)]
pub struct Dependency {
    /// The operator's name for it, unique in the plan.
    pub name: Rc<str>,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Path of the calls, which are POST requests with the body of the aggregation's request.
    pub path: Rc<str>,
    /// Whether responses must be JSON; any other response counts as a failure.
    pub json: bool,
    /// The longest time that one step of a part may wait for it.
    pub time_budget: Time,
    /// Maximum number of calls of this instance that may be in flight, including calls that it no longer awaits but
    /// that may still be running. At least 1.
    pub max_calls: usize,
    /// The lease that bounds calls in flight within `max_calls`; `None` if the quota is fixed.
    pub leased_calls: Option<Rc<LeasedQuota>>,
    /// Maximum number of calls that this instance may send in any second; `None` for no limit.
    pub max_rate: Option<usize>,
    /// The lease that bounds the rate within `max_rate`; `None` if the rate is fixed or unlimited.
    pub leased_rate: Option<Rc<LeasedQuota>>,
    /// The adaptive limit never falls below this number of calls; at most `max_calls`.
    pub min_limit: usize,
    /// How long a call that this instance no longer awaits may continue to run at the dependency.
    pub post_cancel_grace: Time,
    /// Maximum number of parts in the wait queue for a call.
    pub max_waiting: usize,
    /// Maximum number of extra calls (hedges and retries), as a fraction of first calls.
    pub retry_ratio: f64,
    /// The quantile of observed latency after which a call is hedged; `None` for no hedging.
    pub hedge_quantile: Option<f64>,
}

impl Dependency {
    /// Creates the timestamp of a call that is issued now, under the current terms of the dependency's leases.
    pub fn issue_timestamp(&self) -> SendTimestamp {
        SendTimestamp::new(self.lease_terms())
    }

    /// Whether an issued call may be sent now: its leases are valid and have been valid without a gap since it was
    /// issued. The process may have been suspended in between and have resumed with a new lease of fewer units than the
    /// calls it issued under the old one.
    pub fn may_send(&self, timestamp: &SendTimestamp, now: Time) -> bool {
        let is_valid = |lease: &Option<Rc<LeasedQuota>>| {
            lease.as_ref().is_none_or(|lease| lease.is_valid(now))
        };
        is_valid(&self.leased_calls)
            && is_valid(&self.leased_rate)
            && timestamp.terms() == self.lease_terms()
    }

    fn lease_terms(&self) -> LeaseTerms {
        let term = |lease: &Option<Rc<LeasedQuota>>| lease.as_ref().map_or(0, |lease| lease.term());
        LeaseTerms {
            calls: term(&self.leased_calls),
            rate: term(&self.leased_rate),
        }
    }
}

/// What a part uses when its dependency does not answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Fallback {
    /// A cached complete response to the same request, no older than this.
    Cached(Time),
    /// The dependency at this index of the plan.
    Secondary(usize),
    /// A fixed body.
    Default(Rc<[u8]>),
    /// Nothing: the part is left out.
    Omit,
}

/// One part of an aggregation.
#[derive(Clone, Debug, PartialEq)]
pub struct PartSpec {
    /// Its name in the composed response.
    pub name: Rc<str>,
    /// Index of its dependency in the plan.
    pub dependency: usize,
    /// Whether the aggregation fails without it; a required part has no fallbacks.
    pub required: bool,
    /// Fallbacks to try in order when the dependency does not answer.
    pub fallbacks: Vec<Fallback>,
}

/// A response composed of parts.
#[derive(Clone, Debug, PartialEq)]
pub struct Aggregation {
    /// Its parts, in the order of the composed response.
    pub parts: Vec<PartSpec>,
}

/// Safeguards that can be disabled one by one to measure the effect of each. All are enabled, except in experiments.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Safeguards {
    /// Time budgets; without them a part waits until the request's deadline.
    pub time_budget: bool,
    /// The limit on calls in flight.
    pub limit: bool,
    /// Adaptation of the limit on calls in flight; without it the limit stays at `max_calls`.
    pub adapt: bool,
    /// The circuit breaker.
    pub breaker: bool,
    /// Hedging.
    pub hedge: bool,
    /// The cache of earlier responses.
    pub stale_cache: bool,
    /// Fallbacks of any kind; without them a part whose dependency does not answer is missing, and its aggregation
    /// fails.
    pub fallback: bool,
    /// Counting the calls that a previous incarnation may have left running as in flight; without it a restarted
    /// instance makes calls at once.
    pub count_orphaned_calls: bool,
}

impl Default for Safeguards {
    fn default() -> Self {
        Safeguards {
            time_budget: true,
            limit: true,
            adapt: true,
            breaker: true,
            hedge: true,
            stale_cache: true,
            fallback: true,
            count_orphaned_calls: true,
        }
    }
}

/// All dependencies and aggregations of one version of the operator's file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// The dependencies; the aggregations refer to them by index.
    pub dependencies: Vec<Rc<Dependency>>,
    /// The aggregations; a request refers to one by index.
    pub aggregations: Vec<Aggregation>,
    /// Capacity of the cache of earlier responses in bytes, keys included.
    pub stale_cache_bytes: usize,
    /// Which safeguards are enabled.
    pub safeguards: Safeguards,
}

impl Plan {
    /// Whether any aggregation falls back to cached responses of this dependency.
    pub fn uses_stale_cache(&self, dependency: usize) -> bool {
        let is_cached = |fallback: &Fallback| matches!(fallback, Fallback::Cached(_));
        self.aggregations
            .iter()
            .flat_map(|aggregation| &aggregation.parts)
            .any(|part| part.dependency == dependency && part.fallbacks.iter().any(is_cached))
    }

    /// The longest time that a part may take, including the time in wait queues: the sum of the time budgets of its
    /// dependency and of the dependencies that it falls back to.
    pub fn worst_case_part_time(&self, part: &PartSpec) -> Time {
        let secondaries = part.fallbacks.iter().filter_map(|fallback| match fallback {
            Fallback::Secondary(dependency) => Some(*dependency),
            _ => None,
        });
        let dependencies = std::iter::once(part.dependency).chain(secondaries);
        dependencies.fold(Time(0), |sum, dependency| {
            sum + self.dependencies[dependency].time_budget
        })
    }
}
