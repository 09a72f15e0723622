//! Evaluates and validates scripts, and checks the location and the text of the error of each invalid one.

use cottondyke_operator_config::{ConfigError, OperatorConfig};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};

/// The number of the next directory of this process.
static NEXT_DIRECTORY: AtomicU64 = AtomicU64::new(0);

/// A separate directory for one script, removed on drop.
struct ScriptDirectory(PathBuf);

impl ScriptDirectory {
    fn new() -> Self {
        let name = format!(
            "cottondyke-script-{}-{}",
            std::process::id(),
            NEXT_DIRECTORY.fetch_add(1, Ordering::Relaxed)
        );
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).unwrap();
        ScriptDirectory(path)
    }

    fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.0.join(name);
        std::fs::write(&path, text).unwrap();
        path
    }
}

impl Drop for ScriptDirectory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn evaluate(path: &Path) -> Result<OperatorConfig, ConfigError> {
    OperatorConfig::from_declarations(
        &path.display().to_string(),
        cottondyke_script::evaluate(path)?,
    )
}

/// The configuration of a script that is validated without a platform configuration.
fn validated(text: &str) -> Result<OperatorConfig, ConfigError> {
    let directory = ScriptDirectory::new();
    let path = directory.write("shop.star", text);
    evaluate(&path).and_then(|operator| operator.validate_standalone().map(|()| operator))
}

const HEAD: &str = r#"fleet(instances = 3)
serve(listen = "127.0.0.1:0")
browse = handler("browse", effect = "replayable", response_target = "1s", client_timeout = "4s")
dependency("catalogue", addr = "127.0.0.1:8101", budget = "300ms", ceiling = 24)
dependency("prices", addr = "127.0.0.1:8102", budget = "300ms", ceiling = 24)
"#;

const PEERS: &str =
    "peers(name = \"x\", listen = \"127.0.0.1:0\", keepers = {\"a\": \"127.0.0.1:7101\"})";

/// A script whose sixth line is `line`, before a valid page.
fn with_line(line: &str) -> String {
    format!("{HEAD}{line}\npage(browse, parts = [part(\"catalogue\")])\n")
}

/// A script with a page of these parts in its sixth line.
fn with_page(parts: &str) -> String {
    format!("{HEAD}page(browse, parts = [{parts}])\n")
}

#[test]
fn builds_the_plan_and_the_summary_when_the_script_is_valid() {
    let directory = ScriptDirectory::new();
    directory.write(
        "common.star",
        "ports = {\"prices\": 8102}\ndef seconds(n):\n    return \"%ds\" % n\n",
    );
    let text = format!(
        "load(\"common.star\", \"ports\", \"seconds\")\n{HEAD}{}",
        "page(browse, parts = [part(name, dependency = name, fallbacks = [kept(seconds(30)), fixed({\"a\": 1})]) \
         for name in [\"catalogue\", \"prices\"]])\n\
         dependency(\"stock\", addr = \"127.0.0.1:%d\" % ports[\"prices\"], budget = \"50ms\", ceiling = 3)\n"
    );
    let operator = evaluate(&directory.write("shop.star", &text)).unwrap();
    operator.validate_standalone().unwrap();
    assert_eq!(operator.aggregations[0].parts.len(), 2);
    assert_eq!(operator.dependencies[2].address.port(), 8102);
    let (plan, pages) = operator.plan(&operator.declared_handlers());
    assert_eq!(
        (
            plan.dependencies[0].max_calls,
            plan.dependencies[2].max_calls
        ),
        (8, 1)
    );
    assert_eq!(pages, [Some(0)]);
    let text = operator.summary(&operator.declared_handlers());
    assert!(
        text.contains("page browse: answered within 310 ms of its response target of 1 s"),
        "{text}"
    );
    assert!(
        text.contains("kept, up to 30 s old, then a fixed value"),
        "{text}"
    );
}

/// A script, the line of its error (0 if the error is about the whole file), and the texts that the error contains.
type InvalidScript = (String, usize, &'static [&'static str]);

#[expect(clippy::too_many_lines, reason = "one table of cases")]
fn invalid_scripts() -> Vec<InvalidScript> {
    vec![
        (with_line("dependency("), 8, &["Parse error"]),
        (with_line("dependncy(\"stock\")"), 6, &["dependncy", "not found"]),
        (with_line("dependency(\"stock\")"), 6, &["addr is missing", "IP address with a port"]),
        (with_line("dependency(\"stock\", adr = \"127.0.0.1:1\", addr = \"127.0.0.1:1\", budget = \"1ms\", ceiling = 3)"), 6,
            &["unknown argument \"adr\"", "nearest is \"addr\""]),
        (with_line("dependency(\"stock\", addr = \"stock.example:80\", budget = \"1ms\", ceiling = 3)"), 6,
            &["stock.example:80", "expected an IP address"]),
        (with_line("dependency(\"stock\", addr = \"127.0.0.1:1\", budget = 300, ceiling = 3)"), 6,
            &["budget = 300", "expected a time", "\"300ms\""]),
        (with_line("dependency(\"stock\", addr = \"127.0.0.1:1\", budget = \"-1s\", ceiling = 3)"), 6,
            &["\"-1s\"", "expected a time over 0"]),
        (with_line("dependency(\"stock\", addr = \"127.0.0.1:1\", budget = \"0ms\", ceiling = 3)"), 6,
            &["\"0ms\"", "expected a time over 0"]),
        (with_line("dependency(\"stock\", addr = \"127.0.0.1:1\", budget = \"1ms\", ceiling = 2)"), 6,
            &["ceiling = 2", "3 instances", "at least 3"]),
        (with_line("dependency(\"stock\", addr = \"127.0.0.1:1\", budget = \"1ms\", ceiling = 0)"), 6,
            &["ceiling = 0", "whole number from 1"]),
        (with_line("dependency(\"stock\", addr = \"127.0.0.1:1\", budget = \"1ms\", ceiling = 6, rate = 2)"), 6,
            &["rate = 2", "3 instances", "at least 3"]),
        (with_line("dependency(\"stock\", addr = \"127.0.0.1:1\", budget = \"1ms\", ceiling = 6, rate = 0)"), 6,
            &["rate = 0", "None or a whole number from 1"]),
        (with_line("dependency(\"stock\", addr = \"127.0.0.1:1\", budget = \"1ms\", ceiling = 6, floor = 3)"), 6,
            &["floor = 3", "share, 2"]),
        (with_line("dependency(\"stock\", addr = \"127.0.0.1:1\", budget = \"1ms\", ceiling = 6, hedge = 2)"), 6,
            &["hedge = 2", "0.5 to 0.999"]),
        (with_line("dependency(\"stock\", addr = \"127.0.0.1:1\", budget = \"1ms\", ceiling = 6, retries = 3)"), 6,
            &["retries = 3", "from 0 to 1"]),
        (with_line("dependency(\"stock\", addr = \"127.0.0.1:1\", budget = \"1ms\", ceiling = 6, path = \"a b\")"), 6,
            &["path = \"a b\"", "slash"]),
        (with_line("dependency(\"stock\", addr = \"127.0.0.1:1\", budget = \"1ms\", ceiling = 6, replies = \"jsn\")"), 6,
            &["\"jsn\"", "one of json, text", "nearest is \"json\""]),
        (with_line("dependency(\"st ock\", addr = \"127.0.0.1:1\", budget = \"1ms\", ceiling = 6)"), 6,
            &["st ock", "letters"]),
        (with_line("dependency(\"prices\", addr = \"127.0.0.1:1\", budget = \"1ms\", ceiling = 6)"), 6,
            &["\"prices\" is declared twice", "line 5"]),
        (with_line("dependency(\"a\", \"b\", addr = \"127.0.0.1:1\", budget = \"1ms\", ceiling = 6)"), 6,
            &["too many positional arguments (2)", "expected at most 1 (name)"]),
        (with_line("dependency(\"a\", name = \"b\", addr = \"127.0.0.1:1\", budget = \"1ms\", ceiling = 6)"), 6,
            &["name is given twice"]),
        (with_line("handler(\"x\", effect = \"replayble\", response_target = \"1s\", client_timeout = \"1s\")"), 6,
            &["\"replayble\"", "nearest is \"replayable\""]),
        (with_line("handler(\"x\", effect = \"uniqued\", response_target = \"2s\", client_timeout = \"1s\")"), 6,
            &["client_timeout is 1 s", "response target of 2 s"]),
        (with_line("handler(\"x\", effect = \"uniqued\", response_target = \"1s\", client_timeout = \"1s\")"), 6,
            &["handler \"x\" has no page"]),
        (with_line("handler(\"x\", effect = len, response_target = \"1s\", client_timeout = \"1s\")"), 6,
            &["effect is a", "value that JSON can represent"]),
        (with_line("fleet(instances = 2)"), 6, &["fleet: declared twice"]),
        (with_line("serve(listen = \"nowhere\")"), 6, &["serve: declared twice"]),
        (with_line("customer(\"c\", per_second = -1)"), 6, &["per_second = -1", "number from 0"]),
        (with_line("defences(off = [\"limits\"])"), 6, &["\"limits\"", "nearest is \"limit\""]),
        (with_line(PEERS), 1, &["instances = 3 together with peers(...) on line 6", "expected one of the two"]),
        (with_line("peers(name = \"a\", listen = \"127.0.0.1:0\", keepers = {\"a\": \"127.0.0.1:1\"})"), 6,
            &["data is missing", "keeper"]),
        (with_line("peers(name = \"x\", listen = \"127.0.0.1:0\", keepers = {\"a\": \"127.0.0.1:1\", \"b\": \"127.0.0.1:2\"})"), 6,
            &["keepers = ", "1, 3 or 5 names"]),
        (with_line(&PEERS.replace("127.0.0.1:7101", "nowhere")), 6, &["keepers = ", "\"nowhere\"", "address"]),
        (with_line(&PEERS.replace("name = \"x\"", "name = \"x\", lease = \"1ms\"")), 6, &["lease = ", "\"500ms\" to \"10m\""]),
        (with_line(&PEERS.replace("name = \"x\"", "name = \"x\", probe = \"1h\"")), 6, &["probe = ", "\"50ms\" to \"1m\""]),
        (with_line(&PEERS.replace("name = \"x\"", "name = \"x\", leese = 1")), 6, &["\"leese\"", "nearest is \"lease\""]),
        (with_line(&format!("{PEERS}; {PEERS}")), 6, &["peers: declared twice"]),
        (HEAD.replace("instances = 3", "") + PEERS + "\ncustomer(\"c\", per_second = 5)\n", 7,
            &["customer \"c\" together with peers(...)"]),
        (with_line("load(\"../other.star\", \"x\")"), 6, &["../other.star", "own directory"]),
        (with_line("load(\"/etc/hostname\", \"x\")"), 6, &["own directory"]),
        (with_line("load(\"missing.star\", \"x\")"), 6, &["missing.star", "No such file"]),
        (with_line("load(\"shop.star\", \"browse\")"), 6, &["shop.star", "circular load"]),
        (with_line("x = [i for i in range(2000000)]"), 0, &["limit"]),
        (with_line("def f(n):\n    return f(n + 1)\nf(0)"), 7, &["call stack overflow"]),
        (with_line("x = 1 // 0"), 6, &["zero"]),
        (with_line("page(browse, parts = [part(\"prices\")])"), 7, &["page of handler \"browse\"", "twice", "line 6"]),
        (with_page("part(\"catalog\")"), 6, &["\"catalog\" is not declared", "nearest is \"catalogue\""]),
        (with_page("part(\"catalogue\", fallbacks = [other(\"price\")])"), 6,
            &["\"price\" is not declared", "nearest is \"prices\""]),
        (with_page("part(\"catalogue\", fallbacks = [other(\"catalogue\")])"), 6, &["already called"]),
        (with_page("part(\"catalogue\", fallbacks = [leave_out(), kept(\"1s\")])"), 6,
            &["the fallbacks after this one are never tried", "expected it last"]),
        (with_page("part(\"catalogue\", required = True, fallbacks = [kept(\"1s\")])"), 6,
            &["required and has fallbacks"]),
        (with_page("part(\"catalogue\", required = 1)"), 6, &["required = 1", "True or False"]),
        (with_page("part(\"catalogue\", fallbacks = [kept(5)])"), 6, &["most = 5", "expected a time"]),
        (with_page("part(\"catalogue\", fallbacks = [\"kept\"])"), 6, &["fallbacks = \"kept\"", "expected kept(age)"]),
        (with_page("part(\"catalogue\", fallbacks = [part(\"prices\")])"), 6, &["part()", "expected kept(age)"]),
        (with_page("part(\"catalogue\", fallbacks = [fixed()])"), 6, &["value is missing"]),
        (with_page("part(\"catalogue\"), part(\"catalogue\")"), 6, &["in the page twice"]),
        (with_page("\"catalogue\""), 6, &["parts = \"catalogue\"", "expected part(name"]),
        (with_page(""), 6, &["page: 0 parts", "expected 1 to"]),
        (format!("{HEAD}page(\"brows\", parts = [part(\"catalogue\")])\n"), 6,
            &["\"brows\" is not known", "nearest is \"browse\""]),
        (HEAD.replace("1s", "350ms") + "page(browse, parts = [part(\"catalogue\", fallbacks = [other(\"prices\")])])", 6,
            &["take 600 ms", "response target of \"browse\", 350 ms"]),
        (HEAD.replace("fleet(instances = 3)", "") + "page(browse, parts = [part(\"catalogue\")])", 4,
            &["fleet(instances = N)"]),
        (HEAD.replace("serve(listen = \"127.0.0.1:0\")", "") + "page(browse, parts = [part(\"catalogue\")])", 0,
            &["serve(listen = ...) is missing"]),
        (String::new(), 0, &["serve(listen = ...) is missing"]),
    ]
}

/// Guards against an error that does not tell the operator the file, the line, the value and what was expected.
#[test]
fn reports_the_location_and_the_expectation_when_a_script_is_invalid() {
    let cases = invalid_scripts();
    assert!(cases.len() >= 30);
    let mut failures = Vec::new();
    for (text, line, fragments) in cases {
        let Err(error) = validated(&text) else {
            failures.push(format!("accepted: {text}"));
            continue;
        };
        let printed = error.to_string();
        let is_one_line = printed.lines().count() == 1;
        let has_text = fragments.iter().all(|fragment| printed.contains(fragment));
        let has_location = error.location.line == line && printed.contains("shop.star");
        if !is_one_line || !has_text || !has_location {
            failures.push(format!("line {line}, {fragments:?}\n    {printed}"));
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

/// Guards against a script that exhausts the CPU or the memory: its steps, call depth and heap are bounded.
#[test]
fn stops_the_evaluation_when_a_script_takes_too_many_steps_or_too_much_memory() {
    for text in [
        "x = []\nfor i in range(100000000):\n    x.append(i)\n",
        "x = [\"a\" * 10000 for i in range(100000)]\n",
        "def f(n):\n    return [f(n - 1), f(n - 1)] if n else []\nf(40)\n",
    ] {
        let printed = validated(text).unwrap_err().to_string();
        let names_a_limit = printed.contains("limit") || printed.contains("at most");
        assert!(names_a_limit, "{printed}");
    }
}

#[test]
fn stops_the_evaluation_when_files_load_each_other_too_deep() {
    let directory = ScriptDirectory::new();
    for n in 0..12 {
        directory.write(
            &format!("f{n}.star"),
            &format!("load(\"f{}.star\", \"x\")\n", n + 1),
        );
    }
    directory.write("f12.star", "x = 1\n");
    let printed = evaluate(&directory.0.join("f0.star"))
        .unwrap_err()
        .to_string();
    assert!(printed.contains("8 deep"), "{printed}");
}

#[test]
fn rejects_the_file_when_it_is_too_large() {
    let directory = ScriptDirectory::new();
    let path = directory.write("long.star", &"x = 1\n".repeat(60_000));
    let printed = evaluate(&path).unwrap_err().to_string();
    assert!(printed.contains("expected at most"), "{printed}");
}
