//! Errors in the program's two files. Each prints as one line that names the file and the key or declaration.
use cottondyke_operator_config::{ConfigError as OperatorConfigError, SourceLocation};
use cottondyke_settings::SettingsError;
use std::io;
use std::process::ExitStatus;

/// Why a configuration cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// Neither file was given.
    #[error("no configuration: give --config FILE, --operator FILE or both, or set GW_CONFIG")]
    NoFiles,
    /// A file cannot be read.
    #[error("{path}: {source}")]
    Unreadable {
        /// The file.
        path: String,
        /// The system's error.
        source: io::Error,
    },
    /// An error within a file, or within a section of one.
    #[error("{context}: {source}")]
    Within {
        /// The file or section.
        context: String,
        /// The error there.
        source: Box<ConfigError>,
    },
    /// The platform's configuration is not JSON.
    #[error("not JSON: {0}")]
    NotJson(#[source] serde_json::Error),
    /// A required section is missing or not an object.
    #[error("{0} is missing or not an object")]
    Missing(&'static str),
    /// A value that the settings package rejects.
    #[error("{0}")]
    Value(#[source] SettingsError),
    /// A text that is not a socket address.
    #[error("{key} is {text:?}: expected an IP address with a port such as \"127.0.0.1:8080\"")]
    InvalidAddress {
        /// The key.
        key: &'static str,
        /// Its value.
        text: String,
    },
    /// There are no classes, or one has no name.
    #[error("settings: classes is empty or has an entry without a name")]
    UnnamedClass,
    /// A seed that is not a hexadecimal number of 64 bits.
    #[error("seed is not a 64-bit hexadecimal number")]
    InvalidSeed,
    /// Fewer descriptors than the program itself needs.
    #[error("limits: sockets must be over {reserved}")]
    TooFewSockets {
        /// Descriptors that are reserved.
        reserved: u64,
    },
    /// A memory limit that does not hold the program and its callers.
    #[error("limits: memory_mb is {memory_mb}: expected at least {min_mb}")]
    TooLittleMemory {
        /// The limit in megabytes.
        memory_mb: usize,
        /// The smallest limit in megabytes.
        min_mb: usize,
    },
    /// A name that cannot be part of a path.
    #[error("name is invalid: expected one or more letters, digits, dashes, dots and underscores")]
    InvalidName,
    /// `front.callers` has a value that this version does not know.
    #[error("front.callers is {value}: expected \"connections\" or \"told\"")]
    UnknownCallers {
        /// Its value, as JSON.
        value: String,
    },
    /// The number of callers is configured although callers are counted by their connections.
    #[error(
        "settings.family_info.upstreams is {upstreams}, but front.callers = \"connections\" counts callers by their \
         connections: expected only one of the two"
    )]
    MixedCallers {
        /// The count that was configured, as JSON.
        upstreams: String,
    },
    /// A number outside the range of plausible values.
    #[error("{key} is {value}, which is out of range")]
    OutOfRange {
        /// The key.
        key: &'static str,
        /// Its value.
        value: f64,
    },
    /// `below` has a value that this version does not know.
    #[error("below is {value:?}: expected \"none\", \"common\" or \"next_hop\"")]
    UnknownBelow {
        /// Its value.
        value: String,
    },
    /// The operator's file declares what the platform's configuration already does.
    #[error(
        "{}:{}: {what}: the platform's configuration already declares this; expected it in only one of the two",
        .at.file, .at.line
    )]
    DeclaredTwice {
        /// Where it is in the operator's file.
        at: SourceLocation,
        /// The declaration.
        what: &'static str,
    },
    /// The operator's file is invalid, by itself or against the handlers.
    #[error("{0}")]
    Operator(#[source] OperatorConfigError),
    /// The operator's file reserves too much memory for cached responses.
    #[error(
        "{}:{}: fleet: kept_mb = {cache_mb}: expected at most a quarter of the memory, {max_mb}",
        .at.file, .at.line
    )]
    CacheTooLarge {
        /// Where the reservation is.
        at: SourceLocation,
        /// The megabytes that it reserves.
        cache_mb: f64,
        /// The most megabytes that it may reserve.
        max_mb: f64,
    },
    /// Calls to dependencies leave no descriptors for callers.
    #[error(
        "{}:{}: dependency {dependency:?}: ceiling = {ceiling} allows this instance {calls} calls, whose connections \
         leave none of {connections} for callers: expected more sockets or lower ceilings",
        .at.file, .at.line
    )]
    TooManyCalls {
        /// Where the dependency is declared.
        at: SourceLocation,
        /// Its name.
        dependency: String,
        /// Its `ceiling`.
        ceiling: u64,
        /// The calls that this instance may have in flight there.
        calls: u64,
        /// The connections that callers and dependencies share.
        connections: usize,
    },
    /// The operator's file changes what cannot change while the server runs.
    #[error("{file}: serve, handler and customer cannot change while the server runs")]
    FixedWhileRunning {
        /// The operator's file.
        file: String,
    },
    /// The operator's file adds or removes `peers(...)` while the server runs.
    #[error("{file}: peers(...) cannot be added or removed while the server runs")]
    PeersFixedWhileRunning {
        /// The operator's file.
        file: String,
    },
    /// The operator's file could not be evaluated.
    #[error("{path}: cannot be evaluated: {source}")]
    Evaluation {
        /// The operator's file.
        path: String,
        /// The reason.
        source: EvaluationError,
    },
    /// The thread that reads the files again ended without a result.
    #[error("the thread that reads the configuration files panicked")]
    ReaderPanicked,
}

impl ConfigError {
    /// Adds the file or section that an error is in.
    pub(super) fn within(self, context: impl Into<String>) -> Self {
        ConfigError::Within {
            context: context.into(),
            source: Box::new(self),
        }
    }

    /// Wraps an error of the settings package in the section `settings`.
    pub(super) fn settings(error: SettingsError) -> Self {
        ConfigError::Value(error).within("settings")
    }
}

/// Why the evaluator returned no result.
#[derive(Debug, thiserror::Error)]
pub enum EvaluationError {
    /// The directory of this program, in which the evaluator is installed, is not known.
    #[error("{evaluator} cannot be found: {source}")]
    NotFound {
        /// The evaluator.
        evaluator: &'static str,
        /// The system's error.
        source: io::Error,
    },
    /// The evaluator cannot be started.
    #[error("cannot start {path}: {source}")]
    NotStarted {
        /// The evaluator.
        path: String,
        /// The system's error.
        source: io::Error,
    },
    /// Waiting for the evaluator failed.
    #[error("cannot wait for the evaluator: {0}")]
    Wait(#[source] io::Error),
    /// The evaluation took too long.
    #[error("the evaluation took longer than {seconds} s")]
    Timeout {
        /// The limit in seconds.
        seconds: u64,
    },
    /// The evaluator failed, usually because the operator's file exceeded its limits.
    #[error(
        "{evaluator} ended with {status}: expected the script to use less memory and CPU time"
    )]
    Failed {
        /// The evaluator.
        evaluator: &'static str,
        /// Its exit status.
        status: ExitStatus,
    },
    /// The evaluator's result cannot be decoded.
    #[error("cannot decode the evaluator's result: {0}")]
    InvalidResult(#[source] serde_json::Error),
}
