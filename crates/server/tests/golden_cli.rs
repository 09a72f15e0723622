//! What the program says on its command line, word for word: each command, each key of the platform's
//! configuration (`golden/config.txt`: changes, then the answer after `=>`), and what `peers` prints.
//! The evaluator `cottondyke-script` must lie beside the program: `cargo build -p cottondyke-script`.
#![expect(clippy::too_many_lines, reason = "tables of cases and long scenarios")]

use cottondyke::cluster::status::render;
use cottondyke::protocol::peers::encode;
use cottondyke_cluster::{Message, NodeStatus};
use serde_json::Value;
use std::io::{Read, Write};
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

const ROOT: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../..");
const EXAMPLE: &str = include_str!("../../../examples/config.json");
const CONFIG_ROWS: &str = include_str!("golden/config.txt");
const COMMAND_ROWS: &str = include_str!("golden/commands.txt");
const VIEW: &str = include_str!("golden/view.json");
const VIEW_SHOWN: &str = include_str!("golden/view.txt");

/// A folder of this process, removed at its end.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let name = format!("cottondyke-golden-{name}-{}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).unwrap();
        Folder(path)
    }

    fn write(&self, name: &str, text: &str) {
        std::fs::write(self.0.join(name), text).unwrap();
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Exit code, standard output and standard error of the program run in a folder.
fn said(folder: &Path, words: &[&str]) -> (Option<i32>, String, String) {
    let program = env!("CARGO_BIN_EXE_cottondyke");
    let script = Path::new(program).with_file_name("cottondyke-script");
    assert!(script.exists(), "cargo build -p cottondyke-script first");
    let mut command = Command::new(program);
    command
        .args(words)
        .current_dir(folder)
        .env_remove("GW_CONFIG");
    let out = command.stdin(Stdio::null()).output().unwrap();
    let text = |bytes| String::from_utf8(bytes).unwrap();
    (out.status.code(), text(out.stdout), text(out.stderr))
}

/// Rows of a golden file: each is `$ ` and an input, and in the next line `=> ` and its answer.
fn rows(text: &'static str) -> impl Iterator<Item = (&'static str, &'static str)> {
    let text = text
        .strip_prefix("$ ")
        .and_then(|text| text.strip_suffix('\n'));
    let rows = text.expect("rows, and a line's end").split("\n$ ");
    rows.map(|row| row.split_once("\n=> ").expect("a row has an answer"))
}

/// Holds the answer to each row against what the file says, and tells of all that differ.
fn hold(text: &'static str, count: usize, answer: impl Fn(&str) -> (Option<i32>, String, String)) {
    let (mut met, mut failed) = (0, Vec::new());
    for (input, expected) in rows(text) {
        let (code, out, err) = answer(input);
        let code = code.map_or("a signal".to_string(), |code| code.to_string());
        let told = match (out.as_str(), err.as_str()) {
            (out, "") => format!("{code} stdout: {out}"),
            ("", err) => format!("{code} stderr: {err}"),
            (out, err) => format!("{code} stdout: {out}stderr: {err}"),
        };
        met += 1;
        if told != format!("{expected}\n") {
            failed.push(format!("$ {input}\n=> {told}"));
        }
    }
    let all = failed.concat();
    assert!(
        failed.is_empty(),
        "{} of {met} rows:\n{all}\n",
        failed.len()
    );
    assert_eq!(met, count);
}

/// Sets what the path leads to; an empty text takes it out.
fn set(conf: &mut Value, path: &str, text: &str) {
    let (parent, key) = path.rsplit_once('.').unwrap_or(("", path));
    let parent = parent
        .split('.')
        .filter(|key| !key.is_empty())
        .fold(conf, |of, key| match key.parse::<usize>() {
            Ok(place) => &mut of[place],
            Err(_) => &mut of[key],
        })
        .as_object_mut()
        .expect("the path leads to a key of an object");
    match text {
        "" => assert!(parent.remove(key).is_some(), "{path} is not in the example"),
        text => drop(parent.insert(key.to_string(), serde_json::from_str(text).unwrap())),
    }
}

#[test]
fn each_command_answers_word_for_word_when_it_is_run() {
    hold(COMMAND_ROWS, 35, |input| {
        let words: Vec<&str> = input.split(' ').skip(1).collect();
        said(Path::new(ROOT), &words)
    });
}

#[test]
fn each_key_is_answered_word_for_word_when_it_is_good_or_bad() {
    let folder = Folder::new("config");
    hold(CONFIG_ROWS, 103, |input| {
        let mut conf: Value = serde_json::from_str(EXAMPLE).unwrap();
        for change in input.split(" & ") {
            let (path, text) = change.split_once(" =").unwrap();
            set(&mut conf, path, text.trim());
        }
        folder.write("config.json", &conf.to_string());
        said(&folder.0, &["check", "--config", "config.json"])
    });
}

/// These keys have no bad value that is told: what they hold is looked at itself.
#[test]
fn names_and_gauges_are_found_when_the_settings_list_them() {
    let mut conf: Value = serde_json::from_str(EXAMPLE).unwrap();
    let customers = r#"[{"name": "club", "quota_per_s": 5}]"#;
    set(&mut conf, "settings.customers", customers);
    let config = cottondyke::config::Config::parse(&conf.to_string()).unwrap();
    let places = &config.names;
    assert_eq!(places.handlers, ["greet", "order"]);
    assert_eq!(places.tenants, ["club"]);
    assert_eq!(
        (places.cpu_utilization_column, places.runnable_tasks_column),
        (Some(0), Some(1))
    );
}

/// Where the operator's file is held against the configuration or the limits.
#[test]
fn the_operators_file_is_answered_word_for_word_when_it_does_not_fit_the_configuration() {
    let folder = Folder::new("both");
    folder.write("config.json", EXAMPLE);
    let dependency = r#"dependency("d", addr = "127.0.0.1:1", budget = "1ms", ceiling = 6"#;
    let (page, fleet) = (
        r#"page("greet", parts = [part("d")])"#,
        "fleet(instances = 3)",
    );
    let handler =
        r#"handler("h", effect = "uniqued", response_target = "1s", client_timeout = "1s")"#;
    let both =
        "the platform's configuration already declares this; expected it in only one of the two";
    let cases = [
        (
            format!("{fleet}\n{dependency})\n{page}"),
            "toy: the configuration is valid
dependency d: 127.0.0.1:1 /, budget 1 ms, 1 to 2 concurrent calls from this instance, ceiling 6 in all, \
             at most 2 waiting, retries and hedged calls at most 0.1 of first calls, no hedging
page greet: answered within 11 ms of its response target of 500 ms
  part d: from d; else left out
"
            .to_string(),
        ),
        (
            "\nserve(listen = \"127.0.0.1:0\")".to_string(),
            format!("cottondyke: shop.star:2: serve(...): {both}\n"),
        ),
        (
            handler.to_string(),
            format!("cottondyke: shop.star:1: handler(...): {both}\n"),
        ),
        (
            "customer(\"c\", per_second = 1)".to_string(),
            format!("cottondyke: shop.star:1: customer(...): {both}\n"),
        ),
        (
            "fleet(kept_mb = 49)".to_string(),
            "cottondyke: shop.star:1: fleet: kept_mb = 49: expected at most a quarter of the memory, 48\n"
                .to_string(),
        ),
        (
            dependency.replace("= 6", "= 500") + ", ceiling_of = \"instance\")",
            "cottondyke: shop.star:1: dependency \"d\": ceiling = 500 allows this instance 500 calls, whose \
             connections leave none of 928 for callers: expected more sockets or lower ceilings\n"
                .to_string(),
        ),
        (
            format!("{fleet}\n{dependency})\n{}", page.replace("greet", "great")),
            "cottondyke: shop.star:3: page: handler \"great\" is not known: expected one of the handlers (greet, \
             order) (the nearest is \"greet\")\n"
                .to_string(),
        ),
    ];
    let words = [
        "check",
        "--config",
        "config.json",
        "--operator",
        "shop.star",
    ];
    for (script, expected) in cases {
        folder.write("shop.star", &script);
        let (code, out, err) = said(&folder.0, &words);
        let good = expected.starts_with("toy");
        assert_eq!(code, Some(if good { 0 } else { 2 }), "{script}");
        let wanted = if good {
            (expected.as_str(), "")
        } else {
            ("", expected.as_str())
        };
        assert_eq!((out.as_str(), err.as_str()), wanted, "{script}");
    }
}

#[test]
fn a_view_is_rendered_word_for_word_when_it_is_shown() {
    let view: NodeStatus = serde_json::from_str(VIEW).unwrap();
    assert_eq!(render(&view), VIEW_SHOWN);
    assert_eq!(
        format!("{}\n", serde_json::json!(view)),
        VIEW,
        "the keys and their order"
    );
    let heads = [
        (
            (false, true, "\"b\""),
            "a (life 7): keeps the registry; leader b; lease for 2500 ms",
        ),
        (
            (false, false, "null"),
            "a (life 7): member; leader unknown here; lease for 2500 ms",
        ),
    ];
    for ((leads, keeps, leader), expected) in heads {
        let mut other: Value = serde_json::from_str(VIEW).unwrap();
        set(&mut other, "leads", &leads.to_string());
        set(&mut other, "keeps", &keeps.to_string());
        set(&mut other, "leader", leader);
        let view: NodeStatus = serde_json::from_value(other).unwrap();
        assert_eq!(render(&view).lines().next(), Some(expected));
    }
}

/// The whole way: the question's bytes, and the program's output from an instance's answer.
#[test]
fn peers_prints_the_view_when_an_instance_answers() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap().to_string();
    let serving = std::thread::spawn(move || {
        for answers in [true, true, false] {
            let (mut stream, _) = listener.accept().unwrap();
            let mut asked = [0; 11];
            stream.read_exact(&mut asked).unwrap();
            assert_eq!(asked, [0, 0, 0, 7, 7, 0, 0, 0, 0, 1, 6]);
            if answers {
                let view: NodeStatus = serde_json::from_str(VIEW).unwrap();
                let word = Message::Status(Box::new(view)).encode();
                stream.write_all(&encode(&word)).unwrap();
            }
        }
    });
    let folder = Path::new(ROOT);
    let closed = format!(
        "cottondyke: {addr}: closed without an answer: expected the peers port of an instance\n"
    );
    let said = |words: &[&str]| said(folder, words);
    assert_eq!(
        said(&["peers", &addr]),
        (Some(0), VIEW_SHOWN.to_string(), String::new())
    );
    assert_eq!(
        said(&["--json", "peers", &addr]),
        (Some(0), VIEW.to_string(), String::new())
    );
    assert_eq!(said(&["peers", &addr]), (Some(1), String::new(), closed));
    serving.join().unwrap();
}
