//! The outputs of a node: what its driver is to do, and the events that it logs.

use cottondyke_consensus::StorageOperation;
use cottondyke_membership::Member;
use cottondyke_quota::Epoch;
use std::net::SocketAddr;

/// A change worth one line in the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClusterEvent {
    /// The number of units of a budget that this node may use changed.
    QuotaChanged {
        /// Name of the budget.
        budget: String,
        /// Units available until now.
        before: u32,
        /// Units available from now on.
        now: u32,
        /// The epoch under which the quota is leased.
        epoch: Epoch,
    },
    /// The last of this node's leases expired, or a lease is in force again.
    LeaseChanged {
        /// Whether a lease is in force now.
        in_force: bool,
    },
    /// This node became the leader of the replicas, or lost leadership.
    LeadershipChanged {
        /// Whether it is the leader now.
        is_leader: bool,
    },
    /// The replica was bootstrapped with the initial state.
    Bootstrapped {
        /// The number of replicas that share this state.
        replicas: usize,
    },
    /// A member joined, or came back.
    MemberUp(Member),
    /// A member left, or was declared dead.
    MemberDown(Member),
    /// Other members had declared this node dead, and it rejoined under the next version.
    Rejoined,
    /// Another process runs under this node's name; this is its identity.
    DuplicateName(Member),
    /// The replica failed (see [`Replica::has_failed`](cottondyke_consensus::Replica::has_failed)) and no longer takes
    /// part in consensus.
    ReplicaFailed,
}

/// An action for the driver, which carries out outputs in the order in which they are returned.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send one UDP datagram. It may be lost, repeated or reordered.
    Datagram {
        /// The receiver.
        to: SocketAddr,
        /// The datagram, to be passed to the receiver's
        /// [`handle_datagram`](crate::ClusterNode::handle_datagram).
        bytes: Vec<u8>,
    },
    /// Send one encoded [`Message`](crate::Message). It may be lost, repeated or reordered.
    Send {
        /// The receiver.
        to: SocketAddr,
        /// The message, to be passed to the receiver's [`handle_message`](crate::ClusterNode::handle_message).
        bytes: Vec<u8>,
    },
    /// Apply to the replica's storage, in order. Once it is on disk, the driver calls
    /// [`handle_stored`](crate::ClusterNode::handle_stored) with its number, or
    /// [`handle_storage_failure`](crate::ClusterNode::handle_storage_failure) if it cannot be written.
    Store(StorageOperation),
    /// Log this event.
    Notify(ClusterEvent),
}
