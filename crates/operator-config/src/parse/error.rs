//! The errors of one declaration.

/// An error of a declaration that is not an `ArgumentError`.
#[derive(Debug, thiserror::Error)]
pub(super) enum DeclarationError {
    #[error("expected a declaration")]
    NotADeclaration,
    #[error("declared twice: expected once")]
    DeclaredTwice,
    #[error("client_timeout is {timeout}: expected no less than the response target of {target}")]
    TimeoutBelowTarget { timeout: String, target: String },
    #[error(
        "data is missing: expected a directory that persists across restarts, since this instance is one of the keepers"
    )]
    MissingDataDirectory,
    #[error("{count} parts: expected 1 to {max}")]
    PartCount { count: usize, max: usize },
    #[error("{count} fallbacks: expected at most {max}")]
    TooManyFallbacks { count: usize, max: usize },
    #[error("fallbacks contains {function}(): expected {expected}")]
    NotAFallback {
        function: String,
        expected: &'static str,
    },
    #[error("off contains {value}: expected any of {known}{suggestion}")]
    UnknownSafeguard {
        value: String,
        known: String,
        suggestion: String,
    },
}
