//! Checks a file's declarations against each other and against the handlers that there are: names that are not
//! declared, budgets that cannot fit, quotas of nothing.
mod aggregations;
mod dependencies;
mod error;
mod standalone;
mod uniqueness;

use crate::plan::HandlerSpec;
use crate::{ConfigError, OperatorConfig, MAX_DEPENDENCIES};
use error::ValidationError;
use uniqueness::check_unique;

impl OperatorConfig {
    /// Checks that the file can be obeyed beside these handlers. The first error is returned.
    pub fn validate(&self, handlers: &[HandlerSpec]) -> Result<(), ConfigError> {
        check_unique("handler", self.handlers.iter().map(|h| (&*h.name, &h.at)))?;
        self.check_peers()?;
        check_unique("customer", self.tenants.iter().map(|t| (&*t.name, &t.at)))?;
        let dependencies = self.dependencies.iter();
        check_unique("dependency", dependencies.map(|d| (&*d.name, &d.at)))?;
        let aggregations = self.aggregations.iter();
        check_unique(
            "the page of handler",
            aggregations.map(|p| (&*p.handler, &p.at)),
        )?;
        if let Some(excess) = self.dependencies.get(MAX_DEPENDENCIES) {
            let max = MAX_DEPENDENCIES;
            return Err(ValidationError::TooManyDependencies { max }.at(&excess.at));
        }
        for dependency in &self.dependencies {
            self.check_dependency(dependency)?;
        }
        for aggregation in &self.aggregations {
            self.check_aggregation(aggregation, handlers)?;
        }
        Ok(())
    }

    /// Checks that nothing stands beside `peers(...)` that only fixed parts can serve.
    fn check_peers(&self) -> Result<(), ConfigError> {
        let Some(peers) = &self.peers else {
            return Ok(());
        };
        if let Some(instances) = self.instances {
            let peers_line = peers.at.line;
            let error = ValidationError::InstancesBesidePeers {
                instances,
                peers_line,
            };
            return Err(error.at(&self.fleet_at));
        }
        if let Some(tenant) = self.tenants.first() {
            let name = tenant.name.clone();
            return Err(ValidationError::TenantBesidePeers { name }.at(&tenant.at));
        }
        Ok(())
    }
}
