//! Command-line parsing of `cottondyke-chaos`.
use crate::error::Error;
use lexopt::prelude::*;
use std::ffi::OsString;

/// The text that `--help` prints.
pub const HELP: &str = "\
cottondyke-chaos - fault-injection experiments with cottondyke; all faults are drawn from a seed

usage: cottondyke-chaos run NAME [--seed N] [--without SAFEGUARD] [--seconds S] [--verbose]
       cottondyke-chaos scale [--seed N] [--members M]
       cottondyke-chaos simulate [--seed N] [--count K] [--members M] [--without SAFEGUARD] [--verbose]

experiments:
  dependencies   3 nodes and 4 dependencies that hang, slow down, reset connections, respond late, return errors and
                 return corrupt responses; --without budget, limit, adapt, breaker, hedge, kept or fallback
  calm           one node without faults: CPU time per page, compared with a node that has all safeguards off
  restarts       nodes are killed and restarted while calls are in flight; checks the concurrency ceiling of
                 each dependency; --without restart
  budgets        8 instances share one concurrency ceiling; links are partitioned and stalled, processes are paused,
                 killed, drained and lose their disks; --without lease, fence, linger or need

scale: simulated clusters of 10, 100 and 1,000 members (at most M) without faults: traffic, and time to detect a dead
  member and to move quota

simulate: K simulated clusters (default 100) of 5 to M members (default 100), with seeds from N; checks the sum of units
  in use against the budget's total after every step; --without lease, fence, linger or need

options:
  --seed N             seed of the schedule (default 1)
  --without SAFEGUARD  switches one safeguard off
  --seconds S          length of the schedule (the default depends on the experiment)
  --verbose            copies the logs of the nodes to standard error

The last line on standard output is one JSON object with checks and figures.
exit codes: 0 all checks hold, 1 a check or the experiment failed, 2 usage error";

/// Safeguards of budgets that instances share, by their names in `--without`.
pub const SHARED_BUDGET_SAFEGUARDS: [&str; 4] = ["lease", "fence", "linger", "need"];

const DEFAULT_SEED: u64 = 1;
const DEFAULT_COUNT: u64 = 100;
const DEFAULT_MEMBERS: usize = 100;
const MIN_MEMBERS: usize = 5;
const MAX_MEMBERS: usize = 1_000;

/// Options of an experiment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// Seed of the schedule; with several runs, the seed of the first one.
    pub seed: u64,
    /// The safeguard to switch off.
    pub without: Option<String>,
    /// Length of the schedule; the experiment's default if not given.
    pub seconds: Option<u64>,
    /// Whether to copy the logs of server processes to standard error.
    pub verbose: bool,
    /// Number of simulations to run.
    pub count: u64,
    /// Maximum number of members of a simulated cluster.
    pub members: usize,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            seed: DEFAULT_SEED,
            without: None,
            seconds: None,
            verbose: false,
            count: DEFAULT_COUNT,
            members: DEFAULT_MEMBERS,
        }
    }
}

impl Options {
    /// Returns the safeguards to switch off, or an error if the experiment does not know the given one.
    pub fn disabled_safeguards(&self, known: &[&'static str]) -> Result<Vec<&str>, Error> {
        match self.without.as_deref() {
            Some(without) if !known.contains(&without) => Err(Error::UnknownSafeguard {
                given: without.to_string(),
                known: known.to_vec(),
            }),
            without => Ok(without.into_iter().collect()),
        }
    }
}

/// A parsed command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Prints the help text.
    Help,
    /// Runs an experiment.
    Run {
        /// Name of the experiment, as given.
        experiment: String,
        /// Options of the experiment.
        options: Options,
    },
}

/// An invalid command line.
#[derive(Debug, thiserror::Error)]
pub enum UsageError {
    /// An option is unknown, or its value is invalid.
    #[error(transparent)]
    Option(#[from] lexopt::Error),
    /// `run` was given without the name of an experiment.
    #[error("run: missing the name of an experiment")]
    MissingExperiment,
    /// The command does not exist or does not take the given arguments.
    #[error("unknown command {0:?}")]
    UnknownCommand(String),
}

/// Parses the arguments after the program name.
pub fn parse_arguments(
    arguments: impl IntoIterator<Item = OsString>,
) -> Result<Command, UsageError> {
    let mut options = Options::default();
    let (mut command, mut name) = (None, None);
    let mut parser = lexopt::Parser::from_args(arguments);
    while let Some(argument) = parser.next()? {
        match argument {
            Long("seed") => options.seed = parser.value()?.parse()?,
            Long("without") => options.without = Some(parser.value()?.string()?),
            Long("seconds") => options.seconds = Some(parser.value()?.parse()?),
            Long("count") => options.count = parser.value()?.parse()?,
            Long("members") => {
                let members: usize = parser.value()?.parse()?;
                options.members = members.clamp(MIN_MEMBERS, MAX_MEMBERS);
            }
            Long("verbose") => options.verbose = true,
            Long("help") | Short('h') => return Ok(Command::Help),
            Value(word) if command.is_none() => command = Some(word.string()?),
            Value(word) if name.is_none() => name = Some(word.string()?),
            other => return Err(other.unexpected().into()),
        }
    }
    let Some(command) = command else {
        return Ok(Command::Help);
    };
    let experiment = match (command.as_str(), name) {
        ("run", Some(name)) => name,
        ("run", None) => return Err(UsageError::MissingExperiment),
        ("simulate" | "scale", None) => command,
        _ => return Err(UsageError::UnknownCommand(command)),
    };
    Ok(Command::Run {
        experiment,
        options,
    })
}
