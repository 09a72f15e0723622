//! The usage of leased quotas, which this instance's lease holder reports to the leader as its demand.
use super::state::GateId;
use super::Aggregator;
use crate::gate::DependencyGate;
use crate::messages::{Action, DependencyUsage, QuotaKind};
use cottondyke_types::Time;

fn rate_usage(gate: &DependencyGate, now: Time) -> DependencyUsage {
    let sent = gate.recently_sent(now);
    DependencyUsage {
        dependency: gate.spec.name.clone(),
        quota: QuotaKind::Rate,
        in_use: sent,
        needed: sent + gate.wait_queue.len(),
    }
}

fn calls_usage(gate: &DependencyGate, now: Time) -> DependencyUsage {
    DependencyUsage {
        dependency: gate.spec.name.clone(),
        quota: QuotaKind::Calls,
        in_use: gate.in_flight(now),
        needed: gate.needed_calls(now),
    }
}

impl Aggregator {
    /// Applies changes of the leased quotas and issues waiting calls while there is capacity. Also returns the usage of
    /// each leased quota afterwards.
    pub fn apply_leases(&mut self, now: Time) -> (Vec<Action>, Vec<DependencyUsage>) {
        let leased: Vec<GateId> = self
            .gates
            .iter()
            .filter(|(_, gate)| gate.spec.leased_calls.is_some() || gate.spec.leased_rate.is_some())
            .map(|(id, _)| *id)
            .collect();
        for id in &leased {
            if let Some(gate) = self.gates.get_mut(id) {
                gate.apply_lease(now);
            }
            self.dispatch_waiting(now, *id);
        }
        let mut usage = Vec::new();
        for gate in leased.iter().filter_map(|id| self.gates.get(id)) {
            if gate.spec.leased_rate.is_some() {
                usage.push(rate_usage(gate, now));
            }
            if gate.spec.leased_calls.is_some() {
                usage.push(calls_usage(gate, now));
            }
        }
        (self.take_actions(), usage)
    }
}
