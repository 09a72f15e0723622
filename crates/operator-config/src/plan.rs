//! Builds the plan by which the server calls dependencies and composes pages.
use crate::{Dependency, Fallback, OperatorConfig, Part};
use cottondyke_dependency as dependency;
use cottondyke_types::Time;
use std::rc::Rc;

const BYTES_PER_MB: f64 = (1 << 20) as f64;

/// The properties of a handler that the plan and the validation need. The platform's configuration or the file itself
/// declares the handler.
#[derive(Clone, Debug, PartialEq)]
pub struct HandlerSpec {
    /// The name by which a page refers to it.
    pub name: String,
    /// The time within which a response has its full value.
    pub response_target: Time,
}

impl OperatorConfig {
    /// The handlers that the file itself declares.
    pub fn declared_handlers(&self) -> Vec<HandlerSpec> {
        self.handlers
            .iter()
            .map(|handler| HandlerSpec {
                name: handler.name.clone(),
                response_target: handler.response_target,
            })
            .collect()
    }

    /// The plan of a validated file and, for each of `handlers`, the index of its page in the plan's aggregations.
    pub fn plan(&self, handlers: &[HandlerSpec]) -> (dependency::Plan, Vec<Option<usize>>) {
        let plan = dependency::Plan {
            dependencies: self
                .dependencies
                .iter()
                .map(|dependency| Rc::new(self.plan_dependency(dependency)))
                .collect(),
            aggregations: self
                .aggregations
                .iter()
                .map(|aggregation| dependency::Aggregation {
                    parts: aggregation
                        .parts
                        .iter()
                        .map(|part| self.plan_part(part))
                        .collect(),
                })
                .collect(),
            stale_cache_bytes: (self.stale_cache_mb * BYTES_PER_MB) as usize,
            safeguards: self.safeguards(),
        };
        let aggregation_of = |handler: &HandlerSpec| {
            self.aggregations
                .iter()
                .position(|aggregation| aggregation.handler == handler.name)
        };
        (plan, handlers.iter().map(aggregation_of).collect())
    }

    fn plan_dependency(&self, declared: &Dependency) -> dependency::Dependency {
        let max_calls = self.max_calls(declared).max(1) as usize;
        dependency::Dependency {
            name: declared.name.as_str().into(),
            addr: declared.address,
            path: declared.path.as_str().into(),
            json: declared.responses_are_json,
            time_budget: declared.time_budget,
            max_calls,
            leased_calls: None,
            max_rate: declared.max_rate.map(|rate| match self.instances {
                Some(instances) if !declared.per_instance => (rate / instances) as usize,
                _ => rate as usize,
            }),
            leased_rate: None,
            min_limit: (declared.min_limit as usize).min(max_calls),
            post_cancel_grace: declared.post_cancel_grace,
            max_waiting: declared
                .max_waiting
                .map_or(max_calls, |waiting| waiting as usize),
            retry_ratio: declared.retry_ratio,
            hedge_quantile: declared.hedge_quantile,
        }
    }

    fn plan_part(&self, part: &Part) -> dependency::PartSpec {
        let responses_are_json = self
            .dependencies
            .iter()
            .any(|declared| declared.name == part.dependency && declared.responses_are_json);
        dependency::PartSpec {
            name: part.name.as_str().into(),
            dependency: self.dependency_index(&part.dependency),
            required: part.required,
            fallbacks: part
                .fallbacks
                .iter()
                .map(|(_, fallback)| self.plan_fallback(fallback, responses_are_json))
                .collect(),
        }
    }

    fn plan_fallback(&self, fallback: &Fallback, as_json: bool) -> dependency::Fallback {
        match fallback {
            Fallback::Cached(max_age) => dependency::Fallback::Cached(*max_age),
            Fallback::Secondary(name) => {
                dependency::Fallback::Secondary(self.dependency_index(name))
            }
            Fallback::Default(value) => {
                let text = match value.as_str() {
                    Some(text) if !as_json => text.to_string(),
                    _ => value.to_string(),
                };
                dependency::Fallback::Default(text.into_bytes().into())
            }
            Fallback::Omit => dependency::Fallback::Omit,
        }
    }

    /// The index of a dependency in the plan.
    fn dependency_index(&self, name: &str) -> usize {
        self.dependencies
            .iter()
            .position(|declared| declared.name == name)
            .unwrap_or_default()
    }
}
