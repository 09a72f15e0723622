//! Health checks: answered with the status that the admission controller set or, before it has, by the engine's state.
use crate::event::ConnectionId;
use crate::protocol::engine::Tag;
use crate::protocol::sidecar::StreamId;
use cottondyke_types::Time;
use std::collections::BTreeMap;

/// A check waits this long for the engine's self-test, and is then answered as unhealthy.
const SELF_TEST_TIMEOUT: Time = Time(5_000);
/// Maximum number of pending self-tests; further checks are answered as unhealthy.
const MAX_PENDING_TESTS: usize = 64;

/// Where the answer to a health check goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HealthCheckOrigin {
    /// The connection.
    pub connection: ConnectionId,
    /// The stream on it.
    pub stream: StreamId,
}

/// The answer to health checks, and the checks that wait for a self-test.
#[derive(Debug, Default)]
pub struct HealthChecker {
    /// The status that the admission controller set; until then checks are answered by the state of the engine.
    healthy: Option<bool>,
    /// Checks that wait for a self-test, and when they time out.
    pending: BTreeMap<Tag, (Time, HealthCheckOrigin)>,
}

impl HealthChecker {
    /// Sets the answer to checks; true if it changed.
    pub fn set_healthy(&mut self, healthy: bool) -> bool {
        self.healthy.replace(healthy) != Some(healthy)
    }

    /// The immediate answer to a check; `None` if it needs a self-test.
    pub fn answer(&self, deep: bool, engine_up: bool) -> Option<bool> {
        if self.healthy.is_some() {
            return self.healthy;
        }
        if self.pending.len() >= MAX_PENDING_TESTS || !engine_up {
            return Some(false);
        }
        (!deep).then_some(true)
    }

    /// Registers a check that waits for the self-test with this tag.
    pub fn wait_for_test(&mut self, now: Time, tag: Tag, origin: HealthCheckOrigin) {
        self.pending.insert(tag, (now + SELF_TEST_TIMEOUT, origin));
    }

    /// Removes and returns the check that waits for this self-test.
    pub fn finish_test(&mut self, tag: Tag) -> Option<HealthCheckOrigin> {
        self.pending.remove(&tag).map(|(_, origin)| origin)
    }

    /// Removes and returns the checks that have timed out.
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

    /// When the next check times out.
    pub fn next_timer(&self) -> Option<Time> {
        self.pending.values().map(|(until, _)| *until).min()
    }
}
