//! Parses the durations of the operator's file, and formats durations and values for messages.
use cottondyke_types::Time;
use serde_json::Value;

/// Units of [`Time`], which are tenths of a millisecond, per millisecond.
const TENTHS_PER_MS: f64 = 10.0;
/// The longest accepted duration, in tenths of a millisecond: about three years.
const MAX_DURATION_TENTHS: f64 = 1e12;
/// The longest value that is shown in full, in characters.
const MAX_SHOWN_CHARS: usize = 60;
const ELLIPSIS: &str = "...";

/// A duration of `count` milliseconds.
pub(crate) const fn milliseconds(count: i64) -> Time {
    Time(count * 10)
}

/// Parses a duration such as "300ms", "1.8s", "2m" or "1h".
pub(crate) fn parse_duration(text: &str) -> Option<Time> {
    let unit_start = text.find(|c: char| !c.is_ascii_digit() && c != '.')?;
    let (number, unit) = text.split_at(unit_start);
    let number: f64 = number.parse().ok()?;
    let unit_ms = match unit {
        "ms" => 1.0,
        "s" => 1_000.0,
        "m" => 60_000.0,
        "h" => 3_600_000.0,
        _ => return None,
    };
    let tenths = number * unit_ms * TENTHS_PER_MS;
    let fits = tenths.is_finite() && tenths <= MAX_DURATION_TENTHS;
    fits.then_some(Time(tenths.round() as i64))
}

/// Formats a duration for messages: in seconds from one second up, in milliseconds below.
pub(crate) fn format_duration(time: Time) -> String {
    let ms = time.as_f64() / TENTHS_PER_MS;
    if ms >= 1_000.0 {
        format!("{} s", ms / 1_000.0)
    } else {
        format!("{ms} ms")
    }
}

/// Formats a value for an error message, truncated if it is long.
pub(crate) fn format_value(value: &Value) -> String {
    let text = value.to_string();
    if text.chars().count() <= MAX_SHOWN_CHARS {
        return text;
    }
    let shown_chars = MAX_SHOWN_CHARS - ELLIPSIS.len();
    text.chars().take(shown_chars).collect::<String>() + ELLIPSIS
}
