//! Health checks: answered from what the decider set, or by work that the engine does.
use crate::event::ConnectionId;
use crate::protocol::engine::Tag;
use crate::protocol::sidecar::StreamId;
use cottondyke_types::Time;
use std::collections::BTreeMap;

/// A check waits this long for the engine's test, and is then answered as bad.
const TEST_WITHIN: Time = Time(5_000);
/// Tests that may be out; further checks are answered as bad.
const MOST_TESTS: usize = 64;

#[derive(Debug, Default)]
pub struct HealthChecker {
    /// What the decider set; before it has, checks are answered by what the engine does.
    stored: Option<bool>,
    tests: BTreeMap<Tag, (Time, ConnectionId, StreamId)>,
}

impl HealthChecker {
    /// True if that is news.
    pub fn set(&mut self, good: bool) -> bool {
        self.stored.replace(good) != Some(good)
    }

    /// What a check hears at once; none where only a test can tell.
    pub fn answer(&self, deep: bool, engine_up: bool) -> Option<bool> {
        let out = self.tests.len() >= MOST_TESTS || !engine_up;
        self.stored.or(if out {
            Some(false)
        } else {
            (!deep).then_some(true)
        })
    }

    pub fn testing(&mut self, now: Time, tag: Tag, conn: ConnectionId, stream: StreamId) {
        self.tests.insert(tag, (now + TEST_WITHIN, conn, stream));
    }

    pub fn tested(&mut self, tag: Tag) -> Option<(ConnectionId, StreamId)> {
        self.tests
            .remove(&tag)
            .map(|(_, conn, stream)| (conn, stream))
    }

    /// The checks that have waited long enough.
    pub fn overdue(&mut self, now: Time) -> Vec<(ConnectionId, StreamId)> {
        let late: Vec<_> = self
            .tests
            .iter()
            .filter(|(_, t)| t.0 <= now)
            .map(|(tag, _)| *tag)
            .collect();
        late.into_iter()
            .filter_map(|tag| self.tested(tag))
            .collect()
    }

    pub fn next(&self) -> Option<Time> {
        self.tests.values().map(|t| t.0).min()
    }
}
