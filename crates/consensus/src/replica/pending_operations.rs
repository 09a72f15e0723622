//! Storage operations that are not reported as stored yet, and what waits for them.
use raft::eraftpb::Message;
use std::collections::VecDeque;

#[derive(Debug)]
struct PendingOperation {
    number: u64,
    /// Must not be sent before the operation is on disk.
    messages: Vec<Message>,
    /// The number of the `Ready` that the operation was made from.
    ready_number: Option<u64>,
}

/// What becomes possible when operations are on disk.
#[derive(Debug, Default)]
pub(super) struct StoredOperations {
    pub(super) messages: Vec<Message>,
    /// The latest `Ready` that is on disk by this, to be reported to raft.
    pub(super) ready_number: Option<u64>,
}

/// The queue of operations in the order of their numbers.
#[derive(Debug, Default)]
pub(super) struct PendingOperations {
    last_number: u64,
    queue: VecDeque<PendingOperation>,
}

impl PendingOperations {
    /// The number of the operation that is added next.
    pub(super) fn next_number(&self) -> u64 {
        self.last_number + 1
    }

    pub(super) fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Adds the operation with [`PendingOperations::next_number`].
    pub(super) fn add(&mut self, messages: Vec<Message>, ready_number: Option<u64>) {
        self.last_number += 1;
        self.queue.push_back(PendingOperation {
            number: self.last_number,
            messages,
            ready_number,
        });
    }

    /// All operations up to this number are on disk.
    pub(super) fn take_stored(&mut self, number: u64) -> StoredOperations {
        let mut stored = StoredOperations::default();
        while let Some(operation) = self
            .queue
            .pop_front_if(|operation| operation.number <= number)
        {
            stored.messages.extend(operation.messages);
            stored.ready_number = operation.ready_number.or(stored.ready_number);
        }
        stored
    }
}
