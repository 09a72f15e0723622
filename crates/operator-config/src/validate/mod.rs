//! Checks the declarations of a file against each other and against the known handlers: undeclared names, time budgets
//! that exceed a response target, shares of zero.
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
    /// Checks that the file is consistent with itself and with these handlers. The first error is returned.
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

    /// Checks that nothing is declared together with `peers(...)` that requires fixed shares.
    fn check_peers(&self) -> Result<(), ConfigError> {
        let Some(peers) = &self.peers else {
            return Ok(());
        };
        if let Some(instances) = self.instances {
            let peers_line = peers.at.line;
            let error = ValidationError::InstancesWithPeers {
                instances,
                peers_line,
            };
            return Err(error.at(&self.fleet_location));
        }
        if let Some(tenant) = self.tenants.first() {
            let name = tenant.name.clone();
            return Err(ValidationError::TenantWithPeers { name }.at(&tenant.at));
        }
        Ok(())
    }
}
