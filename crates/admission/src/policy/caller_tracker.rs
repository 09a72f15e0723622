//! The callers that send requests here, and how long their idle connections stay open.
use crate::{caller_table::CallerTable, histograms::GAP_BINS, CallerConfig, CallerId, Time};

const TRACKED_FACTOR: f64 = 4.0; // bound of the caller table, as a multiple of the expected callers
const MIN_TRACKED: f64 = 4096.0; // smallest value of that bound, for few or no expected callers
const FEW_CALLERS: f64 = 256.0; // connections that any server can hold: with no more callers, all stay open
const GAP_BIN_MIDDLE: f64 = 0.75; // middle of a bin, as a fraction of its upper bound
const CONNECT_COST: f64 = 0.15; // cost of a new connection, as a fraction of `max_idle`

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

    /// Counts a request of a caller. Once the table is full, new callers are not tracked or counted. Where
    /// the settings state no number of callers, as on a server that counts them by connection, one is
    /// expected. That limited the table to four: hence `MIN_TRACKED`.
    pub(crate) fn count_request(&mut self, now: Time, caller: CallerId) {
        let max_tracked = (self.config.expected * TRACKED_FACTOR).max(MIN_TRACKED);
        self.table.count_request(now, caller, max_tracked);
    }

    /// The number of callers among which credit is divided. Departure: only the callers that send here count,
    /// if they identify themselves. Divided among all expected callers, the credit at a front tier whose many
    /// callers each send rarely (manila-main) was a thousandth of a request each, which callers read as: send
    /// nothing.
    pub(crate) fn senders(&self) -> f64 {
        if self.table.len() == 0 {
            self.config.expected.max(1.0)
        } else {
            self.table.recent().max(1) as f64
        }
    }

    /// The new idle timeout, if it changes. Departure: with more than `FEW_CALLERS` callers, it is the
    /// timeout that would have cost least over the observed gaps between requests. A connection costs the
    /// time that it is idle, and `CONNECT_COST` if its caller returns after it was closed. Covers any front
    /// tier with many callers that return late: its idle connections filled the connection table, which takes
    /// core time and gets callers rejected (finder-ro). Harms when gaps grow soon after they were learned:
    /// each request then needs a new connection until the gaps are learned again.
    pub(crate) fn update_idle_timeout(&mut self, now: Time) -> Option<Time> {
        let CallerConfig { expected, max_idle, .. } = self.config;
        self.table.remove_expired(now);
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
            let gap_cost = |bin: usize| if bin <= timeout_bin { reused(bin) } else { closed };
            counts.iter().enumerate().map(|(bin, count)| count * gap_cost(bin)).sum::<f64>()
        };
        let cheapest = (0..GAP_BINS - 1).rev().min_by(|a, b| cost(*a).total_cmp(&cost(*b)));
        self.table.gaps.upper_bound(cheapest.unwrap_or(GAP_BINS - 2))
    }
}
