//! What can be wrong with the settings.

/// A fault in the settings, or in another JSON document that is read by this package's functions.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SettingsError {
    /// A value that is needed stands nowhere.
    #[error("{key} is missing")]
    Missing {
        /// Where it was looked for.
        key: String,
    },
    /// A text is needed.
    #[error("{key} is missing or not a text")]
    NotText {
        /// Where it was looked for.
        key: String,
    },
    /// A whole number from 0 is needed.
    #[error("{key} is missing or not a whole number")]
    NotUnsigned {
        /// Where it was looked for.
        key: String,
    },
    /// A finite number is needed.
    #[error("{key} is not a number")]
    NotNumber {
        /// Where it stands.
        key: String,
    },
    /// A list of booleans holds something else.
    #[error("{key}[{index}] is {value}: expected true or false")]
    NotBoolean {
        /// The list.
        key: &'static str,
        /// The position in it.
        index: usize,
        /// What stands there, as JSON.
        value: String,
    },
    /// A group of settings is missing or not an object.
    #[error("settings without {section}")]
    MissingSection {
        /// Its key.
        section: &'static str,
    },
    /// A text is none of those that the key may have.
    #[error("unknown {key} {value}")]
    UnknownValue {
        /// Where it stands.
        key: &'static str,
        /// The text.
        value: String,
    },
}
