//! `dependency(...)`: a service that delivers parts of pages.
use crate::arguments::Arguments;
use crate::format::milliseconds;
use crate::{ConfigError, Dependency};
use serde_json::Value as Json;
use std::ops::RangeInclusive;

const MAX_CEILING: u64 = 1 << 20;
const MAX_RATE: u64 = 1_000_000;
const MAX_WAITING: u64 = 4_096;
const MAX_PATH_BYTES: usize = 512;
const EXPECTED_PATH: &str = "a path that starts with a slash, of printable ASCII without spaces";
const DEFAULT_RETRY_RATIO: f64 = 0.1;
const HEDGE_QUANTILES: RangeInclusive<f64> = 0.5..=0.999;
const EXPECTED_HEDGE: &str = "None or a quantile of its latency from 0.5 to 0.999";

pub(super) fn parse_dependency(mut arguments: Arguments) -> Result<Dependency, ConfigError> {
    let dependency = Dependency {
        name: arguments.name("name", None)?,
        address: arguments.address("addr")?,
        path: arguments.read("path", EXPECTED_PATH, Some("/".to_string()), read_path)?,
        ceiling: arguments.integer("ceiling", 1..=MAX_CEILING, None)?,
        post_cancel_grace: arguments.duration("linger", Some(milliseconds(1_000)))?,
        max_waiting: arguments.optional_integer("waiting", 0..=MAX_WAITING)?,
        hedge_quantile: arguments.read_optional("hedge", EXPECTED_HEDGE, |value| {
            value
                .as_f64()
                .filter(|quantile| HEDGE_QUANTILES.contains(quantile))
        })?,
        responses_are_json: arguments.choice(
            "replies",
            &[("json", true), ("text", false)],
            Some(false),
        )?,
        time_budget: arguments.duration("budget", None)?,
        max_rate: arguments.optional_integer("rate", 1..=MAX_RATE)?,
        per_instance: arguments.choice(
            "ceiling_of",
            &[("fleet", false), ("instance", true)],
            Some(false),
        )?,
        min_limit: arguments.integer("floor", 1..=MAX_CEILING, Some(1))?,
        retry_ratio: arguments.number("retries", 0.0..=1.0, Some(DEFAULT_RETRY_RATIO))?,
        at: arguments.at.clone(),
    };
    arguments.finish()?;
    Ok(dependency)
}

fn read_path(value: &Json) -> Option<String> {
    let path = value.as_str()?;
    let is_valid = path.starts_with('/')
        && path.len() <= MAX_PATH_BYTES
        && path.bytes().all(|byte| byte.is_ascii_graphic());
    is_valid.then(|| path.to_string())
}
