//! The operator's file: a Starlark script that declares handlers, dependencies and pages. `script` evaluates it
//! within bounds and records what it declares, `args` and `typed` turn that into values, `check` holds them
//! against each other. Every error names file, line and value, and what was expected.
//!
//! Evaluation bounds steps, depth, heap and files, but no interpreter bounds one allocation: the program
//! evaluates in a child process under the system's limits (`docs/operators/file.md`).
mod args;
mod check;
mod script;
mod typed;

pub use check::Known;
pub use typed::*;

use serde::{Deserialize, Serialize};
use std::fmt;
use std::path::Path;

/// A place in a script.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Place {
    pub file: String,
    /// From 1; 0 where no line can be told.
    pub line: usize,
}

/// What is wrong with a file, on one line.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Wrong {
    pub at: Place,
    pub what: String,
}

impl fmt::Display for Wrong {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.at.line {
            0 => write!(to, "{}: {}", self.at.file, self.what),
            line => write!(to, "{}:{}: {}", self.at.file, line, self.what),
        }
    }
}

impl std::error::Error for Wrong {}

/// Evaluates the script at `path`. What it declares is typed; `Operator::check` holds it against the handlers.
pub fn evaluate(path: &Path) -> Result<Operator, Wrong> {
    let declared = script::run(path)?;
    typed::operator(&path.display().to_string(), declared)
}
