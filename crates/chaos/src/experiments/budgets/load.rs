//! The load on both fleets, in segments; the busy nodes change from one segment to the next.
use super::fleet::Fleet;
use super::operator_file::{CLIENT_TIMEOUT, METERED_HANDLER, SHARED_HANDLER, UNSHARED_HANDLER};
use super::schedule::{CONTENTION_START, LATE_NODE, NODES, ZONE_PARTITION_START};
use crate::load::{LoadConfig, LoadGenerator, TimeWindow};
use std::time::{Duration, Instant};

pub(super) const SEGMENT_DURATION: Duration = Duration::from_millis(1_500);
/// Requests per second to each fleet, and the fraction of them that each of two busy nodes receives.
const FLEET_RATE: f64 = 300.0;
const BUSY_FRACTION: f64 = 0.4;
/// Requests per second to each node for the page that uses no shared budget.
const UNSHARED_RATE: f64 = 4.0;
/// Requests per second to each node when all nodes must use their full quotas.
const FULL_RATE: f64 = 70.0;
/// Requests per second to the late node while the others use up the shared budget.
const LATE_NODE_RATE: f64 = 1.0;
/// Requests for the metered dependency, as a fraction of those for the shared one, and their maximum per second.
const METERED_FRACTION: f64 = 0.4;
const MAX_METERED_RATE: f64 = 50.0;
const MAX_METERED_RATE_AT_FULL_USE: f64 = 10.0;
/// Full use starts this long before the partition of the zone.
const FULL_USE_LEAD_SECONDS: f64 = 0.1;
/// Above this many requests per second a node gets several connections.
const SINGLE_CONNECTION_RATE: f64 = 20.0;
const CONNECTIONS: u64 = 2;
const DISTINCT_BODIES: u64 = 200;

/// The load for one handler on one node of one fleet in one segment.
pub(super) struct Batch {
    /// Index of the fleet.
    pub(super) fleet: usize,
    pub(super) node: usize,
    pub(super) handler: &'static str,
    pub(super) generator: LoadGenerator,
}

/// One segment of the load. Its random draws are the same for all fleets.
pub(super) struct Segment {
    window: TimeWindow,
    /// Start of the segment, in seconds from the start of the load.
    start_seconds: f64,
    /// Indices of two nodes, which may be the same.
    busy_nodes: [usize; 2],
    seed: u64,
}

impl Segment {
    pub(super) fn draw(
        random: &mut fastrand::Rng,
        load_start: Instant,
        window: TimeWindow,
    ) -> Self {
        let start = window.start.saturating_duration_since(load_start);
        Segment {
            window,
            start_seconds: start.as_secs_f64(),
            busy_nodes: [random.usize(0..NODES), random.usize(0..NODES)],
            seed: random.u64(..),
        }
    }

    /// Starts the load on all nodes of a fleet that are up.
    pub(super) fn start(&self, fleet_index: usize, fleet: &Fleet) -> Vec<Batch> {
        let mut batches = Vec::new();
        for node in 0..NODES {
            let shared_rate = self.shared_rate(node);
            let metered_rate = (shared_rate * METERED_FRACTION).min(self.max_metered_rate());
            let pages = [
                (SHARED_HANDLER, shared_rate),
                (UNSHARED_HANDLER, UNSHARED_RATE),
                (METERED_HANDLER, metered_rate),
            ];
            for (page, (handler, rate)) in (0u64..).zip(pages) {
                let load = self.load(node, page, handler, rate);
                let generator = fleet.start_load(node, &load);
                batches.extend(generator.map(|generator| Batch {
                    fleet: fleet_index,
                    node,
                    handler,
                    generator,
                }));
            }
        }
        batches
    }

    fn load(&self, node: usize, page: u64, handler: &'static str, rate: f64) -> LoadConfig {
        LoadConfig {
            handler,
            rate,
            connections: if rate > SINGLE_CONNECTION_RATE {
                CONNECTIONS
            } else {
                1
            },
            distinct_bodies: DISTINCT_BODIES,
            tag: node as u64,
            seed: (self.seed ^ page << 32) ^ node as u64,
            window: self.window,
            answer_timeout: CLIENT_TIMEOUT,
        }
    }

    fn is_full_use(&self) -> bool {
        self.start_seconds >= ZONE_PARTITION_START - FULL_USE_LEAD_SECONDS
    }

    /// Returns the requests per second to a node for the page of the shared dependency.
    fn shared_rate(&self, node: usize) -> f64 {
        let is_contended = self.start_seconds >= CONTENTION_START;
        if self.is_full_use() {
            FULL_RATE
        } else if is_contended && node == LATE_NODE {
            LATE_NODE_RATE
        } else if is_contended {
            FULL_RATE * 2.0
        } else {
            let base_rate = FLEET_RATE * (1.0 - 2.0 * BUSY_FRACTION) / NODES as f64;
            let times_busy = self.busy_nodes.iter().filter(|busy| **busy == node).count();
            base_rate + times_busy as f64 * FLEET_RATE * BUSY_FRACTION
        }
    }

    fn max_metered_rate(&self) -> f64 {
        if self.is_full_use() {
            MAX_METERED_RATE_AT_FULL_USE
        } else {
            MAX_METERED_RATE
        }
    }
}
