//! The replica of a node, with its clock ticks, its bootstrap and the read index under way.

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

/// Ticks after which a read index that was not confirmed is given up, so that another is started.
const READ_INDEX_TIMEOUT_TICKS: u64 = 4;

/// Ticks between two reports that the snapshots under way arrived. Nothing else tells raft so: it sends one that was
/// lost again after this.
const SNAPSHOT_REPORT_TICKS: u64 = 10;

/// Earlier than any point in time that occurs: a timer that is due at once.
const IMMEDIATELY: Time = Time(i64::MIN / 4);

pub(super) struct ReplicaHost {
    pub(super) replica: Replica<QuotaStateMachine>,
    pub(super) bootstrap: Bootstrap,
    id: ReplicaId,
    next_tick: Time,
    ticks: u64,
    /// The tick at which the read index under way was started.
    read_index_tick: Option<u64>,
    /// Whether the state that the replica began with is durable. Until then the replica does nothing: a crash could
    /// undo what its messages rest on.
    is_started: bool,
    is_failure_reported: bool,
    seed: u64,
}

impl ReplicaHost {
    /// Opens the replica named `name` from what its storage holds.
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

    /// One tick of the replica's clock. `replica_names` are the configured replicas, which the leader makes the members
    /// of the group.
    pub(super) fn tick(&mut self, now: Time, replica_names: &[String]) -> Vec<Effect> {
        // Counted from now, not from the last tick: a process that was stopped does not make up for missed ticks.
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

    /// Proposes a command; one that is not accepted is planned again by the lease manager.
    pub(super) fn propose(&mut self, command: &Command) -> Vec<Effect> {
        let bytes = postcard::to_allocvec(command).unwrap_or_default();
        self.replica.propose(bytes).unwrap_or_default()
    }

    pub(super) fn start_read_index(&mut self, number: u64) -> Vec<Effect> {
        self.read_index_tick = Some(self.ticks);
        self.replica.read_index(number)
    }

    /// No read index is under way any longer.
    pub(super) fn finish_read_index(&mut self) {
        self.read_index_tick = None;
    }

    /// Gives up the read index under way if its time is over, and returns whether it was.
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

    /// Begins anew with the initial state of these members. Returns the write that must be durable before the replica
    /// starts, or `None` if the replica cannot begin.
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

    /// Whether the replica failed; true only the first time.
    pub(super) fn take_failure(&mut self) -> bool {
        let is_new = self.replica.has_failed() && !self.is_failure_reported;
        self.is_failure_reported |= is_new;
        is_new
    }
}
