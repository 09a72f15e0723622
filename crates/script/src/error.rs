//! The errors of an evaluation besides those of the interpreter, and the conversion of both to a one-line
//! [`ConfigError`].
use crate::limits::{
    MAX_DECLARATIONS, MAX_FILES, MAX_FILE_BYTES, MAX_HEAP_BYTES, MAX_LOAD_DEPTH, MAX_TICKS,
};
use cottondyke_operator_config::{ConfigError, SourceLocation};
use starlark::codemap::FileSpan;
use std::io;

/// The maximum length of an error message, in characters.
const MAX_MESSAGE_CHARS: usize = 400;

/// An error that this crate detects while the interpreter runs.
#[derive(Debug, thiserror::Error)]
pub(crate) enum EvaluationError {
    #[error("{function}: {argument} is a {type_name}: expected a value that JSON can represent")]
    NotJsonCompatible {
        function: &'static str,
        argument: String,
        type_name: &'static str,
    },
    #[error("{function} cannot be called here")]
    MissingRecorder { function: &'static str },
    #[error("{function}: more than {MAX_DECLARATIONS} declarations")]
    TooManyDeclarations { function: &'static str },
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    #[error("load({path:?}): expected a file in the script's own directory")]
    InvalidPath { path: String },
    #[error("load({path:?}): {source}")]
    NotFound {
        path: String,
        #[source]
        source: io::Error,
    },
    #[error("load({path:?}): it is outside the script's directory")]
    OutsideDirectory { path: String },
    #[error("load({path:?}): the file is already being loaded (circular load)")]
    CircularLoad { path: String },
    #[error("load({path:?}): expected at most {MAX_FILES} files, {MAX_LOAD_DEPTH} deep")]
    TooManyLoads { path: String },
    #[error("{file}: {source}")]
    CannotRead {
        file: String,
        #[source]
        source: io::Error,
    },
    #[error("{file}: {bytes} bytes, expected at most {MAX_FILE_BYTES}")]
    FileTooLarge { file: String, bytes: u64 },
    #[error("{file}: expected at most {MAX_TICKS} steps and {MAX_HEAP_BYTES} bytes of heap")]
    LimitExceeded { file: String },
    #[error("{file}: {reason}")]
    CannotFreeze { file: String, reason: String },
}

impl From<EvaluationError> for starlark::Error {
    fn from(error: EvaluationError) -> Self {
        starlark::Error::new_other(error)
    }
}

/// Converts a source span of the interpreter to the location of its start.
pub(crate) fn location_of(span: &FileSpan) -> SourceLocation {
    SourceLocation {
        file: span.filename().to_string(),
        line: span.resolve_span().begin.line + 1,
    }
}

/// Converts an error of the interpreter to one line, without its excerpt of the source. If the interpreter names no
/// position, the error is located at the script `file` as a whole.
pub(crate) fn to_config_error(file: &str, error: &starlark::Error) -> ConfigError {
    let location = match error.span() {
        Some(span) => location_of(span),
        None => SourceLocation::file_only(file),
    };
    let text = error.without_diagnostic().to_string();
    let lines: Vec<&str> = text
        .lines()
        .map(str::trim)
        .filter(|line| !line.is_empty())
        .collect();
    let message: String = lines
        .join("; ")
        .chars()
        .filter(|c| !c.is_control())
        .take(MAX_MESSAGE_CHARS)
        .collect();
    ConfigError { location, message }
}
