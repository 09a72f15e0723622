//! `cottondyke-chaos`: plays trials of the real program among stand-ins on loopback.
#![expect(
    missing_docs,
    unreachable_pub,
    clippy::too_many_lines,
    reason = "not yet read through; see docs/ROADMAP.md"
)]

mod fleet;
mod load;
mod outcome;
mod trials;
mod world;

use lexopt::prelude::*;
use outcome::Outcome;
use std::process::ExitCode;

const HELP: &str = "\
cottondyke-chaos - trials of cottondyke among stand-ins that fail by a seeded schedule

usage: cottondyke-chaos run NAME [--seed N] [--without DEFENCE] [--seconds S] [--verbose]
       cottondyke-chaos scale [--seed N] [--members M]
       cottondyke-chaos simulate [--seed N] [--count K] [--members M] [--without DEFENCE] [--verbose]

trials:
  dependencies   3 nodes and 4 dependencies that hang, slow down, reset, answer late and spoil;
                 --without budget, limit, adapt, breaker, hedge, kept or fallback
  calm           one node and nothing wrong: what a page costs beside one without limits and breakers
  restarts       nodes that are killed and started again, and the ceiling of a dependency;
                 --without restart
  budgets        8 instances that share a ceiling, links cut and stalled, processes stopped, killed and without their
                 disk; --without lease, fence, linger or need

scale: quiet simulated worlds of 10, 100 and 1,000 members (M at the most): what they cost, how quick they are

simulate: K simulated worlds (default 100) of 5 to M members (default 100) from seed N on, the sum of units in
  use held against the whole after every step; --without lease, fence, linger or need

options:
  --seed N           draws the schedule (default 1)
  --without DEFENCE  runs with one defence off
  --seconds S        how long the schedule is (each trial has its own default)
  --verbose          what the nodes log goes to standard error

The last line on standard output is one JSON object with checks and figures.
exit codes: 0 every check holds, 1 one does not, 2 bad usage";

pub struct Usage {
    pub seed: u64,
    pub without: Option<String>,
    pub seconds: Option<u64>,
    pub verbose: bool,
    pub count: u64,
    pub members: usize,
}

impl Usage {
    /// What is switched off; an error where this trial does not know it.
    pub fn off(&self, known: &[&str]) -> std::io::Result<Vec<&str>> {
        match self.without.as_deref() {
            Some(without) if !known.contains(&without) => {
                let known = if known.is_empty() {
                    "none in this trial".into()
                } else {
                    known.join(", ")
                };
                let wrong = format!("--without {without}: expected {known}");
                Err(std::io::Error::new(std::io::ErrorKind::InvalidInput, wrong))
            }
            without => Ok(without.into_iter().collect()),
        }
    }
}

fn usage() -> Result<Option<(String, Usage)>, lexopt::Error> {
    let mut usage = Usage {
        seed: 1,
        without: None,
        seconds: None,
        verbose: false,
        count: 100,
        members: 100,
    };
    let (mut command, mut name) = (None, None);
    let mut words = lexopt::Parser::from_env();
    while let Some(word) = words.next()? {
        match word {
            Long("seed") => usage.seed = words.value()?.parse()?,
            Long("without") => usage.without = Some(words.value()?.string()?),
            Long("seconds") => usage.seconds = Some(words.value()?.parse()?),
            Long("count") => usage.count = words.value()?.parse()?,
            Long("members") => usage.members = words.value()?.parse::<usize>()?.clamp(5, 1_000),
            Long("verbose") => usage.verbose = true,
            Long("help") | Short('h') => return Ok(None),
            Value(word) if command.is_none() => command = Some(word.string()?),
            Value(word) if name.is_none() => name = Some(word.string()?),
            other => return Err(other.unexpected()),
        }
    }
    match (command.as_deref(), name) {
        (Some("run"), Some(name)) => Ok(Some((name, usage))),
        (Some(simulated @ ("simulate" | "scale")), None) => {
            Ok(Some((simulated.to_string(), usage)))
        }
        (Some("run"), None) => Err("run: which experiment?".into()),
        (Some(other), _) => Err(format!("unknown command {other:?}").into()),
        (None, _) => Ok(None),
    }
}

/// The value of `trial` in the line that is printed, which tools read: it outlives the names of commands.
fn trial_name(experiment: &str) -> &str {
    match experiment {
        "simulate" => "worlds",
        "scale" => "sizes",
        other => other,
    }
}

fn main() -> ExitCode {
    let (name, usage) = match usage() {
        Ok(Some(usage)) => usage,
        Ok(None) => {
            println!("{HELP}");
            return ExitCode::SUCCESS;
        }
        Err(wrong) => {
            eprintln!("cottondyke-chaos: {wrong}; see cottondyke-chaos --help");
            return ExitCode::from(2);
        }
    };
    let played: std::io::Result<Outcome> = match name.as_str() {
        "scale" => world::sizes(&usage),
        "simulate" => world::play(&usage),
        "budgets" => trials::budgets::play(&usage),
        "dependencies" => trials::dependencies::play(&usage),
        "calm" => trials::calm::play(&usage),
        "restarts" => trials::restarts::play(&usage),
        _ => {
            eprintln!("cottondyke-chaos: unknown trial {name:?}; see cottondyke-chaos --help");
            return ExitCode::from(2);
        }
    };
    match played {
        Ok(outcome) => {
            println!("{}", outcome.line(trial_name(&name), &usage));
            ExitCode::from(u8::from(!outcome.pass()))
        }
        Err(error) => {
            let bad = error.kind() == std::io::ErrorKind::InvalidInput;
            eprintln!("cottondyke-chaos: {name}: {error}");
            ExitCode::from(if bad { 2 } else { 1 })
        }
    }
}
