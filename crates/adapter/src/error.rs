//! Errors of the adapter.

use cottondyke_settings::SettingsError;

/// Why a batch could not be processed. The program exits at the first error.
#[derive(Debug, thiserror::Error)]
pub(crate) enum AdapterError {
    /// A missing or invalid value of an event or of the settings.
    #[error(transparent)]
    Value(#[from] SettingsError),
    #[error("{key} does not fit in 32 bits")]
    IdTooLarge { key: &'static str },
    #[error("category {category} is not an index of the list of classes")]
    UnknownHandler { category: usize },
    #[error("unknown ending {ending:?} of a run")]
    UnknownRunEnding { ending: String },
    #[error("unknown ending {ending:?} of a call")]
    UnknownCallEnding { ending: String },
    #[error("usage is missing or not a list")]
    MissingUsage,
    #[error("conf of a Create event is missing or not an object")]
    MissingSettings,
    #[error("event {event:?} for instance {instance:?}, which is not running")]
    NotRunning { event: String, instance: String },
    #[error("unknown event {event:?}")]
    UnknownEvent { event: String },
    #[error("arrivals is missing or not a list")]
    MissingEvents,
    #[error("invalid JSON: {0}")]
    NotJson(#[source] serde_json::Error),
    #[error("line {line}: {source}")]
    AtLine {
        line: usize,
        source: Box<AdapterError>,
    },
    #[error("cannot read standard input: {0}")]
    Input(#[source] std::io::Error),
    #[error("cannot write to standard output: {0}")]
    Output(#[source] std::io::Error),
}
