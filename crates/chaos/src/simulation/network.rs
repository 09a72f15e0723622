//! The simulated network: addresses of members, partitions, and loss, duplication and delay of messages.
use super::config::{MILLISECOND, SECOND};
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Number of addresses that share their third octet.
const SUBNET_SIZE: usize = 250;
const PORT: u16 = 7_000;
/// The fraction of messages that arrive twice while there are faults.
const DUPLICATE_PROBABILITY: f64 = 0.02;
/// The fraction of messages that are delayed by up to [`MAX_EXTRA_DELAY`] while there are faults, so that they can
/// arrive out of order.
const DELAY_PROBABILITY: f64 = 0.02;
const MAX_EXTRA_DELAY: i64 = 2 * SECOND;
const MAX_DELAY: i64 = 4 * MILLISECOND;

/// The address of the member at an index.
pub(super) fn address_of(index: usize) -> SocketAddr {
    let (high, low) = (index / SUBNET_SIZE, index % SUBNET_SIZE);
    ([10, 0, high as u8, low as u8], PORT).into()
}

/// The index of the member at an address.
pub(super) fn index_of(addr: SocketAddr) -> Option<usize> {
    let SocketAddr::V4(v4) = addr else {
        return None;
    };
    let [_, _, high, low] = v4.ip().octets();
    Some(high as usize * SUBNET_SIZE + low as usize)
}

/// One direction of the connection between two members, given by their indices.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Link {
    pub(super) from: usize,
    pub(super) to: usize,
}

/// Whether faults are injected at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    Faults,
    Quiet,
}

pub(super) struct Network {
    partitions: BTreeSet<Link>,
    message_loss: f64,
}

impl Network {
    pub(super) fn new(message_loss: f64) -> Self {
        Network {
            partitions: BTreeSet::new(),
            message_loss,
        }
    }

    pub(super) fn partition(&mut self, link: Link) {
        self.partitions.insert(link);
    }

    pub(super) fn heal(&mut self, link: Link) {
        self.partitions.remove(&link);
    }

    /// The delay of each copy of a message that arrives; empty if the message is lost.
    pub(super) fn delays(&self, random: &mut fastrand::Rng, link: Link, phase: Phase) -> Vec<i64> {
        let is_quiet = phase == Phase::Quiet;
        let is_lost =
            self.partitions.contains(&link) || !is_quiet && random.f64() < self.message_loss;
        if is_lost {
            return Vec::new();
        }
        let is_duplicated = !is_quiet && random.f64() < DUPLICATE_PROBABILITY;
        let copies = 1 + usize::from(is_duplicated);
        let delay = |_| {
            let extra = if !is_quiet && random.f64() < DELAY_PROBABILITY {
                random.i64(0..MAX_EXTRA_DELAY)
            } else {
                0
            };
            random.i64(1..MAX_DELAY) + extra
        };
        (0..copies).map(delay).collect()
    }
}
