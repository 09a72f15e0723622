//! Server processes, each with its own operator file. They end with this process.
use crate::error::Error;
use crate::{helper, run_directory};
use rustix::process::{kill_process, Pid, Signal};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::time::{Duration, Instant};

static NEXT_PROCESS_NUMBER: AtomicU64 = AtomicU64::new(1);
/// How long a process may take to start listening.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// A server process; killed on drop.
pub(crate) struct NodeProcess {
    child: Child,
    operator_file: PathBuf,
    /// The address for sidecars.
    pub(crate) addr: SocketAddr,
    /// The address for other instances, if the process is a cluster member.
    pub(crate) peer_addr: Option<SocketAddr>,
}

/// The listen addresses of a process.
struct ListenAddresses {
    sidecars: SocketAddr,
    peers: Option<SocketAddr>,
}

/// Returns the path of the server binary, which is in the directory of this binary.
fn server_binary_path() -> Result<PathBuf, Error> {
    let path = std::env::current_exe()?.with_file_name("cottondyke");
    if !path.exists() {
        return Err(Error::ServerBinaryNotFound { path });
    }
    Ok(path)
}

impl NodeProcess {
    /// Starts a process with the given operator file, and waits until it listens. To be called on the main thread (see
    /// [`helper::server_command`]).
    pub(crate) fn start(operator_text: &str, verbose: bool) -> Result<Self, Error> {
        let number = NEXT_PROCESS_NUMBER.fetch_add(1, Ordering::Relaxed);
        let operator_file = run_directory::path()?.join(format!("{number}.star"));
        std::fs::write(&operator_file, operator_text)?;
        let mut child = helper::server_command(&server_binary_path()?)?
            .args(["serve", "--operator"])
            .arg(&operator_file)
            .env_remove("GW_CONFIG")
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()?;
        let log = read_log(child.stderr.take(), number, verbose);
        let is_clustered = operator_text.contains("peers(");
        match wait_until_serving(&log, is_clustered) {
            Ok(addresses) => Ok(NodeProcess {
                child,
                operator_file,
                addr: addresses.sidecars,
                peer_addr: addresses.peers,
            }),
            Err(error) => {
                let _ = child.kill();
                let _ = child.wait();
                Err(error)
            }
        }
    }

    /// Returns whether the process reports itself as the leader in the output of `cottondyke peers`.
    pub(crate) fn is_leader(&self) -> bool {
        let status = self.cluster_status();
        status.is_some_and(|status| status["leads"] == true)
    }

    fn cluster_status(&self) -> Option<serde_json::Value> {
        let peers = self.peer_addr?.to_string();
        let output = Command::new(server_binary_path().ok()?)
            .args(["peers", &peers, "--json"])
            .output()
            .ok()?;
        serde_json::from_slice(&output.stdout).ok()
    }

    /// Pauses the process with SIGSTOP.
    pub(crate) fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Resumes a paused process with SIGCONT.
    pub(crate) fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Sends SIGTERM, on which the process drains and exits.
    pub(crate) fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    fn signal(&self, signal: Signal) {
        if let Some(pid) = Pid::from_raw(self.child.id() as i32) {
            // Ignored: the process may have exited already.
            let _ = kill_process(pid, signal);
        }
    }

    /// Returns the CPU time used so far, in seconds.
    pub(crate) fn cpu_seconds(&self) -> Result<f64, Error> {
        let text = std::fs::read_to_string(format!("/proc/{}/schedstat", self.child.id()))?;
        let nanoseconds: f64 = text
            .split_whitespace()
            .next()
            .and_then(|field| field.parse().ok())
            .ok_or(Error::CpuTimeUnavailable)?;
        Ok(nanoseconds / 1e9)
    }

    /// Returns the resident memory, in kilobytes.
    pub(crate) fn resident_kilobytes(&self) -> Result<u64, Error> {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))?;
        text.lines()
            .find_map(|line| line.strip_prefix("VmRSS:"))
            .and_then(|value| value.trim().trim_end_matches(" kB").parse().ok())
            .ok_or(Error::MemoryUsageUnavailable)
    }

    /// Returns whether the process is still running.
    pub(crate) fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.operator_file);
    }
}

/// Reads the log on a thread until it ends, so that the process never blocks on a full pipe.
fn read_log(stderr: Option<ChildStderr>, number: u64, verbose: bool) -> Receiver<String> {
    let (lines, log) = channel();
    std::thread::spawn(move || {
        let Some(stderr) = stderr else { return };
        for line in BufReader::new(stderr).lines().map_while(Result::ok) {
            if verbose {
                eprintln!("node {number}: {line}");
            }
            // Fails after startup, when the receiver has been dropped; the log must still be drained.
            let _ = lines.send(line);
        }
    });
    log
}

/// Reads the log until the process has logged its listen addresses.
fn wait_until_serving(
    log: &Receiver<String>,
    is_clustered: bool,
) -> Result<ListenAddresses, Error> {
    let deadline = Instant::now() + START_TIMEOUT;
    let mut last_line = String::new();
    let (mut sidecars, mut peers) = (None, None);
    loop {
        let remaining = deadline.saturating_duration_since(Instant::now());
        let Ok(line) = log.recv_timeout(remaining) else {
            return Err(Error::NotServing { last_line });
        };
        if let Some(addr) = listen_address(&line) {
            if line.contains("listening for peers") {
                peers = Some(addr);
            } else {
                sidecars = Some(addr);
            }
        }
        if let Some(sidecars) = sidecars.filter(|_| peers.is_some() || !is_clustered) {
            return Ok(ListenAddresses { sidecars, peers });
        }
        last_line = line;
    }
}

fn listen_address(line: &str) -> Option<SocketAddr> {
    let (_, addr) = line.split_once("listen=")?;
    addr.trim().parse().ok()
}
