//! The experiments, each with its schedule of faults, checks and figures.

mod budgets;
mod calm;
mod dependencies;
mod restarts;
mod scale;
mod score;
mod shop;
mod simulate;

use crate::error::Error;
use crate::options::Options;
use crate::report::Report;

/// What can be run by name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Experiment {
    /// Processes that share a budget, with faults of links, processes and disks.
    Budgets,
    /// One process without faults.
    Calm,
    /// Dependencies that fail.
    Dependencies,
    /// Processes that are killed and restarted.
    Restarts,
    /// Simulated clusters without faults, by their size.
    Scale,
    /// Simulated clusters with faults.
    Simulate,
}

impl Experiment {
    /// The experiment of this name.
    pub fn from_name(name: &str) -> Option<Self> {
        match name {
            "budgets" => Some(Experiment::Budgets),
            "calm" => Some(Experiment::Calm),
            "dependencies" => Some(Experiment::Dependencies),
            "restarts" => Some(Experiment::Restarts),
            "scale" => Some(Experiment::Scale),
            "simulate" => Some(Experiment::Simulate),
            _ => None,
        }
    }

    /// The value of `trial` in the line that is printed, which tools read: it outlives the names of commands.
    pub fn trial_name(self) -> &'static str {
        match self {
            Experiment::Budgets => "budgets",
            Experiment::Calm => "calm",
            Experiment::Dependencies => "dependencies",
            Experiment::Restarts => "restarts",
            Experiment::Scale => "sizes",
            Experiment::Simulate => "worlds",
        }
    }

    /// Runs it to its end.
    pub fn run(self, options: &Options) -> Result<Report, Error> {
        match self {
            Experiment::Budgets => budgets::run(options),
            Experiment::Calm => calm::run(options),
            Experiment::Dependencies => dependencies::run(options),
            Experiment::Restarts => restarts::run(options),
            Experiment::Scale => scale::run(options),
            Experiment::Simulate => simulate::run(options),
        }
    }
}
