//! Who sends requests here, and how long idle connections stay open.
use crate::{caller_table::CallerTable, histograms::GAP_BINS, CallerConfig, CallerId, Time};

const TRACKED_FACTOR: f64 = 4.0; // callers tracked, times those expected: the table's bound
const MIN_TRACKED: f64 = 4096.0; // the minimum of that bound, where few or none are expected
const FEW_CALLERS: f64 = 256.0; // connections that any server bears: where no more callers are, all stay open
const GAP_BIN_MIDDLE: f64 = 0.75; // of a bin's upper bound
const CONNECT_COST: f64 = 0.15; // of the time callers leave connections idle, for which one costs a new one

/// Tracks the callers of this server.
pub(crate) struct CallerTracker {
    config: CallerConfig,
    table: CallerTable,
    idle_timeout: Time,
}

impl CallerTracker {
    pub(crate) fn new(now: Time, config: CallerConfig) -> Self {
        CallerTracker { config, table: CallerTable::new(now, config), idle_timeout: config.max_idle }
    }

    /// Bounded: past its bound a new caller is not tracked, and the count stays there. On sockets no callers
    /// are expected, which limited it to four: hence the minimum.
    pub(crate) fn count_request(&mut self, now: Time, caller: CallerId) {
        let max_tracked = (self.config.expected * TRACKED_FACTOR).max(MIN_TRACKED);
        self.table.count_request(now, caller, max_tracked);
    }

    /// Departure: credit is for the callers that send here, where they say who they are. A front of many
    /// callers that each come seldom (manila-main) was advised a thousandth of a request each: stay away.
    pub(crate) fn senders(&self) -> f64 {
        if self.table.len() == 0 {
            self.config.expected.max(1.0)
        } else {
            self.table.recent().max(1) as f64
        }
    }

    /// Departure: an idle connection stays as long as pays by the gaps seen: until its caller comes back, or
    /// until it has cost what a new one costs. Covers any front of many callers that come back late: its idle
    /// connections filled the table, which takes of the cores and gets callers rejected (finder-ro). Harms
    /// where gaps grow soon after they were learned, by a new connection for each request until relearned.
    pub(crate) fn update_idle_timeout(&mut self, now: Time) -> Option<Time> {
        let CallerConfig { expected, max_idle, .. } = self.config;
        self.table.forget_old(now);
        let are_few = expected.max(self.table.len() as f64) <= FEW_CALLERS;
        let idle_timeout = if are_few { max_idle } else { self.cheapest_idle_timeout(now) };
        let previous = std::mem::replace(&mut self.idle_timeout, idle_timeout);
        (idle_timeout != previous).then_some(idle_timeout)
    }

    fn cheapest_idle_timeout(&self, now: Time) -> Time {
        let counts = self.table.gaps.counts(now);
        let connect_cost = self.config.max_idle.as_f64() * CONNECT_COST;
        let cost = |timeout_bin: usize| {
            let reused = |bin: usize| self.table.gaps.upper_bound(bin).as_f64() * GAP_BIN_MIDDLE;
            let closed = self.table.gaps.upper_bound(timeout_bin).as_f64() + connect_cost;
            let of_gap = |bin: usize| if bin <= timeout_bin { reused(bin) } else { closed };
            counts.iter().enumerate().map(|(bin, count)| count * of_gap(bin)).sum::<f64>()
        };
        let cheapest = (0..GAP_BINS - 1).rev().min_by(|a, b| cost(*a).total_cmp(&cost(*b)));
        self.table.gaps.upper_bound(cheapest.unwrap_or(GAP_BINS - 2))
    }
}
