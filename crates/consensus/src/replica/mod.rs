//! One replica of the group. The leader proposes commands, all replicas apply the committed commands in the same order,
//! and a read on the leader is valid only after a majority has confirmed the leadership.
//!
//! This file contains the state, the inputs (ticks, messages, proposals) and the accessors; each module below adds one
//! concern.
mod configuration;
mod effect;
mod election_timeout;
mod encoding;
mod message_check;
mod open;
mod pending_operations;
mod pending_reads;
mod read_index;
mod ready;
mod snapshot;

pub use effect::{Effect, ProposalRejected};
pub use open::OpenError;

use crate::log::RaftLog;
use crate::state_machine::StateMachine;
use crate::ReplicaId;
use election_timeout::ElectionTimeout;
use pending_operations::PendingOperations;
use pending_reads::PendingReads;
use protobuf::Message as _;
use raft::eraftpb::Message;
use raft::{RawNode, StateRole};
use std::collections::BTreeMap;
use std::panic::{catch_unwind, AssertUnwindSafe};

/// The minimum election timeout: ticks without a message from the leader after which an election begins. Each timeout
/// is drawn at random between this and twice as many.
pub const ELECTION_TICKS: usize = 10;
/// The maximum size of a proposed command, in bytes.
const MAX_PROPOSAL_BYTES: usize = 64 << 10;

/// A Raft replica with its state machine. Each input returns the [`Effect`]s to perform, in order.
pub struct Replica<S: StateMachine> {
    raw_node: RawNode<RaftLog>,
    /// The state machine, with every entry applied that this replica knows to be committed.
    pub state: S,
    id: ReplicaId,
    /// The names of all members, by id.
    member_names: BTreeMap<ReplicaId, String>,
    bootstrap_members: BTreeMap<ReplicaId, String>,
    applied_index: u64,
    pending_operations: PendingOperations,
    pending_reads: PendingReads,
    /// The number of the storage operation for a snapshot that the leader sent. Until it is on disk, raft regards the
    /// snapshot as not applied and would look for entries that the snapshot replaced, so raft gets no input until then.
    installing_snapshot: Option<u64>,
    is_leader: bool,
    election_timeout: ElectionTimeout,
    ticks: u64,
    last_configuration_change_tick: u64,
    failed: bool,
    /// The effects of opening the replica, until the first input returns them.
    opening_effects: Vec<Effect>,
}

impl<S: StateMachine> Replica<S> {
    /// The id of this replica's store.
    pub fn id(&self) -> ReplicaId {
        self.id
    }

    /// Whether this replica has a state. A replica without one has to bootstrap a group or be added to one.
    pub fn is_initialized(&self) -> bool {
        self.raw_node.store().snapshot_index() > 0
    }

    /// The names of all members, by id.
    pub fn member_names(&self) -> &BTreeMap<ReplicaId, String> {
        &self.member_names
    }

    /// The initial members of the group, if this replica was one of them; empty otherwise.
    pub fn bootstrap_members(&self) -> &BTreeMap<ReplicaId, String> {
        &self.bootstrap_members
    }

    /// The current term.
    pub fn term(&self) -> u64 {
        self.raw_node.raft.term
    }

    /// The current leader, if this replica knows it.
    pub fn leader(&self) -> Option<ReplicaId> {
        Some(ReplicaId(self.raw_node.raft.leader_id)).filter(|id| id.0 != 0)
    }

    /// Whether this replica is the leader and has applied an entry of its own term. Only then does it know everything
    /// that was committed.
    pub fn is_leader(&self) -> bool {
        self.is_leader
    }

    /// The voting members.
    pub fn voters(&self) -> Vec<ReplicaId> {
        let configuration = self.raw_node.raft.prs().conf().to_conf_state();
        configuration.voters.into_iter().map(ReplicaId).collect()
    }

    /// Whether the replica failed: its storage failed, a snapshot could not be restored, or the crate `raft` panicked.
    /// A failed replica does nothing until it is opened again.
    pub fn has_failed(&self) -> bool {
        self.failed
    }

    /// Advances raft's clock by one tick; must be called at a fixed interval.
    pub fn tick(&mut self) -> Vec<Effect> {
        self.ticks += 1;
        if self.is_active() && !self.would_lead_with_unstored_entries() {
            self.guard(|raw_node| {
                raw_node.tick();
            });
        }
        self.collect_effects()
    }

    /// Handles a message from another replica. A message that cannot be decoded, or that no correct replica sends, is
    /// dropped.
    pub fn handle_message(&mut self, bytes: &[u8]) -> Vec<Effect> {
        let Ok(message) = Message::parse_from_bytes(bytes) else {
            return Vec::new();
        };
        if !self.is_active() || !self.accepts_message(&message) {
            return Vec::new();
        }
        self.step(message);
        self.collect_effects()
    }

    /// Proposes a command. It is applied once a majority has stored it; it may be lost if the leadership changes first.
    ///
    /// # Errors
    /// If the proposal is rejected; the replica is then unchanged.
    pub fn propose(&mut self, command: Vec<u8>) -> Result<Vec<Effect>, ProposalRejected> {
        if !self.is_leader || self.failed {
            return Err(ProposalRejected::NotLeader);
        }
        if command.len() > MAX_PROPOSAL_BYTES {
            return Err(ProposalRejected::TooLarge);
        }
        self.raw_node
            .propose(Vec::new(), command)
            .map_err(|_| ProposalRejected::TooManyUncommittedBytes)?;
        Ok(self.collect_effects())
    }

    /// Marks the replica as failed after its storage failed: it must not rely on data that is not on disk.
    pub fn mark_failed(&mut self) -> Vec<Effect> {
        self.failed = true;
        self.collect_effects()
    }

    /// Whether raft may receive input.
    fn is_active(&self) -> bool {
        self.installing_snapshot.is_none() && !self.failed
    }

    /// Whether an election would make this replica the leader at once while entries of its log are not on disk yet. The
    /// crate `raft` panics at such an election; the only voter needs no other's vote, so its clock stands still.
    fn would_lead_with_unstored_entries(&self) -> bool {
        let is_leader = self.raw_node.raft.state == StateRole::Leader;
        !is_leader && !self.pending_operations.is_empty() && self.voters() == [self.id]
    }

    fn step(&mut self, message: Message) {
        self.guard(|raw_node| {
            let _ = raw_node.step(message);
        });
    }

    /// Gives raft an input. The crate assumes some properties of its peers and panics where they do not hold. Its state
    /// cannot be trusted after a panic: this replica fails, and the process continues.
    fn guard(&mut self, input: impl FnOnce(&mut RawNode<RaftLog>)) {
        let raw_node = &mut self.raw_node;
        let completed = catch_unwind(AssertUnwindSafe(|| input(raw_node)));
        self.failed |= completed.is_err();
    }
}
