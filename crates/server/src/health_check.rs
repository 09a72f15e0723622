//! Health checks: answered from what the admission controller set, or by a self-test of the engine.
use crate::event::ConnectionId;
use crate::protocol::engine::Tag;
use crate::protocol::sidecar::StreamId;
use cottondyke_types::Time;
use std::collections::BTreeMap;

/// A check waits this long for the engine's self-test, and is then answered as unhealthy.
const SELF_TEST_TIMEOUT: Time = Time(5_000);
/// Self-tests that may be pending; further checks are answered as unhealthy.
const MAX_PENDING_TESTS: usize = 64;

/// Where the answer to a health check goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HealthCheckOrigin {
    /// The connection.
    pub connection: ConnectionId,
    /// The stream on it.
    pub stream: StreamId,
}

/// What health checks are answered, and those that wait for a self-test.
#[derive(Debug, Default)]
pub struct HealthChecker {
    /// What the admission controller set; before it has, checks are answered by what the engine does.
    healthy: Option<bool>,
    /// Checks that wait, and until when.
    pending: BTreeMap<Tag, (Time, HealthCheckOrigin)>,
}

impl HealthChecker {
    /// Sets what checks are answered; true if that is a change.
    pub fn set_healthy(&mut self, healthy: bool) -> bool {
        self.healthy.replace(healthy) != Some(healthy)
    }

    /// What a check is answered at once; none where only a self-test can tell.
    pub fn answer(&self, deep: bool, engine_up: bool) -> Option<bool> {
        if self.healthy.is_some() {
            return self.healthy;
        }
        if self.pending.len() >= MAX_PENDING_TESTS || !engine_up {
            return Some(false);
        }
        (!deep).then_some(true)
    }

    /// A check waits for the self-test with this tag.
    pub fn wait_for_test(&mut self, now: Time, tag: Tag, origin: HealthCheckOrigin) {
        self.pending.insert(tag, (now + SELF_TEST_TIMEOUT, origin));
    }

    /// The check that waits for this self-test, which it waits for no longer.
    pub fn finish_test(&mut self, tag: Tag) -> Option<HealthCheckOrigin> {
        self.pending.remove(&tag).map(|(_, origin)| origin)
    }

    /// The checks that have waited long enough.
    pub fn take_expired(&mut self, now: Time) -> Vec<HealthCheckOrigin> {
        let expired: Vec<_> = self
            .pending
            .iter()
            .filter(|(_, (until, _))| *until <= now)
            .map(|(tag, _)| *tag)
            .collect();
        expired
            .into_iter()
            .filter_map(|tag| self.finish_test(tag))
            .collect()
    }

    /// When the next check has waited long enough.
    pub fn next_timer(&self) -> Option<Time> {
        self.pending.values().map(|(until, _)| *until).min()
    }
}
