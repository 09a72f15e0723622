//! Reads the program's two files: the platform's configuration and the operator's file, of which either may be omitted.
//! The operator's file is a Starlark script. A separate program evaluates it under the system's resource limits, since
//! the interpreter does not limit the memory and the time that a single step takes, and since this process would
//! otherwise keep the memory that the interpreter has used as long as it runs.
use crate::config::{Config, ConfigError, EvaluationError};
use cottondyke_operator_config::{ConfigError as OperatorConfigError, OperatorConfig};
use std::io::{self, Read};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

/// The longest that an evaluation may take. The evaluator limits its own memory and CPU time.
const EVALUATION_TIMEOUT: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(1);
/// The most bytes that are read of the evaluator's result.
const MAX_RESULT_BYTES: u64 = 16 << 20;
/// The program that evaluates the operator's file, installed in the same directory as this one.
const EVALUATOR: &str = "cottondyke-script";

/// The paths of the files.
#[derive(Clone, Debug, Default)]
pub struct ConfigFiles {
    /// The platform's configuration.
    pub config: Option<String>,
    /// The operator's file.
    pub operator: Option<String>,
}

impl ConfigFiles {
    /// Reads the files that are set.
    pub fn read(&self) -> Result<Config, ConfigError> {
        let operator = self.operator.as_deref().map(evaluate).transpose()?;
        match (&self.config, operator) {
            (Some(path), None) => Config::read(path),
            (Some(path), Some(operator)) => Config::read(path)?.with_operator(operator),
            (None, Some(operator)) => Config::standalone(operator),
            (None, None) => Err(ConfigError::NoFiles),
        }
    }
}

/// Evaluates the operator's file to the configuration that it declares.
fn evaluate(path: &str) -> Result<OperatorConfig, ConfigError> {
    let result = run_evaluator(path).map_err(|source| ConfigError::Evaluation {
        path: path.to_string(),
        source,
    })?;
    result.map_err(ConfigError::Operator)
}

fn run_evaluator(
    path: &str,
) -> Result<Result<OperatorConfig, OperatorConfigError>, EvaluationError> {
    let mut child = start_evaluator(path)?;
    let stdout = child.stdout.take();
    let reader = std::thread::spawn(move || {
        let mut text = Vec::new();
        stdout
            .map_or(Ok(0), |stdout| {
                stdout.take(MAX_RESULT_BYTES).read_to_end(&mut text)
            })
            .map(|_| text)
    });
    let status = wait_with_timeout(&mut child)?;
    let text = reader.join().ok().and_then(Result::ok).unwrap_or_default();
    if !status.success() {
        return Err(EvaluationError::Failed {
            evaluator: EVALUATOR,
            status,
        });
    }
    serde_json::from_slice(&text).map_err(EvaluationError::InvalidResult)
}

fn start_evaluator(path: &str) -> Result<Child, EvaluationError> {
    let evaluator = evaluator_path().map_err(|source| EvaluationError::NotFound {
        evaluator: EVALUATOR,
        source,
    })?;
    Command::new(&evaluator)
        .arg(path)
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .map_err(|source| EvaluationError::NotStarted {
            path: evaluator.display().to_string(),
            source,
        })
}

/// The path of the evaluator in the directory of this program, also if this program's file was replaced while it runs.
fn evaluator_path() -> io::Result<PathBuf> {
    std::env::current_exe().map(|program| program.with_file_name(EVALUATOR))
}

/// Waits until a process exits. Kills it after `EVALUATION_TIMEOUT`.
fn wait_with_timeout(child: &mut Child) -> Result<ExitStatus, EvaluationError> {
    let start = Instant::now();
    let error = loop {
        match child.try_wait() {
            Ok(Some(status)) => return Ok(status),
            Ok(None) if start.elapsed() < EVALUATION_TIMEOUT => std::thread::sleep(POLL_INTERVAL),
            Ok(None) => {
                break EvaluationError::Timeout {
                    seconds: EVALUATION_TIMEOUT.as_secs(),
                }
            }
            Err(error) => break EvaluationError::Wait(error),
        }
    };
    let _ = child.kill();
    let _ = child.wait();
    Err(error)
}
