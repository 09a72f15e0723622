//! Checks a file that stands alone, without the platform's configuration.
use super::error::ValidationError;
use crate::{ConfigError, OperatorConfig, SourceLocation};

impl OperatorConfig {
    /// Checks that the file can be obeyed on its own. Nothing but its pages can run its handlers then.
    pub fn validate_standalone(&self) -> Result<(), ConfigError> {
        let file = SourceLocation::file_only(&self.file);
        if self.serve.is_none() {
            return Err(ValidationError::MissingServe.at(&file));
        }
        if self.handlers.is_empty() {
            return Err(ValidationError::NoHandlers.at(&file));
        }
        self.validate(&self.declared_handlers())?;
        let has_aggregation = |name: &str| {
            self.aggregations
                .iter()
                .any(|aggregation| aggregation.handler == name)
        };
        for handler in &self.handlers {
            if !has_aggregation(&handler.name) {
                let name = handler.name.clone();
                return Err(ValidationError::HandlerWithoutPage { name }.at(&handler.at));
            }
        }
        Ok(())
    }
}
