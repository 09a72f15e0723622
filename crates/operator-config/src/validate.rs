//! Holds what a script declares against itself and against the handlers that there are, and makes the plan of it.
use crate::arguments::nearest;
use crate::model::*;
use crate::{ConfigError, SourceLocation};
use cottondyke_dependency::{self as depend, RESERVE};
use cottondyke_quota::BudgetSpec;
use cottondyke_types::Time;
use std::rc::Rc;

/// A handler as the check needs it, from the configuration or from the script itself.
#[derive(Clone, Debug, PartialEq)]
pub struct HandlerSpec {
    pub name: String,
    pub response_target: Time,
}

/// The name of the budget of a dependency's calls a second.
pub fn rate_of(dependency: &str) -> String {
    format!("rate/{dependency}")
}

/// The name of the budget of a dependency's calls in hand.
pub fn budget_of(dependency: &str) -> String {
    format!("dependency/{dependency}")
}

fn wrong<T>(at: &SourceLocation, what: String) -> Result<T, ConfigError> {
    Err(ConfigError {
        location: at.clone(),
        message: what,
    })
}

/// Two of one name: the second is wrong.
fn once<'a>(
    of: &str,
    all: impl Iterator<Item = (&'a str, &'a SourceLocation)>,
) -> Result<(), ConfigError> {
    let mut seen: Vec<(&str, &SourceLocation)> = Vec::new();
    for (name, at) in all {
        if let Some((_, first)) = seen.iter().find(|(other, _)| *other == name) {
            return wrong(
                at,
                format!(
                    "{of} {name:?} is declared twice, first in line {}",
                    first.line
                ),
            );
        }
        seen.push((name, at));
    }
    Ok(())
}

impl OperatorConfig {
    /// The handlers that the script itself declares.
    pub fn own_handlers(&self) -> Vec<HandlerSpec> {
        let known = |h: &Handler| HandlerSpec {
            name: h.name.clone(),
            response_target: Time(h.response_target),
        };
        self.handlers.iter().map(known).collect()
    }

    pub fn safeguards(&self) -> depend::Safeguards {
        let on = |name: &str| !self.disabled_safeguards.iter().any(|off| off == name);
        depend::Safeguards {
            time_budget: on("budget"),
            limit: on("limit"),
            adapt: on("adapt") && on("limit"),
            breaker: on("breaker"),
            hedge: on("hedge"),
            stale_cache: on("kept"),
            fallback: on("fallback"),
            restart: on("restart"),
        }
    }

    /// What a req of a handler is worth; 1 where the platform's configuration tells of it.
    pub fn value(&self, handler: &str) -> f64 {
        self.handlers
            .iter()
            .find(|h| h.name == handler)
            .map_or(1.0, |h| h.value)
    }

    /// Defences of what the fleet shares.
    pub fn has_safeguard(&self, defence: &str) -> bool {
        !self.disabled_safeguards.iter().any(|off| off == defence)
    }

    /// How long a call may hold its place at a dependency from when it is sent: as long as it is waited for, half as
    /// long again in which it is listened to, and what it may go on after that.
    pub fn longest_call(&self, dependency: &Dependency) -> Time {
        Time(dependency.budget + dependency.budget / 2 + dependency.linger)
    }

    /// The budgets that all instances share: calls in flight, and calls a second where a rate is set.
    pub fn shared_budgets(&self) -> Vec<BudgetSpec> {
        let of = |d: &Dependency| BudgetSpec {
            name: budget_of(&d.name),
            units: d.ceiling as u32,
            post_cancel_grace: self.longest_call(d),
        };
        let shared = || self.dependencies.iter().filter(|d| !d.own);
        let rate = |d: &Dependency| {
            Some(BudgetSpec {
                name: rate_of(&d.name),
                units: d.rate? as u32,
                post_cancel_grace: depend::RATE_WINDOW,
            })
        };
        shared().map(of).chain(shared().filter_map(rate)).collect()
    }

    /// The most of a dependency's ceiling that this instance may use: its fixed part, over which the sum never passes
    /// the ceiling, or all of it where what it may use is lent.
    pub fn max_calls(&self, dependency: &Dependency) -> u64 {
        if self.peers.is_some() || dependency.own {
            return dependency.ceiling;
        }
        dependency.ceiling / self.instances.unwrap_or(1).max(1)
    }

    /// Finds what cannot be obeyed: names that are not there, budgets that cannot fit, shares of nothing.
    pub fn validate(&self, handlers: &[HandlerSpec]) -> Result<(), ConfigError> {
        once(
            "handler",
            self.handlers.iter().map(|h| (h.name.as_str(), &h.at)),
        )?;
        if let (Some(peers), Some(instances)) = (&self.peers, self.instances) {
            return wrong(&self.fleet, format!(
                "fleet: instances = {instances} beside peers(...) in line {}: fixed parts and parts that are lent are mixed: \
                 expected one of the two", peers.at.line
            ));
        }
        if let (Some(_), Some(customer)) = (&self.peers, self.tenants.first()) {
            return wrong(&customer.at, format!(
                "customer {:?} beside peers(...): its rate over the fleet cannot be divided yet: expected fleet(instances = N) \
                 in place of peers", customer.name
            ));
        }
        once(
            "customer",
            self.tenants.iter().map(|c| (c.name.as_str(), &c.at)),
        )?;
        once(
            "dependency",
            self.dependencies.iter().map(|d| (d.name.as_str(), &d.at)),
        )?;
        once(
            "the page of handler",
            self.aggregations
                .iter()
                .map(|p| (p.handler.as_str(), &p.at)),
        )?;
        if self.dependencies.len() > MAX_DEPENDENCIES {
            let at = &self.dependencies[MAX_DEPENDENCIES].at;
            return wrong(at, format!("more dependencies than {MAX_DEPENDENCIES}"));
        }
        for dependency in &self.dependencies {
            self.check_dependency(dependency)?;
        }
        for page in &self.aggregations {
            let names = || handlers.iter().map(|h| h.name.as_str());
            let Some(handler) = handlers.iter().find(|h| h.name == page.handler) else {
                let near = nearest(&page.handler, names());
                let known = names().collect::<Vec<_>>().join(", ");
                let known = if known.is_empty() {
                    "none is declared".into()
                } else {
                    known
                };
                return wrong(
                    &page.at,
                    format!(
                        "page: handler {:?} is not known: expected one of the handlers ({known}){near}",
                        page.handler
                    ),
                );
            };
            self.check_page(page, handler)?;
        }
        Ok(())
    }

    /// With the script alone, nothing but pages can run its handlers.
    pub fn validate_standalone(&self) -> Result<(), ConfigError> {
        let file = SourceLocation {
            file: self.file.clone(),
            line: 0,
        };
        if self.serve.is_none() {
            return wrong(
                &file,
                "serve(listen = ...) is missing: expected it where no configuration is given"
                    .into(),
            );
        }
        if self.handlers.is_empty() {
            return wrong(
                &file,
                "no handler(...) is declared: expected at least one".into(),
            );
        }
        self.validate(&self.own_handlers())?;
        let unserved = self
            .handlers
            .iter()
            .find(|h| !self.aggregations.iter().any(|p| p.handler == h.name));
        unserved.map_or(Ok(()), |handler| {
            let what = format!(
                "handler {:?} has no page: nothing would run its reqs; expected page({:?}, ...)",
                handler.name, handler.name
            );
            wrong(&handler.at, what)
        })
    }

    fn check_dependency(&self, dependency: &Dependency) -> Result<(), ConfigError> {
        let alone = dependency.own || self.peers.is_some();
        let Some(instances) = self.instances.or(alone.then_some(1)) else {
            return wrong(&dependency.at, format!(
                "dependency {:?}: its ceiling of {} cannot be divided: expected fleet(instances = N) or peers(...) in the script",
                dependency.name, dependency.ceiling
            ));
        };
        let share = self.max_calls(dependency);
        if share == 0 {
            return wrong(&dependency.at, format!(
                "dependency {:?}: ceiling = {} leaves nothing for each of {instances} instances: expected at least \
                 {instances}", dependency.name, dependency.ceiling
            ));
        }
        let parts = if dependency.own { 1 } else { instances };
        if let Some(rate) = dependency.rate.filter(|rate| *rate < parts) {
            return wrong(&dependency.at, format!(
                "dependency {:?}: rate = {rate} leaves nothing for each of {parts} instances: expected at least {parts}",
                dependency.name
            ));
        }
        if dependency.floor > share {
            return wrong(
                &dependency.at,
                format!(
                    "dependency {:?}: floor = {}: expected at most this instance's share, {share}",
                    dependency.name, dependency.floor
                ),
            );
        }
        Ok(())
    }

    fn check_page(&self, page: &Page, handler: &HandlerSpec) -> Result<(), ConfigError> {
        let names = || self.dependencies.iter().map(|d| d.name.as_str());
        let known = |at: &SourceLocation, name: &str| {
            self.dependencies
                .iter()
                .find(|d| d.name == name)
                .ok_or_else(|| ConfigError {
                    location: at.clone(),
                    message: format!(
                        "dependency {name:?} is not declared{}",
                        nearest(name, names())
                    ),
                })
        };
        for (place, part) in page.parts.iter().enumerate() {
            if page.parts[..place].iter().any(|p| p.name == part.name) {
                return wrong(
                    &part.at,
                    format!("part {:?} is in the page twice: expected once", part.name),
                );
            }
            let mut time = Time(known(&part.at, &part.dependency)?.budget);
            let mut asked = vec![part.dependency.as_str()];
            if part.required && !part.fallbacks.is_empty() {
                return wrong(
                    &part.at,
                    format!(
                        "part {:?} is required and has fall-backs: expected none, or required = False",
                        part.name
                    ),
                );
            }
            for (number, (at, fallback)) in part.fallbacks.iter().enumerate() {
                let last = number + 1 == part.fallbacks.len();
                match fallback {
                    Fallback::Fixed(_) | Fallback::LeaveOut if !last => {
                        return wrong(
                            at,
                            format!(
                                "part {:?}: nothing comes after this fall-back: expected it last",
                                part.name
                            ),
                        );
                    }
                    Fallback::Other(name) if asked.contains(&name.as_str()) => {
                        return wrong(
                            at,
                            format!(
                                "part {:?} falls back on {name:?}, which it has asked already",
                                part.name
                            ),
                        );
                    }
                    Fallback::Other(name) => {
                        time += Time(known(at, name)?.budget);
                        asked.push(name);
                    }
                    _ => {}
                }
            }
            if time + RESERVE > handler.response_target {
                return wrong(&part.at, format!(
                    "part {:?}: its budgets ({}) take {}, and {} are kept back: expected no more than the response \
                     target of {:?}, {}",
                    part.name, asked.join(", "), in_words(time), in_words(RESERVE), handler.name,
                    in_words(handler.response_target)
                ));
            }
        }
        Ok(())
    }

    /// The plan of a script that was checked; `handlers` in their order. With it, the page of each handler.
    pub fn plan(&self, handlers: &[HandlerSpec]) -> (depend::Plan, Vec<Option<usize>>) {
        let place = |name: &str| {
            self.dependencies
                .iter()
                .position(|d| d.name == name)
                .unwrap_or_default()
        };
        let dependencies = self.dependencies.iter().map(|d| {
            let share = self.max_calls(d).max(1) as usize;
            Rc::new(depend::Dependency {
                name: d.name.as_str().into(),
                addr: d.addr,
                path: d.path.as_str().into(),
                json: d.json,
                time_budget: Time(d.budget),
                max_calls: share,
                leased_calls: None,
                max_rate: d.rate.map(|rate| match self.instances {
                    Some(instances) if !d.own => (rate / instances) as usize,
                    _ => rate as usize,
                }),
                leased_rate: None,
                min_limit: (d.floor as usize).min(share),
                post_cancel_grace: Time(d.linger),
                max_waiting: d.waiting.map_or(share, |n| n as usize),
                retry_ratio: d.retries,
                hedge_quantile: d.hedge,
            })
        });
        let fallback = |f: &Fallback, json: bool| match f {
            Fallback::Kept(most) => depend::Fallback::Cached(Time(*most)),
            Fallback::Other(name) => depend::Fallback::Secondary(place(name)),
            Fallback::Fixed(value) => {
                let text = value
                    .as_str()
                    .filter(|_| !json)
                    .map_or_else(|| value.to_string(), String::from);
                depend::Fallback::Default(text.into_bytes().into())
            }
            Fallback::LeaveOut => depend::Fallback::Omit,
        };
        let part = |p: &Part| depend::PartSpec {
            name: p.name.as_str().into(),
            dependency: place(&p.dependency),
            required: p.required,
            fallbacks: {
                let json = self
                    .dependencies
                    .iter()
                    .any(|d| d.name == p.dependency && d.json);
                p.fallbacks.iter().map(|(_, f)| fallback(f, json)).collect()
            },
        };
        let pages = self.aggregations.iter().map(|p| depend::Aggregation {
            parts: p.parts.iter().map(part).collect(),
        });
        let plan = depend::Plan {
            dependencies: dependencies.collect(),
            aggregations: pages.collect(),
            stale_cache_bytes: (self.kept_mb * (1 << 20) as f64) as usize,
            safeguards: self.safeguards(),
        };
        let of = |h: &HandlerSpec| self.aggregations.iter().position(|p| p.handler == h.name);
        (plan, handlers.iter().map(of).collect())
    }

    /// What is in force, for people: each page's parts, their budgets and fall-backs, and the longest answer time.
    pub fn summary(&self, handlers: &[HandlerSpec]) -> String {
        let mut text = String::new();
        let mut line = |words: String| text += &(words + "\n");
        if let Some(peers) = &self.peers {
            let keepers = peers
                .keepers
                .iter()
                .map(|(name, addr)| format!("{name} {addr}"))
                .collect::<Vec<_>>();
            line(format!(
                "peers: {} in zone {} on {}, keepers {}; ceilings are lent for {} at a time; cut off from most keepers it \
                 uses nothing of them once that is over",
                peers.name, peers.zone, peers.listen, keepers.join(", "), in_words(Time(peers.lease))
            ));
        }
        let (plan, _) = self.plan(handlers);
        for (d, spec) in self.dependencies.iter().zip(&plan.dependencies) {
            let hedge = d.hedge.map_or("no hedging".into(), |q| {
                format!("hedged after the {q} quantile")
            });
            if self.peers.is_some() && !d.own {
                line(format!(
                    "dependency {}: the share of an instance that is lost is free again {} after it was last heard",
                    d.name,
                    in_words(Time(self.peers.as_ref().map_or(0, |p| p.lease)) + self.longest_call(d))
                ));
            }
            line(format!(
                "dependency {}: {} {}, budget {}, {} to {} calls here of {} {}, {} may wait, extra calls at most \
                 {} of first ones, {hedge}",
                d.name, d.addr, d.path, in_words(Time(d.budget)), d.floor, spec.max_calls, d.ceiling, if d.own { "from each instance" } else { "in all" }, spec.max_waiting, d.retries
            ));
        }
        for (page, planned) in self.aggregations.iter().zip(&plan.aggregations) {
            let target = handlers
                .iter()
                .find(|h| h.name == page.handler)
                .map_or(Time(0), |h| h.response_target);
            let worst = planned
                .parts
                .iter()
                .map(|p| plan.worst_case(p))
                .max()
                .unwrap_or_default()
                + RESERVE;
            line(format!(
                "page {}: answered within {} of its response target of {}",
                page.handler,
                in_words(worst),
                in_words(target)
            ));
            for part in &page.parts {
                let fallbacks = part.fallbacks.iter().map(|(_, f)| match f {
                    Fallback::Kept(most) => format!("kept, up to {} old", in_words(Time(*most))),
                    Fallback::Other(name) => format!("from {name}"),
                    Fallback::Fixed(_) => "a fixed value".to_string(),
                    Fallback::LeaveOut => "left out".to_string(),
                });
                let fallbacks = fallbacks.collect::<Vec<_>>().join(", then ");
                let without = if part.required {
                    "the answer is errored"
                } else {
                    "left out"
                };
                let without = if fallbacks.is_empty() {
                    without
                } else {
                    &fallbacks
                };
                line(format!(
                    "  part {}: from {}; else {without}",
                    part.name, part.dependency
                ));
            }
        }
        if !self.disabled_safeguards.is_empty() {
            line(format!(
                "switched off: {}",
                self.disabled_safeguards.join(", ")
            ));
        }
        text
    }
}
