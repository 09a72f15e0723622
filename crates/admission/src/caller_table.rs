//! The callers seen recently, and the gaps between their requests.

use crate::config::CallerConfig;
use crate::histograms::GapHistogram;
use cottondyke_types::{CallerId, Time};
use std::collections::BTreeMap;

/// The window over which gaps count, as a multiple of the time that callers keep idle connections open.
const GAP_WINDOW_FACTOR: f64 = 2.0;

/// When each caller was last seen, and the gaps between requests of the same caller.
pub(crate) struct CallerTable {
    config: CallerConfig,
    started_at: Time,
    last_seen: BTreeMap<CallerId, Time>,
    pub(crate) gaps: GapHistogram,
    recent: usize,
}

impl CallerTable {
    pub(crate) fn new(now: Time, config: CallerConfig) -> Self {
        CallerTable {
            config,
            started_at: now,
            last_seen: BTreeMap::new(),
            gaps: GapHistogram::new(config.max_idle, config.max_idle.scaled(GAP_WINDOW_FACTOR)),
            recent: 0,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.last_seen.len()
    }

    /// The number of callers seen within the advice lifetime. Callers that were last seen longer ago are subtracted
    /// only by the next call of `remove_expired`.
    pub(crate) fn recent(&self) -> usize {
        self.recent
    }

    /// Records a request of a caller. A new caller is ignored if the table would exceed `max_tracked`. The gap before
    /// a caller's first request is taken to be the mean gap of all expected callers.
    pub(crate) fn count_request(&mut self, now: Time, caller: CallerId, max_tracked: f64) {
        let has_capacity = self.last_seen.len() as f64 + 1.0 <= max_tracked;
        if !has_capacity && !self.last_seen.contains_key(&caller) {
            return;
        }
        let requests = self.gaps.counts(now).iter().sum::<f64>() + 1.0;
        let mean_gap = (now - self.started_at).scaled(self.config.expected / requests);
        let previous = self.last_seen.insert(caller, now);
        let was_recent = previous.is_some_and(|at| at > now - self.config.advice_lifetime);
        self.recent += usize::from(!was_recent);
        self.gaps
            .record(now, previous.map_or(mean_gap, |at| now - at));
    }

    /// Removes the callers that no longer follow advice and no longer keep a connection, and recounts the recent ones.
    pub(crate) fn remove_expired(&mut self, now: Time) {
        let CallerConfig {
            max_idle,
            advice_lifetime,
            ..
        } = self.config;
        let lifetime = max_idle.max(advice_lifetime);
        self.last_seen.retain(|_, at| *at > now - lifetime);
        let is_recent = |at: &&Time| **at > now - advice_lifetime;
        self.recent = self.last_seen.values().filter(is_recent).count();
    }
}
