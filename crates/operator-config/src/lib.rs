//! The operator's file as values: what a Starlark script declared (`cottondyke-script` evaluates it) becomes typed,
//! and is held against itself and the handlers. Every error names file, line and value, and what was expected.
#![expect(
    missing_docs,
    unreachable_pub,
    clippy::too_many_lines,
    reason = "not yet read through; see docs/ROADMAP.md"
)]

mod arguments;
mod model;
mod validate;

pub use model::*;
pub use validate::{budget_of, rate_of, HandlerSpec};

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use std::fmt;

/// A place in a script.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SourceLocation {
    pub file: String,
    /// From 1; 0 where no line can be told.
    pub line: usize,
}

/// What is wrong with a file, on one line.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigError {
    pub location: SourceLocation,
    pub message: String,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.location.line {
            0 => write!(to, "{}: {}", self.location.file, self.message),
            line => write!(to, "{}:{}: {}", self.location.file, line, self.message),
        }
    }
}

impl std::error::Error for ConfigError {}

/// Marks what `part`, `kept` and their like return: which function made it, and where.
pub const MADE: &str = "#made";
pub const AT: &str = "#at";

/// One declaration: which function was called, where, and with what.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Declaration {
    pub function: String,
    pub at: SourceLocation,
    pub args: Vec<Value>,
    pub named: Map<String, Value>,
}
