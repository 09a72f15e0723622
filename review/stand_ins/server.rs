//! The server under test, started with the command `run` of the deploy file.
use super::Record;
use std::fs::File;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

/// A temporary folder that is removed at the end.
pub struct TemporaryFolder(pub PathBuf);

impl TemporaryFolder {
    pub fn create() -> io::Result<Self> {
        let name = format!("cottondyke-review-{}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path)?;
        Ok(TemporaryFolder(path))
    }
}

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// The command `run` of the deploy file. The working directory is the root of the repository.
fn run_command() -> io::Result<String> {
    let deploy = std::fs::read_to_string("deploy/balancer.toml")?;
    deploy
        .lines()
        .find_map(|line| line.strip_prefix("run = \"")?.strip_suffix('"'))
        .map(String::from)
        .ok_or_else(|| io::Error::other("deploy/balancer.toml has no line run = \"...\""))
}

/// A free address on 127.0.0.1 for a server to listen on.
pub fn free_address() -> String {
    let listener = super::listen();
    listener.local_addr().expect("a local address").to_string()
}

/// The running server.
pub struct Server {
    child: Child,
    config: PathBuf,
    record: Record,
}

impl Server {
    /// Starts the server with this configuration. Its log goes to `log` in the folder of the case.
    pub fn start(
        record: &Record,
        folder: &TemporaryFolder,
        log: &Path,
        config_text: &str,
    ) -> io::Result<Self> {
        let config = folder.0.join("config.json");
        std::fs::write(&config, config_text)?;
        let command = run_command()?;
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(&command)
            .env("GW_CONFIG", &config)
            .env("TMPDIR", &folder.0)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(File::create(log)?)
            .spawn()?;
        record.line(format!(
            "server: started, pid {}, command {command:?}",
            child.id()
        ));
        // `run.sh` ends the processes that are listed here if this program ends early.
        if let Ok(path) = std::env::var("REVIEW_PIDS") {
            let mut pids = File::options().create(true).append(true).open(path)?;
            writeln!(pids, "{}", child.id())?;
        }
        Ok(Server {
            child,
            config,
            record: record.clone(),
        })
    }

    /// Sends a signal, named as for kill(1), by the shell's own command.
    pub fn signal(&self, name: &str) -> io::Result<()> {
        self.record.line(format!("server: sending SIG{name}"));
        let command = format!("kill -{name} {}", self.child.id());
        let status = Command::new("/bin/sh").arg("-c").arg(&command).status()?;
        match status.success() {
            true => Ok(()),
            false => Err(io::Error::other(format!("{command:?} failed"))),
        }
    }

    /// Whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits for the end of the process; `None` if it still runs after `longest`.
    pub fn wait(&mut self, longest: Duration) -> Option<ExitStatus> {
        let deadline = Instant::now() + longest;
        loop {
            if let Ok(Some(status)) = self.child.try_wait() {
                self.record.line(format!("server: ended with {status}"));
                return Some(status);
            }
            if Instant::now() > deadline {
                return None;
            }
            super::sleep_ms(2);
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
