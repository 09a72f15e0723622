//! Connections to the engine, and health checks.
use super::RequestDispatcher;
use crate::clock::time_from_ms;
use crate::dedup::DedupTable;
use crate::event::ConnectionId;
use crate::execution::engine::EngineExecutor;
use crate::health_check::HealthCheckOrigin;
use crate::protocol::engine::{EngineCommand, EngineStart};
use crate::protocol::sidecar::{Response, StreamId};
use async_channel::Sender;
use cottondyke_admission::LoadSample;
use cottondyke_types::Time;

impl RequestDispatcher {
    /// Handles a hello of the engine. The first one tells when the engine started: the slow start of the admission
    /// controller begins then, or at the start of this program if that is later, since nothing was observed before. No
    /// request has run before the first hello, so all open requests are submitted again.
    pub(super) fn handle_engine_up(
        &mut self,
        now: Time,
        start: EngineStart,
        age_ms: f64,
        commands: Sender<EngineCommand>,
    ) {
        let Some(engine) = &mut self.executors.engine else {
            return;
        };
        let first = !engine.was_ever_up();
        engine.link_up(now, commands);
        let settings_cold = self.config.starts_cold();
        tracing::info!(
            first,
            age_ms,
            ?start,
            settings_cold,
            "connected to the engine"
        );
        if first {
            let engine_started_at = (now - time_from_ms(age_ms)).max(self.started_at);
            self.restart_admission(now, engine_started_at);
        }
    }

    /// Creates a new admission controller for an engine that started at this time, and submits all open requests to it.
    fn restart_admission(&mut self, now: Time, engine_started_at: Time) {
        match self.config.admission_controller(engine_started_at) {
            Ok(admission) => self.admission = admission,
            Err(error) => {
                tracing::error!(%error, "cannot build an admission controller from the settings")
            }
        }
        self.executors.forget_all(now);
        // Open requests are inserted again as they are submitted: of those with the same key, the one submitted first
        // becomes the first attempt.
        self.dedup = DedupTable::default();
        self.requests.remove_answered();
        self.ticks.clear();
        if let Some(notice) = self.shutdown_notice() {
            let actions = self.admission.drain(now, notice);
            self.perform_all(now, actions);
        }
        self.tick(now, LoadSample::default());
        for id in self.requests.ids_where(|request| !request.is_answered) {
            self.readmit(now, id);
        }
    }

    pub(super) fn handle_health_check(
        &mut self,
        now: Time,
        connection: ConnectionId,
        stream: StreamId,
        deep: bool,
    ) {
        self.connections.record_request(now, connection);
        let check = HealthCheckOrigin { connection, stream };
        if let Some(healthy) = self.health.answer(deep, self.executors.is_up()) {
            self.answer_health_check(now, check, healthy);
            return;
        }
        let engine = self.executors.engine.as_mut();
        match engine.and_then(EngineExecutor::start_self_test) {
            Some(tag) => self.health.wait_for_test(now, tag, check),
            None => self.answer_health_check(now, check, false),
        }
    }

    pub(super) fn answer_health_check(
        &mut self,
        now: Time,
        check: HealthCheckOrigin,
        healthy: bool,
    ) {
        let stream = check.stream;
        let response = Response::HealthStatus { stream, healthy };
        self.connections.send(now, check.connection, &response);
    }
}
