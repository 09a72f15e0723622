//! The command line and configurations that are no good.
use crate::rig::*;
use serde_json::{json, Value};
use std::net::TcpListener;

type Spoil = fn(&mut Value);

/// Guards newcomers and operators: one line that names what is wrong, and an exit code that says so.
#[test]
#[expect(clippy::too_many_lines, reason = "one table of cases")]
fn prints_one_line_when_the_configuration_is_invalid() {
    let cases: [(&str, Spoil); 16] = [
        ("fall_ms", |c| {
            c["settings"]["obligations"]["fall_ms"] = json!(-3_000.0)
        }),
        // The first shape's count of callers beside callers heard on connections: the two are mixed.
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
        // A keyed handler without a window, or with none.
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
    for (names, spoil) in cases {
        let mut conf = settings();
        spoil(&mut conf);
        let path = temporary_file(&conf.to_string());
        for command in ["check", "serve"] {
            let (code, text) = run_to_exit(&[command, "--config", path.to_str().unwrap()]);
            assert_eq!((code, text.lines().count()), (Some(2), 1), "{text}");
            assert!(text.contains(names), "{names}: {text}");
        }
        std::fs::remove_file(path).unwrap();
    }
    // A server with nothing below it is told no records service, and needs none; any other does.
    for (below, code) in [("none", Some(0)), ("common", Some(2))] {
        let mut conf = settings();
        conf.as_object_mut().unwrap().remove("records");
        conf["settings"]["family_info"]["below"] = json!(below);
        let path = temporary_file(&conf.to_string());
        let (told, text) = run_to_exit(&["check", "--config", path.to_str().unwrap()]);
        assert!(
            told == code && (code == Some(0) || text.contains("records")),
            "{below}: {told:?} {text}"
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
    // The move: one build takes the first shape and the new one, each from its settings alone.
    let mut new = settings();
    new["front"] = json!({ "callers": "connections" });
    new["settings"]["family_info"]
        .as_object_mut()
        .unwrap()
        .remove("upstreams");
    let path = temporary_file(&new.to_string());
    assert_eq!(
        run_to_exit(&["check", "--config", path.to_str().unwrap()]).0,
        Some(0),
        "the new shape"
    );
    std::fs::remove_file(path).unwrap();
}

/// Guards against two servers on one address: the second says so and ends.
#[test]
fn prints_one_line_when_the_address_is_in_use() {
    let taken = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut conf = settings();
    conf["listen"] = json!(taken.local_addr().unwrap().to_string());
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

/// Guards every connection against one that is accepted: where the table of descriptors was enlarged for it, the whole
/// process stood still in the kernel, for seconds on a busy machine.
#[test]
fn has_room_for_all_its_descriptors_before_it_serves() {
    let rig = Rig::start();
    let limit = rig.conf["limits"]["sockets"].as_u64().unwrap() as usize;
    let slots = rig.descriptor_slots();
    assert!(slots >= limit, "{slots} of {limit}");
}
