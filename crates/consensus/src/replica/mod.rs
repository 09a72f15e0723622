//! One replica of the group. The leader proposes, all apply the committed commands in one order, and a leader's reads
//! are confirmed by a majority before they count.
//!
//! This file has the state, the inputs (ticks, messages, proposals) and what can be asked of it; the modules below add
//! one concern each.
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
use raft::RawNode;
use std::collections::BTreeMap;
use std::panic::{catch_unwind, AssertUnwindSafe};

/// The least election timeout: ticks without a message of the leader after which an election begins. Each timeout is
/// drawn between this and twice as many.
pub const ELECTION_TICKS: usize = 10;
/// The most bytes of one proposed command.
const MAX_PROPOSAL_BYTES: usize = 64 << 10;

/// A Raft replica with its state machine. Each input returns the [`Effect`]s that are to be performed in their order.
pub struct Replica<S: StateMachine> {
    raw_node: RawNode<RaftLog>,
    /// The state machine with everything applied that this replica knows to be committed.
    pub state: S,
    id: ReplicaId,
    /// The names of all members, by their ids.
    member_names: BTreeMap<ReplicaId, String>,
    bootstrap_members: BTreeMap<ReplicaId, String>,
    applied_index: u64,
    pending_operations: PendingOperations,
    pending_reads: PendingReads,
    /// The storage operation of a snapshot that the leader sent. Until it is on disk raft takes the snapshot for not
    /// applied and would look for entries that it replaced: raft gets no input meanwhile.
    installing_snapshot: Option<u64>,
    is_leader: bool,
    election_timeout: ElectionTimeout,
    ticks: u64,
    last_change_tick: u64,
    failed: bool,
}

impl<S: StateMachine> Replica<S> {
    /// The id of this replica's store.
    pub fn id(&self) -> ReplicaId {
        self.id
    }

    /// Whether it has a state. A replica without one is to bootstrap a group, or to be added to one.
    pub fn is_initialized(&self) -> bool {
        self.raw_node.store().snapshot_index() > 0
    }

    /// The names of all members, by their ids.
    pub fn member_names(&self) -> &BTreeMap<ReplicaId, String> {
        &self.member_names
    }

    /// The members that formed the group, if this replica was among them; empty otherwise.
    pub fn bootstrap_members(&self) -> &BTreeMap<ReplicaId, String> {
        &self.bootstrap_members
    }

    /// The current term.
    pub fn term(&self) -> u64 {
        self.raw_node.raft.term
    }

    /// The leader as far as this replica knows.
    pub fn leader(&self) -> Option<ReplicaId> {
        Some(ReplicaId(self.raw_node.raft.leader_id)).filter(|id| id.0 != 0)
    }

    /// Whether it leads and has applied an entry of its own term: only then it knows everything that was committed.
    pub fn is_leader(&self) -> bool {
        self.is_leader
    }

    /// The members that vote.
    pub fn voters(&self) -> Vec<ReplicaId> {
        let configuration = self.raw_node.raft.prs().conf().to_conf_state();
        configuration.voters.into_iter().map(ReplicaId).collect()
    }

    /// Whether its log or its storage is unusable. A failed replica takes part in nothing, until it is opened anew.
    pub fn has_failed(&self) -> bool {
        self.failed
    }

    /// Advances raft's clock by one tick; to be called at a fixed interval.
    pub fn tick(&mut self) -> Vec<Effect> {
        self.ticks += 1;
        if self.is_active() {
            self.raw_node.tick();
        }
        self.collect_effects()
    }

    /// Handles a message of another replica. One that cannot be decoded or that no correct replica sends is dropped.
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

    /// Proposes a command. It is applied once a majority has stored it, or is lost with the leadership.
    ///
    /// # Errors
    /// Where the proposal is not taken; nothing is done then.
    pub fn propose(&mut self, command: Vec<u8>) -> Result<Vec<Effect>, ProposalRejected> {
        if !self.is_leader || self.failed {
            return Err(ProposalRejected::NotLeading);
        }
        if command.len() > MAX_PROPOSAL_BYTES {
            return Err(ProposalRejected::TooLarge);
        }
        self.raw_node
            .propose(Vec::new(), command)
            .map_err(|_| ProposalRejected::Full)?;
        Ok(self.collect_effects())
    }

    /// The storage failed: what is not on disk must never be counted on.
    pub fn mark_failed(&mut self) -> Vec<Effect> {
        self.failed = true;
        self.collect_effects()
    }

    /// Whether raft may get input.
    fn is_active(&self) -> bool {
        self.installing_snapshot.is_none() && !self.failed
    }

    /// Gives a message to raft. The crate takes some properties of its peers for granted and panics where they do not
    /// hold. Its state cannot be trusted after that: this replica fails, and the process continues.
    fn step(&mut self, message: Message) {
        let raw_node = AssertUnwindSafe(&mut self.raw_node);
        let stepped = catch_unwind(move || {
            // Captures the wrapper, and not the field in it alone.
            let raw_node = raw_node;
            let _ = raw_node.0.step(message);
        });
        self.failed |= stepped.is_err();
    }
}
