//! Changes to the members of the group: learners that join, their promotion to voters, and the removal of members that
//! are no longer configured.
use super::{Effect, Replica};
use crate::state_machine::StateMachine;
use crate::ReplicaId;
use protobuf::Message as _;
use raft::eraftpb::{
    ConfChangeSingle, ConfChangeTransition, ConfChangeType, ConfChangeV2, ConfState, Entry,
};
use serde::{Deserialize, Serialize};

/// The maximum number of committed entries that a learner may lack when it is promoted to a voter.
const MAX_PROMOTION_LAG: u64 = 64;
/// The minimum number of ticks between two proposals of a configuration change.
const CONFIGURATION_CHANGE_INTERVAL_TICKS: u64 = 10;

/// The member that a configuration change adds or promotes, as encoded in its log entry. The order of the fields is
/// part of the serialized form.
#[derive(Serialize, Deserialize)]
struct AddedMember {
    id: ReplicaId,
    name: String,
}

impl<S: StateMachine> Replica<S> {
    /// Proposes to add a replica without a state, first as a learner. `replica_names` are the configured replicas; any
    /// other name is ignored, as is a replica that is a member already.
    pub fn add_learner(
        &mut self,
        id: ReplicaId,
        name: &str,
        replica_names: &[String],
    ) -> Vec<Effect> {
        let is_member = self.raw_node.raft.prs().get(id.0).is_some();
        if is_member || !replica_names.iter().any(|configured| configured == name) {
            return Vec::new();
        }
        // Learners with the same name that never caught up are removed: a replica that loses its disk again leaves one
        // behind each time.
        let is_replaced = |learner: &u64| {
            let learner_name = self.member_names.get(&ReplicaId(*learner));
            learner_name.is_none_or(|learner_name| learner_name == name)
        };
        let learners = self.configuration().learners;
        let mut changes = vec![member_change(ConfChangeType::AddLearnerNode, id.0)];
        changes.extend(learners.into_iter().filter(is_replaced).map(remove_member));
        let name = name.to_string();
        self.propose_configuration(changes, Some(AddedMember { id, name }))
    }

    /// Proposes the next change that the configuration needs, one at a time; the leader must call this at each tick. A
    /// learner that has caught up replaces the previous voter with its name, and members that are no longer in
    /// `replica_names` are removed.
    pub fn reconcile_members(&mut self, replica_names: &[String]) -> Vec<Effect> {
        let configuration = self.configuration();
        let mut learners = configuration.learners.iter().copied();
        if let Some(learner) = learners.find(|learner| self.has_caught_up(*learner)) {
            return self.promote_learner(learner, &configuration);
        }
        let mut members = configuration.voters.iter().chain(&configuration.learners);
        match members.find(|member| self.is_unconfigured(**member, replica_names)) {
            Some(member) => self.propose_configuration(vec![remove_member(*member)], None),
            None => Vec::new(),
        }
    }

    fn configuration(&self) -> ConfState {
        self.raw_node.raft.prs().conf().to_conf_state()
    }

    fn has_caught_up(&self, learner: u64) -> bool {
        let committed = self.raw_node.raft.raft_log.committed;
        let progress = self.raw_node.raft.prs().get(learner);
        let matched = progress.map_or(0, |progress| progress.matched);
        matched > 0 && matched + MAX_PROMOTION_LAG >= committed
    }

    fn promote_learner(&mut self, learner: u64, configuration: &ConfState) -> Vec<Effect> {
        let id = ReplicaId(learner);
        let name = self.member_names.get(&id).cloned().unwrap_or_default();
        let previous_voters = configuration
            .voters
            .iter()
            .copied()
            .filter(|voter| self.member_names.get(&ReplicaId(*voter)) == Some(&name));
        let mut changes = vec![member_change(ConfChangeType::AddNode, learner)];
        changes.extend(previous_voters.map(remove_member));
        self.propose_configuration(changes, Some(AddedMember { id, name }))
    }

    fn is_unconfigured(&self, member: u64, replica_names: &[String]) -> bool {
        let name = self.member_names.get(&ReplicaId(member));
        member != self.id.0 && name.is_some_and(|name| !replica_names.contains(name))
    }

    fn propose_configuration(
        &mut self,
        changes: Vec<ConfChangeSingle>,
        added: Option<AddedMember>,
    ) -> Vec<Effect> {
        let next_change_tick =
            self.last_configuration_change_tick + CONFIGURATION_CHANGE_INTERVAL_TICKS;
        if !self.is_leader || self.failed || self.ticks < next_change_tick {
            return Vec::new();
        }
        let context = added.map_or(Vec::new(), |added| {
            postcard::to_allocvec(&added).unwrap_or_default()
        });
        let mut change = ConfChangeV2::default();
        change.set_transition(ConfChangeTransition::Auto);
        change.set_changes(changes.into());
        change.context = context.clone().into();
        if self.raw_node.propose_conf_change(context, change).is_ok() {
            self.last_configuration_change_tick = self.ticks;
        }
        self.collect_effects()
    }

    /// Applies a committed configuration change, and removes the names of replicas that are no longer members.
    pub(super) fn apply_configuration_change(&mut self, entry: &Entry) {
        let Ok(change) = ConfChangeV2::parse_from_bytes(&entry.data) else {
            return;
        };
        if let Ok(added) = postcard::from_bytes::<AddedMember>(&change.context) {
            self.member_names.insert(added.id, added.name);
        }
        if let Ok(configuration) = self.raw_node.apply_conf_change(&change) {
            self.member_names
                .retain(|id, _| contains_member(&configuration, *id));
            self.raw_node.mut_store().configuration = configuration;
        }
    }
}

/// Whether a replica is in a configuration; for a joint one, in its old or its new configuration.
fn contains_member(configuration: &ConfState, id: ReplicaId) -> bool {
    let lists = [
        &configuration.voters,
        &configuration.learners,
        &configuration.voters_outgoing,
        &configuration.learners_next,
    ];
    lists.iter().any(|list| list.contains(&id.0))
}

fn member_change(change_type: ConfChangeType, id: u64) -> ConfChangeSingle {
    let mut change = ConfChangeSingle::default();
    change.set_change_type(change_type);
    change.node_id = id;
    change
}

fn remove_member(id: u64) -> ConfChangeSingle {
    member_change(ConfChangeType::RemoveNode, id)
}
