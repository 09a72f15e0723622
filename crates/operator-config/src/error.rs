//! The error of the operator's file, and the place in a script that it names.
use serde::{Deserialize, Serialize};
use std::fmt;

/// A place in a script.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SourceLocation {
    /// The path of the script, as it was given or loaded.
    pub file: String,
    /// Counted from 1; 0 where no line is known.
    pub line: usize,
}

impl SourceLocation {
    /// A file as a whole, without a line.
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

/// What is invalid in a script and where. It is shown on one line: `FILE:LINE: MESSAGE`.
///
/// It crosses from the evaluator's process to the server as JSON, therefore the message is text here; the modules that
/// find an error have an enum each (`ArgumentError`, `ValidationError`, and `EvaluationError` of the evaluator).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{location}: {message}")]
pub struct ConfigError {
    /// The declaration at fault.
    pub location: SourceLocation,
    /// What was found and what was expected, on one line.
    pub message: String,
}

impl ConfigError {
    /// An error at `location`, with what `cause` prints as its message.
    pub fn new(location: SourceLocation, cause: impl fmt::Display) -> Self {
        ConfigError {
            location,
            message: cause.to_string(),
        }
    }
}
