//! The serialized form of a replica's persisted state, which other packages write to files.
use cottondyke_consensus::{EncodedSnapshot, PersistedState, ReplicaId};
use serde::Serialize;
use std::collections::BTreeMap;

/// A type with the same serialized shape as `PersistedState`.
#[derive(Serialize)]
struct Shape {
    id: u64,
    hard_state: Option<Vec<u8>>,
    snapshot: Option<(u64, Vec<u8>)>,
    entries: BTreeMap<u64, Vec<u8>>,
    bootstrap_members: Option<BTreeMap<u64, String>>,
}

#[test]
fn serializes_a_snapshot_as_a_pair_when_encoded() {
    let mut state = PersistedState::new(ReplicaId(300));
    state.hard_state = Some(vec![1, 2]);
    state.snapshot = Some(EncodedSnapshot {
        index: 400,
        bytes: vec![3],
    });
    state.entries = BTreeMap::from([(401, vec![4, 5])]);
    state.bootstrap_members = Some(BTreeMap::from([(ReplicaId(300), "a".to_string())]));
    let shape = Shape {
        id: 300,
        hard_state: Some(vec![1, 2]),
        snapshot: Some((400, vec![3])),
        entries: BTreeMap::from([(401, vec![4, 5])]),
        bootstrap_members: Some(BTreeMap::from([(300, "a".to_string())])),
    };
    let bytes = postcard::to_allocvec(&state).unwrap();
    assert_eq!(bytes, postcard::to_allocvec(&shape).unwrap());
    assert_eq!(postcard::from_bytes::<PersistedState>(&bytes), Ok(state));
}
