//! Why an experiment could not be run.
use crate::simulation::SimulationError;
use std::io;
use std::path::PathBuf;

/// An experiment that ended without a report.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// `--without` names a safeguard that the experiment does not know.
    #[error("--without {given}: expected {}", expected_safeguards(.known))]
    UnknownSafeguard {
        /// What was given.
        given: String,
        /// What can be switched off.
        known: Vec<&'static str>,
    },
    /// The server's program does not lie beside this one.
    #[error("{} is missing: build the whole workspace", .path.display())]
    ProgramMissing {
        /// Where it was expected.
        path: PathBuf,
    },
    /// A process did not say where it listens, or ended before.
    #[error("a node does not serve: {last_line}")]
    NotServing {
        /// The last line that it logged.
        last_line: String,
    },
    /// The kernel does not show a process's CPU time.
    #[error("no schedstat")]
    NoCpuTime,
    /// The kernel does not show a process's memory.
    #[error("no VmRSS")]
    NoMemoryUsage,
    /// A simulation that only measures broke an invariant.
    #[error(transparent)]
    Simulation(#[from] SimulationError),
    /// A file, socket, thread or process failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}

impl Error {
    /// Whether the command line is at fault and not the experiment.
    pub fn is_usage(&self) -> bool {
        match self {
            Error::UnknownSafeguard { .. } => true,
            Error::Io(error) => error.kind() == io::ErrorKind::InvalidInput,
            _ => false,
        }
    }
}

fn expected_safeguards(known: &[&str]) -> String {
    if known.is_empty() {
        "none in this trial".to_string()
    } else {
        known.join(", ")
    }
}
