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

/// An experiment that can be run by name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Experiment {
    /// Server processes that share a budget; faults of links, processes and disks.
    Budgets,
    /// One server process without faults.
    Calm,
    /// Server processes whose dependencies fail.
    Dependencies,
    /// Server processes that are killed and restarted.
    Restarts,
    /// Simulated clusters of several sizes, without faults.
    Scale,
    /// Simulated clusters with faults.
    Simulate,
}

impl Experiment {
    /// Returns the experiment with the given name.
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

    /// The value of `trial` in the JSON report. Tools parse it, so it stays the same when a command is renamed.
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

    /// Runs the experiment to completion.
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
