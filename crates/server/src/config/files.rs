//! The program's two files, read together: the platform's configuration and the operator's script. Either may be
//! missing. The script is evaluated by another program under the system's limits, since no interpreter bounds what
//! one step may take, and since this one would carry the interpreter's memory for ever.
use crate::config::Config;
use cottondyke_operator_config::{ConfigError as OperatorConfigError, OperatorConfig};
use std::io::Read;
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

/// What an evaluation may take in all; it limits its own memory and time on a core.
const PATIENCE: Duration = Duration::from_secs(10);
/// Bytes of what it declares.
const MOST_RESULT: u64 = 16 << 20;
/// The program that evaluates, beside this one.
const EVALUATOR: &str = "cottondyke-script";

/// Where the files are.
#[derive(Clone, Debug, Default)]
pub struct ConfigFiles {
    pub config: Option<String>,
    pub operator: Option<String>,
}

impl ConfigFiles {
    pub fn read(&self) -> Result<Config, String> {
        let operator = self.operator.as_deref().map(evaluated).transpose()?;
        match (&self.config, operator) {
            (Some(path), None) => Config::read(path),
            (Some(path), Some(operator)) => Config::read(path)?.with(operator),
            (None, Some(operator)) => Config::alone(operator),
            (None, None) => Err(
                "no configuration: give --config FILE, --operator FILE or both, or set GW_CONFIG"
                    .into(),
            ),
        }
    }
}

/// It lies beside this program, also where that was replaced while it runs.
fn evaluator() -> std::io::Result<PathBuf> {
    std::env::current_exe().map(|own| own.with_file_name(EVALUATOR))
}

fn evaluated(path: &str) -> Result<OperatorConfig, String> {
    let broke = |what: String| format!("{path}: cannot be evaluated: {what}");
    let evaluator = evaluator().map_err(|e| broke(format!("{EVALUATOR} cannot be found: {e}")))?;
    let mut child = Command::new(&evaluator)
        .arg(path)
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .map_err(|e| broke(format!("{}: {e}", evaluator.display())))?;
    let stdout = child.stdout.take();
    let reading = std::thread::spawn(move || {
        let mut text = Vec::new();
        stdout
            .map_or(Ok(0), |out| out.take(MOST_RESULT).read_to_end(&mut text))
            .map(|_| text)
    });
    let start = Instant::now();
    let status = loop {
        match child.try_wait() {
            Ok(Some(status)) => break status,
            Ok(None) if start.elapsed() < PATIENCE => std::thread::sleep(Duration::from_millis(1)),
            ended => {
                let _ = child.kill();
                let _ = child.wait();
                return Err(broke(match ended {
                    Err(error) => error.to_string(),
                    _ => format!("it takes longer than {} s", PATIENCE.as_secs()),
                }));
            }
        }
    };
    let text = reading.join().ok().and_then(Result::ok).unwrap_or_default();
    if !status.success() {
        return Err(broke(format!(
            "{EVALUATOR} ended with {status}: expected the script to need less"
        )));
    }
    let result: Result<OperatorConfig, OperatorConfigError> =
        serde_json::from_slice(&text).map_err(|e| broke(e.to_string()))?;
    result.map_err(|wrong| wrong.to_string())
}
