//! How many calls to a dependency are in flight.
use super::cost_estimator::EWMA_WEIGHT;
use crate::{call_occupancy::CallOccupancy, call_times::CallTimes, CallConfig, CallOutcome, Time};

const SHARE_FRACTION: f64 = 0.9; // part of this server's share of calls that is used
const PATIENCE: f64 = 4.0; // multiple of its usual time at which a call is slow, or may be abandoned
const SINGLE_PATIENCE: f64 = 3.0; // multiple of that where the dependency is shared and the limit stands
const SINGLE_SLOW: f64 = 2.0; // multiple of its usual time at which a call is slow, with one at a time
const BACK_OFF: f64 = 0.85; // of the limit that stays after a call failed or was slow
const MAX_BACK_OFF: f64 = 0.5; // the minimum that stays where the limit is under one
const MAX_CALLS_PER_CORE: f64 = 4.0;
const SPARE_FRACTION: f64 = 0.8; // part of the maximum that the limit keeps while nearly all calls succeed
const MIN_SHARE: f64 = 0.25; // minimum of the share that is used, where calls crowd the dependency
const RECENT_WEIGHT: f64 = 0.25; // of the newest in the recent time of calls

/// Limits the calls to a dependency.
pub(crate) struct CallLimiter {
    config: CallConfig,
    pub(crate) occupancy: CallOccupancy,
    pub(crate) times: CallTimes,
    pub(crate) limit: f64, // calls in flight; under one, the fraction of the time in which one is
    max_limit: f64,
    single: bool,       // the share leaves capacity for one call at a time, and not always
    next_call_at: Time, // where the limit is under one
    pub(crate) cores: f64,
}

impl CallLimiter {
    pub(crate) fn new(config: CallConfig, cores: f64) -> Self {
        let occupancy = CallOccupancy::new(config.window, config.abandoned_linger);
        let single_share = config.share.filter(|share| share * SHARE_FRACTION < 1.0);
        let max_limit = single_share.map_or(cores * MAX_CALLS_PER_CORE, |share| share.min(1.0));
        let (limit, single, next_call_at, times) =
            (max_limit, single_share.is_some(), Time(0), CallTimes::default());
        CallLimiter { config, occupancy, times, limit, max_limit, single, next_call_at, cores }
    }

    /// The call time that a share allows over the window.
    fn allowance(&self, share: f64) -> f64 {
        share * SHARE_FRACTION * self.config.window.as_f64().max(1.0)
    }

    /// How long one call may be in flight so that the share holds over the window, however long it takes: a
    /// mean looked at only when a call began was passed by as much as the call then took.
    fn free_call_time(&self, now: Time) -> f64 {
        let allowance = self.config.share.map_or(f64::MAX, |share| self.allowance(share));
        allowance - self.occupancy.call_time(now)
    }

    pub(crate) fn may_call(&self, now: Time, in_flight: usize) -> bool {
        let is_rested = self.limit >= 1.0 || now >= self.next_call_at;
        let is_under_limit = (in_flight as f64) + 1.0 <= self.limit.max(1.0);
        is_under_limit
            && is_rested
            && self.config.share.is_none_or(|share| self.is_within(share, now, in_flight))
    }

    fn is_within(&self, share: f64, now: Time, in_flight: usize) -> bool {
        let occupied = (in_flight + self.occupancy.abandoned()) as f64;
        let needed = (self.times.recent + self.occupancy.linger()).min(self.allowance(share));
        let fits_one = self.single && occupied == 0.0 && self.free_call_time(now) >= needed;
        occupied + 1.0 <= share * SHARE_FRACTION || fits_one
    }

    /// The longest that the next call may take: what its share of the window leaves, where that is under one.
    pub(crate) fn max_call_time(&self, now: Time) -> Time {
        if self.single {
            Time((self.free_call_time(now) - self.occupancy.linger()) as i64)
        } else {
            Time::MAX
        }
    }

    /// How long a call is waited for, where another attempt or an answer without it is possible.
    pub(crate) fn patience(&self, is_backed_off: bool) -> Time {
        let factor = if is_backed_off || self.config.share.is_none() { 1.0 } else { SINGLE_PATIENCE };
        Time((self.times.usual * PATIENCE * factor) as i64)
    }

    /// The wait of a call behind so many others.
    pub(crate) fn wait(&self, now: Time, calls_ahead: f64) -> f64 {
        (self.next_call_at - now).as_f64().max(0.0) + calls_ahead * self.times.recent / self.limit
    }

    /// A shared dependency would hold an abandoned call beside its repetition: capacity for that is left
    /// while nearly all calls succeed.
    pub(crate) fn has_spare(&self) -> bool {
        self.config.share.is_none() || self.limit >= self.max_limit * SPARE_FRACTION
    }

    /// Fewer calls when they fail or are slow, more as they succeed. What refuses is probed with one call at
    /// a time; a tier that does not answer, whose machines fail one by one, with one a core. A shared one is
    /// crowded by all together, by one call each if they are many: there the limit goes under one.
    pub(crate) fn call_ended(&mut self, now: Time, time: Time, outcome: CallOutcome) {
        let slow_factor = if self.single { SINGLE_SLOW } else { PATIENCE };
        let is_fast = self.times.usual == 0.0 || time.as_f64() <= slow_factor * self.times.usual;
        self.times.record(time.as_f64(), EWMA_WEIGHT * EWMA_WEIGHT, RECENT_WEIGHT);
        let slow_time = slow_factor * self.times.usual;
        let limit = if outcome == CallOutcome::Completed && is_fast {
            self.limit + self.increase(time.as_f64(), slow_time)
        } else {
            self.limit * self.decrease(time.as_f64(), slow_time)
        };
        self.limit = limit.clamp(self.min_limit(outcome), self.max_limit);
        self.next_call_at = now + time.scaled((1.0 / self.limit - 1.0).max(0.0));
        // Guards what is shared: a call that has shown no end is there still, and the next runs beside it.
        if matches!(outcome, CallOutcome::Indeterminate | CallOutcome::Interrupted) {
            self.occupancy.add_abandoned(now);
        }
    }

    /// By how much the limit grows; under one, by what the call was faster than a slow one.
    fn increase(&self, time: f64, slow_time: f64) -> f64 {
        let margin = 1.0 - time / slow_time.max(1.0);
        if self.limit < 1.0 {
            self.limit * margin * RECENT_WEIGHT
        } else {
            1.0
        }
    }

    /// The fraction of the limit that stays; under one, by how much the call was slower than a slow one.
    fn decrease(&self, time: f64, slow_time: f64) -> f64 {
        let fraction = if self.limit < 1.0 { slow_time / time.max(1.0) } else { BACK_OFF };
        fraction.clamp(MAX_BACK_OFF, BACK_OFF)
    }

    fn min_limit(&self, outcome: CallOutcome) -> f64 {
        let probes = if outcome == CallOutcome::NotExecuted { 1.0 } else { self.cores.min(self.limit) };
        self.config.share.map_or(probes, |share| if self.single { share * MIN_SHARE } else { 1.0 })
    }
}
