//! The scored requests of one fleet, ordered by due time.
use super::super::score::{score, RequestScore};
use crate::load::SentRequest;
use std::time::Instant;

/// Length of the slots by which requests are grouped to find when a fleet has recovered.
const SLOT_SECONDS: f64 = 0.25;
/// A fleet has recovered once this fraction of a slot's requests is answered completely.
const RECOVERED_FRACTION: f64 = 0.95;
/// Added to the recovery time of a fleet that did not recover, so that it fails its bound.
const NO_RECOVERY_PENALTY_SECONDS: f64 = 10.0;

struct TimedScore {
    /// Due time of the request, in seconds from the start of the load.
    due: f64,
    score: RequestScore,
}

/// All requests of a fleet, ordered by due time.
pub(super) struct Timeline {
    requests: Vec<TimedScore>,
}

impl Timeline {
    pub(super) fn new(sent: &[SentRequest], start: Instant) -> Self {
        let timed = |request: &SentRequest| TimedScore {
            due: request.due.saturating_duration_since(start).as_secs_f64(),
            score: score(request),
        };
        let mut requests: Vec<TimedScore> = sent.iter().map(timed).collect();
        requests.sort_by(|a, b| a.due.total_cmp(&b.due));
        Timeline { requests }
    }

    /// Returns the number of requests.
    pub(super) fn len(&self) -> f64 {
        self.requests.len() as f64
    }

    pub(super) fn count(&self, predicate: impl Fn(&RequestScore) -> bool) -> f64 {
        let scores = self.requests.iter().map(|request| &request.score);
        scores.filter(|score| predicate(score)).count() as f64
    }

    /// Returns the total value of all answers.
    pub(super) fn value(&self) -> f64 {
        self.requests
            .iter()
            .map(|request| request.score.value)
            .sum()
    }

    /// Returns the mean value of the answers to requests due in a window; 0 if there are none.
    pub(super) fn mean_value(&self, start: f64, end: f64) -> f64 {
        let scores: Vec<_> = self.due_within(start, end).collect();
        scores.iter().map(|score| score.value).sum::<f64>() / scores.len().max(1) as f64
    }

    fn due_within(&self, start: f64, end: f64) -> impl Iterator<Item = &RequestScore> {
        self.requests
            .iter()
            .filter(move |request| (start..end).contains(&request.due))
            .map(|request| &request.score)
    }

    /// Returns the fraction of the requests due in a window that were answered completely and in time; 0 if there are
    /// none.
    pub(super) fn complete_fraction(&self, start: f64, end: f64) -> f64 {
        let (mut all, mut complete) = (0.0, 0.0);
        for score in self.due_within(start, end) {
            all += 1.0;
            complete += f64::from(u8::from(score.is_complete()));
        }
        if all > 0.0 {
            complete / all
        } else {
            0.0
        }
    }

    /// Returns the seconds from `start` to the first slot before `end` in which at least [`RECOVERED_FRACTION`] of the
    /// requests are answered completely.
    pub(super) fn recovery_seconds(&self, start: f64, end: f64) -> f64 {
        let slots = ((end - start) / SLOT_SECONDS) as usize;
        let is_recovered = |slot: &usize| {
            let slot_start = start + *slot as f64 * SLOT_SECONDS;
            self.complete_fraction(slot_start, slot_start + SLOT_SECONDS) >= RECOVERED_FRACTION
        };
        match (0..slots).find(is_recovered) {
            Some(slot) => slot as f64 * SLOT_SECONDS,
            None => end - start + NO_RECOVERY_PENALTY_SECONDS,
        }
    }
}
