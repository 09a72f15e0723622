//! One simulated member: its process, clock, disk and calls.
use super::config::BUDGET;
use super::event::Event;
use super::network::address_of;
use cottondyke_cluster::ClusterNode;
use cottondyke_consensus::{PersistedState, ReplicaId, StorageOperation};
use cottondyke_types::Time;
use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;

/// Latest simulated time for which a timer is scheduled.
const MAX_TIMER: f64 = 1e15;

/// A local clock: its reading at the start of the simulation, and its rate.
#[derive(Clone, Copy)]
pub(super) struct Clock {
    pub(super) start: i64,
    pub(super) rate: f64,
}

impl Clock {
    pub(super) fn local_time(self, now: i64) -> Time {
        Time(self.start + (now as f64 * self.rate) as i64)
    }

    /// The simulated time, later than `now`, at which this clock reads a local time.
    pub(super) fn simulated_time(self, now: i64, local: Time) -> i64 {
        ((local.0.saturating_sub(self.start)) as f64 / self.rate)
            .clamp(now as f64 + 1.0, MAX_TIMER)
            .ceil() as i64
    }
}

pub(super) struct SimulatedNode {
    pub(super) name: String,
    pub(super) addr: SocketAddr,
    pub(super) clock: Clock,
    /// The process; `None` while it is down.
    pub(super) instance: Option<ClusterNode>,
    pub(super) incarnation: u64,
    /// The incarnation before, if its end is recorded on disk.
    pub(super) previous_incarnation: Option<u64>,
    /// Whether the process is suspended.
    pub(super) is_paused: bool,
    /// Whether it was paused after it checked its quota for a call and before it sent the call.
    pub(super) starts_call_on_resume: bool,
    /// Events that are handled once it resumes.
    pub(super) deferred: Vec<Event>,
    /// The next scheduled timer, in simulated time.
    pub(super) next_timer: i64,
    /// What has been written to disk; `None` if the member is not a replica.
    pub(super) disk: Option<PersistedState>,
    /// Writes that have not reached the disk yet, oldest first.
    pub(super) pending_writes: VecDeque<StorageOperation>,
    /// Calls in flight of this incarnation.
    pub(super) calls_in_flight: BTreeSet<u64>,
    /// Units that it wants to use.
    pub(super) demand: u32,
}

impl SimulatedNode {
    pub(super) fn new(index: usize, clock: Clock, is_replica: bool) -> Self {
        SimulatedNode {
            name: name_of(index),
            addr: address_of(index),
            clock,
            instance: None,
            incarnation: 0,
            previous_incarnation: None,
            is_paused: false,
            starts_call_on_resume: false,
            deferred: Vec::new(),
            next_timer: i64::MAX,
            disk: is_replica.then(|| PersistedState::new(ReplicaId(index as u64 + 1))),
            pending_writes: VecDeque::new(),
            calls_in_flight: BTreeSet::new(),
            demand: 0,
        }
    }

    /// Starts a new incarnation with a new process.
    pub(super) fn start(&mut self, incarnation: u64, instance: ClusterNode) {
        self.incarnation = incarnation;
        self.instance = Some(instance);
        self.is_paused = false;
        self.calls_in_flight.clear();
        self.pending_writes.clear();
        self.deferred.clear();
        self.next_timer = i64::MAX;
    }

    pub(super) fn is_up(&self) -> bool {
        self.instance.is_some()
    }

    pub(super) fn local_time(&self, now: i64) -> Time {
        self.clock.local_time(now)
    }

    /// Units that its lease allows it to use now; 0 while it is down.
    pub(super) fn available_quota(&self, now: i64) -> u32 {
        self.instance.as_ref().map_or(0, |instance| {
            instance.available_quota(self.local_time(now), BUDGET)
        })
    }

    /// Units that it uses, or may use without receiving another message.
    pub(super) fn usable_units(&self, now: i64) -> u32 {
        self.available_quota(now)
            .max(self.calls_in_flight.len() as u32)
    }
}

/// The name of the member at an index.
pub(super) fn name_of(index: usize) -> String {
    format!("n{index:03}")
}
