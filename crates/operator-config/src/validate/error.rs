//! The errors of a file whose declarations are valid one by one.
use crate::{ConfigError, SourceLocation};

/// A contradiction within the file, or between the file and the handlers.
#[derive(Debug, thiserror::Error)]
pub(super) enum ValidationError {
    #[error("{kind} {name:?} is declared twice, first on line {first_line}")]
    DeclaredTwice {
        kind: &'static str,
        name: String,
        first_line: usize,
    },
    #[error(
        "fleet: instances = {instances} together with peers(...) on line {peers_line}: fixed shares and leased quotas \
         cannot be combined: expected one of the two"
    )]
    InstancesWithPeers { instances: u64, peers_line: usize },
    #[error(
        "customer {name:?} together with peers(...): its fleet-wide rate cannot be divided yet: expected \
         fleet(instances = N) instead of peers(...)"
    )]
    TenantWithPeers { name: String },
    #[error("too many dependencies: expected at most {max}")]
    TooManyDependencies { max: usize },
    #[error(
        "dependency {name:?}: its ceiling of {ceiling} cannot be divided: expected fleet(instances = N) or peers(...) \
         in the script"
    )]
    IndivisibleCeiling { name: String, ceiling: u64 },
    #[error(
        "dependency {name:?}: {argument} = {total} leaves nothing for each of {instances} instances: expected at \
         least {instances}"
    )]
    NothingPerInstance {
        name: String,
        argument: &'static str,
        total: u64,
        instances: u64,
    },
    #[error(
        "dependency {name:?}: floor = {floor}: expected at most this instance's share, {max_calls}"
    )]
    FloorAboveShare {
        name: String,
        floor: u64,
        max_calls: u64,
    },
    #[error(
        "page: handler {name:?} is not known: expected one of the handlers ({known}){suggestion}"
    )]
    UnknownHandler {
        name: String,
        known: String,
        suggestion: String,
    },
    #[error("dependency {name:?} is not declared{suggestion}")]
    UnknownDependency { name: String, suggestion: String },
    #[error("part {part:?} is in the page twice: expected once")]
    DuplicatePart { part: String },
    #[error("part {part:?} is required and has fallbacks: expected none, or required = False")]
    RequiredWithFallbacks { part: String },
    #[error("part {part:?}: the fallbacks after this one are never tried: expected it last")]
    UnreachableFallback { part: String },
    #[error("part {part:?} falls back to {dependency:?}, which it has already called")]
    RepeatedDependency { part: String, dependency: String },
    #[error(
        "part {part:?}: its budgets ({dependencies}) take {needed}, and {reserve} are reserved: expected no more than \
         the response target of {handler:?}, {target}"
    )]
    BudgetsExceedTarget {
        part: String,
        dependencies: String,
        needed: String,
        reserve: String,
        handler: String,
        target: String,
    },
    #[error("serve(listen = ...) is missing: expected it when no platform configuration is given")]
    MissingServe,
    #[error("no handler(...) is declared: expected at least one")]
    NoHandlers,
    #[error(
        "handler {name:?} has no page: nothing would run its requests; expected page({name:?}, ...)"
    )]
    HandlerWithoutPage { name: String },
}

impl ValidationError {
    /// Converts it to an error at `location`.
    pub(super) fn at(self, location: &SourceLocation) -> ConfigError {
        ConfigError::new(location.clone(), self)
    }
}
