//! Processes of the server's binary: their configuration file, log lines, signals and end.
use cottondyke_test_support::fakes::IO_TIMEOUT;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::time::{Duration, Instant};

/// Makes the names of temporary files unique within the test process.
static NEXT_FILE_NUMBER: AtomicU64 = AtomicU64::new(1);

/// Writes a configuration to a new temporary file.
pub(crate) fn temporary_file(conf: &str) -> PathBuf {
    let name = format!(
        "cottondyke-{}-{}.json",
        std::process::id(),
        NEXT_FILE_NUMBER.fetch_add(1, Ordering::Relaxed)
    );
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, conf).unwrap();
    path
}

/// A command that runs the server's binary with these arguments.
pub(crate) fn server_command(args: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_cottondyke"));
    command
        .args(args)
        .env_remove("GW_CONFIG")
        .stderr(Stdio::piped())
        .stdout(Stdio::piped());
    command
}

/// Environment variables by name.
pub(crate) type Environment = BTreeMap<&'static str, String>;

/// A running server and its configuration file. Dropping it kills the process and removes the file.
pub(crate) struct Process {
    /// The option that the configuration file is passed with.
    config_flag: &'static str,
    path: PathBuf,
    environment: Environment,
    child: Child,
    log: Receiver<String>,
}

impl Process {
    pub(crate) fn start(config_flag: &'static str, path: PathBuf) -> Self {
        Self::start_in(config_flag, path, Environment::new())
    }

    /// Like [`Process::start`], with these environment variables added.
    pub(crate) fn start_in(
        config_flag: &'static str,
        path: PathBuf,
        environment: Environment,
    ) -> Self {
        let (child, log) = spawn_server(config_flag, &path, &environment);
        Process {
            config_flag,
            path,
            environment,
            child,
            log,
        }
    }

    /// Waits until the server is listening and returns its address.
    pub(crate) fn listen_addr(&self) -> SocketAddr {
        self.wait_for_log("listen=")
            .split_once("listen=")
            .unwrap()
            .1
            .trim()
            .parse()
            .unwrap()
    }

    pub(crate) fn path(&self) -> &Path {
        &self.path
    }

    pub(crate) fn signal(&self, name: &str) {
        assert!(self.try_signal(name));
    }

    /// Sends a signal; returns whether the process was there to receive it.
    pub(crate) fn try_signal(&self, name: &str) -> bool {
        let id = self.child.id().to_string();
        let mut kill = Command::new("kill");
        kill.args([name, &id]).stderr(Stdio::null());
        kill.status().unwrap().success()
    }

    /// Kills the process with SIGKILL; returns whether it had not ended before.
    pub(crate) fn kill(&mut self) -> bool {
        let was_running = !self.has_ended();
        self.child.kill().unwrap();
        self.child.wait().unwrap();
        was_running
    }

    /// Replaces the configuration file, which the server reads at its next SIGHUP.
    pub(crate) fn replace_config(&self, text: &str) {
        std::fs::write(&self.path, text).unwrap();
    }

    /// Replaces the configuration file, sends SIGHUP and waits for the log line `logged`.
    pub(crate) fn reload(&self, text: &str, logged: &str) {
        self.replace_config(text);
        self.signal("-HUP");
        self.wait_for_log(logged);
    }

    /// Kills the process and starts it again with `text` as the configuration.
    pub(crate) fn restart(&mut self, text: &str) {
        self.kill();
        std::fs::write(&self.path, text).unwrap();
        (self.child, self.log) = spawn_server(self.config_flag, &self.path, &self.environment);
    }

    /// Number of descriptors that the process has open.
    pub(crate) fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id()))
            .unwrap()
            .count()
    }

    /// Size of the process's descriptor table in the kernel: descriptors that fit without enlarging the table.
    pub(crate) fn descriptor_slots(&self) -> usize {
        self.status_number("FDSize:")
    }

    /// The first number of a line in the kernel's status of the process (proc_pid_status(5)).
    pub(crate) fn status_number(&self, name: &str) -> usize {
        self.try_status_number(name).unwrap()
    }

    /// Like [`Process::status_number`]; `None` if the process has ended.
    pub(crate) fn try_status_number(&self, name: &str) -> Option<usize> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix(name))?;
        line.split_whitespace().next()?.parse().ok()
    }

    /// Whether the process has ended.
    pub(crate) fn has_ended(&mut self) -> bool {
        self.child.try_wait().unwrap().is_some()
    }

    /// Waits for the process to exit and returns its exit status and how long that took.
    pub(crate) fn wait_for_exit(&mut self) -> (ExitStatus, Duration) {
        let start = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return (status, start.elapsed());
            }
            assert!(
                start.elapsed() < IO_TIMEOUT,
                "the server did not exit in time"
            );
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    /// Waits for the next log line that contains `text`.
    pub(crate) fn wait_for_log(&self, text: &str) -> String {
        self.log_until(text).pop().unwrap()
    }

    /// Waits for the next log line that contains `text`; returns the lines up to this one.
    pub(crate) fn log_until(&self, text: &str) -> Vec<String> {
        let deadline = Instant::now() + IO_TIMEOUT;
        let mut lines = Vec::new();
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            lines.push(self.log.recv_timeout(remaining).expect(text));
            if lines.last().unwrap().contains(text) {
                return lines;
            }
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.path);
    }
}

/// Starts the server with this configuration file; returns the process and its log lines.
fn spawn_server(
    config_flag: &str,
    path: &Path,
    environment: &Environment,
) -> (Child, Receiver<String>) {
    let mut child = server_command(&["serve", config_flag, path.to_str().unwrap()])
        .envs(environment)
        .spawn()
        .unwrap();
    let (lines, log) = channel();
    let stderr = BufReader::new(child.stderr.take().unwrap());
    std::thread::spawn(move || {
        stderr
            .lines()
            .map_while(Result::ok)
            .all(|line| lines.send(line).is_ok())
    });
    (child, log)
}

/// Runs the binary with these arguments to its end; returns the exit code and standard error.
pub(crate) fn run_to_exit(args: &[&str]) -> (Option<i32>, String) {
    let mut child = server_command(args).spawn().unwrap();
    let status = child.wait().unwrap();
    let mut text = String::new();
    child
        .stderr
        .take()
        .unwrap()
        .read_to_string(&mut text)
        .unwrap();
    (status.code(), text)
}
