//! What an answer of the shop is worth, and whether it is what it claims to be.
use super::shop::{CLIENT_TIMEOUT, PAGE_PARTS, RESPONSE_TARGET};
use crate::load::SentRequest;
use cottondyke_test_support::fakes::ReceivedFrame;
use serde_json::Value;

/// The value of an answer after the response target, beside one in time.
const LATE_ANSWER_VALUE: f64 = 0.2;

/// The value of a part by its state; an answer has the mean of its parts.
fn part_value(state: &str) -> f64 {
    match state {
        "whole" => 1.0,
        "other" => 0.9,
        "kept" => 0.8,
        "fixed" => 0.3,
        _ => 0.0,
    }
}

/// What became of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct RequestScore {
    pub(super) answers: usize,
    pub(super) is_done: bool,
    pub(super) is_partial: bool,
    /// Answered after the client's timeout, or never.
    pub(super) is_lost: bool,
    /// Done after the response target.
    pub(super) is_late: bool,
    /// The head says another thing than the body, or the body another than what the dependency sent.
    pub(super) is_inconsistent: bool,
    /// From 0 to 1.
    pub(super) value: f64,
}

impl RequestScore {
    /// Done with every part as its dependency sent it, in time.
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
        score.is_lost = true;
        return score;
    };
    score.is_lost = latency > CLIENT_TIMEOUT;
    score.is_done = answer.is_done();
    if !score.is_done {
        score.is_inconsistent = answer.frame.field("partial").is_some();
        return score;
    }
    score.is_late = latency > RESPONSE_TARGET;
    let missing_parts = missing_parts(&answer.frame);
    score.is_partial = !missing_parts.is_empty();
    let body = score_body(&answer.frame.body, &missing_parts, request.body_bytes);
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

/// The parts that the head lists as not from their own dependency.
fn missing_parts(frame: &ReceivedFrame) -> Vec<&str> {
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

/// Scores an answer's body; none where it cannot be read.
fn score_body(body: &[u8], missing_parts: &[&str], request_bytes: usize) -> Option<BodyScore> {
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
        let is_listed = missing_parts.contains(&name.as_str());
        // What came from a dependency is what it sent for this request's body.
        let is_from_dependency = matches!(state, "whole" | "kept" | "other");
        let is_known = is_from_dependency || matches!(state, "fixed" | "missing");
        score.is_inconsistent |= (state == "whole") == is_listed
            || is_from_dependency && echoed_bytes != Some(request_bytes as u64)
            || !is_known;
    }
    Some(score)
}
