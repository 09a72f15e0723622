//! Timers: ticks of the admission controller, timeouts of health checks and load queries, maintenance.
use super::counters::{log_core_wait, log_memory, log_status, MemoryStatus};
use super::RequestDispatcher;
use crate::execution::engine::EngineExecutor;
use crate::log_output::dropped_lines;
use crate::process_memory;
use crate::shutdown::ShutdownPhase;
use cottondyke_admission::LoadSample;
use cottondyke_types::{Time, SECOND};
use std::time::Duration;

/// If the engine does not answer a load query within this time, the admission controller is ticked with an
/// empty load sample.
const LOAD_QUERY_TIMEOUT: Time = Time(100);
const MAINTENANCE_INTERVAL: Time = Time(500);
const DRAINING_MAINTENANCE_INTERVAL: Time = Time(50);
const LOG_INTERVAL: Time = SECOND;
/// If the serving thread waited longer than this for a core in one `LOG_INTERVAL`, it is logged.
const LOGGED_CORE_WAIT: Duration = Duration::from_millis(200);

/// The memory of the process is logged when it has changed by this fraction of its limit since it was logged last.
const LOGGED_MEMORY_CHANGE: f64 = 1.0 / 32.0;

impl RequestDispatcher {
    pub(super) fn next_timer(&self) -> Time {
        let timers = [
            self.load_query_until,
            self.ticks.first().copied(),
            self.health.next_timer(),
            self.executors.next_timer(),
        ];
        timers
            .into_iter()
            .flatten()
            .fold(self.next_maintenance, Time::min)
    }

    /// Handles the timers that are due; true once the shutdown is complete.
    pub(super) fn handle_timers(&mut self) -> bool {
        let now = self.clock.now();
        for check in self.health.take_expired(now) {
            self.answer_health_check(now, check, false);
        }
        self.expire_load_query(now);
        self.handle_due_ticks(now);
        let events = self.executors.handle_timer(now);
        self.handle_execution_events(now, events);
        now >= self.next_maintenance && self.maintain(now)
    }

    fn expire_load_query(&mut self, now: Time) {
        if self.load_query_until.is_some_and(|until| until <= now) {
            self.load_query_until = None;
            if let Some(engine) = &mut self.executors.engine {
                engine.abandon_load_query();
            }
            self.tick(now, LoadSample::default());
        }
    }

    /// Sends one tick for all that are due: at once, or with the engine's answer to a load query.
    fn handle_due_ticks(&mut self, now: Time) {
        let pending = self.ticks.len();
        self.ticks.retain(|at| *at > now);
        let is_due = self.ticks.len() < pending;
        if !is_due || self.load_query_until.is_some() {
            return;
        }
        // The engine may be slow to answer the load query, or this process to wake up when it has.
        let actions = self.admission.answer_due(now);
        self.perform_all(now, actions);
        let engine = self.executors.engine.as_mut();
        match engine.map(EngineExecutor::query_load) {
            Some(true) => self.load_query_until = Some(now + LOAD_QUERY_TIMEOUT),
            Some(false) => self.tick(now, LoadSample::default()),
            None => {
                let sample = LoadSample {
                    cpu_utilization: self.cpu.sample(),
                    runnable_tasks: None,
                };
                self.tick(now, sample);
            }
        }
    }

    pub(super) fn tick(&mut self, now: Time, load: LoadSample) {
        let actions = self.admission.tick(now, load);
        self.perform_all(now, actions);
    }

    /// Periodic maintenance; true once the shutdown is complete.
    fn maintain(&mut self, now: Time) -> bool {
        let interval = match self.shutdown_at {
            Some(_) => DRAINING_MAINTENANCE_INTERVAL,
            None => MAINTENANCE_INTERVAL,
        };
        self.next_maintenance = now + interval;
        let phase = self.shutdown_phase(now);
        let is_closing = phase >= ShutdownPhase::StoppedAccepting;
        self.connections.close_after_go_away(now, is_closing);
        self.evict_connections(now);
        if let Some(engine) = &mut self.executors.engine {
            engine.maintain(now);
        }
        if now >= self.next_log {
            self.next_log = now + LOG_INTERVAL;
            self.log_last_second(now);
        }
        self.observe_memory();
        self.settle_overdue_runs(now);
        self.expire_retained(now);
        self.advance_shutdown(now, phase)
    }

    /// Logs the failures of the last second and the admission status that explains them.
    fn log_last_second(&mut self, now: Time) {
        let engine = self.executors.log_and_take_counters(now);
        let counters = std::mem::take(&mut self.counters);
        let status = self.admission.status(now);
        let is_in_slow_start = status.capacity < 1.0;
        if is_in_slow_start || counters.has_answered_without_result() {
            log_status(status);
        }
        let core_wait = self.core_wait.sample();
        if core_wait >= LOGGED_CORE_WAIT {
            log_core_wait(core_wait, status);
        }
        counters.log(engine);
        self.log_memory_change();
        self.log_dropped_lines();
    }

    fn observe_memory(&self) {
        if let Some(resident) = process_memory::resident_bytes() {
            self.limits.memory().observe_resident(resident);
        }
    }

    fn log_memory_change(&mut self) {
        let status = MemoryStatus {
            resident_bytes: process_memory::resident_bytes(),
            limit_bytes: self.config.memory_bytes,
            held_bytes: self.limits.memory().held_bytes(),
            connections: self.limits.connections().open,
        };
        let resident = status.resident_bytes.unwrap_or(0);
        let change = resident.abs_diff(self.logged_resident_bytes);
        if change as f64 >= status.limit_bytes as f64 * LOGGED_MEMORY_CHANGE {
            self.logged_resident_bytes = resident;
            log_memory(status);
        }
    }

    fn log_dropped_lines(&mut self) {
        let dropped = dropped_lines();
        if dropped > self.dropped_lines {
            let lines = dropped - self.dropped_lines;
            tracing::warn!(
                lines,
                "log lines were dropped: standard error is read or written too slowly"
            );
        }
        self.dropped_lines = dropped;
    }

    /// Evicts connections above the target. While the limit is reached, new connections wait to be accepted: so the
    /// next maintenance is brought forward to when the evicted connections can be closed.
    pub(super) fn evict_connections(&mut self, now: Time) {
        let count = self.limits.connections();
        if let Some(at) = self.connections.evict_excess(now, count) {
            self.next_maintenance = self.next_maintenance.min(at);
        }
    }
}
