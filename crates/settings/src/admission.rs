//! From the settings to an admission controller.

use crate::error::SettingsError;
use crate::json::{duration, flag, list, maybe_number, number, text, unsigned};
use cottondyke_admission::{
    AdmissionConfig, AdmissionController, AdviceFormat, CallConfig, CallerConfig, Cancellation,
    ConcurrencyConfig, GoalWeights, Handler, Idempotency, MemoryLimits, Time,
};
use serde_json::Value;

/// The controller of a server that started at `now`. `seed` spreads the times to come back.
///
/// # Errors
/// At the first setting that is missing or invalid.
pub fn admission_controller(
    now: Time,
    seed: u64,
    settings: &Value,
) -> Result<AdmissionController, SettingsError> {
    Ok(AdmissionController::new(
        now,
        &admission_config(seed, settings)?,
    ))
}

/// What [`admission_controller`] builds its controller from. Of several faults the first in the order of reading is told.
///
/// # Errors
/// At the first setting that is missing or invalid.
pub fn admission_config(seed: u64, settings: &Value) -> Result<AdmissionConfig, SettingsError> {
    let info = section(settings, "family_info")?;
    let rules = section(settings, "obligations")?;
    let blend = section(settings, "blend")?;
    let limits = section(settings, "policy_limits")?;
    let handlers = handlers(settings, info)?;
    let quotas = quotas(settings)?;
    let goal = goal_weights(settings, blend)?;
    let fleet_size = maybe_number(settings, "group_size")?.unwrap_or(1.0);
    let concurrency = concurrency(info, rules)?;
    let cancellation = cancellation(info)?;
    let advice_format = advice_format(info)?;
    let max_retry_after = max_retry_after(limits)?;
    let response_targets = handlers.iter().map(|h| h.response_target);
    let loss_window = response_targets.min().unwrap_or(Time(1));
    let share = call_share(info)?;
    let callers = CallerConfig {
        expected: maybe_number(info, "upstreams")?.unwrap_or(1.0),
        advice_format,
        advice_lifetime: duration(info, "heeded_ms")?,
        max_idle: duration(info, "idle_ms")?,
        max_retry_after,
    };
    Ok(AdmissionConfig {
        memory: memory_limits(info)?,
        resolution: duration(settings, "resolution_ms")?.max(Time(1)),
        handlers,
        quotas,
        fleet_size,
        goal,
        concurrency,
        cancellation,
        loss_window,
        calls: CallConfig {
            share,
            window: duration(info, "calls_over_ms")?,
            abandoned_linger: duration(info, "linger_ms")?,
        },
        drain_grace: duration(rules, "drain_grace_ms")?,
        callers,
        seed,
    })
}

fn concurrency(info: &Value, rules: &Value) -> Result<ConcurrencyConfig, SettingsError> {
    Ok(ConcurrencyConfig {
        cores: unsigned(info, "n_cores")? as usize,
        start_capacity: start_capacity(info, rules)?,
        overload_factor: number(rules, "overload_factor")?,
        warm_within: duration(rules, "warm_within_ms")?,
        overload_window: duration(rules, "fall_ms")?,
    })
}

/// Whether each handler may run twice.
///
/// # Errors
/// If a handler does not say so.
pub fn idempotencies(settings: &Value) -> Result<Vec<Idempotency>, SettingsError> {
    list(settings, "classes").iter().map(idempotency).collect()
}

/// How long the response to a read may be handed to others.
///
/// # Errors
/// If it is not a number.
pub fn read_cache_ttl(settings: &Value) -> Result<Time, SettingsError> {
    let info = settings.get("family_info");
    info.map_or(Ok(Time(0)), |info| duration(info, "fresh_ms"))
}

fn section<'a>(settings: &'a Value, section: &'static str) -> Result<&'a Value, SettingsError> {
    let object = settings.get(section).filter(|v| v.is_object());
    object.ok_or(SettingsError::MissingSection { section })
}

fn unknown(key: &'static str, value: &str) -> SettingsError {
    let value = value.to_string();
    SettingsError::UnknownValue { key, value }
}

fn idempotency(class: &Value) -> Result<Idempotency, SettingsError> {
    match text(class, "effect")? {
        "repeatable" => Ok(Idempotency::Idempotent),
        "by_key" => Ok(Idempotency::Keyed),
        "once" => Ok(Idempotency::NonIdempotent),
        other => Err(unknown("effect", other)),
    }
}

fn handlers(settings: &Value, info: &Value) -> Result<Vec<Handler>, SettingsError> {
    let classes = list(settings, "classes").iter().enumerate();
    classes.map(|(i, class)| handler(i, class, info)).collect()
}

fn handler(index: usize, class: &Value, info: &Value) -> Result<Handler, SettingsError> {
    Ok(Handler {
        idempotency: idempotency(class)?,
        response_target: duration(class, "aim_ms")?.max(Time(1)),
        target_stretch: maybe_number(class, "aim_stretch")?.unwrap_or(0.0),
        client_timeout: duration(class, "deadline_ms")?.max(Time(1)),
        value: number(class, "credit")?,
        late_value: maybe_number(class, "late_value")?.unwrap_or(0.0),
        dedup_window: duration(class, "dedup_window_ms")?,
        makes_calls: makes_calls(index, info)?,
        skip_value: list(info, "class_skip_worth")
            .get(index)
            .and_then(Value::as_f64)
            .unwrap_or(0.0),
    })
}

fn makes_calls(index: usize, info: &Value) -> Result<bool, SettingsError> {
    const KEY: &str = "class_calls";
    let Some(value) = list(info, KEY).get(index) else {
        return Ok(true);
    };
    value.as_bool().ok_or_else(|| SettingsError::NotBoolean {
        key: KEY,
        index,
        value: value.to_string(),
    })
}

fn quotas(settings: &Value) -> Result<Vec<f64>, SettingsError> {
    let tenants = list(settings, "customers").iter();
    tenants.map(|t| number(t, "quota_per_s")).collect()
}

fn goal_weights(settings: &Value, blend: &Value) -> Result<GoalWeights, SettingsError> {
    let weight = |key: &str| maybe_number(blend, key).map(|w| w.unwrap_or(0.0));
    Ok(GoalWeights {
        total: weight("whole")? + weight("worst_window")?,
        worst_handler: weight("worst_class")?,
        worst_tenant: weight("worst_tenant")?,
        by_work: settings.get("worth_by").and_then(Value::as_str) == Some("work"),
        over_quota: maybe_number(settings, "over_share_worth")?.unwrap_or(1.0),
    })
}

fn start_capacity(info: &Value, rules: &Value) -> Result<f64, SettingsError> {
    if flag(info, "cold") {
        number(rules, "start_capacity")
    } else {
        Ok(1.0)
    }
}

fn cancellation(info: &Value) -> Result<Cancellation, SettingsError> {
    match text(info, "preemption")? {
        "none" => Ok(Cancellation::Never),
        "drop" => Ok(Cancellation::Drop),
        "pause" => Ok(Cancellation::Suspend),
        other => Err(unknown("preemption", other)),
    }
}

fn advice_format(info: &Value) -> Result<AdviceFormat, SettingsError> {
    match text(info, "advert")? {
        "none" => Ok(AdviceFormat::Unused),
        "bias" => Ok(AdviceFormat::Share),
        "tokens" => Ok(AdviceFormat::Credit),
        "min_rank" => Ok(AdviceFormat::Rank),
        other => Err(unknown("advert", other)),
    }
}

fn max_retry_after(limits: &Value) -> Result<Time, SettingsError> {
    if flag(limits, "retry_after") {
        duration(limits, "max_retry_after_ms")
    } else {
        Ok(Time(0))
    }
}

/// The share of calls that is this server's, where all servers call the same dependency.
fn call_share(info: &Value) -> Result<Option<f64>, SettingsError> {
    match text(info, "below")? {
        "common" => maybe_number(info, "dep_share"),
        _ => Ok(None),
    }
}

fn memory_limits(info: &Value) -> Result<MemoryLimits, SettingsError> {
    Ok(MemoryLimits {
        limit: number(info, "mem_limit_kb")?,
        running_factor: maybe_number(info, "blowup")?.unwrap_or(1.0),
        per_key: maybe_number(info, "kb_per_key")?.unwrap_or(0.0),
    })
}
