//! Storage operations that are not reported as stored yet, and the messages that wait for them.
use raft::eraftpb::Message;
use std::collections::VecDeque;

#[derive(Debug)]
struct PendingOperation {
    number: u64,
    /// Must not be sent before the operation is on disk.
    messages: Vec<Message>,
    /// The number of the `Ready` that the operation results from, if any.
    ready_number: Option<u64>,
}

/// What to send and report once operations are on disk.
#[derive(Debug, Default)]
pub(super) struct StoredOperations {
    pub(super) messages: Vec<Message>,
    /// The number of the latest `Ready` that is now on disk, to be reported to raft.
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

    /// Removes all operations up to this number, which are on disk, and returns what waited for them.
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
