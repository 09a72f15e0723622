//! From the start-up settings of an instance to a decider: each part is handed its own few. The adapter and
//! the server both build theirs here.
#![expect(
    missing_docs,
    clippy::too_many_lines,
    reason = "not yet read through; see docs/ROADMAP.md"
)]

use cottondyke_admission::*;
use serde_json::Value;

/// What is wrong, in words that name the place.
pub type Wrong = String;

pub fn present<'a>(of: &'a Value, key: &str) -> Option<&'a Value> {
    of.get(key).filter(|v| !v.is_null())
}

pub fn text<'a>(of: &'a Value, key: &str) -> Result<&'a str, Wrong> {
    of.get(key)
        .and_then(Value::as_str)
        .ok_or_else(|| format!("{key} is missing or not a text"))
}

pub fn whole(of: &Value, key: &str) -> Result<u64, Wrong> {
    of.get(key)
        .and_then(Value::as_u64)
        .ok_or_else(|| format!("{key} is missing or not a whole number"))
}

pub fn number(of: &Value, key: &str) -> Result<f64, Wrong> {
    maybe_number(of, key)?.ok_or_else(|| format!("{key} is missing"))
}

pub fn maybe_number(of: &Value, key: &str) -> Result<Option<f64>, Wrong> {
    let finite = |v: &Value| {
        v.as_f64()
            .filter(|n| n.is_finite())
            .ok_or_else(|| format!("{key} is not a number"))
    };
    present(of, key).map(finite).transpose()
}

pub fn flag(of: &Value, key: &str) -> bool {
    of.get(key).and_then(Value::as_bool).unwrap_or(false)
}

fn span(of: &Value, key: &str) -> Result<Time, Wrong> {
    Ok(Time(
        (maybe_number(of, key)?.unwrap_or(0.0) * 10.0).clamp(0.0, 1e15) as i64,
    ))
}

fn list<'a>(of: &'a Value, key: &str) -> &'a [Value] {
    of.get(key)
        .and_then(Value::as_array)
        .map_or(&[], Vec::as_slice)
}

/// What decoding needs of the settings: the names of handlers and customers in their order, and where the
/// gauges that the decider reads stand in each row.
#[derive(Clone, Debug)]
pub struct WireNames {
    pub handlers: Vec<String>,
    pub tenants: Vec<String>,
    pub cpu_utilization_column: Option<usize>,
    pub runnable_tasks_column: Option<usize>,
}

pub fn wire_names(conf: &Value) -> WireNames {
    let names = conf
        .get("family_info")
        .map_or(&[][..], |info| list(info, "own_stats"));
    let place = |name: &str| names.iter().position(|n| n.as_str() == Some(name));
    let named = |key: &str| {
        let name = |v: &Value| {
            v.get("name")
                .and_then(Value::as_str)
                .unwrap_or_default()
                .to_string()
        };
        list(conf, key).iter().map(name).collect()
    };
    let (cpu_utilization_column, runnable_tasks_column) = (place("cpu_busy"), place("runnable"));
    WireNames {
        handlers: named("classes"),
        tenants: named("customers"),
        cpu_utilization_column,
        runnable_tasks_column,
    }
}

fn idempotency(class: &Value) -> Result<Idempotency, Wrong> {
    match text(class, "effect")? {
        "repeatable" => Ok(Idempotency::Idempotent),
        "by_key" => Ok(Idempotency::Keyed),
        "once" => Ok(Idempotency::NonIdempotent),
        other => Err(format!("unknown effect {other}")),
    }
}

/// The kind of each handler.
pub fn idempotencies(conf: &Value) -> Result<Vec<Idempotency>, Wrong> {
    list(conf, "classes").iter().map(idempotency).collect()
}

/// How long a read's answer may be handed to others.
pub fn read_cache_ttl(conf: &Value) -> Result<Time, Wrong> {
    conf.get("family_info")
        .map_or(Ok(Time(0)), |info| span(info, "fresh_ms"))
}

fn handler(place: usize, class: &Value, info: &Value) -> Result<Handler, Wrong> {
    Ok(Handler {
        idempotency: idempotency(class)?,
        response_target: span(class, "aim_ms")?.max(Time(1)),
        target_stretch: maybe_number(class, "aim_stretch")?.unwrap_or(0.0),
        client_timeout: span(class, "deadline_ms")?.max(Time(1)),
        value: number(class, "credit")?,
        late_value: maybe_number(class, "late_value")?.unwrap_or(0.0),
        dedup_window: span(class, "dedup_window_ms")?,
        makes_calls: list(info, "class_calls").get(place).map_or(Ok(true), |v| {
            v.as_bool()
                .ok_or_else(|| format!("class_calls[{place}] is {v}: expected true or false"))
        })?,
        skip_value: list(info, "class_skip_worth")
            .get(place)
            .and_then(Value::as_f64)
            .unwrap_or(0.0),
    })
}

pub fn admission_controller(
    now: Time,
    seed: u64,
    conf: &Value,
) -> Result<AdmissionController, Wrong> {
    let part = |key: &str| {
        conf.get(key)
            .filter(|v| v.is_object())
            .ok_or(format!("settings without {key}"))
    };
    let (info, rules, blend) = (part("family_info")?, part("obligations")?, part("blend")?);
    let policy = part("policy_limits")?;
    let classes = list(conf, "classes").iter().enumerate();
    let handlers = classes
        .map(|(place, c)| handler(place, c, info))
        .collect::<Result<Vec<_>, _>>()?;
    let quotas = list(conf, "customers")
        .iter()
        .map(|c| number(c, "quota_per_s"))
        .collect::<Result<Vec<_>, _>>()?;
    let weight = |key: &str| maybe_number(blend, key).map(|w| w.unwrap_or(0.0));
    let goal = GoalWeights {
        total: weight("whole")? + weight("worst_window")?,
        worst_handler: weight("worst_class")?,
        worst_tenant: weight("worst_tenant")?,
        by_work: conf.get("worth_by").and_then(Value::as_str) == Some("work"),
        over_quota: maybe_number(conf, "over_share_worth")?.unwrap_or(1.0),
    };
    let fleet_size = maybe_number(conf, "group_size")?.unwrap_or(1.0);
    let cores = whole(info, "n_cores")? as usize;
    let start_capacity = if flag(info, "cold") {
        number(rules, "start_capacity")?
    } else {
        1.0
    };
    let cancellation = match text(info, "preemption")? {
        "none" => Cancellation::Never,
        "drop" => Cancellation::Drop,
        "pause" => Cancellation::Pause,
        other => return Err(format!("unknown preemption {other}")),
    };
    let advice_format = match text(info, "advert")? {
        "none" => AdviceFormat::Unused,
        "bias" => AdviceFormat::Share,
        "tokens" => AdviceFormat::Credit,
        "min_rank" => AdviceFormat::Rank,
        other => return Err(format!("unknown advert {other}")),
    };
    let max_retry_after = if flag(policy, "retry_after") {
        span(policy, "max_retry_after_ms")?
    } else {
        Time(0)
    };
    let overload_factor = number(rules, "overload_factor")?;
    let response_targets = handlers.iter().map(|h| h.response_target);
    let loss_window = response_targets.min().unwrap_or(Time(1));
    let share = match text(info, "below")? {
        "common" => maybe_number(info, "dep_share")?,
        _ => None,
    };
    let callers = CallerConfig {
        expected: maybe_number(info, "upstreams")?.unwrap_or(1.0),
        advice_format,
        advice_lifetime: span(info, "heeded_ms")?,
        max_idle: span(info, "idle_ms")?,
        max_retry_after,
    };
    let concurrency = ConcurrencyConfig {
        cores,
        overload_factor,
        start_capacity,
        warm_within: span(rules, "warm_within_ms")?,
    };
    let memory = MemoryLimits {
        limit: number(info, "mem_limit_kb")?,
        running_factor: maybe_number(info, "blowup")?.unwrap_or(1.0),
        per_key: maybe_number(info, "kb_per_key")?.unwrap_or(0.0),
    };
    let config = AdmissionConfig {
        resolution: span(conf, "resolution_ms")?.max(Time(1)),
        handlers,
        quotas,
        fleet_size,
        goal,
        concurrency,
        cancellation,
        loss_window,
        memory,
        calls: CallConfig {
            share,
            window: span(info, "calls_over_ms")?,
            abandoned_linger: span(info, "linger_ms")?,
        },
        drain_grace: span(rules, "drain_grace_ms")?,
        callers,
        seed,
    };
    Ok(AdmissionController::new(now, &config))
}
