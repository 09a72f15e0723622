//! The advice to callers: how much to send, and when to retry after a rejection.
use super::caller_tracker::CallerTracker;
use super::cost_estimator::EWMA_WEIGHT;
use crate::random::MultiplyWithCarry;
use crate::windows::{LoadSums, LoadWindow};
use crate::{AdviceFormat, Arrival, CallerConfig, Time};

const MIN_ADVICE_CHANGE: f64 = 0.02; // smallest relative change of the advice that is sent
const EXPENSIVE_READING: f64 = 0.25; // fraction of the cores from which reading counts as expensive
/// Fraction of expensive reading that retries may cause before rejections ask for no retry.
const MAX_RETRY_SHARE: f64 = 0.2;

/// Computes the advice to callers.
pub(crate) struct LoadAdvisor {
    pub(crate) config: CallerConfig,
    pub(crate) callers: CallerTracker,
    random: MultiplyWithCarry,
    last_advice: Option<f64>,
    pub(crate) load: LoadWindow,
}

impl LoadAdvisor {
    pub(crate) fn new(now: Time, config: CallerConfig, seed: u64) -> Self {
        let (callers, random) = (CallerTracker::new(now, config), MultiplyWithCarry::new(seed));
        let load = LoadWindow::new(config.advice_lifetime);
        LoadAdvisor { config, callers, random, last_advice: None, load }
    }

    pub(crate) fn count_arrival(&mut self, now: Time, arrival: &Arrival) {
        self.load.add_arrival(now, arrival, 1.0 + EWMA_WEIGHT * EWMA_WEIGHT);
        if let Some(caller) = arrival.caller {
            self.callers.count_request(now, caller);
        }
    }

    /// How long recent requests waited to be read, on average.
    pub(crate) fn read_delay(&self, now: Time) -> f64 {
        let LoadSums { arrivals, observed_delay, .. } = self.load.sums(now);
        observed_delay / arrivals.max(1.0)
    }

    /// The load of the cores from reading requests; from 1 reading is expensive.
    pub(crate) fn read_load(&self, now: Time, cores: f64) -> f64 {
        self.load.sums(now).arrivals * self.load.read_time()
            / (self.load.duration() * EXPENSIVE_READING * cores)
    }

    /// Whether rejections ask for no retry. They do if reading retries takes much core time; if reading is
    /// cheap, a retry may still succeed on another server.
    pub(crate) fn discourages_retries(&self, now: Time, read_load: f64) -> bool {
        let LoadSums { arrivals, retries, rejections, .. } = self.load.sums(now);
        retries.max(rejections - 1.0) * read_load > MAX_RETRY_SHARE * arrivals
    }

    /// How long after a rejection a caller may retry. If callers read no advice, the time in which this
    /// server admits one request of each expected caller, shortened while reading is cheap; else a random
    /// fraction of the `excess` load, plus `min_delay`.
    pub(crate) fn retry_after(&mut self, now: Time, read_load: f64, excess: f64, min_delay: f64) -> Time {
        let LoadSums { arrivals, rejections, .. } = self.load.sums(now);
        let retry_after = if self.config.advice_format == AdviceFormat::Unused {
            let round = self.config.expected * self.load.duration() / (arrivals - rejections).max(1.0);
            round * read_load.min(1.0)
        } else {
            excess * self.random.draw() + min_delay
        };
        Time(retry_after as i64).min(self.config.max_retry_after)
    }

    /// The advice to send, if it has changed. `wanted` is the share of their traffic that callers are asked
    /// to send.
    pub(crate) fn advise(&mut self, wanted: f64, concurrency_limit: f64) -> Option<f64> {
        let advice = match self.config.advice_format {
            AdviceFormat::Unused => return None,
            AdviceFormat::Share => wanted,
            AdviceFormat::Credit => wanted * concurrency_limit / self.callers.senders(),
            AdviceFormat::Rank => 1.0 - wanted,
        };
        let has_changed = |last: f64| (last - advice).abs() > MIN_ADVICE_CHANGE * advice.max(last);
        if !self.last_advice.is_none_or(has_changed) {
            return None;
        }
        self.last_advice = Some(advice);
        Some(advice)
    }
}
