//! `fleet(...)`: the settings that all instances share.
use crate::arguments::Arguments;
use crate::{ConfigError, SourceLocation};

/// The default memory for cached responses, in MiB.
pub(super) const DEFAULT_STALE_CACHE_MB: f64 = 4.0;
const MAX_INSTANCES: u64 = 100_000;
const MAX_STALE_CACHE_MB: f64 = 65_536.0;

/// The parsed arguments of `fleet(...)`.
pub(super) struct Fleet {
    pub(super) at: SourceLocation,
    pub(super) instances: Option<u64>,
    pub(super) stale_cache_mb: f64,
}

pub(super) fn parse_fleet(mut arguments: Arguments) -> Result<Fleet, ConfigError> {
    let expected = format!("a whole number from 1 to {MAX_INSTANCES}");
    let instances = arguments.read_optional("instances", &expected, |value| {
        value
            .as_u64()
            .filter(|count| (1..=MAX_INSTANCES).contains(count))
    })?;
    let stale_cache_mb = arguments.number(
        "kept_mb",
        0.0..=MAX_STALE_CACHE_MB,
        Some(DEFAULT_STALE_CACHE_MB),
    )?;
    let at = arguments.at.clone();
    arguments.finish()?;
    Ok(Fleet {
        at,
        instances,
        stale_cache_mb,
    })
}
