//! Replicas that exchange messages in memory, each with a storage that is written immediately.
use cottondyke_consensus::{
    Effect, EncodedSnapshot, OpenError, PersistedState, Replica, ReplicaId, RestoreError,
    StateMachine,
};
use std::collections::{BTreeMap, VecDeque};

/// A state that [`CommandLog`] cannot restore.
const UNREADABLE_STATE: &[u8] = b"unreadable";

/// A state machine that appends the bytes of all commands.
#[derive(Debug, Default, Clone, PartialEq)]
struct CommandLog(Vec<u8>);

impl StateMachine for CommandLog {
    fn apply(&mut self, command: &[u8]) {
        self.0.extend_from_slice(command);
    }

    fn snapshot(&self) -> Vec<u8> {
        self.0.clone()
    }

    fn restore(&mut self, bytes: &[u8]) -> Result<(), RestoreError> {
        if bytes == UNREADABLE_STATE {
            return Err(RestoreError);
        }
        self.0 = bytes.to_vec();
        Ok(())
    }
}

/// A group of replicas with their storages and network.
#[derive(Default)]
struct Group {
    replicas: BTreeMap<ReplicaId, Replica<CommandLog>>,
    storages: BTreeMap<ReplicaId, PersistedState>,
    messages: VecDeque<(ReplicaId, Vec<u8>)>,
    confirmed_reads: Vec<(ReplicaId, u64)>,
}

const NAMES: [&str; 3] = ["a", "b", "c"];

fn names() -> Vec<String> {
    NAMES.map(String::from).to_vec()
}

impl Group {
    fn bootstrapped() -> Self {
        let members: BTreeMap<ReplicaId, String> = (1..).map(ReplicaId).zip(names()).collect();
        let mut group = Group::default();
        for id in members.keys() {
            let mut persisted = PersistedState::new(*id);
            persisted.apply(Replica::bootstrap_operation(
                &members,
                &CommandLog::default(),
            ));
            group.storages.insert(*id, persisted);
            group.open(*id);
        }
        group
    }

    fn open(&mut self, id: ReplicaId) {
        let persisted = self.storages.entry(id).or_insert(PersistedState::new(id));
        let replica = Replica::open(persisted, CommandLog::default(), 7).unwrap();
        self.replicas.insert(id, replica);
    }

    fn perform(&mut self, id: ReplicaId, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Send { to, bytes } => self.messages.push_back((to, bytes)),
                Effect::Store(operation) => {
                    let number = operation.number;
                    self.storages.get_mut(&id).unwrap().apply(operation);
                    let more = self.replicas.get_mut(&id).unwrap().handle_stored(number);
                    self.perform(id, more);
                }
                Effect::ReadIndexConfirmed(number) => self.confirmed_reads.push((id, number)),
                Effect::LeadershipChanged { .. } | Effect::Applied => {}
            }
        }
    }

    fn run_ticks(&mut self, count: usize) {
        for _ in 0..count {
            for id in self.replicas.keys().copied().collect::<Vec<_>>() {
                let replica = self.replicas.get_mut(&id).unwrap();
                let mut effects = replica.tick();
                effects.extend(replica.reconcile_members(&names()));
                for to in replica.pending_snapshots() {
                    replica.report_snapshot_delivered(to);
                }
                self.perform(id, effects);
            }
            while let Some((to, bytes)) = self.messages.pop_front() {
                if let Some(replica) = self.replicas.get_mut(&to) {
                    let effects = replica.handle_message(&bytes);
                    self.perform(to, effects);
                }
            }
        }
    }

    fn leader(&self) -> ReplicaId {
        let mut replicas = self.replicas.iter();
        let leader = replicas.find(|(_, replica)| replica.is_leader());
        *leader.expect("a replica is the leader").0
    }

    fn propose(&mut self, command: &[u8]) {
        let leader = self.leader();
        let replica = self.replicas.get_mut(&leader).unwrap();
        let effects = replica.propose(command.to_vec()).unwrap();
        self.perform(leader, effects);
    }
}

/// A replica that lost its disk is replaced under a new id and becomes a voter again, so that the group keeps its
/// majority when another disk is lost later. Such a replica used to stay a learner forever, since no snapshot's
/// configuration included it.
#[test]
fn promotes_a_replica_that_lost_its_disk_when_it_has_caught_up() {
    let mut group = Group::bootstrapped();
    group.run_ticks(60);
    group.propose(b"1");
    group.run_ticks(4);
    for (old, new) in [(1, 11), (2, 12), (3, 13)] {
        let (old, new) = (ReplicaId(old), ReplicaId(new));
        group.replicas.remove(&old);
        group.run_ticks(60);
        group.open(new);
        for _ in 0..8 {
            let leader = group.leader();
            let name = NAMES[old.0 as usize - 1];
            let replica = group.replicas.get_mut(&leader).unwrap();
            let effects = replica.add_learner(new, name, &names());
            group.perform(leader, effects);
            group.run_ticks(12);
        }
        group.propose(b"x");
        group.run_ticks(4);
        let voters = group.replicas[&new].voters();
        assert!(
            voters.contains(&new) && !voters.contains(&old),
            "{voters:?}"
        );
        assert_eq!(voters.len(), 3);
    }
    assert_eq!(group.replicas[&ReplicaId(13)].state.0, b"1xxx");
}

/// No committed command may be lost when a replica is opened again: it recovers them from a snapshot and the entries
/// after it.
#[test]
fn recovers_all_committed_commands_when_opened_again() {
    let mut group = Group::bootstrapped();
    group.run_ticks(60);
    for number in 0..1_200u32 {
        group.propose(&[number as u8]);
        group.run_ticks(1);
    }
    group.run_ticks(10);
    let leader = group.leader();
    let committed = group.replicas[&leader].state.clone();
    assert_eq!(committed.0.len(), 1_200);
    let stored_entries = group.storages[&leader].entries.len();
    assert!(stored_entries < 600, "{stored_entries}");
    for id in [1, 2, 3].map(ReplicaId) {
        group.open(id);
    }
    group.run_ticks(60);
    let mut replicas = group.replicas.values();
    assert!(replicas.all(|replica| replica.state == committed));
}

/// The lease manager relies on this: the reads of a leader are confirmed if it reaches a majority, and not otherwise.
#[test]
fn confirms_reads_only_when_a_majority_is_reached() {
    let mut group = Group::bootstrapped();
    group.run_ticks(60);
    let leader = group.leader();
    let effects = group.replicas.get_mut(&leader).unwrap().read_index(5);
    group.perform(leader, effects);
    group.run_ticks(2);
    assert_eq!(group.confirmed_reads, [(leader, 5)]);
    group.replicas.retain(|id, _| *id == leader);
    let effects = group.replicas.get_mut(&leader).unwrap().read_index(6);
    group.perform(leader, effects);
    group.run_ticks(60);
    assert_eq!(group.confirmed_reads, [(leader, 5)]);
    assert!(!group.replicas[&leader].is_leader());
}

/// Checks the line that is printed when a replica's file holds data that this program did not write.
#[test]
fn reports_what_cannot_be_decoded_when_opened() {
    let open_error = |persisted: &PersistedState| {
        let opened = Replica::open(persisted, CommandLog::default(), 7);
        opened.err().expect("opening fails")
    };
    let mut persisted = PersistedState::new(ReplicaId(1));
    persisted.hard_state = Some(vec![0xff]);
    let error = open_error(&persisted);
    assert!(matches!(error, OpenError::Log(_)));
    let line = error.to_string();
    let prefix = "the keeper's log cannot be read: ";
    assert!(line.starts_with(prefix), "{line}");

    let members = BTreeMap::from([(ReplicaId(1), "a".to_string())]);
    let operation = Replica::bootstrap_operation(&members, &CommandLog::default());
    let mut snapshot = operation.snapshot.unwrap();
    // The encoded snapshot begins with the data field: its tag, its length, and the number of members.
    assert_eq!(snapshot.bytes[2], 1);
    snapshot.bytes[2] = 9;
    persisted.hard_state = None;
    persisted.snapshot = Some(EncodedSnapshot {
        index: 1,
        bytes: snapshot.bytes,
    });
    let error = open_error(&persisted);
    assert!(matches!(error, OpenError::Snapshot(_)));
    let line = error.to_string();
    let prefix = "the keeper's snapshot cannot be read: ";
    assert!(line.starts_with(prefix), "{line}");

    let unreadable = CommandLog(UNREADABLE_STATE.to_vec());
    persisted.apply(Replica::bootstrap_operation(&members, &unreadable));
    let error = open_error(&persisted);
    assert!(matches!(error, OpenError::State(_)));
    let line = "the keeper's state cannot be read: expected a state that this version wrote";
    assert_eq!(error.to_string(), line);
}
