//! What can be wrong with the input.

use cottondyke_settings::SettingsError;

/// Why a batch could not be carried out. The program ends with it.
#[derive(Debug, thiserror::Error)]
pub(crate) enum AdapterError {
    /// A value of an event or of the settings.
    #[error(transparent)]
    Value(#[from] SettingsError),
    #[error("{key} is past 32 bits")]
    IdTooLarge { key: &'static str },
    #[error("category {category} is past the list of classes")]
    UnknownHandler { category: usize },
    #[error("unknown ending {ending} of a run")]
    UnknownRunEnding { ending: String },
    #[error("unknown ending {ending} of a call")]
    UnknownCallEnding { ending: String },
    #[error("usage is missing or not a row")]
    MissingUsage,
    #[error("Create without its settings (conf)")]
    MissingSettings,
    #[error("{event} for {instance}, which is not running")]
    NotRunning { event: String, instance: String },
    #[error("unknown event {event}")]
    UnknownEvent { event: String },
    #[error("a batch without its list of arrivals")]
    MissingEvents,
    #[error("not JSON: {0}")]
    NotJson(#[source] serde_json::Error),
    #[error("line {line}: {source}")]
    AtLine {
        line: usize,
        source: Box<AdapterError>,
    },
    #[error("standard input: {0}")]
    Input(#[source] std::io::Error),
    #[error("standard output: {0}")]
    Output(#[source] std::io::Error),
}
