//! What the operator's file may hold, keyword by keyword, against the exact words that answer it. A row of
//! `golden/operator.txt` is `$ ` with an input and `=> ` with its answer: an error's line, or what is in force. Inputs:
//! `DECLARATION KEYWORD = VALUE`, one change to the script below (nothing after `=` takes the keyword out), or
//! `script TEXT` for the whole file, in which `\n` ends a line.
use cottondyke_operator_config::OperatorConfig;
use std::path::Path;

const ROWS: &str = include_str!("golden/operator.txt");

/// The script that most rows change by one keyword: one declaration a line, in this order.
const DECLARATIONS: [(&str, &str); 9] = [
    ("fleet", "instances = 3"),
    (
        "peers",
        r#"name = "x", listen = "127.0.0.1:0", keepers = {"a": "127.0.0.1:7101"}"#,
    ),
    ("serve", r#"listen = "127.0.0.1:0""#),
    (
        "handler",
        r#"name = "browse", effect = "replayable", response_target = "1s", client_timeout = "4s""#,
    ),
    ("customer", r#"name = "club", per_second = 5"#),
    (
        "dependency",
        r#"name = "stock", addr = "127.0.0.1:8101", budget = "300ms", ceiling = 24"#,
    ),
    ("part", r#"name = "stock""#),
    ("page", r#"handler = "browse", parts = [stock]"#),
    ("defences", "off = []"),
];
const PRICES: &str =
    r#"dependency("prices", addr = "127.0.0.1:8102", budget = "300ms", ceiling = 24)"#;

/// The arguments with one of them in another shape; `value` may go on to further arguments.
fn changed(arguments: &str, keyword: &str, value: &str) -> String {
    let other = |argument: &&str| !argument.starts_with(&format!("{keyword} = "));
    let mut all: Vec<String> = arguments
        .split(", ")
        .filter(other)
        .map(String::from)
        .collect();
    if !value.is_empty() {
        all.push(format!("{keyword} = {value}"));
    }
    all.join(", ")
}

/// The script that a row stands for.
fn script(input: &str) -> String {
    let (function, change) = input.split_once(' ').unwrap_or((input, ""));
    if function == "script" {
        return change.replace("\\n", "\n");
    }
    let (keyword, value) = change
        .split_once(" =")
        .expect("a row changes one keyword of a declaration");
    let mut text = String::new();
    let mut met = false;
    for (name, arguments) in DECLARATIONS {
        let unmixed = match name {
            "fleet" | "customer" => function != "peers",
            "peers" | "defences" => function == name,
            _ => true,
        };
        met |= name == function;
        let arguments = match name == function {
            true => changed(arguments, keyword, value.trim()),
            false => arguments.to_string(),
        };
        match name {
            "part" => text += &format!("{PRICES}\nstock = part({arguments})\n"),
            _ if unmixed => text += &format!("{name}({arguments})\n"),
            _ => {}
        }
    }
    assert!(met, "{input}: no such declaration");
    text
}

/// An error's line as the program prints it, or what is in force, without the folder.
fn answer(folder: &Path, text: &str) -> String {
    let path = folder.join("shop.star");
    std::fs::write(&path, text).unwrap();
    let file = path.display().to_string();
    let read = cottondyke_script::evaluate(&path)
        .and_then(|declared| OperatorConfig::from_declarations(&file, declared));
    let checked = read.and_then(|operator| operator.validate_standalone().map(|()| operator));
    let told = match checked {
        Ok(operator) => format!("good\n{}", operator.summary(&operator.declared_handlers())),
        Err(wrong) => wrong.to_string(),
    };
    told.trim_end_matches('\n')
        .replace(&format!("{}/", folder.display()), "")
}

#[test]
fn prints_the_golden_text_when_a_keyword_is_valid_or_invalid() {
    let name = format!("cottondyke-golden-{}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&folder).unwrap();
    let folder = folder.canonicalize().unwrap();
    std::fs::write(folder.join("other.star"), "x = 1\n").unwrap();
    let (mut count, mut failed) = (0, Vec::new());
    for row in ROWS.strip_prefix("$ ").unwrap().split("\n$ ") {
        let (input, expected) = row.split_once("\n=> ").expect("a row has an answer");
        let told = answer(&folder, &script(input));
        count += 1;
        if told != expected.trim_end_matches('\n') {
            failed.push(format!("$ {input}\n=> {told}"));
        }
    }
    std::fs::remove_dir_all(&folder).unwrap();
    assert!(
        failed.is_empty(),
        "{} of {count} rows:\n{}",
        failed.len(),
        failed.join("\n")
    );
    assert_eq!(count, 182);
}
