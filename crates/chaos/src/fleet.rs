//! Nodes: the real program, each as a process with a script of its own.
use rustix::process::{kill_process, Pid, Signal};
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

static NEXT: AtomicU64 = AtomicU64::new(1);
const PATIENCE: Duration = Duration::from_secs(20);

pub struct Node {
    child: Child,
    script: PathBuf,
    pub addr: SocketAddr,
    /// Where other instances reach it, where it is among any.
    pub peers: Option<SocketAddr>,
}

/// The program lies beside this one.
fn program() -> io::Result<PathBuf> {
    let path = std::env::current_exe()?.with_file_name("cottondyke");
    if !path.exists() {
        return Err(io::Error::other(format!(
            "{} is missing: build the whole workspace",
            path.display()
        )));
    }
    Ok(path)
}

impl Node {
    pub fn start(script: &str, verbose: bool) -> io::Result<Self> {
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let name = format!("cottondyke-lab-{}-{number}.star", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, script)?;
        let mut child = Command::new(program()?)
            .args(["serve", "--operator"])
            .arg(&path)
            .env_remove("GW_CONFIG")
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()?;
        let (lines, log) = channel();
        let stderr = child.stderr.take();
        std::thread::spawn(move || {
            for line in stderr
                .into_iter()
                .flat_map(|e| BufReader::new(e).lines())
                .map_while(Result::ok)
            {
                if verbose {
                    eprintln!("node {number}: {line}");
                }
                let _ = lines.send(line);
            }
        });
        let until = Instant::now() + PATIENCE;
        let mut last = String::new();
        let among = script.contains("peers(");
        let (mut serving, mut peers) = (None, None);
        let addr = loop {
            let left = until.saturating_duration_since(Instant::now());
            let line = log.recv_timeout(left).map_err(|_| {
                let _ = child.kill();
                let _ = child.wait();
                io::Error::other(format!("a node does not serve: {last}"))
            })?;
            if let Some(addr) = line
                .split_once("listen=")
                .and_then(|(_, addr)| addr.trim().parse().ok())
            {
                let of = if line.contains("among peers") {
                    &mut peers
                } else {
                    &mut serving
                };
                *of = Some(addr);
            }
            if let Some(addr) = serving.filter(|_| peers.is_some() || !among) {
                break addr;
            }
            last = line;
        };
        Ok(Node {
            child,
            script: path,
            addr,
            peers,
        })
    }

    /// What `cottondyke peers` prints of it.
    pub fn view(&self) -> Option<serde_json::Value> {
        let peers = self.peers?.to_string();
        let out = Command::new(program().ok()?)
            .args(["peers", &peers, "--json"])
            .output()
            .ok()?;
        serde_json::from_slice(&out.stdout).ok()
    }

    /// Stops the process where it is, or lets it go on.
    pub fn stop(&self, stopped: bool) {
        let signal = if stopped { Signal::STOP } else { Signal::CONT };
        if let Some(pid) = Pid::from_raw(self.child.id() as i32) {
            let _ = kill_process(pid, signal);
        }
    }

    /// Asks it to drain and end.
    pub fn leave(&self) {
        if let Some(pid) = Pid::from_raw(self.child.id() as i32) {
            let _ = kill_process(pid, Signal::TERM);
        }
    }

    /// Core time used so far, in seconds.
    pub fn cpu(&self) -> io::Result<f64> {
        let text = std::fs::read_to_string(format!("/proc/{}/schedstat", self.child.id()))?;
        let nanos = text
            .split_whitespace()
            .next()
            .and_then(|n| n.parse::<f64>().ok());
        nanos
            .map(|n| n / 1e9)
            .ok_or_else(|| io::Error::other("no schedstat"))
    }

    /// Resident memory, in kilobytes.
    pub fn memory(&self) -> io::Result<u64> {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))?;
        let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kb = line.and_then(|line| line.trim().trim_end_matches(" kB").parse().ok());
        kb.ok_or_else(|| io::Error::other("no VmRSS"))
    }

    pub fn alive(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.script);
    }
}
