//! The file of a replica as the versions in use wrote it: opened, read completely, written to and opened again.
use cottondyke_consensus::sqlite::SqliteStorage;
use cottondyke_consensus::{
    Effect, EncodedEntry, EncodedSnapshot, PersistedState, Replica, ReplicaId, RestoreError,
    StateMachine, StorageOperation,
};
use protobuf::Message as _;
use raft::eraftpb::{Entry, EntryType, HardState, Snapshot};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

const FIXTURE: &str = "tests/fixtures/registry.sqlite";

/// The bytes of all commands in their order.
struct CommandLog(Vec<u8>);

impl StateMachine for CommandLog {
    fn apply(&mut self, command: &[u8]) {
        self.0.extend_from_slice(command);
    }

    fn snapshot(&self) -> Vec<u8> {
        self.0.clone()
    }

    fn restore(&mut self, bytes: &[u8]) -> Result<(), RestoreError> {
        self.0 = bytes.to_vec();
        Ok(())
    }
}

/// A copy of the fixture in a folder of its own, removed with it.
struct Copy(PathBuf);

impl Copy {
    fn new(name: &str) -> Self {
        let folder = std::env::temp_dir().join(format!("golden-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let fixture = Path::new(env!("CARGO_MANIFEST_DIR")).join(FIXTURE);
        std::fs::copy(fixture, folder.join("registry.db")).unwrap();
        Copy(folder)
    }

    fn file(&self) -> PathBuf {
        self.0.join("registry.db")
    }

    /// The id given is not taken: the file has one.
    fn open(&self) -> (SqliteStorage, PersistedState) {
        SqliteStorage::open(&self.file(), ReplicaId(99)).unwrap()
    }
}

impl Drop for Copy {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn bootstrap_members() -> BTreeMap<ReplicaId, String> {
    BTreeMap::from([(ReplicaId(u64::MAX - 1), "alone".to_string())])
}

fn snapshot(index: u64, bytes: Vec<u8>) -> EncodedSnapshot {
    EncodedSnapshot { index, bytes }
}

fn entry(index: u64, bytes: Vec<u8>) -> EncodedEntry {
    EncodedEntry { index, bytes }
}

/// Writes at once what is to be stored.
fn perform(replica: &mut Replica<CommandLog>, storage: &mut SqliteStorage, effects: Vec<Effect>) {
    for effect in effects {
        if let Effect::Store(operation) = effect {
            storage.apply(std::slice::from_ref(&operation)).unwrap();
            let more = replica.handle_stored(operation.number);
            perform(replica, storage, more);
        }
    }
}

fn open_leader(persisted: &PersistedState, storage: &mut SqliteStorage) -> Replica<CommandLog> {
    let mut replica = Replica::open(persisted, CommandLog(Vec::new()), 7).unwrap();
    for _ in 0..100 {
        let effects = replica.tick();
        perform(&mut replica, storage, effects);
    }
    assert!(replica.is_leader());
    replica
}

#[test]
fn loads_every_field_when_an_older_build_wrote_the_file() {
    let copy = Copy::new("fields");
    let (_storage, persisted) = copy.open();
    assert!(persisted.id == ReplicaId(u64::MAX - 1));
    assert!(persisted.bootstrap_members == Some(bootstrap_members()));
    let hard = HardState::parse_from_bytes(&persisted.hard_state.unwrap()).unwrap();
    assert_eq!((hard.term, hard.vote, hard.commit), (2, u64::MAX - 1, 4));
    let EncodedSnapshot { index, bytes } = persisted.snapshot.unwrap();
    let snapshot = Snapshot::parse_from_bytes(&bytes).unwrap();
    let meta = snapshot.get_metadata();
    assert_eq!((index, meta.index, meta.term), (1, 1, 1));
    let conf = meta.get_conf_state();
    assert_eq!(conf.voters, [u64::MAX - 1]);
    assert!(conf.learners.is_empty() && conf.voters_outgoing.is_empty());
    // The contents of the snapshot: one id with its name, then the state.
    let contents = b"\x01\xfe\xff\xff\xff\xff\xff\xff\xff\xff\x01\x05alone\x04seed";
    assert_eq!(snapshot.data[..], contents[..]);
    let entries = persisted.entries.iter().map(|(index, bytes)| {
        let entry = Entry::parse_from_bytes(bytes).unwrap();
        assert!(entry.index == *index && entry.get_entry_type() == EntryType::EntryNormal);
        (entry.index, entry.term, entry.data.to_vec())
    });
    let expected = [
        (2, 2, vec![]),
        (3, 2, b"-one".to_vec()),
        (4, 2, b"-two".to_vec()),
    ];
    assert!(entries.eq(expected));
}

#[test]
fn resumes_the_replica_when_an_older_build_wrote_the_file() {
    let copy = Copy::new("keeper");
    let (mut storage, persisted) = copy.open();
    let mut replica = open_leader(&persisted, &mut storage);
    assert!(
        replica.member_names() == &bootstrap_members()
            && replica.bootstrap_members() == &bootstrap_members()
    );
    assert!(replica.id() == ReplicaId(u64::MAX - 1) && replica.voters() == [replica.id()]);
    assert_eq!(replica.state.0, b"seed-one-two");
    let effects = replica.propose(b"-three".to_vec()).unwrap();
    perform(&mut replica, &mut storage, effects);
    assert_eq!(replica.state.0, b"seed-one-two-three");
    drop((replica, storage));
    let (mut storage, persisted) = copy.open();
    assert_eq!(
        open_leader(&persisted, &mut storage).state.0,
        b"seed-one-two-three"
    );
}

#[test]
fn keeps_what_is_written_when_the_file_is_opened_again() {
    let copy = Copy::new("again");
    let (mut storage, mut persisted) = copy.open();
    let operation = StorageOperation {
        number: 1,
        hard_state: Some(vec![8, 9]),
        snapshot: Some(snapshot(2, vec![1, 2, 3])),
        entries: vec![entry(4, vec![4]), entry(5, vec![5])],
        bootstrap_members: Some(BTreeMap::from([(ReplicaId(3), "c".to_string())])),
    };
    storage.apply(std::slice::from_ref(&operation)).unwrap();
    drop(storage);
    let third = persisted.entries[&3].clone();
    let (_storage, again) = copy.open();
    assert!(again.id == persisted.id && again.hard_state == Some(vec![8, 9]));
    assert!(
        again.snapshot == Some(snapshot(2, vec![1, 2, 3]))
            && again.bootstrap_members == operation.bootstrap_members
    );
    let entries = [(3, third), (4, vec![4]), (5, vec![5])];
    assert!(again.entries == BTreeMap::from(entries));
    persisted.apply(operation);
    assert!(persisted == again);
}

#[test]
fn makes_the_same_tables_when_the_file_is_new() {
    let copy = Copy::new("tables");
    let new = copy.0.join("new.db");
    drop(SqliteStorage::open(&new, ReplicaId(5)).unwrap());
    drop(copy.open());
    let all = vec!["founders", "hard", "id", "snapshot"];
    for (file, rows) in [(new, vec!["id"]), (copy.file(), all)] {
        let db = rusqlite::Connection::open(file).unwrap();
        let read = |sql: &str| -> Vec<String> {
            let mut rows = db.prepare(sql).unwrap();
            let rows = rows.query_map([], |row| row.get(0)).unwrap();
            rows.map(Result::unwrap).collect()
        };
        let tables = [
            "CREATE TABLE entry (place INTEGER PRIMARY KEY, bytes BLOB NOT NULL)",
            "CREATE TABLE one (name TEXT PRIMARY KEY, number INTEGER, bytes BLOB) WITHOUT ROWID",
        ];
        let schema = "SELECT sql FROM sqlite_master WHERE sql IS NOT NULL ORDER BY name";
        assert_eq!(read(schema), tables);
        let version = "SELECT CAST(user_version AS TEXT) FROM pragma_user_version";
        assert_eq!(read(version), ["1"]);
        assert_eq!(read("PRAGMA journal_mode"), ["wal"]);
        assert_eq!(read("SELECT name FROM one ORDER BY name"), rows);
    }
}
