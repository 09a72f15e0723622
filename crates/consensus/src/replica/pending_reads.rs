//! Reads that a majority has confirmed, and that wait until all entries up to their commit index are applied.
use raft::ReadState;
use std::collections::VecDeque;

#[derive(Debug)]
struct PendingRead {
    /// The commit index at the time of the request.
    commit_index: u64,
    number: u64,
}

/// The queue of confirmed reads in the order of their requests.
#[derive(Debug, Default)]
pub(super) struct PendingReads {
    queue: VecDeque<PendingRead>,
}

impl PendingReads {
    /// The context under which raft tracks the read with this number.
    pub(super) fn request_context(number: u64) -> Vec<u8> {
        number.to_be_bytes().to_vec()
    }

    /// Adds reads that raft reports as confirmed; a read whose context is not a number is ignored.
    pub(super) fn add(&mut self, confirmed: Vec<ReadState>) {
        for read in confirmed {
            if let Ok(number) = read.request_ctx.as_slice().try_into() {
                self.queue.push_back(PendingRead {
                    commit_index: read.index,
                    number: u64::from_be_bytes(number),
                });
            }
        }
    }

    pub(super) fn clear(&mut self) {
        self.queue.clear();
    }

    /// Removes and returns the number of the next read whose commit index is applied.
    pub(super) fn take_applied(&mut self, applied_index: u64) -> Option<u64> {
        let read = self
            .queue
            .pop_front_if(|read| read.commit_index <= applied_index)?;
        Some(read.number)
    }
}
