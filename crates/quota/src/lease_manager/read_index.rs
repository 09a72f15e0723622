//! Lease requests that wait for a confirmation of leadership, as reads do in Raft's read index protocol (Ongaro,
//! Consensus: Bridging Theory and Practice, section 6.4). One confirmation, a round, is in flight at a time; it covers
//! only the requests that came before it was started.

use crate::LeaseRequest;

/// Requests that may wait; further ones are dropped, and their holders retry.
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
    /// The last round that ended, confirmed or aborted.
    read_index_round: u64,
    read_index_in_flight: bool,
    queued: Vec<QueuedRequest>,
}

impl ReadIndexQueue {
    /// An empty queue whose rounds are numbered on, so that a confirmation that is still under way counts for nothing.
    pub(super) fn restarted(&self) -> Self {
        ReadIndexQueue {
            read_index_round: self.read_index_round + 1,
            read_index_in_flight: false,
            queued: Vec::new(),
        }
    }

    pub(super) fn is_full(&self) -> bool {
        self.queued.len() >= MAX_QUEUED_REQUESTS
    }

    pub(super) fn push(&mut self, request: LeaseRequest) {
        // A round in flight was started before this request came, and does not cover it.
        let covered_by_round = self.read_index_round + u64::from(self.read_index_in_flight) + 1;
        self.queued.push(QueuedRequest {
            covered_by_round,
            request,
        });
    }

    /// Starts a round and returns its number, where any request waits and no round is in flight.
    pub(super) fn start(&mut self) -> Option<u64> {
        if self.read_index_in_flight || self.queued.is_empty() {
            return None;
        }
        self.read_index_in_flight = true;
        Some(self.read_index_round + 1)
    }

    /// Gives up the round in flight. Should its confirmation still come, it counts for nothing, since it is older than
    /// some of the requests that wait by then.
    pub(super) fn abort(&mut self) {
        if std::mem::take(&mut self.read_index_in_flight) {
            self.read_index_round += 1;
        }
    }

    /// The requests that a confirmed round covers; none where it is not the current one.
    pub(super) fn complete(&mut self, round: u64) -> Vec<LeaseRequest> {
        if round != self.read_index_round + 1 {
            return Vec::new();
        }
        self.read_index_round = round;
        self.read_index_in_flight = false;
        let (covered, waiting) = std::mem::take(&mut self.queued)
            .into_iter()
            .partition::<Vec<_>, _>(|queued| queued.covered_by_round <= round);
        self.queued = waiting;
        covered.into_iter().map(|queued| queued.request).collect()
    }
}
