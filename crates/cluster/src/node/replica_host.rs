//! The replica of a node, with its clock ticks, its bootstrap and the pending read index.

use crate::error::NodeError;
use crate::state_machine::QuotaStateMachine;
use cottondyke_consensus::{
    Bootstrap, Effect, PersistedState, Replica, ReplicaId, StorageOperation,
};
use cottondyke_quota::{Command, QuotaTable};
use cottondyke_types::Time;
use std::collections::BTreeMap;

/// The interval at which a replica's clock ticks.
pub const REPLICA_TICK: Time = Time(500);

/// Ticks after which an unconfirmed read index is aborted, so that another one can be started.
const READ_INDEX_TIMEOUT_TICKS: u64 = 4;

/// Ticks between two reports to raft that pending snapshots were delivered. The transport does not confirm delivery,
/// and raft resends a lost snapshot only after such a report.
const SNAPSHOT_REPORT_TICKS: u64 = 10;

/// The due time of a timer that is due at once: earlier than any time that occurs.
const IMMEDIATELY: Time = Time(i64::MIN / 4);

pub(super) struct ReplicaHost {
    pub(super) replica: Replica<QuotaStateMachine>,
    pub(super) bootstrap: Bootstrap,
    id: ReplicaId,
    next_tick: Time,
    ticks: u64,
    /// The tick at which the pending read index was started.
    read_index_tick: Option<u64>,
    /// Whether the state that the replica starts from is on disk. Until then the replica neither ticks nor handles
    /// messages: a crash could undo the state that its messages depend on.
    is_started: bool,
    is_failure_reported: bool,
    seed: u64,
}

impl ReplicaHost {
    /// Opens the replica named `name` from its stored state.
    pub(super) fn open(
        name: &str,
        persisted: &PersistedState,
        seed: u64,
    ) -> Result<Self, NodeError> {
        let replica = Replica::open(persisted, QuotaStateMachine::default(), seed)?;
        Ok(ReplicaHost {
            replica,
            bootstrap: Bootstrap::new(name, persisted.id),
            id: persisted.id,
            next_tick: IMMEDIATELY,
            ticks: 0,
            read_index_tick: None,
            is_started: true,
            is_failure_reported: false,
            seed,
        })
    }

    pub(super) fn id(&self) -> ReplicaId {
        self.id
    }

    pub(super) fn is_started(&self) -> bool {
        self.is_started
    }

    pub(super) fn quota_table(&self) -> &QuotaTable {
        &self.replica.state.0
    }

    pub(super) fn leader_name(&self) -> Option<&String> {
        self.replica.member_names().get(&self.replica.leader()?)
    }

    /// When [`tick`](Self::tick) is due.
    pub(super) fn next_tick(&self) -> Time {
        if self.is_started {
            self.next_tick
        } else {
            Time::MAX
        }
    }

    /// Runs one tick of the replica's clock. `replica_names` are the configured replicas; the leader adds and removes
    /// group members to match them.
    pub(super) fn tick(&mut self, now: Time, replica_names: &[String]) -> Vec<Effect> {
        // Relative to `now`, not to the last tick: a process that was suspended must not catch up on missed ticks.
        self.next_tick = now + REPLICA_TICK;
        self.ticks += 1;
        let mut effects = self.replica.tick();
        effects.extend(self.replica.reconcile_members(replica_names));
        if self.ticks.is_multiple_of(SNAPSHOT_REPORT_TICKS) {
            for receiver in self.replica.pending_snapshots() {
                self.replica.report_snapshot_delivered(receiver);
            }
        }
        effects
    }

    /// Proposes a command. If it is rejected, the lease manager plans it again.
    pub(super) fn propose(&mut self, command: &Command) -> Vec<Effect> {
        let bytes = postcard::to_allocvec(command).unwrap_or_default();
        self.replica.propose(bytes).unwrap_or_default()
    }

    pub(super) fn start_read_index(&mut self, number: u64) -> Vec<Effect> {
        self.read_index_tick = Some(self.ticks);
        self.replica.read_index(number)
    }

    /// Clears the pending read index.
    pub(super) fn finish_read_index(&mut self) {
        self.read_index_tick = None;
    }

    /// Aborts the pending read index if it timed out, and returns whether it did.
    pub(super) fn abort_overdue_read_index(&mut self) -> bool {
        let is_overdue = self
            .read_index_tick
            .is_some_and(|started| self.ticks >= started + READ_INDEX_TIMEOUT_TICKS);
        if is_overdue {
            self.finish_read_index();
        }
        is_overdue
    }

    pub(super) fn handle_stored(&mut self, number: u64) -> Vec<Effect> {
        self.is_started = true;
        self.replica.handle_stored(number)
    }

    /// Replaces the replica by one in the initial state of these members. Returns the write that must be on disk before
    /// the replica starts, or `None` if the replica cannot be opened.
    pub(super) fn reset_to_initial_state(
        &mut self,
        members: &BTreeMap<ReplicaId, String>,
    ) -> Option<StorageOperation> {
        let operation = Replica::bootstrap_operation(members, &QuotaStateMachine::default());
        let mut persisted = PersistedState::new(self.id);
        persisted.apply(operation.clone());
        self.replica = Replica::open(&persisted, QuotaStateMachine::default(), self.seed).ok()?;
        self.is_started = false;
        Some(operation)
    }

    /// Whether the replica failed; true only on the first call after the failure.
    pub(super) fn take_failure(&mut self) -> bool {
        let is_new = self.replica.has_failed() && !self.is_failure_reported;
        self.is_failure_reported |= is_new;
        is_new
    }
}
