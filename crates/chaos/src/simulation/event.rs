//! Events of a simulation, and the queue that orders them by time.
use super::network::Link;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// How a message travels between members.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Transport {
    /// As part of a connection's byte stream.
    Stream,
    /// As a datagram of its own.
    Datagram,
}

/// Something that happens at a simulated time. An event with an incarnation is ignored once that incarnation has ended.
pub(super) enum Event {
    Deliver {
        transport: Transport,
        to: SocketAddr,
        from: SocketAddr,
        bytes: Vec<u8>,
    },
    Timer {
        node: usize,
        incarnation: u64,
    },
    /// A member reports its usage and starts calls.
    Load {
        node: usize,
        incarnation: u64,
    },
    /// The oldest pending write of a member reached its disk.
    Stored {
        node: usize,
        incarnation: u64,
    },
    CallEnded {
        call: u64,
    },
    Fault,
    Resume {
        node: usize,
        incarnation: u64,
    },
    Restart {
        node: usize,
    },
    Heal {
        link: Link,
    },
}

/// Pending events ordered by time; events of the same time keep the order in which they were scheduled.
#[derive(Default)]
pub(super) struct EventQueue {
    events: BTreeMap<(i64, u64), Event>,
    last_sequence: u64,
}

impl EventQueue {
    pub(super) fn schedule(&mut self, at: i64, event: Event) {
        self.last_sequence += 1;
        self.events.insert((at, self.last_sequence), event);
    }

    /// Removes the next event that happens no later than `until`, and returns it with its time.
    pub(super) fn pop_until(&mut self, until: i64) -> Option<(i64, Event)> {
        let next = self.events.first_entry()?;
        if next.key().0 > until {
            return None;
        }
        let ((at, _), event) = next.remove_entry();
        Some((at, event))
    }
}
