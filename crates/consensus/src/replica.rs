//! One replica of the table. The leader proposes, all apply in one order; reads of the leader are confirmed by a
//! majority before they count.
use crate::log::Log;
use crate::storage::{PersistedState, StorageOperation};
use crate::ReplicaId;
use protobuf::Message as _;
use raft::eraftpb::{
    ConfChangeSingle, ConfChangeTransition, ConfChangeType, ConfChangeV2, Entry, EntryType,
    Message, MessageType, Snapshot,
};
use raft::{Config, RawNode, SnapshotStatus, StateRole};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Ticks without a word of the leader after which an election begins, at the least; twice as many at the most.
pub const ELECTION_TICKS: usize = 10;
const HEARTBEAT_TICKS: usize = 2;
/// Entries that are kept before a snapshot takes their place.
const MOST_ENTRIES: usize = 512;
/// Bytes of one proposal, of one message, and of what is proposed and not yet agreed.
const MOST_PROPOSAL: usize = 64 << 10;
const MOST_MESSAGE: u64 = 256 << 10;
const MOST_UNCOMMITTED: u64 = 1 << 20;
/// Entries that a learner may lack of what is agreed to be made a voter.
const CAUGHT_UP: u64 = 64;
/// Changes of the keepers are proposed this many ticks apart.
const CHANGE_TICKS: u64 = 10;

/// What is agreed on: changed by `apply` alone.
pub trait StateMachine {
    fn apply(&mut self, command: &[u8]);
    fn snapshot(&self) -> Vec<u8>;
    /// False where it cannot be read: the keeper then stops.
    fn restore(&mut self, bytes: &[u8]) -> bool;
}

#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    Send {
        to: ReplicaId,
        bytes: Vec<u8>,
    },
    /// To be carried out in this order; then `stored` is called with its number.
    Store(StorageOperation),
    /// Leadership in which this keeper may act began or ended.
    LeadershipChanged(bool),
    /// This keeper led after the reading was asked for, and all that was agreed by then is applied.
    ReadIndexConfirmed(u64),
    /// Commands were applied.
    Applied,
}

/// Why a proposal was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProposalRejected {
    NotLeading,
    TooLarge,
    Full,
}

/// What a snapshot holds beside raft's own.
#[derive(Serialize, Deserialize)]
struct Image {
    names: BTreeMap<ReplicaId, String>,
    state: Vec<u8>,
}

pub struct Replica<S: StateMachine> {
    raw: RawNode<Log>,
    pub state: S,
    id: ReplicaId,
    names: BTreeMap<ReplicaId, String>,
    founders: BTreeMap<ReplicaId, String>,
    applied: u64,
    /// Writes that are not on disk yet, with the words that wait for each.
    unstored: VecDeque<(u64, Vec<Message>)>,
    writes: u64,
    /// Numbers of raft's readies by the numbers of writes.
    readies: VecDeque<(u64, u64)>,
    readings: VecDeque<(u64, u64)>,
    /// The write of a snapshot that came from the leader. Until it is on disk raft takes the snapshot for unapplied and
    /// would look for entries that it replaced: nothing reaches it meanwhile.
    installing: Option<u64>,
    leads: bool,
    /// The term and part for which the timeout was drawn.
    drawn_for: (u64, StateRole),
    timeout: usize,
    ticks: u64,
    changed: u64,
    random: fastrand::Rng,
    broken: bool,
}

fn encoded(message: &impl protobuf::Message) -> Vec<u8> {
    message.write_to_bytes().unwrap_or_default()
}

impl<S: StateMachine> Replica<S> {
    /// The first state of a registry that these keepers found; a write for the disk of each.
    pub fn bootstrap_operation(set: &BTreeMap<ReplicaId, String>, state: &S) -> StorageOperation {
        let mut snapshot = Snapshot::default();
        let meta = snapshot.mut_metadata();
        (meta.index, meta.term) = (1, 1);
        meta.mut_conf_state().voters = set.keys().map(|id| id.0).collect();
        let image = Image {
            names: set.clone(),
            state: state.snapshot(),
        };
        snapshot.data = postcard::to_allocvec(&image).unwrap_or_default().into();
        let mut hard = raft::eraftpb::HardState::default();
        (hard.term, hard.commit) = (1, 1);
        let (hard, snapshot) = (Some(encoded(&hard)), Some((1, encoded(&snapshot))));
        StorageOperation {
            number: 0,
            hard_state: hard,
            snapshot,
            entries: Vec::new(),
            bootstrap_members: Some(set.clone()),
        }
    }

    /// From what is on disk; without a snapshot it stands outside, and joins by what the leader sends.
    pub fn open(saved: &PersistedState, mut state: S, seed: u64) -> Result<Self, String> {
        let log =
            Log::restored(saved).map_err(|e| format!("the keeper's log cannot be read: {e}"))?;
        let base = log.snapshot.get_metadata().index;
        let mut names = BTreeMap::new();
        if base > 0 {
            let image: Image = postcard::from_bytes(&log.snapshot.data)
                .map_err(|e| format!("the keeper's snapshot cannot be read: {e}"))?;
            if !state.restore(&image.state) {
                return Err(
                    "the keeper's table cannot be read: expected one that this version wrote"
                        .into(),
                );
            }
            names = image.names;
        }
        let config = Config {
            id: saved.id.0,
            election_tick: ELECTION_TICKS,
            heartbeat_tick: HEARTBEAT_TICKS,
            applied: base,
            max_size_per_msg: MOST_MESSAGE,
            max_inflight_msgs: 64,
            check_quorum: true,
            pre_vote: true,
            max_uncommitted_size: MOST_UNCOMMITTED,
            max_committed_size_per_ready: MOST_UNCOMMITTED,
            ..Config::default()
        };
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let raw = RawNode::new(&config, log, &logger)
            .map_err(|e| format!("the keeper cannot start: {e}"))?;
        let mut keeper = Replica {
            raw,
            state,
            id: saved.id,
            names,
            founders: saved.bootstrap_members.clone().unwrap_or_default(),
            applied: base,
            unstored: VecDeque::new(),
            writes: 0,
            readies: VecDeque::new(),
            readings: VecDeque::new(),
            installing: None,
            leads: false,
            drawn_for: (u64::MAX, StateRole::Follower),
            timeout: ELECTION_TICKS,
            ticks: 0,
            changed: 0,
            random: fastrand::Rng::with_seed(seed ^ saved.id.0),
            broken: false,
        };
        keeper.settle();
        Ok(keeper)
    }

    pub fn id(&self) -> ReplicaId {
        self.id
    }

    /// Whether it has a state at all; one without seeks a registry to found or to join.
    pub fn is_initialized(&self) -> bool {
        self.raw.store().snapshot.get_metadata().index > 0
    }

    pub fn member_names(&self) -> &BTreeMap<ReplicaId, String> {
        &self.names
    }

    pub fn bootstrap_members(&self) -> &BTreeMap<ReplicaId, String> {
        &self.founders
    }

    pub fn term(&self) -> u64 {
        self.raw.raft.term
    }

    /// Who leads as far as this keeper knows.
    pub fn leader(&self) -> Option<ReplicaId> {
        Some(ReplicaId(self.raw.raft.leader_id)).filter(|id| id.0 != 0)
    }

    /// Whether it leads, and has applied an entry of its own term: only then it knows all that was agreed.
    pub fn is_leader(&self) -> bool {
        self.leads
    }

    pub fn voters(&self) -> Vec<ReplicaId> {
        let conf = self.raw.raft.prs().conf().to_conf_state();
        conf.voters.iter().map(|id| ReplicaId(*id)).collect()
    }

    /// The log or the disk is broken: this keeper takes part in nothing any longer.
    pub fn has_failed(&self) -> bool {
        self.broken
    }

    pub fn tick(&mut self) -> Vec<Effect> {
        self.ticks += 1;
        if self.installing.is_none() && !self.broken {
            self.raw.tick();
        }
        self.settle()
    }

    /// A word of another keeper; one that is no word of raft's is dropped.
    pub fn handle_message(&mut self, bytes: &[u8]) -> Vec<Effect> {
        let Ok(message) = Message::parse_from_bytes(bytes) else {
            return Vec::new();
        };
        let local = matches!(
            message.get_msg_type(),
            MessageType::MsgHup
                | MessageType::MsgBeat
                | MessageType::MsgPropose
                | MessageType::MsgReadIndex
                | MessageType::MsgReadIndexResp
                | MessageType::MsgUnreachable
                | MessageType::MsgSnapStatus
                | MessageType::MsgCheckQuorum
                | MessageType::MsgTransferLeader
                | MessageType::MsgTimeoutNow
        );
        // Proposals and readings are a leader's own: one passed on by another would be older than the leadership.
        let closed = self.broken || self.installing.is_some();
        if local || closed || message.to != self.id.0 || !self.sound(&message) {
            return Vec::new();
        }
        // The crate takes some things of its peers for granted, and panics where they are not so. What it holds then
        // is not to be trusted: this keeper takes part no longer, the process goes on.
        let raw = std::panic::AssertUnwindSafe(&mut self.raw);
        let stepped = std::panic::catch_unwind(move || {
            let raw = raw;
            let _ = raw.0.step(message);
        });
        self.broken |= stepped.is_err();
        self.settle()
    }

    /// What raft takes for granted of a message, and a bad peer need not keep.
    fn sound(&self, message: &Message) -> bool {
        let ordered = message
            .entries
            .iter()
            .enumerate()
            .all(|(k, entry)| entry.index == message.index + 1 + k as u64);
        // Nothing is agreed that this keeper's own log would have to lack.
        let heartbeat = message.get_msg_type() == MessageType::MsgHeartbeat;
        let known = !heartbeat || message.commit <= self.raw.raft.raft_log.last_index();
        ordered && known && message.from != self.id.0 && message.from != 0
    }

    pub fn propose(&mut self, command: Vec<u8>) -> Result<Vec<Effect>, ProposalRejected> {
        if !self.leads || self.broken {
            return Err(ProposalRejected::NotLeading);
        }
        if command.len() > MOST_PROPOSAL {
            return Err(ProposalRejected::TooLarge);
        }
        self.raw
            .propose(Vec::new(), command)
            .map_err(|_| ProposalRejected::Full)?;
        Ok(self.settle())
    }

    /// Asks a majority whether this keeper still leads; the answer is `Effect::Confirmed` with the same number, or
    /// none.
    pub fn read_index(&mut self, number: u64) -> Vec<Effect> {
        if self.leads && !self.broken {
            self.raw.read_index(number.to_be_bytes().to_vec());
        }
        self.settle()
    }

    /// A write is on disk.
    pub fn handle_stored(&mut self, number: u64) -> Vec<Effect> {
        let mut out = Vec::new();
        while let Some((_, words)) = self.unstored.pop_front_if(|(write, _)| *write <= number) {
            out.extend(words.iter().map(send));
        }
        let mut ready = None;
        while let Some((_, number)) = self.readies.pop_front_if(|(write, _)| *write <= number) {
            ready = Some(number);
        }
        if let Some(ready) = ready {
            self.raw.on_persist_ready(ready);
        }
        if self.installing.take_if(|write| *write <= number).is_some() {
            self.raw.advance_apply_to(self.applied);
        }
        out.extend(self.settle());
        out
    }

    /// The disk failed: what is not on it must never be counted on.
    pub fn mark_failed(&mut self) -> Vec<Effect> {
        self.broken = true;
        self.settle()
    }

    /// A keeper without a state asks to be taken in; `names` are the file's keepers. It is a learner at first.
    pub fn add_learner(&mut self, id: ReplicaId, name: &str, names: &[String]) -> Vec<Effect> {
        let known = self.raw.raft.prs().get(id.0).is_some();
        if known || !names.iter().any(|n| n == name) {
            return Vec::new();
        }
        // Learners that never caught up go: each try of a keeper that loses its disk again leaves one.
        let of_name = |old: &u64| self.names.get(&ReplicaId(*old)).is_none_or(|n| n == name);
        let learners = self.raw.raft.prs().conf().to_conf_state().learners;
        let mut list = vec![change(ConfChangeType::AddLearnerNode, id.0)];
        list.extend(
            learners
                .into_iter()
                .filter(of_name)
                .map(|old| change(ConfChangeType::RemoveNode, old)),
        );
        self.change(list, Some((id, name.to_string())))
    }

    /// What the leader has to see to, at each tick: a learner that has caught up takes the place of the former keeper
    /// of its name, and keepers that the file no longer names go. One change at a time.
    pub fn reconcile_members(&mut self, names: &[String]) -> Vec<Effect> {
        let conf = self.raw.raft.prs().conf().to_conf_state();
        let committed = self.raw.raft.raft_log.committed;
        let caught_up = |id: &&u64| {
            let matched = self
                .raw
                .raft
                .prs()
                .get(**id)
                .map_or(0, |progress| progress.matched);
            matched > 0 && matched + CAUGHT_UP >= committed
        };
        if let Some(id) = conf.learners.iter().find(caught_up).copied() {
            let name = self.names.get(&ReplicaId(id)).cloned().unwrap_or_default();
            let former = conf
                .voters
                .iter()
                .filter(|old| self.names.get(&ReplicaId(**old)) == Some(&name));
            let mut list = vec![change(ConfChangeType::AddNode, id)];
            list.extend(former.map(|old| change(ConfChangeType::RemoveNode, *old)));
            return self.change(list, Some((ReplicaId(id), name)));
        }
        let gone = |id: &&u64| {
            let name = self.names.get(&ReplicaId(**id));
            **id != self.id.0 && name.is_some_and(|name| !names.contains(name))
        };
        let gone = conf.voters.iter().chain(&conf.learners).find(gone).copied();
        gone.map_or(Vec::new(), |id| {
            self.change(vec![change(ConfChangeType::RemoveNode, id)], None)
        })
    }

    fn change(
        &mut self,
        list: Vec<ConfChangeSingle>,
        whom: Option<(ReplicaId, String)>,
    ) -> Vec<Effect> {
        if !self.leads || self.broken || self.ticks < self.changed + CHANGE_TICKS {
            return Vec::new();
        }
        let mut changes = ConfChangeV2::default();
        changes.set_transition(ConfChangeTransition::Auto);
        changes.set_changes(list.into());
        let context = whom.map_or(Vec::new(), |whom| {
            postcard::to_allocvec(&whom).unwrap_or_default()
        });
        changes.context = context.clone().into();
        if self.raw.propose_conf_change(context, changes).is_ok() {
            self.changed = self.ticks;
        }
        self.settle()
    }

    /// Takes out of raft all that is to be done.
    fn settle(&mut self) -> Vec<Effect> {
        let mut out = Vec::new();
        // The crate draws its timeout from the system; a drawing from the seed stands in its place, always.
        let now = (self.raw.raft.term, self.raw.raft.state);
        if now != self.drawn_for {
            self.drawn_for = now;
            self.timeout = self.random.usize(ELECTION_TICKS..2 * ELECTION_TICKS);
        }
        self.raw.raft.set_randomized_election_timeout(self.timeout);
        while self.installing.is_none() && !self.broken && self.raw.has_ready() {
            let mut ready = self.raw.ready();
            let snapshot = ready.snapshot().clone();
            let mut write = StorageOperation {
                number: self.writes + 1,
                ..StorageOperation::default()
            };
            if snapshot.get_metadata().index > 0 {
                if !self.install(&snapshot) {
                    self.broken = true;
                    break;
                }
                write.snapshot = Some((snapshot.get_metadata().index, encoded(&snapshot)));
                self.installing = Some(write.number);
                out.push(Effect::Applied);
            }
            write.entries = ready
                .entries()
                .iter()
                .map(|e| (e.index, encoded(e)))
                .collect();
            if let Some(hard) = ready.hs() {
                write.hard_state = Some(encoded(hard));
                self.raw.mut_store().hard = hard.clone();
            }
            self.raw.mut_store().append(ready.entries());
            out.extend(ready.take_messages().iter().map(send));
            let words = ready.take_persisted_messages();
            for read in ready.take_read_states() {
                if let Ok(number) = read.request_ctx.as_slice().try_into() {
                    self.readings
                        .push_back((read.index, u64::from_be_bytes(number)));
                }
            }
            let committed = ready.take_committed_entries();
            let number = ready.number();
            // What came with a ready that needs no disk may go once all before it is stored.
            if !write.is_empty() || !self.unstored.is_empty() {
                self.writes += 1;
                self.unstored.push_back((self.writes, words));
                self.readies.push_back((self.writes, number));
                out.push(Effect::Store(write));
                self.raw.advance_append_async(ready);
            } else {
                out.extend(words.iter().map(send));
                self.raw.advance_append_async(ready);
                self.raw.on_persist_ready(number);
            }
            if !committed.is_empty() {
                committed.iter().for_each(|entry| self.apply(entry));
                self.raw.advance_apply_to(self.applied);
                out.push(Effect::Applied);
            }
            self.compact(&mut out);
        }
        let applied = self.applied;
        let own_term = self
            .raw
            .raft
            .raft_log
            .term(applied)
            .is_ok_and(|term| term == self.raw.raft.term);
        let leads = self.raw.raft.state == StateRole::Leader && own_term && !self.broken;
        if leads != self.leads {
            self.leads = leads;
            self.readings.clear();
            out.push(Effect::LeadershipChanged(leads));
        }
        while let Some((_, number)) = self.readings.pop_front_if(|(index, _)| *index <= applied) {
            if self.leads {
                out.push(Effect::ReadIndexConfirmed(number));
            }
        }
        out
    }

    fn install(&mut self, snapshot: &Snapshot) -> bool {
        let Ok(image) = postcard::from_bytes::<Image>(&snapshot.data) else {
            return false;
        };
        self.names = image.names;
        self.applied = snapshot.get_metadata().index;
        self.raw.mut_store().install(snapshot.clone());
        self.state.restore(&image.state)
    }

    fn apply(&mut self, entry: &Entry) {
        self.applied = entry.index;
        match entry.get_entry_type() {
            EntryType::EntryNormal if entry.data.is_empty() => {}
            EntryType::EntryNormal => self.state.apply(&entry.data),
            EntryType::EntryConfChange => {}
            EntryType::EntryConfChangeV2 => {
                let Ok(change) = ConfChangeV2::parse_from_bytes(&entry.data) else {
                    return;
                };
                if let Ok((id, name)) = postcard::from_bytes::<(ReplicaId, String)>(&change.context)
                {
                    self.names.insert(id, name);
                }
                if let Ok(conf) = self.raw.apply_conf_change(&change) {
                    let stays = |id: &ReplicaId| {
                        let lists = [
                            &conf.voters,
                            &conf.learners,
                            &conf.voters_outgoing,
                            &conf.learners_next,
                        ];
                        lists.iter().any(|list| list.contains(&id.0))
                    };
                    self.names.retain(|id, _| stays(id));
                    self.raw.mut_store().conf = conf;
                }
            }
        }
    }

    /// Puts a snapshot in the place of many entries.
    fn compact(&mut self, out: &mut Vec<Effect>) {
        let meta = self.raw.store().snapshot.get_metadata();
        let (base, many) = (meta.index, self.raw.store().len() >= MOST_ENTRIES);
        // A keeper that joins takes no snapshot in which it does not stand.
        let joined = *meta.get_conf_state() != self.raw.store().conf;
        let due =
            many && self.applied >= base + MOST_ENTRIES as u64 / 2 || joined && self.applied > base;
        if !due || base == 0 {
            return;
        }
        let Ok(term) = self.raw.raft.raft_log.term(self.applied) else {
            return;
        };
        let image = Image {
            names: self.names.clone(),
            state: self.state.snapshot(),
        };
        let data = postcard::to_allocvec(&image).unwrap_or_default().into();
        let mut snapshot = Snapshot {
            data,
            ..Snapshot::default()
        };
        let conf = self.raw.store().conf.clone();
        let meta = snapshot.mut_metadata();
        (meta.index, meta.term) = (self.applied, term);
        meta.set_conf_state(conf);
        self.writes += 1;
        let (number, bytes) = (self.writes, encoded(&snapshot));
        out.push(Effect::Store(StorageOperation {
            number,
            snapshot: Some((self.applied, bytes)),
            ..StorageOperation::default()
        }));
        self.unstored.push_back((number, Vec::new()));
        self.raw.mut_store().install(snapshot);
    }

    /// A snapshot that was sent did not arrive, or did: raft waits for the word before it sends anything else.
    pub fn report_snapshot(&mut self, to: ReplicaId, arrived: bool) {
        let status = if arrived {
            SnapshotStatus::Finish
        } else {
            SnapshotStatus::Failure
        };
        self.raw.report_snapshot(to.0, status);
    }

    /// Whether a snapshot is under way to a keeper.
    pub fn pending_snapshots(&self) -> Vec<ReplicaId> {
        let prs = self.raw.raft.prs();
        let waits = prs
            .iter()
            .filter(|(_, p)| p.state == raft::ProgressState::Snapshot);
        waits.map(|(id, _)| ReplicaId(*id)).collect()
    }
}

fn change(kind: ConfChangeType, id: u64) -> ConfChangeSingle {
    let mut one = ConfChangeSingle::default();
    one.set_change_type(kind);
    one.node_id = id;
    one
}

fn send(message: &Message) -> Effect {
    Effect::Send {
        to: ReplicaId(message.to),
        bytes: encoded(message),
    }
}
