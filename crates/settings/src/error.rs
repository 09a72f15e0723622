//! Errors in the settings.

/// An error in the settings, or in another JSON document that is read with this package's functions.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SettingsError {
    /// A required value is missing.
    #[error("{key} is missing")]
    Missing {
        /// Its key.
        key: String,
    },
    /// A string is required, and the value is missing or something else.
    #[error("{key} is missing or not a string")]
    NotString {
        /// Its key.
        key: String,
    },
    /// A non-negative whole number is required, and the value is missing or something else.
    #[error("{key} is missing or not a whole number")]
    NotUnsigned {
        /// Its key.
        key: String,
    },
    /// A finite number is required, and the value is something else.
    #[error("{key} is not a number")]
    NotNumber {
        /// Its key.
        key: String,
    },
    /// An item of a list of booleans is something else.
    #[error("{key}[{index}] is {value}: expected true or false")]
    NotBoolean {
        /// The key of the list.
        key: &'static str,
        /// The position of the item.
        index: usize,
        /// The item, as JSON.
        value: String,
    },
    /// A section of the settings is missing or not an object.
    #[error("{section} is missing or not an object")]
    MissingSection {
        /// Its key.
        section: &'static str,
    },
    /// A string is none of the values that its key may have.
    #[error("unknown {key} {value:?}")]
    UnknownValue {
        /// Its key.
        key: &'static str,
        /// The string.
        value: String,
    },
}
