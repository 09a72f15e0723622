//! What is wrong with the program's two files. Each error prints as one line that names the place.
use cottondyke_operator_config::{ConfigError as OperatorConfigError, SourceLocation};
use cottondyke_settings::SettingsError;
use std::io;
use std::process::ExitStatus;

/// Why the configuration cannot be in force.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// Neither file was named.
    #[error("no configuration: give --config FILE, --operator FILE or both, or set GW_CONFIG")]
    NoFiles,
    /// A file cannot be read.
    #[error("{path}: {source}")]
    Unreadable {
        /// The file.
        path: String,
        /// What the system says.
        source: io::Error,
    },
    /// Something in a file, or in a section of it.
    #[error("{place}: {source}")]
    In {
        /// The file or section.
        place: String,
        /// What is wrong there.
        source: Box<ConfigError>,
    },
    /// The platform's configuration is not JSON.
    #[error("not JSON: {0}")]
    NotJson(#[source] serde_json::Error),
    /// A section that must be there.
    #[error("{0} is missing")]
    Missing(&'static str),
    /// A value that cannot be used, as the settings package says.
    #[error("{0}")]
    Value(#[source] SettingsError),
    /// An address that cannot be read.
    #[error("{key} is not an address with a port: {text}")]
    InvalidAddress {
        /// The key.
        key: &'static str,
        /// Its value.
        text: String,
    },
    /// No classes, or one without a name.
    #[error("settings: classes is empty or lacks a name")]
    UnnamedClass,
    /// A seed that cannot be read.
    #[error("seed is not a hexadecimal number")]
    InvalidSeed,
    /// Fewer descriptors than the program itself needs.
    #[error("limits: sockets must be over {reserved}")]
    TooFewSockets {
        /// Descriptors that are reserved.
        reserved: u64,
    },
    /// A name that cannot stand in a path.
    #[error("name may hold letters, digits, dots and dashes")]
    InvalidName,
    /// `front.callers` says something that this version does not know.
    #[error("front.callers is {value}: expected \"connections\" or \"told\"")]
    UnknownCallers {
        /// Its value, as JSON.
        value: String,
    },
    /// Callers are counted in two ways.
    #[error(
        "settings.family_info.upstreams is {upstreams}, beside front.callers = \"connections\": \
         the first shape and the new one are mixed; expected one of the two"
    )]
    MixedCallers {
        /// The count that was configured, as JSON.
        upstreams: String,
    },
    /// A number that no server can have.
    #[error("{key} is {value}, which no server can have")]
    Implausible {
        /// The key.
        key: &'static str,
        /// Its value.
        value: f64,
    },
    /// `below` says something that this version does not know.
    #[error("below is {value:?}: expected \"none\", \"common\" or \"next_hop\"")]
    UnknownBelow {
        /// Its value.
        value: String,
    },
    /// The operator's file declares what the platform's configuration holds.
    #[error(
        "{}:{}: {what}: the configuration tells that already; expected it in one of the two",
        .at.file, .at.line
    )]
    DeclaredTwice {
        /// Where it stands in the operator's file.
        at: SourceLocation,
        /// The declaration.
        what: &'static str,
    },
    /// The operator's file does not fit the handlers.
    #[error("{0}")]
    Operator(#[source] OperatorConfigError),
    /// The operator's file reserves too much memory for cached responses.
    #[error(
        "{}:{}: fleet: kept_mb = {cache_mb}: expected at most a quarter of the memory, {max_mb}",
        .at.file, .at.line
    )]
    CacheTooLarge {
        /// Where it stands.
        at: SourceLocation,
        /// Its megabytes.
        cache_mb: f64,
        /// The most megabytes that it may have.
        max_mb: f64,
    },
    /// Calls to dependencies leave no descriptors for callers.
    #[error(
        "{}:{}: dependency {dependency:?}: ceiling = {ceiling} is {calls} calls here, whose connections leave none of \
         {connections} for callers: expected more sockets or lower ceilings",
        .at.file, .at.line
    )]
    TooManyCalls {
        /// Where the dependency stands.
        at: SourceLocation,
        /// Its name.
        dependency: String,
        /// Its calls over all instances.
        ceiling: u64,
        /// Its calls here.
        calls: u64,
        /// The connections that callers and dependencies share.
        connections: usize,
    },
    /// The operator's file changes what is fixed while the server runs.
    #[error("{file}: serve, handler and customer cannot change while the server runs")]
    FixedWhileRunning {
        /// The operator's file.
        file: String,
    },
    /// The operator's file adds or removes `peers(...)` while the server runs.
    #[error("{file}: peers(...) cannot be added or taken out while the server runs")]
    PeersFixedWhileRunning {
        /// The operator's file.
        file: String,
    },
    /// The operator's script could not be evaluated.
    #[error("{path}: cannot be evaluated: {source}")]
    Evaluation {
        /// The script.
        path: String,
        /// Why.
        source: EvaluationError,
    },
    /// The thread that reads the files ended without a result.
    #[error("reading the files anew panicked")]
    ReaderPanicked,
}

impl ConfigError {
    /// Says in which file or section an error is.
    pub(super) fn within(self, place: impl Into<String>) -> Self {
        ConfigError::In {
            place: place.into(),
            source: Box::new(self),
        }
    }

    /// An error of the settings package about the section `settings`.
    pub(super) fn settings(error: SettingsError) -> Self {
        ConfigError::Value(error).within("settings")
    }
}

/// Why the evaluating program brought no result.
#[derive(Debug, thiserror::Error)]
pub enum EvaluationError {
    /// The place of this program, beside which it lies, is not known.
    #[error("{evaluator} cannot be found: {source}")]
    NotFound {
        /// The evaluating program.
        evaluator: &'static str,
        /// What the system says.
        source: io::Error,
    },
    /// It cannot be started.
    #[error("{path}: {source}")]
    NotStarted {
        /// The evaluating program.
        path: String,
        /// What the system says.
        source: io::Error,
    },
    /// It cannot be waited for.
    #[error("{0}")]
    Wait(#[source] io::Error),
    /// It took too long.
    #[error("it takes longer than {seconds} s")]
    Timeout {
        /// The limit.
        seconds: u64,
    },
    /// It went past its limits.
    #[error("{evaluator} ended with {status}: expected the script to need less")]
    Failed {
        /// The evaluating program.
        evaluator: &'static str,
        /// How it ended.
        status: ExitStatus,
    },
    /// Its result cannot be read.
    #[error("{0}")]
    InvalidResult(#[source] serde_json::Error),
}
