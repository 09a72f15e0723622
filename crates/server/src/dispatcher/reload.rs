//! Reload of the configuration: addresses and limits change; learned state, open connections and requests are kept.
use super::RequestDispatcher;
use crate::config::{Config, ConfigError, Reloaded};
use crate::event::ReportUpdate;
use crate::execution::aggregation::AggregationPlan;
use cottondyke_types::Time;
use std::net::SocketAddr;
use std::rc::Rc;

impl RequestDispatcher {
    pub(super) fn handle_reload(&mut self, now: Time, result: Result<Box<Config>, ConfigError>) {
        let new = match result {
            Ok(new) => *new,
            Err(error) => {
                tracing::error!(%error, "configuration is invalid; keeping the old one");
                return;
            }
        };
        let Reloaded {
            mut config,
            unchangeable,
        } = match self.config.reload(new) {
            Ok(reloaded) => reloaded,
            Err(error) => {
                tracing::error!(%error, "configuration cannot be applied; keeping the old one");
                return;
            }
        };
        if !unchangeable.is_empty() {
            tracing::warn!(
                ?unchangeable,
                "cannot change while the server runs; keeping the old values"
            );
        }
        if self.shutdown_at.is_some() {
            config.shutdown_timeout = self.config.shutdown_timeout;
        }
        let plan = match config.memory_plan(self.limits.memory().plan().program_bytes) {
            Ok(plan) => plan,
            Err(error) => {
                tracing::error!(%error, "configuration cannot be applied; keeping the old one");
                return;
            }
        };
        self.apply_addresses(&config);
        self.limits.set_plan(plan);
        plan.log_left_out(config.max_connections);
        log_reload(&config);
        self.config = Rc::new(config);
        self.apply_operator_file(now);
    }

    fn apply_addresses(&mut self, config: &Config) {
        if config.engine != self.config.engine {
            if let Some(engine) = config.engine {
                let _ = self.engine_address.try_send(engine);
            }
        }
        if config.control != self.config.control {
            if let Some(control) = config.control {
                let _ = self.report.try_send(ReportUpdate::AddressChanged(control));
            }
        }
        if let Some(engine) = &mut self.executors.engine {
            engine.set_records(config.records);
        }
    }

    fn apply_operator_file(&mut self, now: Time) {
        let config = self.config.clone();
        let Some(operator) = &config.operator else {
            return;
        };
        if let Some(cluster) = &self.cluster {
            let peers = operator.peers.as_ref();
            if peers.is_some_and(|peers| cluster.requires_restart(peers)) {
                tracing::warn!(
                    "only keepers of peers(...) can change while the server runs; keeping the old values"
                );
            }
            cluster.reconfigure(now, operator);
        }
        if let Some(aggregation) = &mut self.executors.aggregation {
            let (plan, by_handler) = operator.plan(&config.handler_specs());
            let events = aggregation.install(now, AggregationPlan { plan, by_handler });
            self.handle_execution_events(now, events);
        }
    }
}

fn log_reload(config: &Config) {
    let format_addr = |addr: Option<SocketAddr>| match addr {
        Some(addr) => addr.to_string(),
        None => "none".to_string(),
    };
    let operator = config.operator.as_ref();
    tracing::info!(
        engine = format_addr(config.engine),
        records = format_addr(config.records),
        control = format_addr(config.control),
        aggregations = operator.map_or(0, |operator| operator.aggregations.len()),
        "configuration reloaded"
    );
}
