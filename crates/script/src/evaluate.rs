//! Evaluates one script.
use crate::error::to_config_error;
use crate::globals::{operator_globals, recorded_declarations, Recorder};
use crate::loader::ScriptLoader;
use cottondyke_operator_config::{ConfigError, Declaration, SourceLocation};
use std::path::Path;

/// Evaluates the script at `path`. Returns what it and the files that it loads declare, in the order of the calls.
///
/// # Errors
/// If a file cannot be read, is not valid Starlark, fails, or exceeds one of the [limits](crate::limits).
pub fn evaluate(path: &Path) -> Result<Vec<Declaration>, ConfigError> {
    let file = path.display().to_string();
    let globals = operator_globals();
    let recorder = Recorder::default();
    let loader = ScriptLoader::new(path, &globals, &recorder).map_err(|error| {
        let location = SourceLocation::file_only(&file);
        ConfigError::new(location, format!("cannot be read: {error}"))
    })?;
    loader
        .evaluate_file(path)
        .map_err(|error| to_config_error(&file, &error))?;
    recorded_declarations(&file, &recorder)
}
