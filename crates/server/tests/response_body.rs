//! The body of an aggregation's response.
use cottondyke::execution::response_body::encode;
use cottondyke_dependency::{PartResult, PartSource};
use cottondyke_types::Time;

/// Guards clients: the body is JSON whatever the parts hold, and says what each part is.
#[test]
fn names_the_source_of_each_part_when_a_response_is_encoded() {
    let part = |name: &str, state, body: Option<&str>, json| PartResult {
        name: name.into(),
        source: state,
        body: body.map(|b| b.as_bytes().into()),
        json,
    };
    let whole = [
        part("a", PartSource::Primary, Some("{\"x\":1}"), true),
        part("b", PartSource::Primary, Some("a\"b\n"), false),
    ];
    let output = encode(&whole);
    assert_eq!(output.partial, None);
    let read: serde_json::Value = serde_json::from_slice(&output.body).unwrap();
    assert_eq!(
        (
            &read["parts"]["a"]["body"]["x"],
            &read["parts"]["b"]["body"]
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
    let read: serde_json::Value = serde_json::from_slice(&output.body).unwrap();
    assert_eq!(read["partial"], serde_json::json!(["a", "b", "c", "d"]));
    assert_eq!(
        read["parts"]["a"],
        serde_json::json!({ "state": "kept", "age_ms": 123, "body": [] })
    );
    assert_eq!(
        read["parts"]["b"],
        serde_json::json!({ "state": "other", "from": "backup", "body": "x" })
    );
    assert_eq!(
        read["parts"]["d"],
        serde_json::json!({ "state": "missing" })
    );
}
