//! Checks that each instance's share of a dependency's ceiling and rate is at least 1, and its share of the ceiling at
//! least the floor.
use super::error::ValidationError;
use crate::{ConfigError, Dependency, OperatorConfig};

impl OperatorConfig {
    pub(super) fn check_dependency(&self, dependency: &Dependency) -> Result<(), ConfigError> {
        let name = || dependency.name.clone();
        let is_undivided = dependency.per_instance || self.peers.is_some();
        let Some(instances) = self.instances.or(is_undivided.then_some(1)) else {
            let error = ValidationError::IndivisibleCeiling {
                name: name(),
                ceiling: dependency.ceiling,
            };
            return Err(error.at(&dependency.at));
        };
        let max_calls = self.max_calls(dependency);
        if max_calls == 0 {
            let error = ValidationError::NothingPerInstance {
                name: name(),
                argument: "ceiling",
                total: dependency.ceiling,
                instances,
            };
            return Err(error.at(&dependency.at));
        }
        let rate_divisor = if dependency.per_instance {
            1
        } else {
            instances
        };
        if let Some(rate) = dependency.max_rate.filter(|rate| *rate < rate_divisor) {
            let error = ValidationError::NothingPerInstance {
                name: name(),
                argument: "rate",
                total: rate,
                instances: rate_divisor,
            };
            return Err(error.at(&dependency.at));
        }
        if dependency.min_limit > max_calls {
            let error = ValidationError::FloorAboveShare {
                name: name(),
                floor: dependency.min_limit,
                max_calls,
            };
            return Err(error.at(&dependency.at));
        }
        Ok(())
    }
}
