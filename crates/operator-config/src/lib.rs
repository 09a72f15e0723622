//! The operator's file as values: what a Starlark script declared (`cottondyke-script` evaluates it) becomes typed,
//! and is held against itself and the handlers. Every error names file, line and value, and what was expected.
mod args;
mod check;
mod typed;

pub use check::{budget_of, rate_of, Known};
pub use typed::*;

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use std::fmt;

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

/// Marks what `part`, `kept` and their like return: which function made it, and where.
pub const MADE: &str = "#made";
pub const AT: &str = "#at";

/// One declaration: which function was called, where, and with what.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Declared {
    pub function: String,
    pub at: Place,
    pub args: Vec<Value>,
    pub named: Map<String, Value>,
}
