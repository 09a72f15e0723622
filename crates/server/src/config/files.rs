//! The program's two files, read together: the platform's configuration and the operator's script. Either may be
//! missing. The script is evaluated by another program under the system's limits, since no interpreter bounds what one
//! step may take, and since this one would carry the interpreter's memory for ever.
use crate::config::{Config, ConfigError, EvaluationError};
use cottondyke_operator_config::{ConfigError as OperatorConfigError, OperatorConfig};
use std::io::{self, Read};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

/// What an evaluation may take in all; it limits its own memory and CPU time.
const EVALUATION_TIMEOUT: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(1);
/// Bytes of what it declares.
const MAX_RESULT_BYTES: u64 = 16 << 20;
/// The program that evaluates, beside this one.
const EVALUATOR: &str = "cottondyke-script";

/// Where the files are.
#[derive(Clone, Debug, Default)]
pub struct ConfigFiles {
    /// The platform's configuration.
    pub config: Option<String>,
    /// The operator's script.
    pub operator: Option<String>,
}

impl ConfigFiles {
    /// Reads the files that are named.
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

/// What the script declares.
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
    let reading = std::thread::spawn(move || {
        let mut text = Vec::new();
        stdout
            .map_or(Ok(0), |stdout| {
                stdout.take(MAX_RESULT_BYTES).read_to_end(&mut text)
            })
            .map(|_| text)
    });
    let status = wait_in_time(&mut child)?;
    let text = reading.join().ok().and_then(Result::ok).unwrap_or_default();
    if !status.success() {
        return Err(EvaluationError::Failed {
            evaluator: EVALUATOR,
            status,
        });
    }
    serde_json::from_slice(&text).map_err(EvaluationError::InvalidResult)
}

fn start_evaluator(path: &str) -> Result<Child, EvaluationError> {
    let evaluator = evaluator().map_err(|source| EvaluationError::NotFound {
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

/// It lies beside this program, also where that was replaced while it runs.
fn evaluator() -> io::Result<PathBuf> {
    std::env::current_exe().map(|own| own.with_file_name(EVALUATOR))
}

/// Waits for the end of a process, which is killed past the limit.
fn wait_in_time(child: &mut Child) -> Result<ExitStatus, EvaluationError> {
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
