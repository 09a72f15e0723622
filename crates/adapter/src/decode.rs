//! Decodes values of the wire format into inputs of the controller.

use crate::error::AdapterError;
use cottondyke_admission::{
    Arrival, CallOutcome, CallerId, HandlerId, LoadSample, RequestId, RunOutcome, TenantId, Time,
};
use cottondyke_settings::{non_null, number, optional_number, string, unsigned, WireNames};
use serde_json::Value;

/// Tenths of a millisecond in one millisecond.
const TENTHS_PER_MS: f64 = 10.0;
/// The longest time, in tenths of a millisecond; longer ones are shortened to it.
const MAX_TIME: f64 = 1e15;
/// The flag of an arrival whose cost hint is valid.
const HAS_COST_HINT: u64 = 1;
/// The flag of an arrival that is a retry.
const IS_RETRY: u64 = 2;

/// Converts milliseconds, rounded down so that no deadline is extended.
fn rounded_down(milliseconds: f64) -> Time {
    let tenths = (milliseconds * TENTHS_PER_MS).floor();
    Time(tenths.clamp(-MAX_TIME, MAX_TIME) as i64)
}

pub(crate) fn duration(event: &Value, key: &str) -> Result<Time, AdapterError> {
    Ok(rounded_down(number(event, key)?))
}

pub(crate) fn batch_time(batch: &Value) -> Result<Time, AdapterError> {
    let tenths = (number(batch, "sim_time_ms")? * TENTHS_PER_MS).ceil();
    Ok(Time(tenths.clamp(-MAX_TIME, MAX_TIME) as i64))
}

pub(crate) fn request_id(event: &Value) -> Result<RequestId, AdapterError> {
    id(event, "msg_id")
}

fn id(event: &Value, key: &'static str) -> Result<RequestId, AdapterError> {
    let number = u32::try_from(unsigned(event, key)?);
    let number = number.map_err(|_| AdapterError::IdTooLarge { key })?;
    Ok(RequestId(number))
}

pub(crate) fn arrival(event: &Value, handlers: usize) -> Result<Arrival, AdapterError> {
    let flags = non_null(event, "flags").and_then(Value::as_u64);
    let flags = flags.unwrap_or(0);
    let hint = optional_number(event, "cost_ms")?;
    let hint = hint.filter(|ms| flags & HAS_COST_HINT != 0 && *ms > 0.0);
    let duplicate_of = duplicate_of(event)?;
    let handler = handler(event, handlers)?;
    let queueing_delay = queueing_delay(event)?;
    Ok(Arrival {
        id: request_id(event)?,
        handler,
        tenant: non_null(event, "client_group")
            .and_then(Value::as_u64)
            .map(|n| TenantId(n as usize)),
        caller: non_null(event, "by").and_then(Value::as_u64).map(CallerId),
        cost_hint: hint.map(rounded_down),
        is_retry: flags & IS_RETRY != 0,
        duplicate_of: duplicate_of.map(checked_duplicate).transpose()?,
        memory_kb: optional_number(event, "mem_kb")?.unwrap_or(0.0),
        queueing_delay,
        observed_delay: queueing_delay,
        client_time_left: optional_number(event, "grace_ms")?
            .filter(|ms| *ms > 0.0)
            .map(rounded_down),
    })
}

/// The id of the request that this one repeats; 0 on the wire stands for none.
fn duplicate_of(event: &Value) -> Result<Option<u64>, AdapterError> {
    let key = "same_as";
    let number = non_null(event, key).map(|_| unsigned(event, key));
    Ok(number.transpose()?.filter(|n| *n != 0))
}

fn checked_duplicate(number: u64) -> Result<RequestId, AdapterError> {
    let number = u32::try_from(number);
    let number = number.map_err(|_| AdapterError::IdTooLarge { key: "same_as" })?;
    Ok(RequestId(number))
}

fn handler(event: &Value, handlers: usize) -> Result<HandlerId, AdapterError> {
    let category = unsigned(event, "category")? as usize;
    if category >= handlers {
        return Err(AdapterError::UnknownHandler { category });
    }
    Ok(HandlerId(category))
}

/// The queueing delay of a request. It is rounded up and the client's time left is rounded down, so that rounding can
/// only make a deadline that is computed from them earlier.
fn queueing_delay(event: &Value) -> Result<Time, AdapterError> {
    let milliseconds = optional_number(event, "lay_ms")?.unwrap_or(0.0);
    let tenths = (milliseconds * TENTHS_PER_MS).ceil();
    Ok(Time(tenths.clamp(0.0, MAX_TIME) as i64))
}

pub(crate) fn run_outcome(event: &Value) -> Result<RunOutcome, AdapterError> {
    match string(event, "ending")? {
        "delivered" => Ok(RunOutcome::Completed),
        "app_error" => Ok(RunOutcome::Failed),
        "revoked" => Ok(RunOutcome::Cancelled),
        "unused" => Ok(RunOutcome::NotStarted),
        other => Err(AdapterError::UnknownRunEnding {
            ending: other.to_string(),
        }),
    }
}

pub(crate) fn call_outcome(event: &Value) -> Result<CallOutcome, AdapterError> {
    match string(event, "ending")? {
        "delivered" => Ok(CallOutcome::Completed),
        "shed" | "dial_failed" | "unused" => Ok(CallOutcome::NotExecuted),
        "app_error" => Ok(CallOutcome::Failed),
        "expired" | "dropped" | "revoked" => Ok(CallOutcome::Indeterminate),
        other => Err(AdapterError::UnknownCallEnding {
            ending: other.to_string(),
        }),
    }
}

pub(crate) fn load_sample(event: &Value, names: &WireNames) -> Result<LoadSample, AdapterError> {
    let row = event.get("usage").and_then(Value::as_array);
    let row = row.ok_or(AdapterError::MissingUsage)?;
    let gauge = |column: Option<usize>| row.get(column?).and_then(Value::as_f64);
    Ok(LoadSample {
        cpu_utilization: gauge(names.cpu_utilization_column),
        runnable_tasks: gauge(names.runnable_tasks_column),
    })
}
