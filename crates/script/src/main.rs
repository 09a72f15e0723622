//! `cottondyke-script FILE`: evaluates an operator's file under resource limits of the system and writes its
//! configuration, or its first error, as JSON to standard output. The server runs it for each file that it reads, so
//! that neither the interpreter nor the parsing takes memory in the server, and no script can affect the server.
//!
//! The exit code is 0 if JSON was written, also for an error in the script, and 2 otherwise.
use cottondyke_operator_config::{ConfigError, OperatorConfig};
use cottondyke_script::process_limits::{limit_process, ProcessLimitError};
use std::path::Path;
use std::process::ExitCode;

const EXIT_FAILURE: u8 = 2;

/// Why no result was written.
#[derive(Debug, thiserror::Error)]
enum ProgramError {
    #[error("usage: cottondyke-script FILE")]
    Usage,
    #[error(transparent)]
    Limit(#[from] ProcessLimitError),
    #[error(transparent)]
    Output(#[from] serde_json::Error),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match run(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("cottondyke-script: {error}");
            ExitCode::from(EXIT_FAILURE)
        }
    }
}

fn run(arguments: &[String]) -> Result<(), ProgramError> {
    let path = match arguments {
        [path] if !path.starts_with('-') => path,
        _ => return Err(ProgramError::Usage),
    };
    limit_process()?;
    let result = read_config(path);
    serde_json::to_writer(std::io::stdout().lock(), &result)?;
    Ok(())
}

fn read_config(path: &str) -> Result<OperatorConfig, ConfigError> {
    let declarations = cottondyke_script::evaluate(Path::new(path))?;
    OperatorConfig::from_declarations(path, declarations)
}
