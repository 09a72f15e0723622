//! Limits how many requests run at once.
use crate::{request_table::RequestTable, ConcurrencyConfig, LoadSample, Time};

const FULL_UTILIZATION: f64 = 0.95; // of the cores; below it the limit grows, above it the limit shrinks
const MIN_UTILIZATION: f64 = 0.1; // smallest utilization that is assumed
const LIMIT_STEP: f64 = 0.2; // fraction of a run by which the limit changes
/// How long the limit must have been reached, with requests queued, before it grows, as a fraction of a
/// response target: longer than the CPU gauge lags behind.
const GAUGE_DELAY: f64 = 0.3;
pub(crate) const SAMPLE_INTERVAL: f64 = 0.06; // time between load samples, as a fraction of a response target
const CEILING_FRACTION: f64 = 0.85; // fraction of the survivable concurrency that is used
const OFF_CORE_FACTOR: f64 = 2.0; // multiple of the ceiling that may be started while few tasks want a core

/// The limit on the requests on the cores, and the ceiling on them that the server survives.
pub(crate) struct ConcurrencyLimit {
    config: ConcurrencyConfig,
    pub(crate) cores: f64,
    pub(crate) started_at: Time,
    pub(crate) limit: f64,
    pub(crate) utilization: f64,      // fraction of the cores in use
    limited_since: Time,              // since when the limit has been reached with requests queued
    pub(crate) runnable: Option<f64>, // tasks that want a core, by the gauge, plus starts since
}

impl ConcurrencyLimit {
    pub(crate) fn new(now: Time, config: ConcurrencyConfig) -> Self {
        let (cores, runnable) = (config.cores.max(1) as f64, None);
        let (limit, utilization, limited_since) = (cores, 0.0, now);
        ConcurrencyLimit { config, cores, started_at: now, limit, utilization, limited_since, runnable }
    }

    /// The lowest speed that a cold server can have by now, as a fraction of its full speed: it rises evenly
    /// from `start_capacity` to 1 over `warm_within`.
    pub(crate) fn capacity(&self, now: Time) -> f64 {
        let ConcurrencyConfig { start_capacity, warm_within, .. } = self.config;
        let warm_fraction = (now - self.started_at).as_f64() / warm_within.as_f64().max(1.0);
        (start_capacity + (1.0 - start_capacity) * warm_fraction).min(1.0)
    }

    /// How many runs on the cores the server survives, with a margin.
    pub(crate) fn ceiling(&self, now: Time) -> f64 {
        self.cores * (1.0 + (self.config.overload_factor - 1.0) * self.capacity(now)) * CEILING_FRACTION
    }

    /// How many requests may be started, on the cores or not. Departure: if a gauge counts the tasks that
    /// want a core, and they are below the ceiling, the other runs wait for the disk. Up to `OFF_CORE_FACTOR`
    /// times the ceiling may then be started, but above the ceiling only runs that can be cancelled
    /// (`next_to_start`). With 1,080 ms of disk wait the ceiling left fast cores half idle (manila-main).
    pub(crate) fn max_started(&self, now: Time) -> f64 {
        let has_capacity = self.runnable.is_some_and(|runnable| runnable + 1.0 <= self.ceiling(now));
        self.ceiling(now) * if has_capacity { OFF_CORE_FACTOR } else { 1.0 }
    }

    /// The number of cores that the runs used. Departure: it comes from the CPU gauge, if there is one; runs
    /// that leave the other cores idle wait for the disk, which must not count as core time (manila-main).
    pub(crate) fn busy_cores(&self) -> f64 {
        (self.utilization.max(MIN_UTILIZATION) * self.cores).min(self.cores)
    }

    /// Adjusts the limit to the smallest that keeps the cores busy: more runs only slow each other down. It
    /// grows only after it has been reached for `GAUGE_DELAY`, longer than the CPU gauge lags behind: cores
    /// that the gauge shows as idle are then idle because of disk waits, not because runs have just started.
    pub(crate) fn adjust(&mut self, now: Time, sample: LoadSample, requests: &RequestTable, target: Time) {
        let on_core = requests.on_core().count() as f64;
        self.utilization = sample.cpu_utilization.unwrap_or(on_core / self.cores);
        self.runnable = sample.runnable_tasks;
        let is_limited = requests.queued().next().is_some() && on_core > self.limit - 1.0;
        self.limited_since = if is_limited { self.limited_since } else { now };
        let growth = LIMIT_STEP * FULL_UTILIZATION / self.utilization.max(MIN_UTILIZATION);
        let may_grow = now - self.limited_since >= target.scaled(GAUGE_DELAY);
        let upward = if may_grow { growth } else { 0.0 };
        let step = if self.utilization > FULL_UTILIZATION { -LIMIT_STEP } else { upward };
        self.limit = (self.limit + step).min(self.max_started(now)).max(self.cores);
    }
}
