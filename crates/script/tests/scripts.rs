//! Scripts, good and bad: each bad one with the place and the words of its error.
#![expect(clippy::too_many_lines, reason = "tables of cases and long scenarios")]

use cottondyke_operator_config::{ConfigError, OperatorConfig};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};

static NEXT: AtomicU64 = AtomicU64::new(0);

struct Folder(PathBuf);

impl Folder {
    fn new() -> Self {
        let name = format!(
            "cottondyke-script-{}-{}",
            std::process::id(),
            NEXT.fetch_add(1, Ordering::Relaxed)
        );
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).unwrap();
        Folder(path)
    }

    fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.0.join(name);
        std::fs::write(&path, text).unwrap();
        path
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn evaluate(path: &Path) -> Result<OperatorConfig, ConfigError> {
    OperatorConfig::from_declarations(&path.display().to_string(), cottondyke_script::run(path)?)
}

fn checked(text: &str) -> Result<OperatorConfig, ConfigError> {
    let folder = Folder::new();
    let path = folder.write("shop.star", text);
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

/// A script whose sixth line is `line`, after which the page is whole.
fn with(line: &str) -> String {
    format!("{HEAD}{line}\npage(browse, parts = [part(\"catalogue\")])\n")
}

fn with_page(parts: &str) -> String {
    format!("{HEAD}page(browse, parts = [{parts}])\n")
}

#[test]
fn a_good_script_is_what_it_says() {
    let folder = Folder::new();
    folder.write(
        "common.star",
        "ports = {\"prices\": 8102}\ndef seconds(n):\n    return \"%ds\" % n\n",
    );
    let text = format!(
        "load(\"common.star\", \"ports\", \"seconds\")\n{HEAD}{}",
        "page(browse, parts = [part(name, dependency = name, fallbacks = [kept(seconds(30)), fixed({\"a\": 1})]) \
         for name in [\"catalogue\", \"prices\"]])\n\
         dependency(\"stock\", addr = \"127.0.0.1:%d\" % ports[\"prices\"], budget = \"50ms\", ceiling = 3)\n"
    );
    let operator = evaluate(&folder.write("shop.star", &text)).unwrap();
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

/// Guards operators: each mistake is told with file, line, value and what was expected.
#[test]
fn bad_scripts_are_told_where_and_why() {
    let cases: Vec<(String, usize, &[&str])> = vec![
        (with("dependency("), 8, &["Parse error"]),
        (with("dependncy(\"stock\")"), 6, &["dependncy", "not found"]),
        (with("dependency(\"stock\")"), 6, &["addr is missing", "IP address with a port"]),
        (with("dependency(\"stock\", adr = \"127.0.0.1:1\", addr = \"127.0.0.1:1\", budget = \"1ms\", ceiling = 3)"), 6,
            &["\"adr\" is no argument", "nearest is \"addr\""]),
        (with("dependency(\"stock\", addr = \"stock.example:80\", budget = \"1ms\", ceiling = 3)"), 6,
            &["stock.example:80", "expected an IP address"]),
        (with("dependency(\"stock\", addr = \"127.0.0.1:1\", budget = 300, ceiling = 3)"), 6,
            &["budget = 300", "expected a time", "\"300ms\""]),
        (with("dependency(\"stock\", addr = \"127.0.0.1:1\", budget = \"-1s\", ceiling = 3)"), 6,
            &["\"-1s\"", "expected a time over 0"]),
        (with("dependency(\"stock\", addr = \"127.0.0.1:1\", budget = \"0ms\", ceiling = 3)"), 6,
            &["\"0ms\"", "expected a time over 0"]),
        (with("dependency(\"stock\", addr = \"127.0.0.1:1\", budget = \"1ms\", ceiling = 2)"), 6,
            &["ceiling = 2", "3 instances", "at least 3"]),
        (with("dependency(\"stock\", addr = \"127.0.0.1:1\", budget = \"1ms\", ceiling = 0)"), 6,
            &["ceiling = 0", "whole number from 1"]),
        (with("dependency(\"stock\", addr = \"127.0.0.1:1\", budget = \"1ms\", ceiling = 6, rate = 2)"), 6,
            &["rate = 2", "3 instances", "at least 3"]),
        (with("dependency(\"stock\", addr = \"127.0.0.1:1\", budget = \"1ms\", ceiling = 6, rate = 0)"), 6,
            &["rate = 0", "None or a whole number from 1"]),
        (with("dependency(\"stock\", addr = \"127.0.0.1:1\", budget = \"1ms\", ceiling = 6, floor = 3)"), 6,
            &["floor = 3", "share, 2"]),
        (with("dependency(\"stock\", addr = \"127.0.0.1:1\", budget = \"1ms\", ceiling = 6, hedge = 2)"), 6,
            &["hedge = 2", "0.5 to 0.999"]),
        (with("dependency(\"stock\", addr = \"127.0.0.1:1\", budget = \"1ms\", ceiling = 6, retries = 3)"), 6,
            &["retries = 3", "from 0 to 1"]),
        (with("dependency(\"stock\", addr = \"127.0.0.1:1\", budget = \"1ms\", ceiling = 6, path = \"a b\")"), 6,
            &["path = \"a b\"", "slash"]),
        (with("dependency(\"stock\", addr = \"127.0.0.1:1\", budget = \"1ms\", ceiling = 6, replies = \"jsn\")"), 6,
            &["\"jsn\"", "one of json, text", "nearest is \"json\""]),
        (with("dependency(\"st ock\", addr = \"127.0.0.1:1\", budget = \"1ms\", ceiling = 6)"), 6,
            &["st ock", "letters"]),
        (with("dependency(\"prices\", addr = \"127.0.0.1:1\", budget = \"1ms\", ceiling = 6)"), 6,
            &["\"prices\" is declared twice", "line 5"]),
        (with("dependency(\"a\", \"b\", addr = \"127.0.0.1:1\", budget = \"1ms\", ceiling = 6)"), 6,
            &["2 unnamed arguments", "only name"]),
        (with("dependency(\"a\", name = \"b\", addr = \"127.0.0.1:1\", budget = \"1ms\", ceiling = 6)"), 6,
            &["name is given twice"]),
        (with("handler(\"x\", effect = \"replayble\", response_target = \"1s\", client_timeout = \"1s\")"), 6,
            &["\"replayble\"", "nearest is \"replayable\""]),
        (with("handler(\"x\", effect = \"uniqued\", response_target = \"2s\", client_timeout = \"1s\")"), 6,
            &["client_timeout is 1 s", "response target of 2 s"]),
        (with("handler(\"x\", effect = \"uniqued\", response_target = \"1s\", client_timeout = \"1s\")"), 6,
            &["handler \"x\" has no page"]),
        (with("handler(\"x\", effect = len, response_target = \"1s\", client_timeout = \"1s\")"), 6,
            &["effect is a", "plain value"]),
        (with("fleet(instances = 2)"), 6, &["fleet: declared twice"]),
        (with("serve(listen = \"nowhere\")"), 6, &["serve: declared twice"]),
        (with("customer(\"c\", per_second = -1)"), 6, &["per_second = -1", "number from 0"]),
        (with("defences(off = [\"limits\"])"), 6, &["\"limits\"", "nearest is \"limit\""]),
        (with(PEERS), 1, &["instances = 3 beside peers(...) in line 6", "expected one of the two"]),
        (with("peers(name = \"a\", listen = \"127.0.0.1:0\", keepers = {\"a\": \"127.0.0.1:1\"})"), 6,
            &["data is missing", "keeper"]),
        (with("peers(name = \"x\", listen = \"127.0.0.1:0\", keepers = {\"a\": \"127.0.0.1:1\", \"b\": \"127.0.0.1:2\"})"), 6,
            &["keepers = ", "1, 3 or 5 names"]),
        (with(&PEERS.replace("127.0.0.1:7101", "nowhere")), 6, &["keepers = ", "\"nowhere\"", "address"]),
        (with(&PEERS.replace("name = \"x\"", "name = \"x\", lease = \"1ms\"")), 6, &["lease = ", "\"500ms\" to \"10m\""]),
        (with(&PEERS.replace("name = \"x\"", "name = \"x\", probe = \"1h\"")), 6, &["probe = ", "\"50ms\" to \"1m\""]),
        (with(&PEERS.replace("name = \"x\"", "name = \"x\", leese = 1")), 6, &["\"leese\"", "nearest is \"lease\""]),
        (with(&format!("{PEERS}; {PEERS}")), 6, &["peers: declared twice"]),
        (HEAD.replace("instances = 3", "") + PEERS + "\ncustomer(\"c\", per_second = 5)\n", 7,
            &["customer \"c\" beside peers(...)"]),
        (with("load(\"../other.star\", \"x\")"), 6, &["../other.star", "own folder"]),
        (with("load(\"/etc/hostname\", \"x\")"), 6, &["own folder"]),
        (with("load(\"missing.star\", \"x\")"), 6, &["missing.star", "No such file"]),
        (with("load(\"shop.star\", \"browse\")"), 6, &["shop.star", "circle"]),
        (with("x = [i for i in range(2000000)]"), 0, &["limit"]),
        (with("def f(n):\n    return f(n + 1)\nf(0)"), 7, &["call stack overflow"]),
        (with("x = 1 // 0"), 6, &["zero"]),
        (with("page(browse, parts = [part(\"prices\")])"), 7, &["page of handler \"browse\"", "twice", "line 6"]),
        (with_page("part(\"catalog\")"), 6, &["\"catalog\" is not declared", "nearest is \"catalogue\""]),
        (with_page("part(\"catalogue\", fallbacks = [other(\"price\")])"), 6,
            &["\"price\" is not declared", "nearest is \"prices\""]),
        (with_page("part(\"catalogue\", fallbacks = [other(\"catalogue\")])"), 6, &["asked already"]),
        (with_page("part(\"catalogue\", fallbacks = [leave_out(), kept(\"1s\")])"), 6,
            &["nothing comes after", "expected it last"]),
        (with_page("part(\"catalogue\", required = True, fallbacks = [kept(\"1s\")])"), 6,
            &["required and has fall-backs"]),
        (with_page("part(\"catalogue\", required = 1)"), 6, &["required = 1", "True or False"]),
        (with_page("part(\"catalogue\", fallbacks = [kept(5)])"), 6, &["most = 5", "expected a time"]),
        (with_page("part(\"catalogue\", fallbacks = [\"kept\"])"), 6, &["fallbacks = \"kept\"", "expected kept(age)"]),
        (with_page("part(\"catalogue\", fallbacks = [part(\"prices\")])"), 6, &["part()", "expected kept(age)"]),
        (with_page("part(\"catalogue\", fallbacks = [fixed()])"), 6, &["value is missing"]),
        (with_page("part(\"catalogue\"), part(\"catalogue\")"), 6, &["in the page twice"]),
        (with_page("\"catalogue\""), 6, &["parts = \"catalogue\"", "expected part(name"]),
        (with_page(""), 6, &["parts holds 0", "expected 1 to"]),
        (format!("{HEAD}page(\"brows\", parts = [part(\"catalogue\")])\n"), 6,
            &["\"brows\" is not known", "nearest is \"browse\""]),
        (HEAD.replace("1s", "350ms") + "page(browse, parts = [part(\"catalogue\", fallbacks = [other(\"prices\")])])", 6,
            &["take 600 ms", "response target of \"browse\", 350 ms"]),
        (HEAD.replace("fleet(instances = 3)", "") + "page(browse, parts = [part(\"catalogue\")])", 4,
            &["fleet(instances = N)"]),
        (HEAD.replace("serve(listen = \"127.0.0.1:0\")", "") + "page(browse, parts = [part(\"catalogue\")])", 0,
            &["serve(listen = ...) is missing"]),
        (String::new(), 0, &["serve(listen = ...) is missing"]),
    ];
    assert!(cases.len() >= 30);
    let mut failed = Vec::new();
    for (text, line, words) in cases {
        match checked(&text) {
            Ok(_) => failed.push(format!("taken as good: {text}")),
            Err(wrong) => {
                let told = wrong.to_string();
                let fits = words.iter().all(|w| told.contains(w)) && told.lines().count() == 1;
                let named = wrong.location.line == line && told.contains("shop.star");
                if !fits || !named {
                    failed.push(format!("line {line}, {words:?}\n    {told}"));
                }
            }
        }
    }
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}

/// Guards the machine: what a script may do is bounded in steps, depth and memory.
#[test]
fn evaluation_is_bounded() {
    for text in [
        "x = []\nfor i in range(100000000):\n    x.append(i)\n",
        "x = [\"a\" * 10000 for i in range(100000)]\n",
        "def f(n):\n    return [f(n - 1), f(n - 1)] if n else []\nf(40)\n",
    ] {
        let told = checked(text).unwrap_err().to_string();
        assert!(told.contains("limit") || told.contains("at most"), "{told}");
    }
    let folder = Folder::new();
    for n in 0..12 {
        folder.write(
            &format!("f{n}.star"),
            &format!("load(\"f{}.star\", \"x\")\n", n + 1),
        );
    }
    folder.write("f12.star", "x = 1\n");
    let told = evaluate(&folder.0.join("f0.star")).unwrap_err().to_string();
    assert!(told.contains("8 deep"), "{told}");
    let long = folder.write("long.star", &"x = 1\n".repeat(60_000));
    assert!(evaluate(&long)
        .unwrap_err()
        .to_string()
        .contains("expected at most"));
}
