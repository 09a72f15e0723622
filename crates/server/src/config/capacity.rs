//! How descriptors and memory are divided between sidecars, calls and the program itself.
use super::ConfigError;
use cottondyke_operator_config::OperatorConfig;

/// Descriptors reserved for engine, calls, control plane, listener, timers and log.
const MIN_RESERVED_SOCKETS: u64 = 96;
/// Of them those that are no calls, and the most calls in flight a core that the admission controller lets out
/// (`MAX_CALLS`), each on a descriptor of its own.
const OWN_SOCKETS: u64 = 32;
const CALLS_PER_CORE: u64 = 4;
/// Connections to a dependency beside each call that may be in flight there: as many may be idle.
const IDLE_PER_CALL: u64 = 1;
/// Fraction of the memory that cached responses may take.
const MAX_CACHE_FRACTION: f64 = 0.25;
const BYTES_PER_MB: f64 = (1 << 20) as f64;

/// How many of `sockets` descriptors are reserved: more than usual where many cores make many calls, but no more than
/// half, for a server that rejects all is of no use.
fn reserved_sockets(sockets: u64, cores: f64) -> u64 {
    MIN_RESERVED_SOCKETS.max((OWN_SOCKETS + CALLS_PER_CORE * cores as u64).min(sockets / 2))
}

/// The connections of sidecars for which so many descriptors leave a place.
pub(super) fn max_connections(sockets: u64, cores: f64) -> Result<usize, ConfigError> {
    sockets
        .checked_sub(reserved_sockets(sockets, cores))
        .filter(|connections| *connections > 0)
        .map(|connections| connections as usize)
        .ok_or(ConfigError::TooFewSockets {
            reserved: MIN_RESERVED_SOCKETS,
        })
}

/// What of the connections is left to callers beside those to dependencies, where cached responses fit the memory.
pub(super) fn left_for_callers(
    connections: usize,
    memory_bytes: usize,
    operator: &OperatorConfig,
) -> Result<usize, ConfigError> {
    let max_mb = memory_bytes as f64 / BYTES_PER_MB * MAX_CACHE_FRACTION;
    if operator.fleet_at.line > 0 && operator.stale_cache_mb > max_mb {
        return Err(ConfigError::CacheTooLarge {
            at: operator.fleet_at.clone(),
            cache_mb: operator.stale_cache_mb,
            max_mb,
        });
    }
    let mut left = connections as u64;
    for dependency in &operator.dependencies {
        let calls = operator.max_calls(dependency);
        let remaining = left.checked_sub(calls * (1 + IDLE_PER_CALL));
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
