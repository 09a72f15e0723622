//! Builds an admission controller from the settings.

use crate::error::SettingsError;
use crate::json::{duration, flag, list, number, optional_number, string, unsigned};
use cottondyke_admission::{
    AdmissionConfig, AdmissionController, AdviceFormat, CallConfig, CallerConfig, Cancellation,
    ConcurrencyConfig, GoalWeights, Handler, Idempotency, MemoryLimits, Time,
};
use serde_json::Value;

/// Builds the controller of a server that started at `now`. `seed` initializes the random jitter of retry delays.
///
/// # Errors
/// Returns an error for the first setting that is missing or invalid.
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

/// Reads the configuration from which [`admission_controller`] builds its controller. If several settings are invalid,
/// the first one read is reported.
///
/// # Errors
/// Returns an error for the first setting that is missing or invalid.
pub fn admission_config(seed: u64, settings: &Value) -> Result<AdmissionConfig, SettingsError> {
    let family_info = section(settings, "family_info")?;
    let obligations = section(settings, "obligations")?;
    let blend = section(settings, "blend")?;
    let policy_limits = section(settings, "policy_limits")?;
    let handlers = handlers(settings, family_info)?;
    let quotas = quotas(settings)?;
    let goal = goal_weights(settings, blend)?;
    let fleet_size = optional_number(settings, "group_size")?.unwrap_or(1.0);
    let concurrency = concurrency(family_info, obligations)?;
    let cancellation = cancellation(family_info)?;
    let advice_format = advice_format(family_info)?;
    let max_retry_after = max_retry_after(policy_limits)?;
    let response_targets = handlers.iter().map(|h| h.response_target);
    let loss_window = response_targets.min().unwrap_or(Time(1));
    let share = call_share(family_info)?;
    let callers = CallerConfig {
        expected: optional_number(family_info, "upstreams")?.unwrap_or(1.0),
        advice_format,
        advice_lifetime: duration(family_info, "heeded_ms")?,
        max_idle: duration(family_info, "idle_ms")?,
        max_retry_after,
    };
    Ok(AdmissionConfig {
        memory: memory_limits(family_info)?,
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
            window: duration(family_info, "calls_over_ms")?,
            abandoned_linger: duration(family_info, "linger_ms")?,
        },
        drain_grace: duration(obligations, "drain_grace_ms")?,
        callers,
        seed,
    })
}

fn concurrency(
    family_info: &Value,
    obligations: &Value,
) -> Result<ConcurrencyConfig, SettingsError> {
    Ok(ConcurrencyConfig {
        cores: unsigned(family_info, "n_cores")? as usize,
        start_capacity: start_capacity(family_info, obligations)?,
        overload_factor: number(obligations, "overload_factor")?,
        warm_within: duration(obligations, "warm_within_ms")?,
        overload_window: duration(obligations, "fall_ms")?,
    })
}

/// Reads whether each handler may run twice.
///
/// # Errors
/// Returns an error if the `effect` of a handler is missing or unknown.
pub fn idempotencies(settings: &Value) -> Result<Vec<Idempotency>, SettingsError> {
    list(settings, "classes").iter().map(idempotency).collect()
}

/// Reads how long the response to a request for an idempotent handler may be reused for other requests.
///
/// # Errors
/// Returns an error if it is not a number.
pub fn read_cache_ttl(settings: &Value) -> Result<Time, SettingsError> {
    let family_info = settings.get("family_info");
    family_info.map_or(Ok(Time(0)), |family_info| duration(family_info, "fresh_ms"))
}

fn section<'a>(settings: &'a Value, section: &'static str) -> Result<&'a Value, SettingsError> {
    let object = settings.get(section).filter(|v| v.is_object());
    object.ok_or(SettingsError::MissingSection { section })
}

fn unknown_value(key: &'static str, value: &str) -> SettingsError {
    let value = value.to_string();
    SettingsError::UnknownValue { key, value }
}

fn idempotency(class: &Value) -> Result<Idempotency, SettingsError> {
    match string(class, "effect")? {
        "repeatable" => Ok(Idempotency::Idempotent),
        "by_key" => Ok(Idempotency::Keyed),
        "once" => Ok(Idempotency::NonIdempotent),
        other => Err(unknown_value("effect", other)),
    }
}

fn handlers(settings: &Value, family_info: &Value) -> Result<Vec<Handler>, SettingsError> {
    let classes = list(settings, "classes").iter().enumerate();
    classes
        .map(|(i, class)| handler(i, class, family_info))
        .collect()
}

fn handler(index: usize, class: &Value, family_info: &Value) -> Result<Handler, SettingsError> {
    Ok(Handler {
        idempotency: idempotency(class)?,
        response_target: duration(class, "aim_ms")?.max(Time(1)),
        target_stretch: optional_number(class, "aim_stretch")?.unwrap_or(0.0),
        client_timeout: duration(class, "deadline_ms")?.max(Time(1)),
        value: number(class, "credit")?,
        late_value: optional_number(class, "late_value")?.unwrap_or(0.0),
        dedup_window: duration(class, "dedup_window_ms")?,
        makes_calls: makes_calls(index, family_info)?,
        skip_value: list(family_info, "class_skip_worth")
            .get(index)
            .and_then(Value::as_f64)
            .unwrap_or(0.0),
    })
}

fn makes_calls(index: usize, family_info: &Value) -> Result<bool, SettingsError> {
    const KEY: &str = "class_calls";
    let Some(value) = list(family_info, KEY).get(index) else {
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
    let weight = |key: &str| optional_number(blend, key).map(|w| w.unwrap_or(0.0));
    Ok(GoalWeights {
        total: weight("whole")? + weight("worst_window")?,
        worst_handler: weight("worst_class")?,
        worst_tenant: weight("worst_tenant")?,
        by_work: settings.get("worth_by").and_then(Value::as_str) == Some("work"),
        over_quota: optional_number(settings, "over_share_worth")?.unwrap_or(1.0),
    })
}

fn start_capacity(family_info: &Value, obligations: &Value) -> Result<f64, SettingsError> {
    if flag(family_info, "cold") {
        number(obligations, "start_capacity")
    } else {
        Ok(1.0)
    }
}

fn cancellation(family_info: &Value) -> Result<Cancellation, SettingsError> {
    match string(family_info, "preemption")? {
        "none" => Ok(Cancellation::Never),
        "drop" => Ok(Cancellation::Drop),
        "pause" => Ok(Cancellation::Suspend),
        other => Err(unknown_value("preemption", other)),
    }
}

fn advice_format(family_info: &Value) -> Result<AdviceFormat, SettingsError> {
    match string(family_info, "advert")? {
        "none" => Ok(AdviceFormat::Unused),
        "bias" => Ok(AdviceFormat::Share),
        "tokens" => Ok(AdviceFormat::Credit),
        "min_rank" => Ok(AdviceFormat::Rank),
        other => Err(unknown_value("advert", other)),
    }
}

fn max_retry_after(policy_limits: &Value) -> Result<Time, SettingsError> {
    if flag(policy_limits, "retry_after") {
        duration(policy_limits, "max_retry_after_ms")
    } else {
        Ok(Time(0))
    }
}

/// The highest mean number of calls that this server may have in flight; `None` unless all servers call the same
/// dependency and the settings state it.
fn call_share(family_info: &Value) -> Result<Option<f64>, SettingsError> {
    match string(family_info, "below")? {
        "common" => optional_number(family_info, "dep_share"),
        _ => Ok(None),
    }
}

fn memory_limits(family_info: &Value) -> Result<MemoryLimits, SettingsError> {
    Ok(MemoryLimits {
        limit: number(family_info, "mem_limit_kb")?,
        running_factor: optional_number(family_info, "blowup")?.unwrap_or(1.0),
        per_key: optional_number(family_info, "kb_per_key")?.unwrap_or(0.0),
    })
}
