//! Reads typed values from JSON objects.

use crate::error::SettingsError;
use cottondyke_types::Time;
use serde_json::Value;

/// Tenths of a millisecond in one millisecond.
const TENTHS_PER_MS: f64 = 10.0;
/// The longest duration, in tenths of a millisecond; longer ones are shortened to it.
const MAX_DURATION: f64 = 1e15;

/// The value of a key, if it is there and not null.
pub fn non_null<'a>(object: &'a Value, key: &str) -> Option<&'a Value> {
    object.get(key).filter(|v| !v.is_null())
}

/// The string value of a key.
///
/// # Errors
/// Returns an error if it is missing or not a string.
pub fn string<'a>(object: &'a Value, key: &str) -> Result<&'a str, SettingsError> {
    let string = object.get(key).and_then(Value::as_str);
    string.ok_or_else(|| SettingsError::NotString { key: key.into() })
}

/// The non-negative whole number of a key.
///
/// # Errors
/// Returns an error if it is missing or not such a number.
pub fn unsigned(object: &Value, key: &str) -> Result<u64, SettingsError> {
    let number = object.get(key).and_then(Value::as_u64);
    number.ok_or_else(|| SettingsError::NotUnsigned { key: key.into() })
}

/// The number of a key.
///
/// # Errors
/// Returns an error if it is missing or not a finite number.
pub fn number(object: &Value, key: &str) -> Result<f64, SettingsError> {
    optional_number(object, key)?.ok_or_else(|| SettingsError::Missing { key: key.into() })
}

/// The number of a key that may be missing or null.
///
/// # Errors
/// Returns an error if it is anything other than a finite number.
pub fn optional_number(object: &Value, key: &str) -> Result<Option<f64>, SettingsError> {
    let finite = |value: &Value| {
        let number = value.as_f64().filter(|n| n.is_finite());
        number.ok_or_else(|| SettingsError::NotNumber { key: key.into() })
    };
    non_null(object, key).map(finite).transpose()
}

/// Whether the value of a key is true; a missing or other value counts as false.
pub fn flag(object: &Value, key: &str) -> bool {
    object.get(key).and_then(Value::as_bool).unwrap_or(false)
}

/// A duration that is given in milliseconds; zero if the key is missing.
pub(crate) fn duration(object: &Value, key: &str) -> Result<Time, SettingsError> {
    let milliseconds = optional_number(object, key)?.unwrap_or(0.0);
    let tenths = (milliseconds * TENTHS_PER_MS).clamp(0.0, MAX_DURATION);
    Ok(Time(tenths as i64))
}

/// A list; empty if the value is missing or not a list.
pub(crate) fn list<'a>(object: &'a Value, key: &str) -> &'a [Value] {
    let list = object.get(key).and_then(Value::as_array);
    list.map_or(&[], Vec::as_slice)
}
