//! The state of a simulated cluster, and the operations that events and faults consist of. Random numbers are drawn in
//! the order of these operations: reordering them changes the run of a seed.
use super::config::{
    EventLog, SimulationConfig, SimulationResult, BUDGET, EXPIRY_GRACE, LEASE_DURATION,
    LOAD_INTERVAL, MAX_PROCESS_PAUSE, MILLISECOND, PROBE_INTERVAL, SECOND, SECOND_BUDGET,
};
use super::event::{Event, EventQueue, Transport};
use super::network::{address_of, index_of, Link, Network, Phase};
use super::node::{name_of, Clock, SimulatedNode};
use cottondyke_cluster::{ClusterEvent, ClusterNode, NodeConfig, Output};
use cottondyke_quota::{BudgetSpec, Holder, LeaseConfig, Usage};
use cottondyke_types::Time;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Exclusive upper bound of a clock's reading at the start of the simulation.
const MAX_CLOCK_START: i64 = 3_600 * SECOND;
/// Range of the clocks' rates around 1: any two clocks drift apart by less than leases allow for.
const CLOCK_DRIFT: f64 = 0.018;
const ZONES: usize = 3;
/// The fraction of disk writes that are slow.
const SLOW_WRITE_PROBABILITY: f64 = 0.01;
/// The probability that a member's demand changes at one of its load updates.
const DEMAND_CHANGE_PROBABILITY: f64 = 0.01;
/// The fraction of changes after which a member wants up to all units of the budget.
const HIGH_DEMAND_PROBABILITY: f64 = 0.25;
/// Exclusive upper bound of a member's demand after the other changes.
const LOW_DEMAND_END: u32 = 4;
/// How long before the end demand stops changing: units that are moving from one member to another are usable by none,
/// and would be missing from the usable units that are measured at the end.
const CONSTANT_DEMAND_DURATION: i64 = SECOND + 500 * MILLISECOND;
const MIN_CALL_DURATION: i64 = 10 * MILLISECOND;
/// A call ends within the expiry grace even if the load update that started it came late.
const MAX_CALL_DURATION: i64 = EXPIRY_GRACE - LOAD_INTERVAL / 2;

pub(super) struct ClusterState {
    pub(super) config: SimulationConfig,
    /// The simulated time.
    pub(super) now: i64,
    pub(super) random: fastrand::Rng,
    pub(super) queue: EventQueue,
    pub(super) nodes: Vec<SimulatedNode>,
    pub(super) network: Network,
    /// Calls in flight at the dependency, each with the index of the member that started it.
    pub(super) calls: BTreeMap<u64, usize>,
    /// Usable units of each member after its last event; they may have become fewer since.
    pub(super) last_usable_units: Vec<u32>,
    pub(super) result: SimulationResult,
    /// Bytes sent since faults ended.
    pub(super) quiet_bytes: u64,
    last_incarnation: u64,
    log: EventLog,
}

impl ClusterState {
    pub(super) fn new(seed: u64, config: SimulationConfig, log: EventLog) -> Self {
        let mut state = ClusterState {
            config,
            now: 0,
            random: fastrand::Rng::with_seed(seed),
            queue: EventQueue::default(),
            nodes: Vec::new(),
            network: Network::new(config.message_loss),
            calls: BTreeMap::new(),
            last_usable_units: vec![0; config.members],
            result: SimulationResult {
                total_units: config.total_units,
                ..SimulationResult::default()
            },
            quiet_bytes: 0,
            last_incarnation: 0,
            log,
        };
        for index in 0..config.members {
            let start = state.random.i64(0..MAX_CLOCK_START);
            let rate = 1.0 + (state.random.f64() - 0.5) * CLOCK_DRIFT;
            let is_replica = index < config.replicas;
            let node = SimulatedNode::new(index, Clock { start, rate }, is_replica);
            state.nodes.push(node);
            state.start_node(index);
        }
        state
    }

    /// Schedules an event, at the current time if its own has passed.
    pub(super) fn schedule(&mut self, at: i64, event: Event) {
        self.queue.schedule(at.max(self.now), event);
    }

    /// The index of the member at an address, if there is one.
    pub(super) fn node_at(&self, addr: SocketAddr) -> Option<usize> {
        index_of(addr).filter(|index| *index < self.nodes.len())
    }

    fn phase(&self) -> Phase {
        if self.now >= self.config.faults_until {
            Phase::Quiet
        } else {
            Phase::Faults
        }
    }

    /// Logs a line with the simulated time.
    pub(super) fn log(&self, message: impl FnOnce() -> String) {
        if self.log == EventLog::Stderr {
            let milliseconds = self.now as f64 / MILLISECOND as f64;
            eprintln!("{milliseconds:>9.1} ms {}", message());
        }
    }

    /// Starts the process of a member from the contents of its disk.
    pub(super) fn start_node(&mut self, index: usize) {
        self.last_incarnation += 1;
        let incarnation = self.last_incarnation;
        let config = self.node_config(index, incarnation);
        let node = &mut self.nodes[index];
        let instance =
            ClusterNode::new(config, node.disk.as_ref()).expect("persisted state is readable");
        node.start(incarnation, instance);
        let timer = Event::Timer {
            node: index,
            incarnation,
        };
        self.schedule(self.now, timer);
        let first_load = self.now + self.random.i64(0..LOAD_INTERVAL);
        let load = Event::Load {
            node: index,
            incarnation,
        };
        self.schedule(first_load, load);
    }

    fn node_config(&mut self, index: usize, incarnation: u64) -> NodeConfig {
        let node = &self.nodes[index];
        let replicas = (0..self.config.replicas).map(|index| (name_of(index), address_of(index)));
        let budget = |name: &str| BudgetSpec {
            name: name.to_string(),
            units: self.config.total_units,
            expiry_grace: Time(EXPIRY_GRACE),
        };
        NodeConfig {
            holder: Holder {
                name: node.name.clone(),
                incarnation,
            },
            previous_incarnation: node.previous_incarnation,
            replicas: replicas.collect(),
            zone: format!("z{}", index % ZONES),
            addr: node.addr,
            probe_interval: Time(PROBE_INTERVAL),
            suspicion_enabled: true,
            budgets: [BUDGET, SECOND_BUDGET].map(budget).into(),
            lease_config: LeaseConfig {
                lease_duration: Time(LEASE_DURATION),
                max_process_pause: Time(MAX_PROCESS_PAUSE),
                safeguards: self.config.safeguards,
            },
            seed: self.random.u64(..),
        }
    }

    /// Carries out a member's outputs, and schedules its next timer.
    pub(super) fn apply_outputs(&mut self, index: usize, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send { to, bytes } => self.send(index, to, bytes, Transport::Stream),
                Output::Datagram { to, bytes } => self.send(index, to, bytes, Transport::Datagram),
                Output::Store(write) => {
                    self.nodes[index].pending_writes.push_back(write);
                    let duration = self.draw_write_duration();
                    let stored = Event::Stored {
                        node: index,
                        incarnation: self.nodes[index].incarnation,
                    };
                    self.schedule(self.now + duration, stored);
                }
                Output::Notify(event) => {
                    // Quota changes too often to be logged while there are faults.
                    let is_quiet = self.now > self.config.faults_until;
                    if is_quiet || !matches!(event, ClusterEvent::QuotaChanged { .. }) {
                        self.log(|| format!("{}: {event:?}", self.nodes[index].name));
                    }
                }
            }
        }
        self.schedule_timer(index);
    }

    fn draw_write_duration(&mut self) -> i64 {
        if self.random.f64() < SLOW_WRITE_PROBABILITY {
            self.random.i64(50 * MILLISECOND..300 * MILLISECOND)
        } else {
            self.random.i64(2..3 * MILLISECOND)
        }
    }

    fn schedule_timer(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        let Some(instance) = &node.instance else {
            return;
        };
        let at = node.clock.simulated_time(self.now, instance.next_timer());
        if at < node.next_timer {
            node.next_timer = at;
            let timer = Event::Timer {
                node: index,
                incarnation: node.incarnation,
            };
            self.schedule(at, timer);
        }
    }

    fn send(&mut self, index: usize, to: SocketAddr, bytes: Vec<u8>, transport: Transport) {
        let Some(target) = self.node_at(to) else {
            return;
        };
        let phase = self.phase();
        if phase == Phase::Quiet {
            self.quiet_bytes += bytes.len() as u64;
        }
        let link = Link {
            from: index,
            to: target,
        };
        let from = self.nodes[index].addr;
        for delay in self.network.delays(&mut self.random, link, phase) {
            let delivery = Event::Deliver {
                transport,
                to,
                from,
                bytes: bytes.clone(),
            };
            self.schedule(self.now + delay, delivery);
        }
    }

    /// Starts one call of a member at the dependency.
    pub(super) fn start_call(&mut self, index: usize) {
        self.result.calls += 1;
        let call = self.result.calls;
        self.calls.insert(call, index);
        self.nodes[index].calls_in_flight.insert(call);
        let duration = self.random.i64(MIN_CALL_DURATION..MAX_CALL_DURATION);
        self.schedule(self.now + duration, Event::CallEnded { call });
    }

    /// Reports a member's usage, and starts as many calls as its demand and its quota allow.
    pub(super) fn update_load(&mut self, index: usize) {
        self.draw_demand(index);
        let node = &mut self.nodes[index];
        let local_time = node.local_time(self.now);
        let in_use = node.calls_in_flight.len() as u32;
        let demand = node.demand;
        let Some(instance) = &mut node.instance else {
            return;
        };
        let usage = Usage {
            in_use,
            needed: demand,
            weight: 1.0 + (index % 3) as f64,
        };
        let second_usage = Usage {
            in_use: 0,
            needed: demand,
            weight: 1.0,
        };
        instance.record_usage(BUDGET, usage);
        instance.record_usage(SECOND_BUDGET, second_usage);
        let outputs = instance.handle_timer(local_time);
        let new_calls = instance
            .available_quota(local_time, BUDGET)
            .saturating_sub(in_use)
            .min(demand.saturating_sub(in_use));
        self.apply_outputs(index, outputs);
        // A burst of requests uses all available quota at once.
        for _ in 0..new_calls {
            self.start_call(index);
        }
    }

    /// Changes a member's demand at random: usually to a low value, sometimes to a high one. Demand stays constant at
    /// the end of the run.
    fn draw_demand(&mut self, index: usize) {
        let may_change = !self.config.has_constant_demand
            && self.now < self.config.end - CONSTANT_DEMAND_DURATION;
        if may_change && self.random.f64() < DEMAND_CHANGE_PROBABILITY {
            let is_high = self.random.f64() < HIGH_DEMAND_PROBABILITY;
            self.nodes[index].demand = if is_high {
                self.random.u32(0..=self.config.total_units)
            } else {
                self.random.u32(0..LOW_DEMAND_END)
            };
        }
    }
}
