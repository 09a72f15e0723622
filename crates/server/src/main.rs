//! The command line: `serve`, `check`, `peers`, `version`.
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
cottondyke - a server that decides which requests it admits, runs and rejects

usage: cottondyke COMMAND [--config FILE] [--operator FILE] [--log LEVEL]

commands:
  serve      serve requests until SIGTERM
  check      validate both files; print what is wrong with them, or a summary of the configuration
  peers ADDR print what the instance with this peers address knows of members and budgets
  version    print the version

options:
  --config FILE    the platform's configuration (default: the file named by GW_CONFIG)
  --operator FILE  the operator's script; without a configuration the server runs standalone
  --json           print the output of peers as JSON
  --log LEVEL      log level on standard error: error, warn, info (default), debug or trace

SIGHUP reloads both files; SIGTERM starts a graceful shutdown
exit codes: 0 success, 1 failure, 2 bad usage or configuration";

/// Exit codes other than success.
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

    /// The files to read. Without `--config`, `GW_CONFIG` names the platform's configuration.
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

/// Prints an error on one line and returns the exit code.
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
            let message = format!("unknown command {other:?}; see cottondyke --help");
            return fail(message, BAD_USAGE);
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

/// A readable summary of the configuration in force.
fn summary(config: &Config) -> String {
    let operator = config
        .operator
        .as_ref()
        .map(|operator| operator.summary(&config.handler_specs()))
        .unwrap_or_default();
    format!("{}: the configuration is valid\n{operator}", config.name)
}

fn serve(arguments: Arguments) -> ExitCode {
    // Comes before the files are read: until signals are caught, each has its default action, and a SIGHUP during the
    // reading would end the program.
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
    // Comes before any other thread runs; the log starts one.
    let reserved = descriptor_table::reserve(config.max_descriptors);
    let _log = log_output::start(log_level);
    if let Err(error) = reserved {
        tracing::warn!(%error, "cannot reserve the descriptor table; accepting connections may stall while the kernel enlarges it");
    }
    match app::serve(signals, files, config) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(error, CANNOT_SERVE),
    }
}

fn peers(arguments: Arguments) -> ExitCode {
    let addr = arguments.peer.unwrap_or_default();
    let Ok(addr) = addr.parse() else {
        let message =
            format!("peers {addr:?}: expected an IP address with a port such as 127.0.0.1:7100");
        return fail(message, BAD_USAGE);
    };
    match status::query(addr) {
        Ok(status) if arguments.json => println!("{}", serde_json::json!(status)),
        Ok(status) => print!("{}", status::render(&status)),
        Err(error) => return fail(error, CANNOT_SERVE),
    }
    ExitCode::SUCCESS
}
