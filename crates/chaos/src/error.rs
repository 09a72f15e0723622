//! Errors that prevent an experiment from running or completing.
use crate::simulation::SimulationError;
use std::io;
use std::path::PathBuf;

/// The reason why an experiment ended without a report.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// `--without` names a safeguard that the experiment cannot switch off.
    #[error("--without {given}: expected {}", expected_safeguards(.known))]
    UnknownSafeguard {
        /// The value given on the command line.
        given: String,
        /// The safeguards that this experiment can switch off.
        known: Vec<&'static str>,
    },
    /// The server binary is not in the directory of this binary.
    #[error("server binary {} not found: build the whole workspace", .path.display())]
    ServerBinaryNotFound {
        /// The expected path.
        path: PathBuf,
    },
    /// A server process exited or timed out before it logged its listen address.
    #[error("a server process did not start listening; its last log line: {last_line}")]
    NotServing {
        /// The last line that the process logged.
        last_line: String,
    },
    /// The kernel does not report a process's CPU time.
    #[error("cannot read CPU time from /proc/<pid>/schedstat")]
    CpuTimeUnavailable,
    /// The kernel does not report a process's resident memory.
    #[error("no VmRSS in /proc/<pid>/status")]
    MemoryUsageUnavailable,
    /// An invariant was violated in a simulation that takes measurements.
    #[error(transparent)]
    Simulation(#[from] SimulationError),
    /// An operation on a file, socket, thread or process failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}

impl Error {
    /// Returns whether the error is in the command line rather than in the experiment.
    pub fn is_usage_error(&self) -> bool {
        match self {
            Error::UnknownSafeguard { .. } => true,
            Error::Io(error) => error.kind() == io::ErrorKind::InvalidInput,
            _ => false,
        }
    }
}

fn expected_safeguards(known: &[&str]) -> String {
    if known.is_empty() {
        "no safeguard in this experiment".to_string()
    } else {
        known.join(", ")
    }
}
