//! The graceful shutdown: from its signal until every request that was read is answered, or the timeout is over.
use super::RequestDispatcher;
use crate::clock::time_from_ms;
use crate::shutdown::{self, ShutdownPhase, FULL_AGGREGATIONS_UNTIL};
use cottondyke_admission::ShutdownNotice;
use cottondyke_types::Time;

/// Fraction of the shutdown timeout by which phases may begin earlier.
const MAX_PHASE_ADVANCE: f64 = 0.1;

impl RequestDispatcher {
    pub(super) fn handle_shutdown(&mut self, now: Time) {
        if self.shutdown_at.is_some() {
            tracing::info!("repeated shutdown signal");
            return;
        }
        tracing::info!(in_flight = self.requests.len(), "shutting down");
        self.shutdown_at = Some(now);
        let timeout = self.shutdown_timeout();
        if let Some(notice) = self.shutdown_notice() {
            let actions = self.admission.drain(now, notice);
            self.perform_all(now, actions);
        }
        let until = now + timeout.scaled(FULL_AGGREGATIONS_UNTIL);
        self.executors.start_draining(now, until);
        self.connections.send_go_away_to_all(now);
        self.next_maintenance = now;
    }

    /// The notice of a shutdown that has begun.
    pub(super) fn shutdown_notice(&self) -> Option<ShutdownNotice> {
        self.shutdown_at.map(|received_at| ShutdownNotice {
            received_at,
            timeout: self.shutdown_timeout(),
        })
    }

    /// The configured time from the shutdown signal to the end of the process.
    pub(super) fn shutdown_timeout(&self) -> Time {
        time_from_ms(self.config.shutdown_timeout.as_secs_f64() * 1_000.0)
    }

    /// The phase at `now`. Each phase begins earlier by as much as the process wakes late, so that the last one is over
    /// in time.
    pub(super) fn shutdown_phase(&self, now: Time) -> ShutdownPhase {
        let timeout = self.shutdown_timeout();
        let max_advance = timeout.scaled(MAX_PHASE_ADVANCE);
        let advance = self.admission.wake_delay(now).min(max_advance);
        shutdown::phase(self.shutdown_at, timeout, now + advance)
    }

    /// Closes the listener and connections as the phase requires; true once the shutdown is complete.
    pub(super) fn advance_shutdown(&mut self, now: Time, phase: ShutdownPhase) -> bool {
        if phase >= ShutdownPhase::StoppedAccepting && self.stop_listening.take().is_some() {
            self.connections.send_go_away_to_all(now);
        }
        if phase >= ShutdownPhase::Closing {
            self.connections.close_idle();
        }
        // The end of the process closes every connection at once. So it waits until each connection has written its
        // responses and read what its sidecar still sent, or the timeout is over.
        if phase == ShutdownPhase::Expired {
            return true;
        }
        let is_answered = self.requests.values().all(|request| request.is_answered);
        phase >= ShutdownPhase::StoppedAccepting && self.connections.count() == 0 && is_answered
    }
}
