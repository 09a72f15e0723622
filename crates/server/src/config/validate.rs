//! Settings that no server can have.
use super::{CallerSource, Config, ConfigError};
use cottondyke_settings as settings;
use cottondyke_types::Idempotency;
use serde_json::Value;
use std::ops::RangeInclusive;

const CORES: RangeInclusive<f64> = 1.0..=65_536.0;
const MEMORY_KB: RangeInclusive<f64> = 1.0..=1e15;
const OVERLOAD_FACTOR: RangeInclusive<f64> = 1.0..=1e9;
/// Of time limits and windows, in milliseconds.
const DURATION_MS: RangeInclusive<f64> = 0.1..=1e12;
/// What may lie below this server.
const BELOW: [&str; 3] = ["none", "common", "next_hop"];

/// `front.callers`: where the callers that share the credit are counted. The two shapes may not be mixed: a count
/// configured beside callers seen on connections would be two answers to one question.
pub(super) fn caller_source(all: &Value, conf: &Value) -> Result<CallerSource, ConfigError> {
    let Some(front) = settings::present(all, "front") else {
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
        .and_then(|info| settings::present(info, "upstreams"));
    match upstreams {
        Some(upstreams) if source == CallerSource::Connections => Err(ConfigError::MixedCallers {
            upstreams: upstreams.to_string(),
        }),
        _ => Ok(source),
    }
}

/// A name stands in paths and log lines.
pub(super) fn check_name(name: &str) -> Result<(), ConfigError> {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    if name.is_empty() || !name.bytes().all(is_allowed) {
        return Err(ConfigError::InvalidName);
    }
    Ok(())
}

/// Errors are of the section `settings`.
pub(super) fn check_settings(config: &Config) -> Result<(), ConfigError> {
    let info = section(&config.settings, "family_info")?;
    let rules = section(&config.settings, "obligations")?;
    check_number(info, "n_cores", CORES)?;
    check_number(info, "mem_limit_kb", MEMORY_KB)?;
    check_number(rules, "overload_factor", OVERLOAD_FACTOR)?;
    // Missing, there is no budget of slow start; a wrong one must not pass for that.
    if settings::present(rules, "fall_ms").is_some() {
        check_number(rules, "fall_ms", DURATION_MS)?;
    }
    // What lies below decides whether a records service is needed: no word of it may pass for another.
    let below = settings::text(info, "below").map_err(ConfigError::Value)?;
    if !BELOW.contains(&below) {
        return Err(ConfigError::UnknownBelow {
            value: below.to_string(),
        });
    }
    let classes = config.settings.get("classes").and_then(Value::as_array);
    let classes = classes.into_iter().flatten();
    for (class, idempotency) in classes.zip(&config.idempotency) {
        // Missing, it would be no time at all, and repeats would run again.
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
        return Err(ConfigError::Implausible { key, value });
    }
    Ok(())
}
