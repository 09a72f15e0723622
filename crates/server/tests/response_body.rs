//! The body of an aggregation's response.
use cottondyke::execution::response_body::encode;
use cottondyke_dependency::{PartResult, PartSource};
use cottondyke_types::Time;

/// The body must be valid JSON whatever the parts contain, and must give the state of each part.
#[test]
fn names_the_source_of_each_part_when_a_response_is_encoded() {
    let part = |name: &str, source, body: Option<&str>, json| PartResult {
        name: name.into(),
        source,
        body: body.map(|b| b.as_bytes().into()),
        json,
    };
    let complete = [
        part("a", PartSource::Primary, Some("{\"x\":1}"), true),
        part("b", PartSource::Primary, Some("a\"b\n"), false),
    ];
    let output = encode(&complete);
    assert_eq!(output.partial, None);
    let decoded: serde_json::Value = serde_json::from_slice(&output.body).unwrap();
    assert_eq!(
        (
            &decoded["parts"]["a"]["body"]["x"],
            &decoded["parts"]["b"]["body"]
        ),
        (&1.into(), &"a\"b\n".into())
    );
    let parts = [
        part("a", PartSource::Cached(Time(1_230)), Some("[]"), true),
        part(
            "b",
            PartSource::Secondary("backup".into()),
            Some("x"),
            false,
        ),
        part("c", PartSource::Default, Some("null"), true),
        part("d", PartSource::Missing, None, false),
        part("e", PartSource::Primary, Some(""), false),
    ];
    let output = encode(&parts);
    assert_eq!(output.partial.as_deref(), Some("a,b,c,d"));
    let decoded: serde_json::Value = serde_json::from_slice(&output.body).unwrap();
    assert_eq!(decoded["partial"], serde_json::json!(["a", "b", "c", "d"]));
    assert_eq!(
        decoded["parts"]["a"],
        serde_json::json!({ "state": "kept", "age_ms": 123, "body": [] })
    );
    assert_eq!(
        decoded["parts"]["b"],
        serde_json::json!({ "state": "other", "from": "backup", "body": "x" })
    );
    assert_eq!(
        decoded["parts"]["d"],
        serde_json::json!({ "state": "missing" })
    );
}
