//! Checks that each page has a handler, that its parts name declared dependencies, and that the time budgets of a part
//! and its fallbacks fit the handler's response target.
use super::error::ValidationError;
use crate::format::format_duration;
use crate::plan::HandlerSpec;
use crate::suggestion::suggest_nearest;
use crate::{Aggregation, ConfigError, Dependency, Fallback, OperatorConfig, Part, SourceLocation};
use cottondyke_dependency::RESPONSE_TIME_RESERVE;
use cottondyke_types::Time;

impl OperatorConfig {
    pub(super) fn check_aggregation(
        &self,
        aggregation: &Aggregation,
        handlers: &[HandlerSpec],
    ) -> Result<(), ConfigError> {
        let handler = find_handler(aggregation, handlers)?;
        for (index, part) in aggregation.parts.iter().enumerate() {
            let earlier = &aggregation.parts[..index];
            if earlier.iter().any(|other| other.name == part.name) {
                let part_name = part.name.clone();
                return Err(ValidationError::DuplicatePart { part: part_name }.at(&part.at));
            }
            let calls = self.check_fallbacks(part)?;
            calls.check_fit(part, handler)?;
        }
        Ok(())
    }

    /// Checks the dependency and the fallbacks of a part. Returns the calls that it makes if all but the last fail.
    fn check_fallbacks<'a>(&self, part: &'a Part) -> Result<CallSequence<'a>, ConfigError> {
        let name = || part.name.clone();
        let primary = self.find_dependency(&part.at, &part.dependency)?;
        let mut calls = CallSequence {
            dependencies: vec![&part.dependency],
            time: primary.time_budget,
        };
        if part.required && !part.fallbacks.is_empty() {
            return Err(ValidationError::RequiredWithFallbacks { part: name() }.at(&part.at));
        }
        for (index, (at, fallback)) in part.fallbacks.iter().enumerate() {
            let is_last = index + 1 == part.fallbacks.len();
            match fallback {
                Fallback::Default(_) | Fallback::Omit if !is_last => {
                    return Err(ValidationError::UnreachableFallback { part: name() }.at(at));
                }
                Fallback::Secondary(dependency) if calls.dependencies.contains(&&**dependency) => {
                    let error = ValidationError::RepeatedDependency {
                        part: name(),
                        dependency: dependency.clone(),
                    };
                    return Err(error.at(at));
                }
                Fallback::Secondary(dependency) => {
                    calls.time += self.find_dependency(at, dependency)?.time_budget;
                    calls.dependencies.push(dependency);
                }
                Fallback::Cached(_) | Fallback::Default(_) | Fallback::Omit => {}
            }
        }
        Ok(calls)
    }

    fn find_dependency(&self, at: &SourceLocation, name: &str) -> Result<&Dependency, ConfigError> {
        let names = self.dependencies.iter().map(|declared| &*declared.name);
        self.dependencies
            .iter()
            .find(|declared| declared.name == name)
            .ok_or_else(|| {
                let error = ValidationError::UnknownDependency {
                    name: name.to_string(),
                    suggestion: suggest_nearest(name, names),
                };
                error.at(at)
            })
    }
}

fn find_handler<'a>(
    aggregation: &Aggregation,
    handlers: &'a [HandlerSpec],
) -> Result<&'a HandlerSpec, ConfigError> {
    let known = handlers
        .iter()
        .find(|handler| handler.name == aggregation.handler);
    known.ok_or_else(|| {
        let names: Vec<&str> = handlers.iter().map(|handler| &*handler.name).collect();
        let known = match names.as_slice() {
            [] => "none is declared".to_string(),
            names => names.join(", "),
        };
        let error = ValidationError::UnknownHandler {
            name: aggregation.handler.clone(),
            known,
            suggestion: suggest_nearest(&aggregation.handler, names.into_iter()),
        };
        error.at(&aggregation.at)
    })
}

/// The calls that a part makes one after the other while each fails, and the sum of their time budgets.
struct CallSequence<'a> {
    dependencies: Vec<&'a str>,
    time: Time,
}

impl CallSequence<'_> {
    /// Checks that the calls and the reserve for composing the page fit the handler's response target.
    fn check_fit(&self, part: &Part, handler: &HandlerSpec) -> Result<(), ConfigError> {
        if self.time + RESPONSE_TIME_RESERVE <= handler.response_target {
            return Ok(());
        }
        let error = ValidationError::BudgetsExceedTarget {
            part: part.name.clone(),
            dependencies: self.dependencies.join(", "),
            needed: format_duration(self.time),
            reserve: format_duration(RESPONSE_TIME_RESERVE),
            handler: handler.name.clone(),
            target: format_duration(handler.response_target),
        };
        Err(error.at(&part.at))
    }
}
