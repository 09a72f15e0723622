//! Limits how many calls to a dependency are in flight.
use super::cost_estimator::EWMA_WEIGHT;
use crate::{call_occupancy::CallOccupancy, call_times::CallTimes, CallConfig, CallOutcome, Time};

const SHARE_FRACTION: f64 = 0.9; // fraction of this server's share of calls that is used
const SLOW_FACTOR: f64 = 4.0; // multiple of the long-term mean at which a call is slow, or may be abandoned
const SHARED_TIMEOUT_FACTOR: f64 = 3.0; // further factor for a shared dependency, unless skipped early
const SINGLE_SLOW_FACTOR: f64 = 2.0; // multiple of the long-term mean at which a call is slow, one at a time
const DECREASE_FACTOR: f64 = 0.85; // fraction of the limit that is kept after a call failed or was slow
const MIN_DECREASE_FACTOR: f64 = 0.5; // the smallest fraction that is kept, for a limit below one
const MAX_CALLS_PER_CORE: f64 = 4.0;
const SPARE_FRACTION: f64 = 0.8; // fraction of the maximum limit that shows spare capacity
const MIN_SHARE: f64 = 0.25; // lower bound of the limit, as a fraction of a share that allows one call
const SHORT_TERM_WEIGHT: f64 = 0.25; // weight of the newest call in the short-term mean

/// Limits the calls to a dependency.
pub(crate) struct CallLimiter {
    config: CallConfig,
    pub(crate) occupancy: CallOccupancy,
    pub(crate) times: CallTimes,
    pub(crate) limit: f64, // calls in flight; below one, the fraction of the time with one in flight
    max_limit: f64,
    single_call: bool,  // the share allows one call at a time, and not all the time
    next_call_at: Time, // earliest next call while the limit is below one
    pub(crate) cores: f64,
}

impl CallLimiter {
    pub(crate) fn new(config: CallConfig, cores: f64) -> Self {
        let occupancy = CallOccupancy::new(config.window, config.abandoned_linger);
        let single_share = config.share.filter(|share| share * SHARE_FRACTION < 1.0);
        let max_limit = single_share.map_or(cores * MAX_CALLS_PER_CORE, |share| share.min(1.0));
        let (limit, single_call, next_call_at, times) =
            (max_limit, single_share.is_some(), Time(0), CallTimes::default());
        CallLimiter { config, occupancy, times, limit, max_limit, single_call, next_call_at, cores }
    }

    /// The total call time that a share allows over the window.
    fn allowance(&self, share: f64) -> f64 {
        share * SHARE_FRACTION * self.config.window.as_f64().max(1.0)
    }

    /// How long one more call may be in flight without the share being exceeded over the window. It is not
    /// enough to check the mean when a call begins: it is then exceeded by as much as the call takes.
    fn free_call_time(&self, now: Time) -> f64 {
        let allowance = self.config.share.map_or(f64::MAX, |share| self.allowance(share));
        allowance - self.occupancy.call_time(now)
    }

    pub(crate) fn may_call(&self, now: Time, in_flight: usize) -> bool {
        let is_call_due = self.limit >= 1.0 || now >= self.next_call_at;
        let is_under_limit = (in_flight as f64) + 1.0 <= self.limit.max(1.0);
        is_under_limit
            && is_call_due
            && self.config.share.is_none_or(|share| self.fits_share(share, now, in_flight))
    }

    fn fits_share(&self, share: f64, now: Time, in_flight: usize) -> bool {
        let occupied = (in_flight + self.occupancy.abandoned()) as f64;
        let needed = (self.times.short_term_mean + self.occupancy.linger()).min(self.allowance(share));
        let fits_one = self.single_call && occupied == 0.0 && self.free_call_time(now) >= needed;
        occupied + 1.0 <= share * SHARE_FRACTION || fits_one
    }

    /// The longest that the next call may take: for a share below one, what is left of it over the window.
    pub(crate) fn max_call_time(&self, now: Time) -> Time {
        if self.single_call {
            Time((self.free_call_time(now) - self.occupancy.linger()) as i64)
        } else {
            Time::MAX
        }
    }

    /// How long to wait for a call if another attempt, or a response without the call, is possible.
    pub(crate) fn early_timeout(&self, skips_early: bool) -> Time {
        let factor = if skips_early || self.config.share.is_none() { 1.0 } else { SHARED_TIMEOUT_FACTOR };
        Time((self.times.long_term_mean * SLOW_FACTOR * factor) as i64)
    }

    /// The expected wait of a call behind `calls_ahead` others.
    pub(crate) fn expected_wait(&self, now: Time, calls_ahead: f64) -> f64 {
        (self.next_call_at - now).as_f64().max(0.0) + calls_ahead * self.times.short_term_mean / self.limit
    }

    /// Whether a call may be abandoned and repeated early. A shared dependency would then run the abandoned
    /// call beside its repetition: it has capacity for that while nearly all calls succeed.
    pub(crate) fn has_spare_capacity(&self) -> bool {
        self.config.share.is_none() || self.limit >= self.max_limit * SPARE_FRACTION
    }

    /// Adapts the limit to the end of a call: down when calls fail or are slow, up as they succeed. If the
    /// dependency is not shared, calls that are not executed lower the limit to one call, which probes it.
    /// Calls that fail, are slow or have no known result lower it only to one per core, because the machines
    /// behind it fail one by one. A shared dependency is overloaded by all its callers together, and many
    /// callers do that with one call each: the limit falls to one, and below one if the share allows one at a
    /// time.
    pub(crate) fn call_ended(&mut self, now: Time, time: Time, outcome: CallOutcome) {
        let slow_factor = if self.single_call { SINGLE_SLOW_FACTOR } else { SLOW_FACTOR };
        let is_fast =
            self.times.long_term_mean == 0.0 || time.as_f64() <= slow_factor * self.times.long_term_mean;
        self.times.record(time.as_f64(), EWMA_WEIGHT * EWMA_WEIGHT, SHORT_TERM_WEIGHT);
        let slow_time = slow_factor * self.times.long_term_mean;
        let limit = if outcome == CallOutcome::Completed && is_fast {
            self.limit + self.increase(time.as_f64(), slow_time)
        } else {
            self.limit * self.decrease_factor(time.as_f64(), slow_time)
        };
        self.limit = limit.clamp(self.min_limit(outcome), self.max_limit);
        self.next_call_at = now + time.scaled((1.0 / self.limit - 1.0).max(0.0));
        // Protects a shared dependency: a call without a known end may still be running beside the next one.
        if matches!(outcome, CallOutcome::Indeterminate | CallOutcome::Interrupted) {
            self.occupancy.add_abandoned(now);
        }
    }

    /// By how much the limit grows; if the limit is below one, the growth depends on how much faster the call
    /// was than a slow one.
    fn increase(&self, time: f64, slow_time: f64) -> f64 {
        let margin = 1.0 - time / slow_time.max(1.0);
        if self.limit < 1.0 {
            self.limit * margin * SHORT_TERM_WEIGHT
        } else {
            1.0
        }
    }

    /// The fraction of the limit that is kept; if the limit is below one, it depends on how much slower the
    /// call was than a slow one.
    fn decrease_factor(&self, time: f64, slow_time: f64) -> f64 {
        let fraction = if self.limit < 1.0 { slow_time / time.max(1.0) } else { DECREASE_FACTOR };
        fraction.clamp(MIN_DECREASE_FACTOR, DECREASE_FACTOR)
    }

    fn min_limit(&self, outcome: CallOutcome) -> f64 {
        let probes = if outcome == CallOutcome::NotExecuted { 1.0 } else { self.cores.min(self.limit) };
        self.config.share.map_or(probes, |share| if self.single_call { share * MIN_SHARE } else { 1.0 })
    }
}
