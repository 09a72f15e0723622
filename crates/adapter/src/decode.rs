//! From the wire's values to the decider's.
use cottondyke_admission::*;
use cottondyke_settings::{maybe_number, number, present, text, whole, WireNames, Wrong};
use serde_json::Value;

/// Whole tenths, rounded down: no due time is lengthened.
fn tenths(ms: f64) -> Time {
    Time((ms * 10.0).floor().clamp(-1e15, 1e15) as i64)
}

pub fn span(of: &Value, key: &str) -> Result<Time, Wrong> {
    Ok(tenths(number(of, key)?))
}

pub fn clock(batch: &Value) -> Result<Time, Wrong> {
    Ok(Time(
        (number(batch, "sim_time_ms")? * 10.0)
            .ceil()
            .clamp(-1e15, 1e15) as i64,
    ))
}

pub fn req(event: &Value) -> Result<RequestId, Wrong> {
    Ok(RequestId(id(whole(event, "msg_id")?, "msg_id")?))
}

fn id(number: u64, key: &str) -> Result<u32, Wrong> {
    u32::try_from(number).map_err(|_| format!("{key} is past 32 bits"))
}

pub fn arrival(event: &Value, handlers: usize) -> Result<Arrival, Wrong> {
    let flags = present(event, "flags").and_then(Value::as_u64).unwrap_or(0);
    let hint = maybe_number(event, "cost_ms")?.filter(|ms| flags & 1 != 0 && *ms > 0.0);
    let repeats = present(event, "same_as")
        .map(|_| whole(event, "same_as"))
        .transpose()?
        .filter(|n| *n != 0);
    let handler = whole(event, "category")? as usize;
    if handler >= handlers {
        return Err(format!("category {handler} is past the list of classes"));
    }
    // Lying time is rounded up and the wait down, so that both ends of a due time come early.
    let lay = maybe_number(event, "lay_ms")?.unwrap_or(0.0);
    let lay = Time((lay * 10.0).ceil().clamp(0.0, 1e15) as i64);
    Ok(Arrival {
        id: req(event)?,
        handler: HandlerId(handler),
        tenant: present(event, "client_group")
            .and_then(Value::as_u64)
            .map(|n| TenantId(n as usize)),
        caller: present(event, "by").and_then(Value::as_u64).map(CallerId),
        cost_hint: hint.map(tenths),
        is_retry: flags & 2 != 0,
        duplicate_of: repeats
            .map(|n| id(n, "same_as"))
            .transpose()?
            .map(RequestId),
        memory_kb: maybe_number(event, "mem_kb")?.unwrap_or(0.0),
        queueing_delay: lay,
        observed_delay: lay,
        client_wait: maybe_number(event, "grace_ms")?
            .filter(|ms| *ms > 0.0)
            .map(tenths),
    })
}

pub fn run_end(event: &Value) -> Result<RunOutcome, Wrong> {
    match text(event, "ending")? {
        "delivered" => Ok(RunOutcome::Completed),
        "app_error" => Ok(RunOutcome::Failed),
        "revoked" => Ok(RunOutcome::Cancelled),
        "unused" => Ok(RunOutcome::NotStarted),
        other => Err(format!("unknown ending {other} of a run")),
    }
}

pub fn call_end(event: &Value) -> Result<CallOutcome, Wrong> {
    match text(event, "ending")? {
        "delivered" => Ok(CallOutcome::Completed),
        "shed" | "dial_failed" | "unused" => Ok(CallOutcome::NotExecuted),
        "app_error" => Ok(CallOutcome::Failed),
        "expired" | "dropped" | "revoked" => Ok(CallOutcome::Indeterminate),
        other => Err(format!("unknown ending {other} of a call")),
    }
}

pub fn gauges(event: &Value, names: &WireNames) -> Result<LoadSample, Wrong> {
    let row = event
        .get("usage")
        .and_then(Value::as_array)
        .ok_or("usage is missing or not a row")?;
    let at = |place: Option<usize>| row.get(place?).and_then(Value::as_f64);
    Ok(LoadSample {
        cpu_utilization: at(names.cpu_utilization_column),
        runnable_tasks: at(names.runnable_tasks_column),
    })
}
