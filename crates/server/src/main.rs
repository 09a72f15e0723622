//! The program: `serve`, `check`, `version`.
use cottondyke::{config::Config, serve};
use lexopt::prelude::*;
use std::process::ExitCode;
use tracing::level_filters::LevelFilter;

const HELP: &str = "\
cottondyke - a server that decides what it takes, runs and turns away

usage: cottondyke COMMAND [--config FILE] [--log LEVEL]

commands:
  serve      serve until SIGTERM
  check      read the configuration, say what is wrong with it
  version    print the version

options:
  --config FILE   the configuration (default: the file that GW_CONFIG names)
  --log LEVEL     error, warn, info (default), debug or trace, on standard error

SIGHUP reads the configuration anew; SIGTERM is the notice to leave
exit codes: 0 well, 1 could not serve, 2 bad usage or configuration";

struct Usage {
    command: String,
    config: Option<String>,
    log: LevelFilter,
}

fn usage() -> Result<Usage, lexopt::Error> {
    let mut usage = Usage { command: String::new(), config: None, log: LevelFilter::INFO };
    let mut words = lexopt::Parser::from_env();
    while let Some(word) = words.next()? {
        match word {
            Long("config") => usage.config = Some(words.value()?.string()?),
            Long("log") => usage.log = words.value()?.parse()?,
            Long("help") | Short('h') => usage.command = "help".to_string(),
            Long("version") | Short('V') => usage.command = "version".to_string(),
            Value(command) if usage.command.is_empty() => usage.command = command.string()?,
            other => return Err(other.unexpected()),
        }
    }
    Ok(usage)
}

fn config(path: Option<String>) -> Result<(String, Config), String> {
    let path = path.or_else(|| std::env::var("GW_CONFIG").ok());
    let path = path.ok_or("no configuration: give --config FILE or set GW_CONFIG")?;
    Config::read(&path).map(|config| (path, config))
}

fn fail(why: &str, code: u8) -> ExitCode {
    eprintln!("cottondyke: {}", why.replace(['\n', '\r'], " "));
    ExitCode::from(code)
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
            let (path, config) = match config(usage.config) {
                Ok(read) => read,
                Err(wrong) => return fail(&wrong, 2),
            };
            if usage.command == "check" {
                println!("{}: the configuration is good", config.name);
                return ExitCode::SUCCESS;
            }
            let log = tracing_subscriber::fmt().with_max_level(usage.log).with_ansi(false);
            log.with_writer(std::io::stderr).init();
            if let Err(wrong) = serve::serve(path, config) {
                return fail(&wrong, 1);
            }
        }
        other => return fail(&format!("unknown command {other:?}; see cottondyke --help"), 2),
    }
    ExitCode::SUCCESS
}
