//! The start of a replica: the initial state of a new group, and opening a replica from its persisted state.
use super::encoding::encode;
use super::snapshot::{build_snapshot, encode_snapshot, SnapshotContents};
use super::{
    ElectionTimeout, PendingOperations, PendingReads, RaftLog, RawNode, Replica, ELECTION_TICKS,
};
use crate::state_machine::{RestoreError, StateMachine};
use crate::storage::{PersistedState, StorageOperation};
use crate::ReplicaId;
use raft::eraftpb::{ConfState, HardState};
use raft::Config;
use std::collections::BTreeMap;
use thiserror::Error;

/// Ticks between two heartbeats of the leader.
const HEARTBEAT_TICKS: usize = 2;
/// The maximum size of the entries in one message, in bytes.
const MAX_MESSAGE_BYTES: u64 = 256 << 10;
/// The maximum number of messages with entries that are sent to a member before it acknowledges the first of them.
const MAX_INFLIGHT_MESSAGES: usize = 64;
/// The maximum number of bytes that are proposed and not committed yet, and of committed bytes that are applied in one
/// batch.
const MAX_UNCOMMITTED_BYTES: u64 = 1 << 20;
/// The index and the term of the snapshot that a new group starts with.
const BOOTSTRAP_INDEX: u64 = 1;
const BOOTSTRAP_TERM: u64 = 1;

/// Why a replica cannot be opened. The message is one line.
#[derive(Debug, Error)]
pub enum OpenError {
    /// The hard state, the snapshot or an entry cannot be decoded.
    #[error("the keeper's log cannot be read: {0}")]
    Log(#[source] raft::Error),
    /// The contents of the snapshot cannot be decoded.
    #[error("the keeper's snapshot cannot be read: {0}")]
    Snapshot(#[source] postcard::Error),
    /// The state machine rejects the state in the snapshot.
    #[error("the keeper's state cannot be read: expected a state that this version wrote")]
    State(#[source] RestoreError),
    /// Raft rejects the log.
    #[error("the keeper cannot start: {0}")]
    Raft(#[source] raft::Error),
}

impl<S: StateMachine> Replica<S> {
    /// The operation that stores the initial state of a new group with these members. Each of them must store it before
    /// its replica starts.
    pub fn bootstrap_operation(
        members: &BTreeMap<ReplicaId, String>,
        state: &S,
    ) -> StorageOperation {
        let configuration = ConfState {
            voters: members.keys().map(|id| id.0).collect(),
            ..ConfState::default()
        };
        let contents = SnapshotContents {
            member_names: members.clone(),
            state: state.snapshot(),
        };
        let snapshot = build_snapshot(BOOTSTRAP_INDEX, BOOTSTRAP_TERM, configuration, &contents);
        let hard_state = HardState {
            term: BOOTSTRAP_TERM,
            commit: BOOTSTRAP_INDEX,
            ..HardState::default()
        };
        StorageOperation {
            number: 0,
            hard_state: Some(encode(&hard_state)),
            snapshot: Some(encode_snapshot(&snapshot)),
            entries: Vec::new(),
            bootstrap_members: Some(members.clone()),
        }
    }

    /// Opens a replica from its persisted state. Without a snapshot it is not a member of a group yet, and joins one
    /// through the messages of its leader. `seed` determines the election timeouts.
    ///
    /// # Errors
    /// If the persisted state cannot be decoded, or raft rejects it.
    pub fn open(persisted: &PersistedState, mut state: S, seed: u64) -> Result<Self, OpenError> {
        let log = RaftLog::restore(persisted).map_err(OpenError::Log)?;
        let applied_index = log.snapshot_index();
        let member_names = restore_snapshot(&log, &mut state)?;
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let config = raft_config(persisted.id, applied_index);
        let raw_node = RawNode::new(&config, log, &logger).map_err(OpenError::Raft)?;
        let mut replica = Replica {
            raw_node,
            state,
            id: persisted.id,
            member_names,
            bootstrap_members: persisted.bootstrap_members.clone().unwrap_or_default(),
            applied_index,
            pending_operations: PendingOperations::default(),
            pending_reads: PendingReads::default(),
            installing_snapshot: None,
            is_leader: false,
            election_timeout: ElectionTimeout::new(seed ^ persisted.id.0),
            ticks: 0,
            last_configuration_change_tick: 0,
            failed: false,
            opening_effects: Vec::new(),
        };
        // Applies the entries that are known to be committed, and sets the election timeout. A compaction of the log may be
        // due then.
        replica.opening_effects = replica.collect_effects();
        Ok(replica)
    }
}

/// Restores the state machine from the log's snapshot, if it has one, and returns the names of the members.
fn restore_snapshot<S: StateMachine>(
    log: &RaftLog,
    state: &mut S,
) -> Result<BTreeMap<ReplicaId, String>, OpenError> {
    if log.snapshot_index() == 0 {
        return Ok(BTreeMap::new());
    }
    let contents: SnapshotContents =
        postcard::from_bytes(&log.snapshot.data).map_err(OpenError::Snapshot)?;
    state.restore(&contents.state).map_err(OpenError::State)?;
    Ok(contents.member_names)
}

fn raft_config(id: ReplicaId, applied_index: u64) -> Config {
    Config {
        id: id.0,
        election_tick: ELECTION_TICKS,
        heartbeat_tick: HEARTBEAT_TICKS,
        applied: applied_index,
        max_size_per_msg: MAX_MESSAGE_BYTES,
        max_inflight_msgs: MAX_INFLIGHT_MESSAGES,
        check_quorum: true,
        pre_vote: true,
        max_uncommitted_size: MAX_UNCOMMITTED_BYTES,
        max_committed_size_per_ready: MAX_UNCOMMITTED_BYTES,
        ..Config::default()
    }
}
