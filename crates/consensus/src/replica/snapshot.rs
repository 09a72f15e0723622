//! Snapshots: their contents, their transfer from the leader, and log compaction.
use super::encoding::encode;
use super::{Effect, Replica};
use crate::state_machine::{RestoreError, StateMachine};
use crate::storage::{EncodedSnapshot, StorageOperation};
use crate::ReplicaId;
use raft::eraftpb::{ConfState, Snapshot};
use raft::{ProgressState, SnapshotStatus};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The number of entries after the snapshot at which the log is compacted.
const COMPACTION_ENTRIES: usize = 512;
/// The number of applied entries after the snapshot below which compaction is not worthwhile.
const MIN_COMPACTED_ENTRIES: u64 = COMPACTION_ENTRIES as u64 / 2;

/// The data of a snapshot. The order of the fields is part of the serialized form.
#[derive(Serialize, Deserialize)]
pub(super) struct SnapshotContents {
    pub(super) member_names: BTreeMap<ReplicaId, String>,
    /// The encoded state machine.
    pub(super) state: Vec<u8>,
}

/// Builds a snapshot with every entry up to the one of this index and term applied.
pub(super) fn build_snapshot(
    index: u64,
    term: u64,
    configuration: ConfState,
    contents: &SnapshotContents,
) -> Snapshot {
    let data = postcard::to_allocvec(contents).unwrap_or_default();
    let mut snapshot = Snapshot {
        data: data.into(),
        ..Snapshot::default()
    };
    let metadata = snapshot.mut_metadata();
    metadata.index = index;
    metadata.term = term;
    metadata.set_conf_state(configuration);
    snapshot
}

/// Encodes a snapshot for the storage.
pub(super) fn encode_snapshot(snapshot: &Snapshot) -> EncodedSnapshot {
    EncodedSnapshot {
        index: snapshot.get_metadata().index,
        bytes: encode(snapshot),
    }
}

impl<S: StateMachine> Replica<S> {
    /// The members to which a snapshot is being sent.
    pub fn pending_snapshots(&self) -> Vec<ReplicaId> {
        let progress = self.raw_node.raft.prs().iter();
        progress
            .filter(|(_, progress)| progress.state == ProgressState::Snapshot)
            .map(|(id, _)| ReplicaId(*id))
            .collect()
    }

    /// Reports to raft that a snapshot arrived at a member, or is assumed to have arrived. Until then raft sends no log
    /// entries to the member; if the snapshot was lost, raft sends it again after the report.
    pub fn report_snapshot_delivered(&mut self, to: ReplicaId) {
        self.raw_node.report_snapshot(to.0, SnapshotStatus::Finish);
    }

    /// Installs a snapshot that the leader sent.
    pub(super) fn install_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), RestoreError> {
        let contents: SnapshotContents =
            postcard::from_bytes(&snapshot.data).map_err(|_| RestoreError)?;
        self.member_names = contents.member_names;
        self.applied_index = snapshot.get_metadata().index;
        self.raw_node.mut_store().install_snapshot(snapshot.clone());
        self.state.restore(&contents.state)
    }

    /// Replaces applied entries with a snapshot of the state, if compaction is due.
    pub(super) fn compact_log(&mut self, effects: &mut Vec<Effect>) {
        if !self.compaction_is_due() {
            return;
        }
        let applied_index = self.applied_index;
        let Ok(term) = self.raw_node.raft.raft_log.term(applied_index) else {
            return;
        };
        let contents = SnapshotContents {
            member_names: self.member_names.clone(),
            state: self.state.snapshot(),
        };
        let configuration = self.raw_node.store().configuration.clone();
        let snapshot = build_snapshot(applied_index, term, configuration, &contents);
        effects.push(Effect::Store(StorageOperation {
            number: self.pending_operations.next_number(),
            snapshot: Some(encode_snapshot(&snapshot)),
            ..StorageOperation::default()
        }));
        self.pending_operations.add(Vec::new(), None);
        self.raw_node.mut_store().install_snapshot(snapshot);
    }

    fn compaction_is_due(&self) -> bool {
        let log = self.raw_node.store();
        let snapshot_index = log.snapshot_index();
        if snapshot_index == 0 {
            return false;
        }
        let log_is_long = log.len() >= COMPACTION_ENTRIES;
        let is_worthwhile = self.applied_index >= snapshot_index + MIN_COMPACTED_ENTRIES;
        // A joining replica rejects a snapshot whose configuration does not include it.
        let snapshot_configuration = log.snapshot.get_metadata().get_conf_state();
        let configuration_changed = *snapshot_configuration != log.configuration;
        log_is_long && is_worthwhile || configuration_changed && self.applied_index > snapshot_index
    }
}
