//! The stream numbers of one connection: which are open, and which were used before.
use std::collections::{BTreeSet, VecDeque};

/// Maximum number of ranges of used numbers that are remembered. A sidecar that counts up uses one range; one whose
/// workers count separately uses one for each worker.
const MAX_USED_RANGES: usize = 64;

/// Adjacent stream numbers that were all used.
#[derive(Clone, Copy, Debug)]
struct StreamRange {
    first: u32,
    last: u32,
}

impl StreamRange {
    fn contains(self, stream: u32) -> bool {
        (self.first..=self.last).contains(&stream)
    }

    fn is_before(self, stream: u32) -> bool {
        self.last.checked_add(1) == Some(stream)
    }

    fn is_after(self, stream: u32) -> bool {
        stream.checked_add(1) == Some(self.first)
    }
}

/// Tells new stream numbers from used ones, in whatever order they come. The number of a request that is not answered
/// yet is always recognized. Answered numbers are recognized while their range is remembered; past `MAX_USED_RANGES` the
/// range that grew the longest time ago is forgotten, so that a new number is never taken for a used one.
#[derive(Debug, Default)]
pub(super) struct StreamTracker {
    /// The streams of requests that are not answered. The caller bounds their number.
    open: BTreeSet<u32>,
    /// Used numbers, the most recently used range last.
    used: VecDeque<StreamRange>,
}

impl StreamTracker {
    /// Opens a stream; returns false if its number is in use or known to have been used.
    pub(super) fn open(&mut self, stream: u32) -> bool {
        let is_used = self.used.iter().any(|range| range.contains(stream));
        if is_used || !self.open.insert(stream) {
            return false;
        }
        self.remember(stream);
        true
    }

    /// Records that the request on this stream is answered.
    pub(super) fn close(&mut self, stream: u32) {
        self.open.remove(&stream);
    }

    /// Number of streams whose request is not answered.
    pub(super) fn open_count(&self) -> usize {
        self.open.len()
    }

    fn remember(&mut self, stream: u32) {
        let mut range = StreamRange {
            first: stream,
            last: stream,
        };
        if let Some(before) = self.take_range(|range| range.is_before(stream)) {
            range.first = before.first;
        }
        if let Some(after) = self.take_range(|range| range.is_after(stream)) {
            range.last = after.last;
        }
        if self.used.len() == MAX_USED_RANGES {
            self.used.pop_front();
        }
        self.used.push_back(range);
    }

    fn take_range(&mut self, matches: impl Fn(&StreamRange) -> bool) -> Option<StreamRange> {
        let index = self.used.iter().position(matches)?;
        self.used.remove(index)
    }
}
