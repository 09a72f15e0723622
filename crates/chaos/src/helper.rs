//! Helper processes, which this program starts from its own file so that an experiment leaves nothing behind, however it
//! ends (SIGKILL too): one is replaced by a server that ends with the experiment, one removes the experiment's files.
use rustix::process::{getppid, set_parent_process_death_signal, Signal};
use std::ffi::OsString;
use std::io::{self, Read};
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::process::{Child, Command, ExitCode, Stdio};
use std::time::Duration;

/// Internal commands of this program, which `--help` does not list.
const RUN_SERVER: &str = "helper-run-server";
const REMOVE_FILES: &str = "helper-remove-files";
/// Attempts to remove the files, since servers may still be ending, and the pause between two of them.
const REMOVE_ATTEMPTS: usize = 40;
const REMOVE_INTERVAL: Duration = Duration::from_millis(50);

/// A command that runs `program` as a child which the kernel kills when the thread that starts it ends. That must be the
/// main thread: a process whose main thread has ended is over.
pub(crate) fn server_command(program: &Path) -> io::Result<Command> {
    let mut command = Command::new(std::env::current_exe()?);
    command
        .arg(RUN_SERVER)
        .arg(std::process::id().to_string())
        .arg(program);
    Ok(command)
}

/// Starts a process that removes `directory` once this process has ended.
pub(crate) fn remove_at_end(directory: &Path) -> io::Result<Child> {
    Command::new(std::env::current_exe()?)
        .arg(REMOVE_FILES)
        .arg(directory)
        .stdin(Stdio::piped())
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        // A signal to the experiment's process group must not end the clean-up.
        .process_group(0)
        .spawn()
}

/// Acts as a helper if the arguments after the program name ask for one; otherwise returns `None`.
pub fn run(arguments: &[OsString]) -> Option<ExitCode> {
    match arguments {
        [command, parent, program, rest @ ..] if command == RUN_SERVER => {
            Some(run_server(parent, program, rest))
        }
        [command, directory] if command == REMOVE_FILES => Some(remove_files(directory.as_ref())),
        _ => None,
    }
}

/// Replaces this process by the server; returns only if that fails.
fn run_server(parent: &OsString, program: &OsString, arguments: &[OsString]) -> ExitCode {
    if let Err(error) = set_parent_process_death_signal(Some(Signal::KILL)) {
        eprintln!("cottondyke-chaos: cannot be notified of the experiment's end: {error}");
        return ExitCode::FAILURE;
    }
    // The experiment may have ended before the kernel was asked.
    let current = getppid().map_or(0, |pid| pid.as_raw_nonzero().get());
    if parent.to_str() != Some(&current.to_string()) {
        return ExitCode::FAILURE;
    }
    let error = Command::new(program).args(arguments).exec();
    eprintln!(
        "cottondyke-chaos: {}: {error}",
        Path::new(program).display()
    );
    ExitCode::FAILURE
}

/// Waits for the end of standard input, which the experiment holds open, and removes the directory.
fn remove_files(directory: &Path) -> ExitCode {
    let _ = io::stdin().read_to_end(&mut Vec::new());
    for _ in 0..REMOVE_ATTEMPTS {
        if std::fs::remove_dir_all(directory).is_ok() || !directory.exists() {
            return ExitCode::SUCCESS;
        }
        std::thread::sleep(REMOVE_INTERVAL);
    }
    ExitCode::FAILURE
}
