//! The command line of `cottondyke-chaos`.
use crate::error::Error;
use lexopt::prelude::*;
use std::ffi::OsString;

/// What `--help` prints.
pub const HELP: &str = "\
cottondyke-chaos - experiments with cottondyke among fakes that fail by a seeded schedule

usage: cottondyke-chaos run NAME [--seed N] [--without DEFENCE] [--seconds S] [--verbose]
       cottondyke-chaos scale [--seed N] [--members M]
       cottondyke-chaos simulate [--seed N] [--count K] [--members M] [--without DEFENCE] [--verbose]

experiments:
  dependencies   3 nodes and 4 dependencies that hang, slow down, reset, respond late and corrupt their responses;
                 --without budget, limit, adapt, breaker, hedge, kept or fallback
  calm           one node and no faults: what a page costs beside one without limits and breakers
  restarts       nodes that are killed and started again, and the concurrency ceiling of a dependency;
                 --without restart
  budgets        8 instances that share a ceiling, links partitioned and stalled, processes paused, killed and without
                 their disk; --without lease, fence, linger or need

scale: quiet simulated clusters of 10, 100 and 1,000 members (M at most): their traffic, and how quickly they react

simulate: K simulated clusters (default 100) of 5 to M members (default 100) from seed N on, the sum of units in
  use checked against the budget's total after every step; --without lease, fence, linger or need

options:
  --seed N           draws the schedule (default 1)
  --without DEFENCE  runs with one safeguard off
  --seconds S        how long the schedule is (each experiment has its own default)
  --verbose          what the nodes log goes to standard error

The last line on standard output is one JSON object with checks and figures.
exit codes: 0 every check holds, 1 one does not, 2 bad usage";

/// Safeguards of a budget that instances share, as `--without` names them.
pub const SHARED_BUDGET_SAFEGUARDS: [&str; 4] = ["lease", "fence", "linger", "need"];

const DEFAULT_SEED: u64 = 1;
const DEFAULT_COUNT: u64 = 100;
const DEFAULT_MEMBERS: usize = 100;
const MIN_MEMBERS: usize = 5;
const MAX_MEMBERS: usize = 1_000;

/// How an experiment is run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// Draws the schedule, or the first of several runs.
    pub seed: u64,
    /// The one safeguard that is switched off.
    pub without: Option<String>,
    /// How long the schedule is, where that is not the experiment's default.
    pub seconds: Option<u64>,
    /// Whether processes' logs go to standard error.
    pub verbose: bool,
    /// Simulations to run.
    pub count: u64,
    /// Most members of a simulated cluster.
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
    /// The safeguards that are switched off; an error where the experiment does not know one.
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

/// What the command line asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// The help text.
    Help,
    /// An experiment.
    Run {
        /// Its name, as given.
        experiment: String,
        /// How it is run.
        options: Options,
    },
}

/// A command line that cannot be understood.
#[derive(Debug, thiserror::Error)]
pub enum UsageError {
    /// An option is unknown, or its value cannot be read.
    #[error(transparent)]
    Option(#[from] lexopt::Error),
    /// `run` without a name.
    #[error("run: which experiment?")]
    MissingExperiment,
    /// The first word is no command.
    #[error("unknown command {0:?}")]
    UnknownCommand(String),
}

/// Reads the arguments that follow the program's name.
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
