//! The conversion of raft's `Ready` to effects: one storage operation each, and the messages that wait until it is on
//! disk.
use super::encoding::{encode, send_effect};
use super::snapshot::encode_snapshot;
use super::{Effect, Replica};
use crate::state_machine::{RestoreError, StateMachine};
use crate::storage::{EncodedEntry, StorageOperation};
use raft::eraftpb::{Entry, EntryType, Message};
use raft::{Ready, StateRole};

impl<S: StateMachine> Replica<S> {
    /// Handles the report that the storage operation with this number, and all before it, are on disk.
    pub fn handle_stored(&mut self, number: u64) -> Vec<Effect> {
        let stored = self.pending_operations.take_stored(number);
        let mut effects: Vec<Effect> = stored.messages.iter().map(send_effect).collect();
        if let Some(ready_number) = stored.ready_number {
            self.raw_node.on_persist_ready(ready_number);
        }
        let installed = self
            .installing_snapshot
            .take_if(|operation| *operation <= number);
        if installed.is_some() {
            self.raw_node.advance_apply_to(self.applied_index);
        }
        effects.extend(self.collect_effects());
        effects
    }

    /// Collects from raft everything that the caller has to do.
    pub(super) fn collect_effects(&mut self) -> Vec<Effect> {
        let mut effects = std::mem::take(&mut self.opening_effects);
        let raft = &mut self.raw_node.raft;
        let timeout = self.election_timeout.ticks_for(raft.term, raft.state);
        raft.set_randomized_election_timeout(timeout);
        while self.is_active() && self.raw_node.has_ready() {
            self.handle_ready(&mut effects);
        }
        self.update_leadership(&mut effects);
        self.confirm_reads(&mut effects);
        effects
    }

    fn handle_ready(&mut self, effects: &mut Vec<Effect>) {
        let mut ready = self.raw_node.ready();
        let Ok(operation) = self.record_in_log(&ready) else {
            self.failed = true;
            return;
        };
        if operation.snapshot.is_some() {
            effects.push(Effect::Applied);
        }
        effects.extend(ready.take_messages().iter().map(send_effect));
        let messages_after_storage = ready.take_persisted_messages();
        self.pending_reads.add(ready.take_read_states());
        let committed = ready.take_committed_entries();
        self.persist(ready, operation, messages_after_storage, effects);
        if !committed.is_empty() {
            for entry in &committed {
                self.apply_entry(entry);
            }
            self.raw_node.advance_apply_to(self.applied_index);
            effects.push(Effect::Applied);
        }
        self.compact_log(effects);
    }

    /// Adds the `Ready`'s snapshot, entries and hard state to the in-memory log, and returns them as one storage
    /// operation.
    fn record_in_log(&mut self, ready: &Ready) -> Result<StorageOperation, RestoreError> {
        let mut operation = StorageOperation {
            number: self.pending_operations.next_number(),
            ..StorageOperation::default()
        };
        let snapshot = ready.snapshot();
        if snapshot.get_metadata().index > 0 {
            self.install_snapshot(snapshot)?;
            operation.snapshot = Some(encode_snapshot(snapshot));
            self.installing_snapshot = Some(operation.number);
        }
        operation.entries = ready.entries().iter().map(encode_entry).collect();
        if let Some(hard_state) = ready.hs() {
            operation.hard_state = Some(encode(hard_state));
            self.raw_node.mut_store().hard_state = hard_state.clone();
        }
        self.raw_node.mut_store().append(ready.entries());
        Ok(operation)
    }

    /// Requests that the operation is stored, and that its messages are sent after that. If there is nothing to store
    /// but earlier operations are pending, an empty operation is requested, so that the messages wait until the earlier
    /// ones are on disk.
    fn persist(
        &mut self,
        ready: Ready,
        operation: StorageOperation,
        messages: Vec<Message>,
        effects: &mut Vec<Effect>,
    ) {
        let ready_number = ready.number();
        if operation.is_empty() && self.pending_operations.is_empty() {
            effects.extend(messages.iter().map(send_effect));
            self.raw_node.advance_append_async(ready);
            self.raw_node.on_persist_ready(ready_number);
        } else {
            self.pending_operations.add(messages, Some(ready_number));
            effects.push(Effect::Store(operation));
            self.raw_node.advance_append_async(ready);
        }
    }

    fn apply_entry(&mut self, entry: &Entry) {
        self.applied_index = entry.index;
        match entry.get_entry_type() {
            // A leader starts its term with an empty entry.
            EntryType::EntryNormal if entry.data.is_empty() => {}
            EntryType::EntryNormal => self.state.apply(&entry.data),
            // The older form of a configuration change, which is never proposed.
            EntryType::EntryConfChange => {}
            EntryType::EntryConfChangeV2 => self.apply_configuration_change(entry),
        }
    }

    /// Updates whether this replica counts as the leader. A leader must first apply an entry of its own term: before
    /// that, its state may lack committed entries of earlier terms.
    fn update_leadership(&mut self, effects: &mut Vec<Effect>) {
        let raft = &self.raw_node.raft;
        let applied_term = raft.raft_log.term(self.applied_index);
        let applied_own_term = applied_term.is_ok_and(|term| term == raft.term);
        let is_leader = raft.state == StateRole::Leader && applied_own_term && !self.failed;
        if is_leader != self.is_leader {
            self.is_leader = is_leader;
            self.pending_reads.clear();
            effects.push(Effect::LeadershipChanged { is_leader });
        }
    }
}

fn encode_entry(entry: &Entry) -> EncodedEntry {
    EncodedEntry {
        index: entry.index,
        bytes: encode(entry),
    }
}
