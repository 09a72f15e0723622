//! `page(...)` with its `part(...)`s and their fallbacks.
use super::error::DeclarationError;
use crate::arguments::Arguments;
use crate::{
    Aggregation, ConfigError, Declaration, Fallback, Part, SourceLocation, MAX_DEFAULT_VALUE_BYTES,
    MAX_FALLBACKS, MAX_PARTS,
};
use serde_json::Value as Json;

const EXPECTED_PART: &str = "part(name, ...)";
const EXPECTED_FALLBACK: &str = "kept(age), other(dependency), fixed(value) or leave_out()";

pub(super) fn parse_aggregation(mut arguments: Arguments) -> Result<Aggregation, ConfigError> {
    let handler = arguments.name("handler", None)?;
    let list = arguments.list("parts", "a list of part(name, ...)")?;
    if list.is_empty() || list.len() > MAX_PARTS {
        return Err(arguments.error(DeclarationError::PartCount {
            count: list.len(),
            max: MAX_PARTS,
        }));
    }
    let parts = list
        .iter()
        .map(|value| parse_part(&arguments, value))
        .collect::<Result<_, _>>()?;
    let at = arguments.at.clone();
    arguments.finish()?;
    Ok(Aggregation { at, handler, parts })
}

fn parse_part(aggregation: &Arguments, value: &Json) -> Result<Part, ConfigError> {
    let declaration = Declaration::from_value(value)
        .filter(|declaration| declaration.function == "part")
        .ok_or_else(|| aggregation.unexpected("parts", value, EXPECTED_PART))?;
    let mut arguments = Arguments::new(declaration, &["name"])?;
    let name = arguments.name("name", None)?;
    let dependency = arguments.name("dependency", Some(&name))?;
    let required = arguments.boolean("required", false)?;
    let list = arguments.list("fallbacks", "a list")?;
    if list.len() > MAX_FALLBACKS {
        return Err(arguments.error(DeclarationError::TooManyFallbacks {
            count: list.len(),
            max: MAX_FALLBACKS,
        }));
    }
    let fallbacks = list
        .iter()
        .map(|value| parse_fallback(&arguments, value))
        .collect::<Result<_, _>>()?;
    let at = arguments.at.clone();
    arguments.finish()?;
    Ok(Part {
        at,
        name,
        dependency,
        required,
        fallbacks,
    })
}

fn parse_fallback(
    part: &Arguments,
    value: &Json,
) -> Result<(SourceLocation, Fallback), ConfigError> {
    let declaration = Declaration::from_value(value)
        .ok_or_else(|| part.unexpected("fallbacks", value, EXPECTED_FALLBACK))?;
    let positional: &[&'static str] = match declaration.function.as_str() {
        "kept" => &["most"],
        "other" => &["dependency"],
        "fixed" => &["value"],
        // Not a fallback. Its name is accepted here so that the error below reports the part, not the positional
        // argument.
        "part" => &["name"],
        _ => &[],
    };
    let mut arguments = Arguments::new(declaration, positional)?;
    let fallback = match arguments.function.as_str() {
        "kept" => Fallback::Cached(arguments.duration("most", None)?),
        "other" => Fallback::Secondary(arguments.name("dependency", None)?),
        "fixed" => Fallback::Default(parse_default_value(&mut arguments)?),
        "leave_out" => Fallback::Omit,
        function => {
            return Err(part.error(DeclarationError::NotAFallback {
                function: function.to_string(),
                expected: EXPECTED_FALLBACK,
            }))
        }
    };
    let at = arguments.at.clone();
    arguments.finish()?;
    Ok((at, fallback))
}

fn parse_default_value(arguments: &mut Arguments) -> Result<Json, ConfigError> {
    let value = arguments.read("value", "any value", None, |value| Some(value.clone()))?;
    let size = value.to_string().len();
    if size > MAX_DEFAULT_VALUE_BYTES {
        let expected = format!("at most {MAX_DEFAULT_VALUE_BYTES} bytes");
        return Err(arguments.unexpected("value", &Json::from(size), &expected));
    }
    Ok(value)
}
