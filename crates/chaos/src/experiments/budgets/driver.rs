//! Runs the schedule against both fleets: faults, load, one late delivery, and the partition of a zone.
use super::fleet::Fleet;
use super::load::{Batch, Segment, SEGMENT_DURATION};
use super::schedule::{
    fault_events, FaultEvent, FaultWindow, END, LAST_PHASE_START, LATE_DELIVERY_START, NODES,
    PARTITION_SETTLE_SECONDS, RECOVERY_START, ZONES, ZONE_PARTITION_START,
};
use crate::error::Error;
use crate::load::TimeWindow;
use cottondyke_test_support::fake_dependency::Fault;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// How often the driver checks which events are due.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Factors by which the shared dependency is slower while a zone is partitioned, and afterwards.
const PARTITION_SLOWDOWN: u32 = 4;
const RECOVERY_SLOWDOWN: u32 = 2;

/// Indices of the fleet whose quotas are leased, and of the one with fixed quotas.
pub(super) const LEASED: usize = 0;
pub(super) const FIXED: usize = 1;

/// The progress of the partition of a zone.
enum ZonePartition {
    Pending,
    Settling,
    /// The majority's calls in flight are being measured.
    Measuring {
        /// In-flight seconds of the majority when the measurement began.
        initial_in_flight_seconds: f64,
    },
    Healed,
}

/// Mean number of calls in flight at the shared dependency.
#[derive(Clone, Copy, Default)]
pub(super) struct MeanInFlight {
    /// Calls from the zones with the majority of replicas, while the other zone was partitioned.
    pub(super) majority: f64,
    /// Calls from all nodes, in the last phase.
    pub(super) last_phase: f64,
}

pub(super) struct Driver {
    pub(super) fleets: [Fleet; 2],
    /// Start of the load.
    pub(super) start: Instant,
    pub(super) batches: Vec<Batch>,
    pub(super) mean_in_flight: MeanInFlight,
    /// The zone to partition.
    pub(super) partitioned_zone: usize,
    random: fastrand::Rng,
    events: VecDeque<FaultEvent>,
    next_segment: Instant,
    has_delivered_late: bool,
    zone_partition: ZonePartition,
    /// In-flight seconds of all nodes when the last phase began.
    last_phase_in_flight_seconds: Option<f64>,
}

impl Driver {
    pub(super) fn new(
        fleets: [Fleet; 2],
        windows: &[FaultWindow],
        random: fastrand::Rng,
        start: Instant,
    ) -> Self {
        Driver {
            fleets,
            start,
            batches: Vec::new(),
            mean_in_flight: MeanInFlight::default(),
            partitioned_zone: ZONES - 1,
            random,
            events: fault_events(windows).into(),
            next_segment: start,
            has_delivered_late: false,
            zone_partition: ZonePartition::Pending,
            last_phase_in_flight_seconds: None,
        }
    }

    /// Runs the schedule to its end.
    pub(super) fn run(&mut self) -> Result<(), Error> {
        while !self.is_due(END, Instant::now()) {
            let now = Instant::now();
            self.apply_fault_events(now)?;
            self.start_segment(now);
            self.deliver_late(now);
            self.advance_zone_partition(now);
            if self.last_phase_in_flight_seconds.is_none() && self.is_due(LAST_PHASE_START, now) {
                let seconds = self.fleets[LEASED].in_flight_seconds(|_| true);
                self.last_phase_in_flight_seconds = Some(seconds);
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        if let Some(before) = self.last_phase_in_flight_seconds {
            let seconds = self.fleets[LEASED].in_flight_seconds(|_| true) - before;
            self.mean_in_flight.last_phase = seconds / (END - LAST_PHASE_START);
        }
        Ok(())
    }

    fn at(&self, seconds: f64) -> Instant {
        self.start + Duration::from_secs_f64(seconds)
    }

    fn is_due(&self, seconds: f64, now: Instant) -> bool {
        now >= self.at(seconds)
    }

    fn apply_fault_events(&mut self, now: Instant) -> Result<(), Error> {
        while let Some(event) = self.events.front().copied() {
            if !self.is_due(event.at, now) {
                break;
            }
            self.events.pop_front();
            for fleet in &mut self.fleets {
                fleet.apply(&event)?;
            }
        }
        Ok(())
    }

    fn start_segment(&mut self, now: Instant) {
        let load_end = self.at(END);
        if now < self.next_segment || self.next_segment >= load_end {
            return;
        }
        let window = TimeWindow {
            start: now,
            end: (self.next_segment + SEGMENT_DURATION).min(load_end),
        };
        let segment = Segment::draw(&mut self.random, self.start, window);
        for (index, fleet) in self.fleets.iter().enumerate() {
            self.batches.extend(segment.start(index, fleet));
        }
        self.next_segment += SEGMENT_DURATION;
    }

    fn deliver_late(&mut self, now: Instant) {
        if !self.has_delivered_late && self.is_due(LATE_DELIVERY_START, now) {
            self.has_delivered_late = true;
            self.fleets[LEASED].deliver_late();
        }
    }

    /// Partitions a zone with one replica while all nodes use their full quotas, and measures the utilization of the
    /// other zones.
    fn advance_zone_partition(&mut self, now: Instant) {
        match self.zone_partition {
            ZonePartition::Pending if self.is_due(ZONE_PARTITION_START, now) => {
                self.partition_zone();
                self.zone_partition = ZonePartition::Settling;
            }
            ZonePartition::Settling
                if self.is_due(ZONE_PARTITION_START + PARTITION_SETTLE_SECONDS, now) =>
            {
                let initial_in_flight_seconds = self.majority_in_flight_seconds();
                self.zone_partition = ZonePartition::Measuring {
                    initial_in_flight_seconds,
                };
            }
            ZonePartition::Measuring {
                initial_in_flight_seconds,
            } if self.is_due(RECOVERY_START, now) => {
                self.set_shared_fault(Fault::Slow(RECOVERY_SLOWDOWN));
                let seconds = self.majority_in_flight_seconds() - initial_in_flight_seconds;
                self.mean_in_flight.majority =
                    seconds / (RECOVERY_START - ZONE_PARTITION_START - PARTITION_SETTLE_SECONDS);
                self.fleets[LEASED].heal_links();
                self.zone_partition = ZonePartition::Healed;
            }
            _ => {}
        }
    }

    fn partition_zone(&mut self) {
        // Not the leader's zone: a new leader waits a whole lease before it reclaims quotas, so the run would not show
        // how the leases from before the partition end.
        if self.fleets[LEASED].is_leader(ZONES - 1) {
            self.partitioned_zone = 0;
        }
        self.set_shared_fault(Fault::Slow(PARTITION_SLOWDOWN));
        self.fleets[LEASED].partition_zone(self.partitioned_zone);
    }

    fn set_shared_fault(&self, fault: Fault) {
        for fleet in &self.fleets {
            fleet.shared.set_fault(fault);
        }
    }

    fn majority_in_flight_seconds(&self) -> f64 {
        let zone = self.partitioned_zone;
        let is_in_majority = |node: usize| node < NODES && node % ZONES != zone;
        self.fleets[LEASED].in_flight_seconds(is_in_majority)
    }
}
