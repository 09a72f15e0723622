//! A human-readable summary of the configuration in force.
use crate::format::format_duration;
use crate::plan::HandlerSpec;
use crate::{Aggregation, Dependency, Fallback, OperatorConfig, Part, Peers};
use cottondyke_dependency::{self as dependency, Plan, RESPONSE_TIME_RESERVE};
use cottondyke_types::Time;

impl OperatorConfig {
    /// Summarizes the configuration in force: the limits of each dependency, the parts and fallbacks of each page, and
    /// the longest time in which a page is answered. Each line ends with a line feed.
    pub fn summary(&self, handlers: &[HandlerSpec]) -> String {
        let (plan, _) = self.plan(handlers);
        let mut lines = Vec::new();
        lines.extend(self.peers.as_ref().map(summarize_peers));
        for (declared, planned) in self.dependencies.iter().zip(&plan.dependencies) {
            lines.extend(self.summarize_lost_lease(declared));
            lines.push(summarize_dependency(
                declared,
                planned.max_calls,
                planned.max_waiting,
            ));
        }
        for (aggregation, planned) in self.aggregations.iter().zip(&plan.aggregations) {
            lines.push(summarize_aggregation(aggregation, planned, &plan, handlers));
            lines.extend(aggregation.parts.iter().map(summarize_part));
        }
        if !self.disabled_safeguards.is_empty() {
            let names = self.disabled_safeguards.join(", ");
            lines.push(format!("disabled safeguards: {names}"));
        }
        lines.into_iter().map(|line| line + "\n").collect()
    }

    /// For a dependency whose ceiling is leased: about how long after the last lease request of an instance that became
    /// unreachable its quota, except for one unit, can be leased again.
    fn summarize_lost_lease(&self, dependency: &Dependency) -> Option<String> {
        let peers = self.peers.as_ref().filter(|_| !dependency.per_instance)?;
        let free_after = peers.lease_duration + self.max_call_duration(dependency);
        Some(format!(
            "dependency {}: the quota of an unreachable instance can be leased again about {} after its last \
             lease request",
            dependency.name,
            format_duration(free_after)
        ))
    }
}

fn summarize_peers(peers: &Peers) -> String {
    let replicas: Vec<String> = peers
        .replicas
        .iter()
        .map(|(name, address)| format!("{name} {address}"))
        .collect();
    format!(
        "peers: {} in zone {} on {}, keepers {}; ceilings are leased for {} at a time; without a connection to \
         a majority of the keepers, this instance makes no calls under them once its lease has expired",
        peers.name,
        peers.zone,
        peers.listen,
        replicas.join(", "),
        format_duration(peers.lease_duration)
    )
}

fn summarize_dependency(dependency: &Dependency, max_calls: usize, max_waiting: usize) -> String {
    let hedge = match dependency.hedge_quantile {
        Some(quantile) => format!("hedged after the {quantile} quantile"),
        None => "no hedging".to_string(),
    };
    let scope = if dependency.per_instance {
        "from each instance"
    } else {
        "in all"
    };
    format!(
        "dependency {}: {} {}, budget {}, {} to {max_calls} concurrent calls from this instance, \
         ceiling {} {scope}, at most {max_waiting} waiting, retries and hedged calls at most {} of first calls, \
         {hedge}",
        dependency.name,
        dependency.address,
        dependency.path,
        format_duration(dependency.time_budget),
        dependency.min_limit,
        dependency.ceiling,
        dependency.retry_ratio
    )
}

fn summarize_aggregation(
    aggregation: &Aggregation,
    planned: &dependency::Aggregation,
    plan: &Plan,
    handlers: &[HandlerSpec],
) -> String {
    let target = handlers
        .iter()
        .find(|handler| handler.name == aggregation.handler)
        .map_or(Time(0), |handler| handler.response_target);
    let slowest_part = planned
        .parts
        .iter()
        .map(|part| plan.worst_case_part_time(part))
        .max()
        .unwrap_or_default();
    format!(
        "page {}: answered within {} of its response target of {}",
        aggregation.handler,
        format_duration(slowest_part + RESPONSE_TIME_RESERVE),
        format_duration(target)
    )
}

fn summarize_part(part: &Part) -> String {
    let fallbacks: Vec<String> = part
        .fallbacks
        .iter()
        .map(|(_, fallback)| summarize_fallback(fallback))
        .collect();
    let otherwise = match part.required {
        _ if !fallbacks.is_empty() => fallbacks.join(", then "),
        true => "the page fails".to_string(),
        false => "left out".to_string(),
    };
    format!(
        "  part {}: from {}; else {otherwise}",
        part.name, part.dependency
    )
}

fn summarize_fallback(fallback: &Fallback) -> String {
    match fallback {
        Fallback::Cached(max_age) => format!("kept, up to {} old", format_duration(*max_age)),
        Fallback::Secondary(name) => format!("from {name}"),
        Fallback::Default(_) => "a fixed value".to_string(),
        Fallback::Omit => "left out".to_string(),
    }
}
