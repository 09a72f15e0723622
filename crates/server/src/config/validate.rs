//! Rejects settings that are out of range, unknown or contradictory.
use super::{CallerSource, Config, ConfigError};
use cottondyke_settings as settings;
use cottondyke_types::Idempotency;
use serde_json::Value;
use std::ops::RangeInclusive;

const CORES: RangeInclusive<f64> = 1.0..=65_536.0;
const MEMORY_KB: RangeInclusive<f64> = 1.0..=1e15;
const OVERLOAD_FACTOR: RangeInclusive<f64> = 1.0..=1e9;
/// The range of time limits and windows, in milliseconds.
const DURATION_MS: RangeInclusive<f64> = 0.1..=1e12;
/// The values of `below`: `none` if this server calls no records service, `common` if all servers call the same one, of
/// which `dep_share` may state this server's share, and `next_hop` for any other one.
const BELOW: [&str; 3] = ["none", "common", "next_hop"];

/// Reads `front.callers`: how the callers are counted among which the admission controller divides the number of
/// requests in flight (`AdviceFormat::Credit`). Only one way may be configured, since a configured number of callers
/// could contradict the number of connections.
pub(super) fn caller_source(document: &Value, conf: &Value) -> Result<CallerSource, ConfigError> {
    let Some(front) = settings::non_null(document, "front") else {
        return Ok(CallerSource::Configured);
    };
    let callers = front.get("callers").unwrap_or(&Value::Null);
    let source = match callers.as_str() {
        Some("told") => CallerSource::Configured,
        Some("connections") => CallerSource::Connections,
        _ => {
            return Err(ConfigError::UnknownCallers {
                value: callers.to_string(),
            })
        }
    };
    let upstreams = conf
        .get("family_info")
        .and_then(|info| settings::non_null(info, "upstreams"));
    match upstreams {
        Some(upstreams) if source == CallerSource::Connections => Err(ConfigError::MixedCallers {
            upstreams: upstreams.to_string(),
        }),
        _ => Ok(source),
    }
}

/// Checks the server's name, which is used in paths and log lines.
pub(super) fn check_name(name: &str) -> Result<(), ConfigError> {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    if name.is_empty() || !name.bytes().all(is_allowed) {
        return Err(ConfigError::InvalidName);
    }
    Ok(())
}

/// Checks the section `settings`. `Config::parse` adds the name of the section to the errors.
pub(super) fn check_settings(config: &Config) -> Result<(), ConfigError> {
    let info = section(&config.settings, "family_info")?;
    let rules = section(&config.settings, "obligations")?;
    check_number(info, "n_cores", CORES)?;
    check_number(info, "mem_limit_kb", MEMORY_KB)?;
    check_number(rules, "overload_factor", OVERLOAD_FACTOR)?;
    // `fall_ms` is the overload window, over which the slow-start budget limits the work that a cold server starts.
    // Without it there is no budget: an invalid value must not be treated as a missing one.
    if settings::non_null(rules, "fall_ms").is_some() {
        check_number(rules, "fall_ms", DURATION_MS)?;
    }
    // `below` decides whether a records service is needed: an unknown value must not be treated as one of the others.
    let below = settings::string(info, "below").map_err(ConfigError::Value)?;
    if !BELOW.contains(&below) {
        return Err(ConfigError::UnknownBelow {
            value: below.to_string(),
        });
    }
    let classes = config.settings.get("classes").and_then(Value::as_array);
    let classes = classes.into_iter().flatten();
    for (class, idempotency) in classes.zip(&config.idempotency) {
        // A missing window would count as 0 ms, and repeated requests would run again.
        if *idempotency == Idempotency::Keyed {
            check_number(class, "dedup_window_ms", DURATION_MS)?;
        }
        check_number(class, "deadline_ms", DURATION_MS)?;
        check_number(class, "aim_ms", DURATION_MS)?;
    }
    Ok(())
}

fn section<'a>(settings: &'a Value, key: &'static str) -> Result<&'a Value, ConfigError> {
    settings
        .get(key)
        .filter(|section| section.is_object())
        .ok_or(ConfigError::Missing(key))
}

fn check_number(
    section: &Value,
    key: &'static str,
    range: RangeInclusive<f64>,
) -> Result<(), ConfigError> {
    let value = settings::number(section, key).map_err(ConfigError::Value)?;
    if !range.contains(&value) {
        return Err(ConfigError::OutOfRange { key, value });
    }
    Ok(())
}
