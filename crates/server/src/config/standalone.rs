//! The configuration of a server without the platform: the operator's file declares everything, and the settings are
//! generated from it.
use super::capacity::max_caller_connections;
use super::{Config, ConfigError};
use crate::clock::to_ms;
use cottondyke_operator_config::{OperatorConfig, Serve};
use cottondyke_types::Idempotency;
use serde_json::{json, Value};

/// The admission controller of a warm server runs at most `n_cores * overload_factor * 0.85` requests (its
/// `CEILING_FRACTION`). The inverse makes `n_cores`, which is `at_once` of the operator's file, itself the largest
/// number of requests that run.
const OVERLOAD_FACTOR: f64 = 1.0 / 0.85 + 1e-6;
/// Requests may take half of the memory: of each megabyte, this many kilobytes.
const REQUEST_KB_PER_MB: f64 = 512.0;

impl Config {
    /// Builds the configuration from an operator's file alone.
    pub fn standalone(operator: OperatorConfig) -> Result<Self, ConfigError> {
        operator
            .validate_standalone()
            .map_err(ConfigError::Operator)?;
        let serve = operator
            .serve
            .clone()
            .ok_or(ConfigError::Missing("serve(...)"))?;
        let document = document(&operator, &serve);
        let mut config = Self::parse(&document.to_string())
            .map_err(|error| error.within(operator.file.as_str()))?;
        config.max_connections =
            max_caller_connections(config.max_connections, config.memory_bytes, &operator)?;
        config.engine = None;
        config.control = None;
        config.records = None;
        config.operator = Some(operator);
        config.check_memory()?;
        Ok(config)
    }
}

/// The platform's configuration that is equivalent to the operator's file.
fn document(operator: &OperatorConfig, serve: &Serve) -> Value {
    let listen = serve.listen.to_string();
    json!({
        "name": serve.name, "listen": listen, "engine": listen, "control": listen, "records": listen,
        "seed": format!("{:x}", serve.seed), "stop_ms": (serve.shutdown_timeout.0 / 10).max(1),
        "limits": { "memory_mb": serve.memory_mb, "sockets": serve.max_descriptors },
        "settings": settings(operator, serve),
    })
}

fn settings(operator: &OperatorConfig, serve: &Serve) -> Value {
    // Each running request counts as a core of the admission controller: requests wait for dependencies, not for each
    // other.
    json!({
        "blend": { "whole": 1.0 },
        "classes": classes(operator),
        "customers": tenants(operator),
        "family_info": {
            "advert": "none", "below": "none", "blowup": 2.0, "calls_over_ms": 1_000.0, "cold": false,
            "fresh_ms": 0.0, "heeded_ms": 1_000.0, "idle_ms": 60_000.0, "kb_per_key": 1.0, "linger_ms": 0.0,
            "mem_limit_kb": serve.memory_mb as f64 * REQUEST_KB_PER_MB, "n_cores": serve.max_running_requests, "own_stats": [],
            "preemption": "drop", "upstreams": 1.0,
        },
        "group_size": operator.instances.unwrap_or(1),
        "obligations": {
            "drain_grace_ms": to_ms(serve.shutdown_timeout) / 2.0, "overload_factor": OVERLOAD_FACTOR,
            "start_capacity": 1.0, "warm_within_ms": 1_000.0,
        },
        "over_share_worth": 0.1,
        "policy_limits": { "max_retry_after_ms": to_ms(serve.max_retry_after), "retry_after": true },
        "resolution_ms": 1.0,
        "worth_by": "request",
    })
}

fn classes(operator: &OperatorConfig) -> Vec<Value> {
    let class = |handler: &cottondyke_operator_config::Handler| {
        let effect = match handler.idempotency {
            Idempotency::Idempotent => "repeatable",
            Idempotency::Keyed => "by_key",
            Idempotency::NonIdempotent => "once",
        };
        json!({
            "name": handler.name, "effect": effect, "credit": handler.value, "late_value": handler.late_value_ratio,
            "aim_ms": to_ms(handler.response_target),
            "deadline_ms": to_ms(handler.client_timeout),
            "dedup_window_ms": to_ms(handler.dedup_window),
        })
    };
    operator.handlers.iter().map(class).collect()
}

fn tenants(operator: &OperatorConfig) -> Vec<Value> {
    operator
        .tenants
        .iter()
        .map(|tenant| json!({ "name": tenant.name, "quota_per_s": tenant.requests_per_second }))
        .collect()
}
