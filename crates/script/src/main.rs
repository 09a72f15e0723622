//! `cottondyke-script FILE`: evaluates a script under the system's limits, and writes what it declares, typed, as
//! JSON. The server calls it: neither the interpreter nor the typing takes memory there, and nothing that a script
//! does reaches it.
use cottondyke_operator_config::{ConfigError, OperatorConfig};
use rustix::process::{setrlimit, Resource, Rlimit};
use std::path::Path;
use std::process::ExitCode;

/// Bytes of address space, and seconds of a core.
const MAX_MEMORY: u64 = 512 << 20;
const MAX_CPU: u64 = 5;

fn run(path: &str) -> Result<(), String> {
    let limit = |resource, most| {
        setrlimit(
            resource,
            Rlimit {
                current: Some(most),
                maximum: Some(most),
            },
        )
    };
    limit(Resource::As, MAX_MEMORY).map_err(|e| format!("cannot limit memory: {e}"))?;
    limit(Resource::Cpu, MAX_CPU).map_err(|e| format!("cannot limit the time: {e}"))?;
    limit(Resource::Core, 0).map_err(|e| format!("cannot limit the core file: {e}"))?;
    let declared = cottondyke_script::run(Path::new(path));
    let result: Result<OperatorConfig, ConfigError> =
        declared.and_then(|declared| OperatorConfig::from_declarations(path, declared));
    serde_json::to_writer(std::io::stdout().lock(), &result).map_err(|e| e.to_string())
}

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let result = match words.as_slice() {
        [path] if !path.starts_with('-') => run(path),
        _ => Err("usage: cottondyke-script FILE".to_string()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(wrong) => {
            eprintln!("cottondyke-script: {wrong}");
            ExitCode::from(2)
        }
    }
}
