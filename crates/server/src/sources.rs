//! The program's two files, read together: the platform's configuration and the operator's script. Either may be
//! missing. The script is evaluated in a child process under the system's limits, since no interpreter bounds
//! what one step may take.
use crate::config::Config;
use cottondyke_operator::{Operator, Wrong};
use rustix::process::{setrlimit, Resource, Rlimit};
use std::io::Read;
use std::path::Path;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

/// What a script's evaluation may take: bytes of address space, seconds of a core, seconds in all.
const MOST_MEMORY: u64 = 512 << 20;
const MOST_CPU: u64 = 5;
const PATIENCE: Duration = Duration::from_secs(10);
/// Bytes of what it declares.
const MOST_RESULT: u64 = 16 << 20;
/// The program itself, whatever happened to its file since.
const MYSELF: &str = "/proc/self/exe";

/// Where the files are.
#[derive(Clone, Debug, Default)]
pub struct Sources {
    pub config: Option<String>,
    pub operator: Option<String>,
}

impl Sources {
    pub fn read(&self) -> Result<Config, String> {
        let operator = self.operator.as_deref().map(evaluated).transpose()?;
        match (&self.config, operator) {
            (Some(path), None) => Config::read(path),
            (Some(path), Some(operator)) => Config::read(path)?.with(operator),
            (None, Some(operator)) => Config::alone(operator),
            (None, None) => {
                Err("no configuration: give --config FILE, --operator FILE or both, or set GW_CONFIG".into())
            }
        }
    }
}

/// What the child process does: evaluates within limits, and writes the result as JSON.
pub fn evaluate(path: &str) -> Result<(), String> {
    let limit = |resource, most| setrlimit(resource, Rlimit { current: Some(most), maximum: Some(most) });
    limit(Resource::As, MOST_MEMORY).map_err(|e| format!("cannot limit memory: {e}"))?;
    limit(Resource::Cpu, MOST_CPU).map_err(|e| format!("cannot limit the time: {e}"))?;
    limit(Resource::Core, 0).map_err(|e| format!("cannot limit the core file: {e}"))?;
    let result: Result<Operator, Wrong> = cottondyke_operator::evaluate(Path::new(path));
    serde_json::to_writer(std::io::stdout().lock(), &result).map_err(|e| e.to_string())
}

fn evaluated(path: &str) -> Result<Operator, String> {
    let broke = |what: String| format!("{path}: cannot be evaluated: {what}");
    let mut child = Command::new(MYSELF)
        .args(["evaluate", path])
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .map_err(|e| broke(e.to_string()))?;
    let stdout = child.stdout.take();
    let reading = std::thread::spawn(move || {
        let mut text = Vec::new();
        stdout.map_or(Ok(0), |out| out.take(MOST_RESULT).read_to_end(&mut text)).map(|_| text)
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
        let limits = format!("{} MB and {MOST_CPU} s of a core", MOST_MEMORY >> 20);
        return Err(broke(format!("it ended with {status}: expected it to need at most {limits}")));
    }
    let result: Result<Operator, Wrong> = serde_json::from_slice(&text).map_err(|e| broke(e.to_string()))?;
    result.map_err(|wrong| wrong.to_string())
}
