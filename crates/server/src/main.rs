//! The program: `serve`, `check`, `peers`, `version`.
use cottondyke::app;
use cottondyke::cluster::status;
use cottondyke::config::files::ConfigFiles;
use cottondyke::config::Config;
use cottondyke::descriptor_table;
use cottondyke::log_output;
use cottondyke::signal;
use lexopt::prelude::*;
use std::fmt::Display;
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

/// Exit codes beside success.
const CANNOT_SERVE: u8 = 1;
const BAD_USAGE: u8 = 2;

struct Arguments {
    command: String,
    peer: Option<String>,
    json: bool,
    files: ConfigFiles,
    log_level: LevelFilter,
}

impl Arguments {
    fn parse() -> Result<Self, lexopt::Error> {
        let mut arguments = Arguments {
            command: String::new(),
            peer: None,
            json: false,
            files: ConfigFiles::default(),
            log_level: LevelFilter::INFO,
        };
        let mut parser = lexopt::Parser::from_env();
        while let Some(argument) = parser.next()? {
            match argument {
                Long("config") => arguments.files.config = Some(parser.value()?.string()?),
                Long("operator") => arguments.files.operator = Some(parser.value()?.string()?),
                Long("log") => arguments.log_level = parser.value()?.parse()?,
                Long("help") | Short('h') => arguments.command = "help".to_string(),
                Long("version") | Short('V') => arguments.command = "version".to_string(),
                Long("json") => arguments.json = true,
                Value(command) if arguments.command.is_empty() => {
                    arguments.command = command.string()?
                }
                Value(peer) if arguments.command == "peers" && arguments.peer.is_none() => {
                    arguments.peer = Some(peer.string()?)
                }
                other => return Err(other.unexpected()),
            }
        }
        Ok(arguments)
    }

    /// The files, where the environment may name the platform's.
    fn files(self) -> ConfigFiles {
        let config = self
            .files
            .config
            .or_else(|| std::env::var("GW_CONFIG").ok());
        ConfigFiles {
            config: config.filter(|path| !path.is_empty()),
            operator: self.files.operator,
        }
    }
}

/// Prints an error on one line.
fn fail(error: impl Display, code: u8) -> ExitCode {
    let line = error.to_string().replace(['\n', '\r'], " ");
    eprintln!("cottondyke: {line}");
    ExitCode::from(code)
}

fn main() -> ExitCode {
    let arguments = match Arguments::parse() {
        Ok(arguments) => arguments,
        Err(error) => return fail(format!("{error}; see cottondyke --help"), BAD_USAGE),
    };
    match arguments.command.as_str() {
        "help" => println!("{HELP}"),
        "version" => println!("cottondyke {}", env!("CARGO_PKG_VERSION")),
        "check" => return check(arguments),
        "serve" => return serve(arguments),
        "peers" => return peers(arguments),
        other => {
            let what = format!("unknown command {other:?}; see cottondyke --help");
            return fail(what, BAD_USAGE);
        }
    }
    ExitCode::SUCCESS
}

fn check(arguments: Arguments) -> ExitCode {
    match arguments.files().read() {
        Ok(config) => {
            print!("{}", summary(&config));
            ExitCode::SUCCESS
        }
        Err(error) => fail(error, BAD_USAGE),
    }
}

/// What is in force, for people.
fn summary(config: &Config) -> String {
    let operator = config
        .operator
        .as_ref()
        .map(|operator| operator.summary(&config.handler_specs()))
        .unwrap_or_default();
    format!("{}: the configuration is good\n{operator}", config.name)
}

fn serve(arguments: Arguments) -> ExitCode {
    // Before any other thread runs, which the signals below start.
    let reserved = descriptor_table::reserve();
    // First of all: until signals are caught, each has its default action, and a SIGHUP that comes while the files are
    // read would end the program.
    let signals = match signal::catch() {
        Ok(signals) => signals,
        Err(error) => return fail(format!("cannot watch for signals: {error}"), CANNOT_SERVE),
    };
    let log_level = arguments.log_level;
    let files = arguments.files();
    let config = match files.read() {
        Ok(config) => config,
        Err(error) => return fail(error, BAD_USAGE),
    };
    let _log = log_output::start(log_level);
    if let Err(error) = reserved {
        tracing::warn!(%error, "cannot reserve room for descriptors; accepting may stall while it is made");
    }
    match app::serve(signals, files, config) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(error, CANNOT_SERVE),
    }
}

fn peers(arguments: Arguments) -> ExitCode {
    let addr = arguments.peer.unwrap_or_default();
    let Ok(addr) = addr.parse() else {
        let what =
            format!("peers {addr:?}: expected an IP address with a port such as 127.0.0.1:7100");
        return fail(what, BAD_USAGE);
    };
    match status::query(addr) {
        Ok(status) if arguments.json => println!("{}", serde_json::json!(status)),
        Ok(status) => print!("{}", status::render(&status)),
        Err(error) => return fail(error, CANNOT_SERVE),
    }
    ExitCode::SUCCESS
}
