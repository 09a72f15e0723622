//! What can be invalid about one declaration.

/// What is invalid about a declaration whose arguments are plausible one by one.
#[derive(Debug, thiserror::Error)]
pub(super) enum DeclarationError {
    #[error("expected a declaration")]
    NotADeclaration,
    #[error("declared twice: expected once")]
    DeclaredTwice,
    #[error("client_timeout is {timeout}: expected no less than the response target of {target}")]
    TimeoutBelowTarget { timeout: String, target: String },
    #[error(
        "data is missing: expected a folder that outlives the process, since this instance is a keeper"
    )]
    MissingDataDirectory,
    #[error("parts holds {count}: expected 1 to {max}")]
    PartCount { count: usize, max: usize },
    #[error("{count} fall-backs: expected at most {max}")]
    TooManyFallbacks { count: usize, max: usize },
    #[error("fallbacks holds {function}(): expected {expected}")]
    NotAFallback {
        function: String,
        expected: &'static str,
    },
    #[error("off holds {value}: expected any of {known}{suggestion}")]
    UnknownSafeguard {
        value: String,
        known: String,
        suggestion: String,
    },
}
