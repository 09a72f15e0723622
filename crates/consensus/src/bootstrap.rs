//! How a registry begins, and how a keeper without a state comes to one. Nobody begins a registry alone: the first
//! keeper in the file's order founds it, only once all others said that they have none either, and writes the set
//! down before it tells anyone.
use crate::ReplicaId;
use cottondyke_types::Time;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// How long the word of a keeper without a state counts.
const FRESH: Time = Time(20_000);
/// How often one says that it has none.
const SEEK: Time = Time(2_000);

/// "I have no state": the name and number of who says so.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BootstrapProbe {
    pub name: String,
    pub id: ReplicaId,
}

#[derive(Debug)]
pub struct Bootstrap {
    me: BootstrapProbe,
    heard: BTreeMap<String, (ReplicaId, Time)>,
    next: Time,
}

impl Bootstrap {
    pub fn new(name: &str, id: ReplicaId) -> Self {
        Bootstrap {
            me: BootstrapProbe {
                name: name.to_string(),
                id,
            },
            heard: BTreeMap::new(),
            next: Time(i64::MIN / 4),
        }
    }

    /// What to say to all other keepers now, if it is time.
    pub fn next_probe(&mut self, now: Time) -> Option<BootstrapProbe> {
        if now < self.next {
            return None;
        }
        self.next = now + SEEK;
        Some(self.me.clone())
    }

    /// Another keeper has no state either. The founding set, where this one founds: `names` are the file's keepers.
    pub fn handle_probe(
        &mut self,
        now: Time,
        seek: &BootstrapProbe,
        names: &[String],
    ) -> Option<BTreeMap<ReplicaId, String>> {
        if !names.contains(&seek.name) || seek.name == self.me.name {
            return None;
        }
        self.heard.insert(seek.name.clone(), (seek.id, now));
        self.initial_members(now, names)
    }

    /// The set, where this keeper is the first in order and all others were heard lately.
    pub fn initial_members(
        &self,
        now: Time,
        names: &[String],
    ) -> Option<BTreeMap<ReplicaId, String>> {
        if names.iter().min() != Some(&self.me.name) {
            return None;
        }
        let mut set = BTreeMap::from([(self.me.id, self.me.name.clone())]);
        for name in names.iter().filter(|name| **name != self.me.name) {
            let (id, _) = self.heard.get(name).filter(|(_, at)| now < *at + FRESH)?;
            set.insert(*id, name.clone());
        }
        (set.len() == names.len()).then_some(set)
    }
}
