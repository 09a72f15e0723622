//! Fallbacks: what a part uses when its dependency does not answer.
use super::Aggregator;
use crate::messages::{PartId, PartSource};
use crate::plan::Fallback;
use crate::stale_cache::{CacheKey, CachedResponse};
use cottondyke_types::Time;

impl Aggregator {
    /// Tries the part's remaining fallbacks in order until one settles the part or starts a step on another dependency.
    pub(super) fn fall_back(&mut self, now: Time, part: PartId) {
        while let Some(fallback) = self.next_fallback(part) {
            match fallback {
                Fallback::Omit => {
                    return self.settle_part(now, part, PartSource::Missing, None);
                }
                Fallback::Default(body) => {
                    return self.settle_part(now, part, PartSource::Default, Some(body));
                }
                Fallback::Cached(max_age) => {
                    if let Some(cached) = self.cached_response(now, part, max_age) {
                        let source = PartSource::Cached(cached.age);
                        return self.settle_part(now, part, source, Some(cached.body));
                    }
                }
                Fallback::Secondary(dependency) => {
                    if self.try_start_step(now, part, dependency) {
                        return;
                    }
                }
            }
        }
    }

    /// Advances the part to its next step and returns that step's fallback: [`Fallback::Omit`] if none is left, `None`
    /// if the run has ended.
    fn next_fallback(&mut self, part: PartId) -> Option<Fallback> {
        let run = self.runs.get_mut(&part.request)?;
        let step = &mut run.steps[part.index];
        step.number += 1;
        step.calls.clear();
        let number = step.number;
        let fallback = run
            .part(part.index)
            .fallbacks
            .get(number - 1)
            .filter(|_| run.installed_plan.plan.safeguards.fallback);
        Some(fallback.cloned().unwrap_or(Fallback::Omit))
    }

    fn cached_response(&self, now: Time, part: PartId, max_age: Time) -> Option<CachedResponse> {
        let run = self.runs.get(&part.request)?;
        let dependency = run.part(part.index).dependency;
        let key = CacheKey {
            dependency: run.installed_plan.plan.dependencies[dependency]
                .name
                .clone(),
            tenant: run.request.tenant,
            request_body: run.request.body.clone(),
        };
        self.stale_cache.get(now, &key, max_age)
    }
}
