//! Divides descriptors between sidecars, calls to dependencies and the program itself, and limits the cache's memory.
use super::ConfigError;
use cottondyke_operator_config::OperatorConfig;

/// The fewest descriptors reserved for engine, calls to the records service, control plane, listener, timers and log.
const MIN_RESERVED_SOCKETS: u64 = 96;
/// Reserved descriptors that are not used for calls to the records service.
const NON_CALL_SOCKETS: u64 = 32;
/// The most calls to the records service in flight per core that the admission controller allows (its
/// `MAX_CALLS_PER_CORE`). Each call uses a descriptor of its own.
const RECORDS_CALLS_PER_CORE: u64 = 4;
/// Idle connections to a dependency for each call that may be in flight there: as many may be idle as in use.
const IDLE_CONNECTIONS_PER_CALL: u64 = 1;
/// The largest fraction of the memory limit that cached responses may take.
const MAX_CACHE_FRACTION: f64 = 0.25;
const BYTES_PER_MB: f64 = (1 << 20) as f64;

/// The number of descriptors that are reserved, of `sockets` in all. It grows with the calls to the records service
/// that the cores may have in flight, but only up to half of `sockets`: a server without descriptors for sidecars would
/// reject everything.
fn reserved_sockets(sockets: u64, cores: f64) -> u64 {
    MIN_RESERVED_SOCKETS
        .max((NON_CALL_SOCKETS + RECORDS_CALLS_PER_CORE * cores as u64).min(sockets / 2))
}

/// The number of sidecar connections that this many descriptors allow.
pub(super) fn max_connections(sockets: u64, cores: f64) -> Result<usize, ConfigError> {
    sockets
        .checked_sub(reserved_sockets(sockets, cores))
        .filter(|connections| *connections > 0)
        .map(|connections| connections as usize)
        .ok_or(ConfigError::TooFewSockets {
            reserved: MIN_RESERVED_SOCKETS,
        })
}

/// Memory that is set aside for cached responses of dependencies, in bytes.
pub(super) fn cache_bytes(operator: Option<&OperatorConfig>) -> usize {
    let operator = operator.filter(|operator| !operator.dependencies.is_empty());
    operator.map_or(0, |operator| {
        (operator.stale_cache_mb * BYTES_PER_MB) as usize
    })
}

/// The connections left for callers once those to dependencies are subtracted. An error if none are left, or if cached
/// responses would take too much of the memory.
pub(super) fn max_caller_connections(
    connections: usize,
    memory_bytes: usize,
    operator: &OperatorConfig,
) -> Result<usize, ConfigError> {
    let max_mb = memory_bytes as f64 / BYTES_PER_MB * MAX_CACHE_FRACTION;
    if operator.fleet_location.line > 0 && operator.stale_cache_mb > max_mb {
        return Err(ConfigError::CacheTooLarge {
            at: operator.fleet_location.clone(),
            cache_mb: operator.stale_cache_mb,
            max_mb,
        });
    }
    let mut left = connections as u64;
    for dependency in &operator.dependencies {
        let calls = operator.max_calls(dependency);
        let remaining = left.checked_sub(calls * (1 + IDLE_CONNECTIONS_PER_CALL));
        let Some(remaining) = remaining.filter(|remaining| *remaining > 0) else {
            return Err(ConfigError::TooManyCalls {
                at: dependency.at.clone(),
                dependency: dependency.name.to_string(),
                ceiling: dependency.ceiling,
                calls,
                connections,
            });
        };
        left = remaining;
    }
    Ok(left as usize)
}
