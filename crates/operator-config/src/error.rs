//! An error in the operator's file, and its location.
use serde::{Deserialize, Serialize};
use std::fmt;

/// A location in a script.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SourceLocation {
    /// The path of the script, as it was given or loaded.
    pub file: String,
    /// The line, counted from 1; 0 if it is unknown.
    pub line: usize,
}

impl SourceLocation {
    /// The location of a file as a whole, without a line.
    pub fn file_only(file: impl Into<String>) -> Self {
        SourceLocation {
            file: file.into(),
            line: 0,
        }
    }
}

impl fmt::Display for SourceLocation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.line {
            0 => formatter.write_str(&self.file),
            line => write!(formatter, "{}:{line}", self.file),
        }
    }
}

/// An error in a script and its location, displayed on one line as `FILE:LINE: MESSAGE`.
///
/// The evaluator's process sends it to the server as JSON, so the message is text here. The modules that detect errors
/// have an enum each (`ArgumentError`, `DeclarationError`, `ValidationError`, and `EvaluationError` in the evaluator).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{location}: {message}")]
pub struct ConfigError {
    /// The location of the invalid declaration.
    pub location: SourceLocation,
    /// What was found and what was expected, on one line.
    pub message: String,
}

impl ConfigError {
    /// Creates an error at `location` whose message is the text of `cause`.
    pub fn new(location: SourceLocation, cause: impl fmt::Display) -> Self {
        ConfigError {
            location,
            message: cause.to_string(),
        }
    }
}
