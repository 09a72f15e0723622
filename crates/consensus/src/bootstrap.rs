//! The formation of the initial group of replicas, and the probes by which a replica without a state announces itself.
//!
//! No replica decides alone to form a group: the one whose name sorts first does so, and only after all others have
//! reported that they have no state either. It stores the initial members before it sends them to any other replica.
use crate::ReplicaId;
use cottondyke_types::Time;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// How long a received probe is valid (2 s).
const PROBE_VALIDITY: Time = Time(20_000);
/// The interval at which a replica sends probes (200 ms).
const PROBE_INTERVAL: Time = Time(2_000);

/// A replica's report that it has no state yet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BootstrapProbe {
    /// The configured name of the sender.
    pub name: String,
    /// The id of the sender's store.
    pub id: ReplicaId,
}

/// The latest probe from another replica.
#[derive(Debug)]
struct ReceivedProbe {
    id: ReplicaId,
    received_at: Time,
}

/// The bootstrap of one replica that has no state: decides when it sends probes, and whether it may form the group.
#[derive(Debug)]
pub struct Bootstrap {
    own_probe: BootstrapProbe,
    received: BTreeMap<String, ReceivedProbe>,
    next_probe_at: Time,
}

impl Bootstrap {
    /// Creates a bootstrap that has neither sent nor received a probe.
    pub fn new(name: &str, id: ReplicaId) -> Self {
        Bootstrap {
            own_probe: BootstrapProbe {
                name: name.to_string(),
                id,
            },
            received: BTreeMap::new(),
            next_probe_at: Time(i64::MIN / 4),
        }
    }

    /// The probe to send to all other replicas now, if one is due.
    pub fn next_probe(&mut self, now: Time) -> Option<BootstrapProbe> {
        if now < self.next_probe_at {
            return None;
        }
        self.next_probe_at = now + PROBE_INTERVAL;
        Some(self.own_probe.clone())
    }

    /// Records that another replica has no state either, and returns the initial members if this replica is to form the
    /// group. `replica_names` are the configured replicas; probes with any other name are ignored.
    pub fn handle_probe(
        &mut self,
        now: Time,
        probe: &BootstrapProbe,
        replica_names: &[String],
    ) -> Option<BTreeMap<ReplicaId, String>> {
        if !replica_names.contains(&probe.name) || probe.name == self.own_probe.name {
            return None;
        }
        let received = ReceivedProbe {
            id: probe.id,
            received_at: now,
        };
        self.received.insert(probe.name.clone(), received);
        self.initial_members(now, replica_names)
    }

    /// The initial members, if this replica's name sorts first in `replica_names` and a valid probe from each of the
    /// others was received.
    pub fn initial_members(
        &self,
        now: Time,
        replica_names: &[String],
    ) -> Option<BTreeMap<ReplicaId, String>> {
        let own_name = &self.own_probe.name;
        if replica_names.iter().min() != Some(own_name) {
            return None;
        }
        let mut members = BTreeMap::from([(self.own_probe.id, own_name.clone())]);
        for name in replica_names.iter().filter(|name| *name != own_name) {
            let probe = self.received.get(name)?;
            if now >= probe.received_at + PROBE_VALIDITY {
                return None;
            }
            members.insert(probe.id, name.clone());
        }
        // Two names with the same id would result in a smaller group than configured.
        (members.len() == replica_names.len()).then_some(members)
    }
}
