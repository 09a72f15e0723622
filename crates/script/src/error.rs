//! What can go wrong during an evaluation beside the interpreter's own errors, and how either becomes the one line of a
//! [`ConfigError`].
use crate::limits::{
    MAX_DECLARATIONS, MAX_FILES, MAX_FILE_BYTES, MAX_HEAP_BYTES, MAX_LOAD_DEPTH, MAX_TICKS,
};
use cottondyke_operator_config::{ConfigError, SourceLocation};
use starlark::codemap::FileSpan;
use std::io;

/// The longest message of an error, in characters.
const MAX_MESSAGE_CHARS: usize = 400;

/// An error that this crate finds while the interpreter runs.
#[derive(Debug, thiserror::Error)]
pub(crate) enum EvaluationError {
    #[error("{function}: {argument} is a {type_name}: expected a plain value")]
    NotAPlainValue {
        function: &'static str,
        argument: String,
        type_name: &'static str,
    },
    #[error("{function} cannot be called here")]
    NotRecording { function: &'static str },
    #[error("{function}: more than {MAX_DECLARATIONS} declarations")]
    TooManyDeclarations { function: &'static str },
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    #[error("load({path:?}): expected a file in the script's own folder")]
    NotAPlainPath { path: String },
    #[error("load({path:?}): {source}")]
    CannotFind {
        path: String,
        #[source]
        source: io::Error,
    },
    #[error("load({path:?}): it lies outside the script's folder")]
    OutsideDirectory { path: String },
    #[error("load({path:?}): the files load each other in a circle")]
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
    #[error("{file}: expected at most {MAX_TICKS} steps and {MAX_HEAP_BYTES} bytes")]
    LimitExceeded { file: String },
    #[error("{file}: {reason}")]
    CannotFreeze { file: String, reason: String },
}

impl From<EvaluationError> for starlark::Error {
    fn from(error: EvaluationError) -> Self {
        starlark::Error::new_other(error)
    }
}

/// The place in a script that the interpreter names.
pub(crate) fn location_of(span: &FileSpan) -> SourceLocation {
    SourceLocation {
        file: span.filename().to_string(),
        line: span.resolve_span().begin.line + 1,
    }
}

/// An error of the interpreter on one line, without its drawing of the source. It is about the script at `file` where
/// the interpreter names no place.
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
