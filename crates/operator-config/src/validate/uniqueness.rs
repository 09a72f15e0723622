//! Checks that no name is declared twice.
use super::error::ValidationError;
use crate::{ConfigError, SourceLocation};

/// Checks that the names are unique. Of two declarations of one name, the second is reported as the error.
pub(super) fn check_unique<'a>(
    kind: &'static str,
    declarations: impl Iterator<Item = (&'a str, &'a SourceLocation)>,
) -> Result<(), ConfigError> {
    let mut seen: Vec<(&str, &SourceLocation)> = Vec::new();
    for (name, at) in declarations {
        if let Some((_, first)) = seen.iter().find(|(other, _)| *other == name) {
            let error = ValidationError::DeclaredTwice {
                kind,
                name: name.to_string(),
                first_line: first.line,
            };
            return Err(error.at(at));
        }
        seen.push((name, at));
    }
    Ok(())
}
