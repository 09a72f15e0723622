//! Scores answers to requests for the shop's page by completeness and latency, and checks them for consistency.
use super::shop::{CLIENT_TIMEOUT, PAGE_PARTS, RESPONSE_TARGET};
use crate::load::SentRequest;
use cottondyke_test_support::fakes::ReceivedFrame;
use serde_json::Value;

/// Factor for the value of an answer that arrives after the response target.
const LATE_ANSWER_VALUE: f64 = 0.2;

/// Returns the value of a part by its state. The value of an answer is the mean over its parts.
fn part_value(state: &str) -> f64 {
    match state {
        "whole" => 1.0,
        "other" => 0.9,
        "kept" => 0.8,
        "fixed" => 0.3,
        _ => 0.0,
    }
}

/// The outcome of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct RequestScore {
    /// Number of final answers.
    pub(super) answers: usize,
    pub(super) is_done: bool,
    pub(super) is_partial: bool,
    /// Answered after the client timeout, or not at all.
    pub(super) is_timed_out: bool,
    /// Answered after the response target.
    pub(super) is_late: bool,
    /// The head contradicts the body, or the body is not what the dependency sent.
    pub(super) is_inconsistent: bool,
    /// Between 0 and 1.
    pub(super) value: f64,
}

impl RequestScore {
    /// Returns whether the request was answered in time, with every part from its own dependency.
    pub(super) fn is_complete(&self) -> bool {
        self.is_done && !self.is_partial && !self.is_late
    }
}

/// Scores a request by its first answer.
pub(super) fn score(request: &SentRequest) -> RequestScore {
    let mut score = RequestScore {
        answers: request.answers.len(),
        ..RequestScore::default()
    };
    let Some((answer, latency)) = request.first_answer() else {
        score.is_timed_out = true;
        return score;
    };
    score.is_timed_out = latency > CLIENT_TIMEOUT;
    score.is_done = answer.is_done();
    if !score.is_done {
        score.is_inconsistent = answer.frame.field("partial").is_some();
        return score;
    }
    score.is_late = latency > RESPONSE_TARGET;
    let degraded_parts = degraded_parts(&answer.frame);
    score.is_partial = !degraded_parts.is_empty();
    let body = score_body(&answer.frame.body, &degraded_parts, request.body_bytes);
    let body = body.unwrap_or(UNREADABLE_BODY);
    score.is_inconsistent = body.is_inconsistent;
    score.value = body.value
        * if score.is_late {
            LATE_ANSWER_VALUE
        } else {
            1.0
        };
    score
}

/// Returns the parts that the head lists as not from their own dependency.
fn degraded_parts(frame: &ReceivedFrame) -> Vec<&str> {
    let names = frame.field("partial");
    names
        .map(|names| names.split(',').collect())
        .unwrap_or_default()
}

struct BodyScore {
    is_inconsistent: bool,
    value: f64,
}

const UNREADABLE_BODY: BodyScore = BodyScore {
    is_inconsistent: true,
    value: 0.0,
};

/// Scores the body of an answer; `None` if it cannot be parsed.
fn score_body(body: &[u8], degraded_parts: &[&str], request_bytes: usize) -> Option<BodyScore> {
    let body: Value = serde_json::from_slice(body).ok()?;
    let parts = body.get("parts")?.as_object()?;
    let mut score = BodyScore {
        is_inconsistent: parts.len() != PAGE_PARTS,
        value: 0.0,
    };
    for (name, part) in parts {
        let state = part.get("state")?.as_str()?;
        score.value += part_value(state) / PAGE_PARTS as f64;
        let echoed_bytes = part
            .get("body")
            .and_then(|body| body.get("of"))
            .and_then(Value::as_u64);
        let is_listed_degraded = degraded_parts.contains(&name.as_str());
        // A part that came from a dependency must echo the length of this request's body.
        let is_from_dependency = matches!(state, "whole" | "kept" | "other");
        let is_known_state = is_from_dependency || matches!(state, "fixed" | "missing");
        score.is_inconsistent |= (state == "whole") == is_listed_degraded
            || is_from_dependency && echoed_bytes != Some(request_bytes as u64)
            || !is_known_state;
    }
    Some(score)
}
