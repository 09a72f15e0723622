//! Checks a file that is used without a platform configuration.
use super::error::ValidationError;
use crate::{ConfigError, OperatorConfig, SourceLocation};

impl OperatorConfig {
    /// Checks that the file is complete without a platform configuration. Each handler must have a page then, since
    /// nothing else would run its requests.
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
