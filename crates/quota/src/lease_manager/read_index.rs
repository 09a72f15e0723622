//! Lease requests that wait for a confirmation of leadership, as reads do in Raft's read index protocol (Ongaro,
//! Consensus: Bridging Theory and Practice, section 6.4). One confirmation, a round, is in flight at a time; it covers
//! only the requests that arrived before it started.

use crate::LeaseRequest;

/// Maximum number of waiting requests; further ones are dropped, and their holders retry.
const MAX_QUEUED_REQUESTS: usize = 8_192;

#[derive(Clone, Debug)]
struct QueuedRequest {
    /// The first round that covers the request.
    covered_by_round: u64,
    request: LeaseRequest,
}

/// The queue of unconfirmed requests, and the number of the current round.
#[derive(Clone, Debug, Default)]
pub(super) struct ReadIndexQueue {
    /// The last round that was confirmed or aborted.
    last_finished_round: u64,
    round_in_flight: bool,
    queued: Vec<QueuedRequest>,
}

impl ReadIndexQueue {
    /// An empty queue that continues the numbering of rounds, so that a confirmation still in flight is ignored.
    pub(super) fn restarted(&self) -> Self {
        ReadIndexQueue {
            last_finished_round: self.last_finished_round + 1,
            round_in_flight: false,
            queued: Vec::new(),
        }
    }

    pub(super) fn is_full(&self) -> bool {
        self.queued.len() >= MAX_QUEUED_REQUESTS
    }

    pub(super) fn push(&mut self, request: LeaseRequest) {
        // A round in flight started before this request arrived, and does not cover it.
        let covered_by_round = self.last_finished_round + u64::from(self.round_in_flight) + 1;
        self.queued.push(QueuedRequest {
            covered_by_round,
            request,
        });
    }

    /// Starts a round and returns its number if a request waits and no round is in flight.
    pub(super) fn start(&mut self) -> Option<u64> {
        if self.round_in_flight || self.queued.is_empty() {
            return None;
        }
        self.round_in_flight = true;
        Some(self.last_finished_round + 1)
    }

    /// Aborts the round in flight. A late confirmation of it is ignored, because the round may have started before some
    /// of the requests that wait by then arrived.
    pub(super) fn abort(&mut self) {
        if std::mem::take(&mut self.round_in_flight) {
            self.last_finished_round += 1;
        }
    }

    /// Removes and returns the requests that a confirmed round covers; none if it is not the current round.
    pub(super) fn complete(&mut self, round: u64) -> Vec<LeaseRequest> {
        if round != self.last_finished_round + 1 {
            return Vec::new();
        }
        self.last_finished_round = round;
        self.round_in_flight = false;
        let (covered, waiting) = std::mem::take(&mut self.queued)
            .into_iter()
            .partition::<Vec<_>, _>(|queued| queued.covered_by_round <= round);
        self.queued = waiting;
        covered.into_iter().map(|queued| queued.request).collect()
    }
}
