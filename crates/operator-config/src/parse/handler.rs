//! `handler(...)` and `customer(...)`: kinds of requests, and the tenants that send them.
use super::error::DeclarationError;
use crate::arguments::Arguments;
use crate::format::format_duration;
use crate::{ConfigError, Handler, Tenant};
use cottondyke_types::Idempotency;

const EFFECTS: [(&str, Idempotency); 3] = [
    ("replayable", Idempotency::Idempotent),
    ("uniqued", Idempotency::Keyed),
    ("non-replayable", Idempotency::NonIdempotent),
];
const MAX_VALUE: f64 = 1e9;
const DEFAULT_LATE_VALUE_RATIO: f64 = 0.2;
const MAX_REQUESTS_PER_SECOND: f64 = 1e9;

pub(super) fn parse_handler(mut arguments: Arguments) -> Result<Handler, ConfigError> {
    let name = arguments.name("name", None)?;
    let idempotency = arguments.choice("effect", &EFFECTS, None)?;
    let response_target = arguments.duration("response_target", None)?;
    let client_timeout = arguments.duration("client_timeout", None)?;
    if client_timeout < response_target {
        return Err(arguments.error(DeclarationError::TimeoutBelowTarget {
            timeout: format_duration(client_timeout),
            target: format_duration(response_target),
        }));
    }
    let handler = Handler {
        name,
        idempotency,
        response_target,
        client_timeout,
        value: arguments.number("value", 0.0..=MAX_VALUE, Some(1.0))?,
        late_value_ratio: arguments.number(
            "late_value",
            0.0..=1.0,
            Some(DEFAULT_LATE_VALUE_RATIO),
        )?,
        dedup_window: arguments.duration("window", Some(client_timeout))?,
        at: arguments.at.clone(),
    };
    arguments.finish()?;
    Ok(handler)
}

pub(super) fn parse_tenant(mut arguments: Arguments) -> Result<Tenant, ConfigError> {
    let tenant = Tenant {
        name: arguments.name("name", None)?,
        requests_per_second: arguments.number("per_second", 0.0..=MAX_REQUESTS_PER_SECOND, None)?,
        at: arguments.at.clone(),
    };
    arguments.finish()?;
    Ok(tenant)
}
