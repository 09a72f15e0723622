//! The event loop of a simulation: handles events in the order of their times, and checks the budget after each.
use super::checks::{check_budget, check_end, SimulationError};
use super::config::{
    EventLog, SimulationConfig, SimulationResult, LOAD_INTERVAL, MILLISECOND, SECOND,
};
use super::event::{Event, Transport};
use super::faults::{inject_fault, FIRST_FAULT};
use super::state::ClusterState;
use std::net::SocketAddr;

/// Usable units are sampled during this time before the end.
const SAMPLED_DURATION: i64 = SECOND;
/// The least time between two samples.
const SAMPLE_INTERVAL: i64 = 10 * MILLISECOND;

/// A simulated cluster that runs until its configured end or until an invariant is violated.
///
/// ```
/// use cottondyke_chaos::simulation::{ClusterSimulation, EventLog, SimulationConfig};
///
/// let seed = 1;
/// let config = SimulationConfig::random(seed, 5);
/// let result = ClusterSimulation::new(seed, config, EventLog::Off).run()?;
/// assert!(result.max_in_use <= config.total_units);
/// # Ok::<(), cottondyke_chaos::simulation::SimulationError>(())
/// ```
pub struct ClusterSimulation {
    pub(super) state: ClusterState,
    /// Samples of the sum of all members' usable units, from [`SAMPLED_DURATION`] before the end on.
    usable_samples: Vec<f64>,
    next_sample: i64,
}

impl ClusterSimulation {
    /// Starts all members. The seed determines all random choices of the run.
    pub fn new(seed: u64, config: SimulationConfig, log: EventLog) -> Self {
        let mut state = ClusterState::new(seed, config, log);
        if config.faults_until > 0 {
            state.schedule(FIRST_FAULT, Event::Fault);
        }
        ClusterSimulation {
            state,
            usable_samples: Vec::new(),
            next_sample: 0,
        }
    }

    /// Runs to the end; the error is the first violated invariant.
    pub fn run(mut self) -> Result<SimulationResult, SimulationError> {
        self.advance(self.state.config.end)?;
        let count = self.usable_samples.len().max(1);
        let mean_usable_units = self.usable_samples.iter().sum::<f64>() / count as f64;
        check_end(&self.state, mean_usable_units)
    }

    /// Runs until a simulated time.
    pub(super) fn advance(&mut self, until: i64) -> Result<(), SimulationError> {
        while let Some((at, event)) = self.state.queue.pop_until(until) {
            self.state.now = at;
            self.state.result.steps += 1;
            self.step(event);
            let in_use = self.state.calls.len() as u32;
            self.state.result.max_in_use = self.state.result.max_in_use.max(in_use);
            check_budget(&mut self.state)?;
        }
        self.state.now = self.state.now.max(until);
        Ok(())
    }

    /// Handles an event, or defers it while its member is paused.
    fn step(&mut self, event: Event) {
        let index = match &event {
            Event::Deliver { to, .. } => self.state.node_at(*to),
            Event::Timer { node, .. } | Event::Load { node, .. } | Event::Stored { node, .. } => {
                Some(*node)
            }
            _ => None,
        };
        if let Some(index) = index.filter(|index| self.state.nodes[*index].is_paused) {
            self.state.nodes[index].deferred.push(event);
            return;
        }
        self.handle(event);
        if let Some(index) = index {
            let now = self.state.now;
            self.state.last_usable_units[index] = self.state.nodes[index].usable_units(now);
        }
    }

    fn handle(&mut self, event: Event) {
        let state = &mut self.state;
        match event {
            Event::Deliver {
                transport,
                to,
                from,
                bytes,
            } => deliver(state, transport, to, from, &bytes),
            Event::Timer { node, incarnation } => handle_timer(state, node, incarnation),
            Event::Load { node, incarnation } => self.handle_load(node, incarnation),
            Event::Stored { node, incarnation } => handle_stored(state, node, incarnation),
            Event::CallEnded { call } => {
                if let Some(index) = state.calls.remove(&call) {
                    state.nodes[index].calls_in_flight.remove(&call);
                }
            }
            Event::Fault => inject_fault(state),
            Event::Resume { node, incarnation } => resume(state, node, incarnation),
            Event::Restart { node } => {
                if !state.nodes[node].is_up() {
                    state.start_node(node);
                }
            }
            Event::Heal { link } => state.network.heal(link),
        }
    }

    fn handle_load(&mut self, index: usize, incarnation: u64) {
        let node = &self.state.nodes[index];
        if node.incarnation != incarnation || !node.is_up() {
            return;
        }
        self.state.update_load(index);
        self.sample_usable_units();
        let next = Event::Load {
            node: index,
            incarnation,
        };
        self.state.schedule(self.state.now + LOAD_INTERVAL, next);
    }

    fn sample_usable_units(&mut self) {
        let now = self.state.now;
        if now <= self.state.config.end - SAMPLED_DURATION || now < self.next_sample {
            return;
        }
        self.next_sample = now + SAMPLE_INTERVAL;
        let nodes = self.state.nodes.iter();
        let usable: u32 = nodes.map(|node| node.usable_units(now)).sum();
        self.usable_samples.push(f64::from(usable));
    }
}

fn deliver(
    state: &mut ClusterState,
    transport: Transport,
    to: SocketAddr,
    from: SocketAddr,
    bytes: &[u8],
) {
    let Some(index) = state.node_at(to) else {
        return;
    };
    let node = &mut state.nodes[index];
    let local_time = node.local_time(state.now);
    let Some(instance) = &mut node.instance else {
        return;
    };
    let outputs = match transport {
        Transport::Datagram => instance.handle_datagram(local_time, bytes),
        Transport::Stream => instance.handle_message(local_time, from, bytes),
    };
    state.apply_outputs(index, outputs);
}

fn handle_timer(state: &mut ClusterState, index: usize, incarnation: u64) {
    let node = &mut state.nodes[index];
    if node.incarnation != incarnation {
        return;
    }
    node.next_timer = i64::MAX;
    let local_time = node.local_time(state.now);
    let Some(instance) = &mut node.instance else {
        return;
    };
    let outputs = instance.handle_timer(local_time);
    state.apply_outputs(index, outputs);
}

fn handle_stored(state: &mut ClusterState, index: usize, incarnation: u64) {
    let node = &mut state.nodes[index];
    if node.incarnation != incarnation {
        return;
    }
    let Some(write) = node.pending_writes.pop_front() else {
        return;
    };
    let number = write.number;
    if let Some(disk) = &mut node.disk {
        disk.apply(write);
    }
    let local_time = node.local_time(state.now);
    let Some(instance) = &mut node.instance else {
        return;
    };
    let outputs = instance.handle_stored(local_time, number);
    state.apply_outputs(index, outputs);
}

/// Resumes a paused process: first it sends the call that it was about to send, then it handles the deferred events.
fn resume(state: &mut ClusterState, index: usize, incarnation: u64) {
    let node = &mut state.nodes[index];
    if node.incarnation != incarnation {
        return;
    }
    node.is_paused = false;
    if std::mem::take(&mut node.starts_call_on_resume) && node.is_up() {
        state.start_call(index);
    }
    let deferred = std::mem::take(&mut state.nodes[index].deferred);
    for event in deferred {
        state.schedule(state.now, event);
    }
}
