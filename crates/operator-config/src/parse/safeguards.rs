//! `defences(...)`: the safeguards that are disabled.
use super::error::DeclarationError;
use crate::arguments::Arguments;
use crate::format::format_value;
use crate::suggestion::suggest_nearest;
use crate::{ConfigError, SAFEGUARDS};
use serde_json::Value as Json;

pub(super) fn parse_disabled_safeguards(
    mut arguments: Arguments,
) -> Result<Vec<String>, ConfigError> {
    let names = arguments
        .list("off", "a list of names")?
        .iter()
        .map(|value| parse_safeguard(&arguments, value))
        .collect::<Result<_, _>>()?;
    arguments.finish()?;
    Ok(names)
}

fn parse_safeguard(arguments: &Arguments, value: &Json) -> Result<String, ConfigError> {
    let given = value.as_str().unwrap_or_default();
    if SAFEGUARDS.contains(&given) {
        return Ok(given.to_string());
    }
    Err(arguments.error(DeclarationError::UnknownSafeguard {
        value: format_value(value),
        known: SAFEGUARDS.join(", "),
        suggestion: suggest_nearest(given, SAFEGUARDS.into_iter()),
    }))
}
