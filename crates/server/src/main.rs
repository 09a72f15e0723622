//! The program: `serve`, `check`, `version`.
#![expect(
    clippy::too_many_lines,
    reason = "not yet read through; see docs/ROADMAP.md"
)]

use cottondyke::cluster::status;
use cottondyke::config::files::ConfigFiles;
use cottondyke::{app, config::Config, signal};
use lexopt::prelude::*;
use std::process::ExitCode;
use tracing::level_filters::LevelFilter;

const HELP: &str = "\
cottondyke - a server that decides what it takes, runs and turns away

usage: cottondyke COMMAND [--config FILE] [--operator FILE] [--log LEVEL]

commands:
  serve      serve until SIGTERM
  check      read both files, say what is wrong with them, or what is in force
  peers ADDR ask the instance whose peers port this is what it knows of members and budgets
  version    print the version

options:
  --config FILE    the platform's configuration (default: the file that GW_CONFIG names)
  --operator FILE  the operator's script; with it alone the program serves on its own
  --json           what peers prints, as JSON
  --log LEVEL      error, warn, info (default), debug or trace, on standard error

SIGHUP reads both files anew; SIGTERM is the notice to leave
exit codes: 0 well, 1 could not serve, 2 bad usage or configuration";

struct Usage {
    command: String,
    addr: Option<String>,
    json: bool,
    sources: ConfigFiles,
    log: LevelFilter,
}

fn usage() -> Result<Usage, lexopt::Error> {
    let mut usage = Usage {
        command: String::new(),
        addr: None,
        json: false,
        sources: ConfigFiles::default(),
        log: LevelFilter::INFO,
    };
    let mut words = lexopt::Parser::from_env();
    while let Some(word) = words.next()? {
        match word {
            Long("config") => usage.sources.config = Some(words.value()?.string()?),
            Long("operator") => usage.sources.operator = Some(words.value()?.string()?),
            Long("log") => usage.log = words.value()?.parse()?,
            Long("help") | Short('h') => usage.command = "help".to_string(),
            Long("version") | Short('V') => usage.command = "version".to_string(),
            Long("json") => usage.json = true,
            Value(command) if usage.command.is_empty() => usage.command = command.string()?,
            Value(addr) if usage.command == "peers" && usage.addr.is_none() => {
                usage.addr = Some(addr.string()?)
            }
            other => return Err(other.unexpected()),
        }
    }
    Ok(usage)
}

fn fail(why: &str, code: u8) -> ExitCode {
    eprintln!("cottondyke: {}", why.replace(['\n', '\r'], " "));
    ExitCode::from(code)
}

/// What is in force, for people.
fn checked(config: &Config) -> String {
    let summary = config
        .operator
        .as_ref()
        .map(|o| o.summary(&config.known()))
        .unwrap_or_default();
    format!("{}: the configuration is good\n{summary}", config.name)
}

fn main() -> ExitCode {
    let usage = match usage() {
        Ok(usage) => usage,
        Err(wrong) => return fail(&format!("{wrong}; see cottondyke --help"), 2),
    };
    match usage.command.as_str() {
        "help" => println!("{HELP}"),
        "version" => println!("cottondyke {}", env!("CARGO_PKG_VERSION")),
        "check" | "serve" => {
            // First of all: until this stands, a signal has its default action, and a SIGHUP that comes while the
            // files are read would end the program.
            let signals = match (usage.command == "serve").then(signal::signals).transpose() {
                Ok(signals) => signals,
                Err(wrong) => return fail(&format!("cannot watch for signals: {wrong}"), 1),
            };
            let mut sources = usage.sources;
            sources.config = sources
                .config
                .or_else(|| std::env::var("GW_CONFIG").ok())
                .filter(|p| !p.is_empty());
            let config = match sources.read() {
                Ok(read) => read,
                Err(wrong) => return fail(&wrong, 2),
            };
            let Some(signals) = signals else {
                print!("{}", checked(&config));
                return ExitCode::SUCCESS;
            };
            let log = tracing_subscriber::fmt()
                .with_max_level(usage.log)
                .with_ansi(false);
            log.with_writer(std::io::stderr).init();
            if let Err(wrong) = app::serve(signals, sources, config) {
                return fail(&wrong, 1);
            }
        }
        "peers" => {
            let addr = usage.addr.unwrap_or_default();
            let Ok(addr) = addr.parse() else {
                let what = format!(
                    "peers {addr:?}: expected an IP address with a port such as 127.0.0.1:7100"
                );
                return fail(&what, 2);
            };
            match status::query(addr) {
                Ok(view) if usage.json => println!("{}", serde_json::json!(view)),
                Ok(view) => print!("{}", status::render(&view)),
                Err(wrong) => return fail(&wrong, 1),
            }
        }
        other => {
            return fail(
                &format!("unknown command {other:?}; see cottondyke --help"),
                2,
            )
        }
    }
    ExitCode::SUCCESS
}
