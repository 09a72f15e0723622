//! Keepers that speak in memory, each with a disk that is written at once unless a test holds it back.
use cottondyke_consensus::{Effect, PersistedState, Replica, ReplicaId, StateMachine};
use std::collections::{BTreeMap, VecDeque};

/// Commands in their order.
#[derive(Debug, Default, Clone, PartialEq)]
struct Log(Vec<u8>);

impl StateMachine for Log {
    fn apply(&mut self, command: &[u8]) {
        self.0.extend_from_slice(command);
    }

    fn snapshot(&self) -> Vec<u8> {
        self.0.clone()
    }

    fn restore(&mut self, bytes: &[u8]) -> bool {
        self.0 = bytes.to_vec();
        true
    }
}

#[derive(Default)]
struct Few {
    keepers: BTreeMap<ReplicaId, Replica<Log>>,
    disks: BTreeMap<ReplicaId, PersistedState>,
    words: VecDeque<(ReplicaId, Vec<u8>)>,
    confirmed: Vec<(ReplicaId, u64)>,
}

const NAMES: [&str; 3] = ["a", "b", "c"];

fn names() -> Vec<String> {
    NAMES.map(String::from).to_vec()
}

impl Few {
    fn founded() -> Self {
        let set: BTreeMap<ReplicaId, String> = (1..).map(ReplicaId).zip(names()).collect();
        let mut few = Few::default();
        for id in set.keys() {
            let mut saved = PersistedState::new(*id);
            saved.apply(Replica::bootstrap_operation(&set, &Log::default()));
            few.disks.insert(*id, saved);
            few.open(*id);
        }
        few
    }

    fn open(&mut self, id: ReplicaId) {
        let saved = self.disks.entry(id).or_insert(PersistedState::new(id));
        self.keepers
            .insert(id, Replica::open(saved, Log::default(), 7).unwrap());
    }

    fn carry(&mut self, id: ReplicaId, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Send { to, bytes } => self.words.push_back((to, bytes)),
                Effect::Store(write) => {
                    let number = write.number;
                    self.disks.get_mut(&id).unwrap().apply(write);
                    let more = self.keepers.get_mut(&id).unwrap().handle_stored(number);
                    self.carry(id, more);
                }
                Effect::ReadIndexConfirmed(number) => self.confirmed.push((id, number)),
                Effect::LeadershipChanged(_) | Effect::Applied => {}
            }
        }
    }

    fn ticks(&mut self, count: usize) {
        for _ in 0..count {
            for id in self.keepers.keys().copied().collect::<Vec<_>>() {
                let keeper = self.keepers.get_mut(&id).unwrap();
                let mut effects = keeper.tick();
                effects.extend(keeper.reconcile_members(&names()));
                for to in keeper.pending_snapshots() {
                    keeper.report_snapshot(to, true);
                }
                self.carry(id, effects);
            }
            while let Some((to, bytes)) = self.words.pop_front() {
                if let Some(keeper) = self.keepers.get_mut(&to) {
                    let effects = keeper.handle_message(&bytes);
                    self.carry(to, effects);
                }
            }
        }
    }

    fn leader(&self) -> ReplicaId {
        *self
            .keepers
            .iter()
            .find(|(_, keeper)| keeper.is_leader())
            .expect("one leads")
            .0
    }

    fn propose(&mut self, command: &[u8]) {
        let leader = self.leader();
        let effects = self
            .keepers
            .get_mut(&leader)
            .unwrap()
            .propose(command.to_vec())
            .unwrap();
        self.carry(leader, effects);
    }
}

/// Guards the registry's majority: a keeper whose disk is lost is replaced under a new number and votes again, so that
/// another may be lost after it. It was a learner for ever once, since no snapshot held it.
#[test]
fn a_keeper_that_lost_its_disk_takes_its_former_place() {
    let mut few = Few::founded();
    few.ticks(60);
    few.propose(b"1");
    few.ticks(4);
    for (old, new) in [(1, 11), (2, 12), (3, 13)] {
        let (old, new) = (ReplicaId(old), ReplicaId(new));
        few.keepers.remove(&old);
        few.ticks(60);
        few.open(new);
        for _ in 0..8 {
            let leader = few.leader();
            let name = NAMES[old.0 as usize - 1];
            let effects = few
                .keepers
                .get_mut(&leader)
                .unwrap()
                .add_learner(new, name, &names());
            few.carry(leader, effects);
            few.ticks(12);
        }
        few.propose(b"x");
        few.ticks(4);
        let keeper = &few.keepers[&new];
        assert!(
            keeper.voters().contains(&new) && !keeper.voters().contains(&old),
            "{:?}",
            keeper.voters()
        );
        assert_eq!(keeper.voters().len(), 3);
    }
    assert_eq!(few.keepers[&ReplicaId(13)].state.0, b"1xxx");
}

/// Guards what was agreed: a keeper started again knows it, from a snapshot and the entries after it.
#[test]
fn a_keeper_started_again_knows_what_was_agreed() {
    let mut few = Few::founded();
    few.ticks(60);
    for number in 0..1_200u32 {
        few.propose(&[number as u8]);
        few.ticks(1);
    }
    few.ticks(10);
    let leader = few.leader();
    let known = few.keepers[&leader].state.clone();
    assert_eq!(known.0.len(), 1_200);
    assert!(
        few.disks[&leader].entries.len() < 600,
        "{}",
        few.disks[&leader].entries.len()
    );
    for id in [1, 2, 3].map(ReplicaId) {
        few.open(id);
    }
    few.ticks(60);
    assert!(few.keepers.values().all(|keeper| keeper.state == known));
}

/// Guards the granter: a leader that a majority does not hear is not confirmed, one that it hears is.
#[test]
fn only_a_leader_that_is_heard_is_confirmed() {
    let mut few = Few::founded();
    few.ticks(60);
    let leader = few.leader();
    let effects = few.keepers.get_mut(&leader).unwrap().read_index(5);
    few.carry(leader, effects);
    few.ticks(2);
    assert_eq!(few.confirmed, [(leader, 5)]);
    let others: Vec<ReplicaId> = few
        .keepers
        .keys()
        .copied()
        .filter(|id| *id != leader)
        .collect();
    for other in others {
        few.keepers.remove(&other);
    }
    let effects = few.keepers.get_mut(&leader).unwrap().read_index(6);
    few.carry(leader, effects);
    few.ticks(60);
    assert_eq!(few.confirmed, [(leader, 5)]);
    assert!(!few.keepers[&leader].is_leader());
}

/// Guards what a keeper said: all that was written is read again, in order, and a newer layout is refused in words.
#[test]
fn the_disk_holds_what_was_written() {
    use cottondyke_consensus::{sqlite::SqliteStorage, StorageOperation};
    let folder = std::env::temp_dir().join(format!("cottondyke-registry-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let path = folder.join("registry.db");
    let id = ReplicaId(u64::MAX - 5);
    let entry = |index: u64| (index, vec![index as u8; 3]);
    let writes = [
        StorageOperation {
            number: 1,
            hard_state: Some(vec![1]),
            entries: (2..10).map(entry).collect(),
            ..StorageOperation::default()
        },
        StorageOperation {
            number: 2,
            hard_state: Some(vec![2]),
            entries: (6..8).map(entry).collect(),
            ..StorageOperation::default()
        },
        StorageOperation {
            number: 3,
            snapshot: Some((4, vec![9; 9])),
            bootstrap_members: Some([(id, "a".into())].into()),
            ..StorageOperation::default()
        },
    ];
    let (mut disk, empty) = SqliteStorage::open(&path, id).unwrap();
    assert_eq!(empty, PersistedState::new(id));
    let mut expected = PersistedState::new(id);
    disk.apply(&writes[..2]).unwrap();
    disk.apply(&writes[2..]).unwrap();
    writes.into_iter().for_each(|write| expected.apply(write));
    drop(disk);
    // Another number is offered: the one of the store stays.
    let (disk, saved) = SqliteStorage::open(&path, ReplicaId(1)).unwrap();
    assert_eq!(saved, expected);
    assert_eq!(saved.entries.keys().copied().collect::<Vec<_>>(), [5, 6, 7]);
    drop(disk);
    rusqlite::Connection::open(&path)
        .unwrap()
        .execute_batch("PRAGMA user_version = 9")
        .unwrap();
    let wrong = SqliteStorage::open(&path, id).unwrap_err();
    assert!(
        wrong.contains("layout 9 is newer") && wrong.contains("registry.db"),
        "{wrong}"
    );
    std::fs::write(&path, [7; 9_000]).unwrap();
    assert!(SqliteStorage::open(&path, id).is_err());
    std::fs::remove_dir_all(&folder).unwrap();
}
