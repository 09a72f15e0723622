//! Counts the outcomes of the requests to both fleets.
use super::driver::{FIXED, LEASED};
use super::fleet::Fleet;
use super::load::Batch;
use super::operator_file::{
    CLIENT_TIMEOUT, METERED_HANDLER, RESPONSE_TARGET, SHARED_HANDLER, UNSHARED_HANDLER,
};
use super::schedule::{CONTENTION_START, FAULTS_START, NODE_NAMES};
use crate::load::SentRequest;
use std::time::Instant;

/// Value of an answer that arrives after the response target; one in time has the value 1.
const LATE_ANSWER_VALUE: f64 = 0.2;
/// Maximum number of requests without an answer in time that the report describes.
const MAX_UNANSWERED_EXAMPLES: usize = 8;

/// The value of one fleet's answers to requests due before [`CONTENTION_START`].
#[derive(Clone, Copy, Default)]
pub(super) struct FleetValue {
    pub(super) shared: f64,
    pub(super) shared_before_faults: f64,
    pub(super) metered: f64,
}

/// The outcomes of the requests. Everything except the values counts the fleet with leases only.
#[derive(Default)]
pub(super) struct Counts {
    pub(super) leased: FleetValue,
    pub(super) fixed: FleetValue,
    pub(super) sent: usize,
    pub(super) answered_twice: usize,
    /// Requests without an answer in time although their node was available.
    pub(super) unanswered: usize,
    /// Descriptions of the first of those requests.
    pub(super) unanswered_examples: Vec<String>,
    /// Requests for the page that uses no shared budget, while their node was available.
    pub(super) unshared: usize,
    /// Those of them that were answered in time.
    pub(super) unshared_in_time: usize,
}

/// Waits for all answers and counts the outcomes.
pub(super) fn count_requests(batches: Vec<Batch>, fleets: &[Fleet; 2], start: Instant) -> Counts {
    let mut counts = Counts::default();
    for batch in batches {
        let (fleet, node, handler) = (batch.fleet, batch.node, batch.handler);
        for request in batch.generator.join() {
            let due = request.due.saturating_duration_since(start).as_secs_f64();
            counts.add_value(fleet, handler, due, value(&request));
            if fleet != LEASED {
                continue;
            }
            counts.sent += 1;
            counts.answered_twice += usize::from(request.answers.len() > 1);
            if fleets[LEASED].was_available(node, request.due) {
                counts.add_expected(node, handler, due, &request);
            }
        }
    }
    counts
}

impl Counts {
    fn add_value(&mut self, fleet: usize, handler: &str, due: f64, value: f64) {
        if due >= CONTENTION_START {
            return;
        }
        let total = match fleet {
            FIXED => &mut self.fixed,
            _ => &mut self.leased,
        };
        if handler == SHARED_HANDLER {
            total.shared += value;
            total.shared_before_faults += if due < FAULTS_START { value } else { 0.0 };
        }
        if handler == METERED_HANDLER {
            total.metered += value;
        }
    }

    /// Counts a request that must be answered in time.
    fn add_expected(&mut self, node: usize, handler: &str, due: f64, request: &SentRequest) {
        let is_in_time = request
            .first_answer()
            .is_some_and(|(_, latency)| latency <= CLIENT_TIMEOUT);
        if !is_in_time {
            self.unanswered += 1;
            if self.unanswered_examples.len() < MAX_UNANSWERED_EXAMPLES {
                let answer = request.answers.first();
                let answer =
                    answer.map(|answer| (answer.received_at - request.due, answer.frame.code));
                self.unanswered_examples.push(format!(
                    "{handler} at {} due {due:.2} s, heard {answer:?}",
                    NODE_NAMES[node]
                ));
            }
        }
        if handler == UNSHARED_HANDLER {
            self.unshared += 1;
            self.unshared_in_time += usize::from(value(request) == 1.0);
        }
    }
}

/// Returns the value of a request by its first answer, between 0 and 1.
fn value(request: &SentRequest) -> f64 {
    match request.first_answer() {
        Some((answer, latency)) if answer.is_done() => {
            if latency <= RESPONSE_TARGET {
                1.0
            } else {
                LATE_ANSWER_VALUE
            }
        }
        _ => 0.0,
    }
}
