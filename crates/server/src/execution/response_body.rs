//! The JSON body of an aggregation's response, which contains each part and its source.
use crate::protocol::sidecar::RunOutput;
use cottondyke_dependency::{PartResult, PartSource};
use serde_json::Value;

/// Bytes reserved for the JSON around the body of a part.
const PART_OVERHEAD: usize = 64;
/// Tenths of a millisecond, the unit of `Time`, in a millisecond.
const TENTHS_PER_MS: i64 = 10;

/// Encodes a response from these parts, with the names of the parts that do not come from their primary source.
pub fn encode(parts: &[PartResult]) -> RunOutput {
    let partial: Vec<&str> = parts
        .iter()
        .filter(|part| part.source != PartSource::Primary)
        .map(|part| &*part.name)
        .collect();
    let mut body =
        Vec::with_capacity(PART_OVERHEAD + parts.iter().map(estimated_size).sum::<usize>());
    let names = Value::from(partial.clone());
    body.extend(format!("{{\"partial\":{names},\"parts\":{{").bytes());
    for (index, part) in parts.iter().enumerate() {
        if index > 0 {
            body.push(b',');
        }
        encode_part(part, &mut body);
    }
    body.extend(b"}}");
    let partial = (!partial.is_empty()).then(|| partial.join(",").into());
    RunOutput { body, partial }
}

fn estimated_size(part: &PartResult) -> usize {
    match &part.body {
        Some(body) => body.len() + PART_OVERHEAD,
        None => PART_OVERHEAD,
    }
}

fn encode_part(part: &PartResult, to: &mut Vec<u8>) {
    let state = match &part.source {
        PartSource::Primary => "\"whole\"".to_string(),
        PartSource::Cached(age) => format!("\"kept\",\"age_ms\":{}", age.0 / TENTHS_PER_MS),
        PartSource::Secondary(name) => format!("\"other\",\"from\":{}", quoted(name)),
        PartSource::Default => "\"fixed\"".to_string(),
        PartSource::Missing => "\"missing\"".to_string(),
    };
    to.extend(format!("{}:{{\"state\":{state}", quoted(&part.name)).bytes());
    if let Some(bytes) = &part.body {
        to.extend(b",\"body\":");
        if part.json {
            to.extend_from_slice(bytes);
        } else {
            to.extend(quoted(&String::from_utf8_lossy(bytes)).bytes());
        }
    }
    to.push(b'}');
}

fn quoted(text: &str) -> String {
    Value::from(text).to_string()
}
