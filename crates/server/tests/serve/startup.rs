//! Invalid command lines and configurations, and the state at startup.
use crate::rig::*;
use serde_json::{json, Value};
use std::net::TcpListener;

type Corruption = fn(&mut Value);

/// Guards against errors that a user cannot act on: an invalid configuration gives one line that names the key, and the
/// exit code for it.
#[test]
#[expect(clippy::too_many_lines, reason = "one table of cases")]
fn prints_one_line_when_the_configuration_is_invalid() {
    let cases: [(&str, Corruption); 16] = [
        ("fall_ms", |c| {
            c["settings"]["obligations"]["fall_ms"] = json!(-3_000.0)
        }),
        // A configured number of callers although callers are counted by their connections.
        ("family_info.upstreams", |c| {
            c["front"] = json!({ "callers": "connections" })
        }),
        ("front.callers", |c| {
            c["front"] = json!({ "callers": "everyone" })
        }),
        ("engine", |c| c["engine"] = json!("nowhere")),
        ("listen", |c| c["listen"] = json!(5)),
        ("settings", |c| c["settings"] = json!([])),
        ("family_info", |c| {
            c["settings"]["family_info"] = json!(null)
        }),
        ("n_cores", |c| {
            c["settings"]["family_info"]["n_cores"] = json!(0)
        }),
        ("n_cores", |c| {
            c["settings"]["family_info"]["n_cores"] = json!(1e9)
        }),
        ("effect", |c| {
            c["settings"]["classes"][0]["effect"] = json!("maybe")
        }),
        ("classes", |c| c["settings"]["classes"] = json!([])),
        ("sockets", |c| c["limits"]["sockets"] = json!(3)),
        // A handler with idempotency keys and a missing or zero deduplication window.
        ("dedup_window_ms is missing", |c| {
            c["settings"]["classes"][1]["dedup_window_ms"] = json!(null)
        }),
        ("dedup_window_ms is 0", |c| {
            c["settings"]["classes"][1]["dedup_window_ms"] = json!(0)
        }),
        ("below is \"nothing\"", |c| {
            c["settings"]["family_info"]["below"] = json!("nothing")
        }),
        ("seed", |c| c["seed"] = json!("xyz")),
    ];
    for (key, corrupt) in cases {
        let mut conf = example_config();
        corrupt(&mut conf);
        let path = temporary_file(&conf.to_string());
        for command in ["check", "serve"] {
            let (code, text) = run_to_exit(&[command, "--config", path.to_str().unwrap()]);
            assert_eq!((code, text.lines().count()), (Some(2), 1), "{text}");
            assert!(text.contains(key), "{key}: {text}");
        }
        std::fs::remove_file(path).unwrap();
    }
    // The records service may be omitted only where `below` is `none`.
    for (below, expected) in [("none", Some(0)), ("common", Some(2))] {
        let mut conf = example_config();
        conf.as_object_mut().unwrap().remove("records");
        conf["settings"]["family_info"]["below"] = json!(below);
        let path = temporary_file(&conf.to_string());
        let (code, text) = run_to_exit(&["check", "--config", path.to_str().unwrap()]);
        assert!(
            code == expected && (expected == Some(0) || text.contains("records")),
            "{below}: {code:?} {text}"
        );
        std::fs::remove_file(path).unwrap();
    }
    let path = temporary_file("{ not JSON");
    assert!(run_to_exit(&["check", "--config", path.to_str().unwrap()])
        .1
        .contains("not JSON"));
    std::fs::remove_file(&path).unwrap();
    assert_eq!(
        run_to_exit(&["check", "--config", path.to_str().unwrap()]).0,
        Some(2),
        "a missing file"
    );
    assert_eq!(run_to_exit(&["serve"]).0, Some(2), "no file named");
    assert_eq!(run_to_exit(&["dance"]).0, Some(2));
    assert_eq!(run_to_exit(&["version"]).0, Some(0));
    // One build accepts both ways to count callers; the settings alone select one.
    let mut conf = example_config();
    conf["front"] = json!({ "callers": "connections" });
    conf["settings"]["family_info"]
        .as_object_mut()
        .unwrap()
        .remove("upstreams");
    let path = temporary_file(&conf.to_string());
    assert_eq!(
        run_to_exit(&["check", "--config", path.to_str().unwrap()]).0,
        Some(0),
        "callers counted by connections"
    );
    std::fs::remove_file(path).unwrap();
}

/// Guards against two servers on one address: the second prints an error and exits.
#[test]
fn prints_one_line_when_the_address_is_in_use() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut conf = example_config();
    conf["listen"] = json!(listener.local_addr().unwrap().to_string());
    let path = temporary_file(&conf.to_string());
    assert_eq!(
        run_to_exit(&["check", "--config", path.to_str().unwrap()]).0,
        Some(0)
    );
    let (code, text) = run_to_exit(&["serve", "--config", path.to_str().unwrap()]);
    std::fs::remove_file(path).unwrap();
    assert!(
        code == Some(1) && text.contains("cannot listen"),
        "{code:?} {text}"
    );
}

/// Guards against stalls on accept: when the kernel enlarged the process's descriptor table for a new connection, the
/// whole process was blocked, for seconds on a busy machine. The table must have its full size from the start.
#[test]
fn has_room_for_all_its_descriptors_before_it_serves() {
    for limit in [1_024, 10_000] {
        let rig = Rig::with(|conf| conf["limits"]["sockets"] = json!(limit));
        let slots = rig.descriptor_slots();
        assert!(slots >= limit, "{slots} of {limit}");
    }
}

/// Guards operators against a memory limit that silently holds fewer connections than the descriptors allow.
#[test]
fn tells_at_start_how_many_connections_the_memory_limit_holds() {
    let rig = Rig::with(|conf| {
        conf["limits"]["memory_mb"] = json!(16);
        conf["limits"]["sockets"] = json!(1_024);
    });
    let line = rig.wait_for_log("holds fewer connections than the descriptors allow");
    assert!(line.contains("allowed=928"), "{line}");
}
