//! What a node asks its driver to do, and what it reports for the log.

use cottondyke_consensus::StorageOperation;
use cottondyke_membership::Member;
use cottondyke_quota::Epoch;
use std::net::SocketAddr;

/// A change worth one line in the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClusterEvent {
    /// The units of a budget that this node may use changed.
    QuotaChanged {
        /// Name of the budget.
        budget: String,
        /// Units that could be used until now.
        before: u32,
        /// Units that may be used from now on.
        now: u32,
        /// The epoch under which the quota is leased.
        epoch: Epoch,
    },
    /// The last of this node's leases expired, or a lease is in force again.
    LeaseChanged {
        /// Whether a lease is in force now.
        in_force: bool,
    },
    /// This node became the leader of the replicas, or stopped being it.
    LeadershipChanged {
        /// Whether it is the leader now.
        is_leader: bool,
    },
    /// The replica began with the initial state.
    Bootstrapped {
        /// The number of replicas that share this state.
        replicas: usize,
    },
    /// A member joined, or came back.
    MemberUp(Member),
    /// A member left, or was declared dead.
    MemberDown(Member),
    /// Other members suspected this node or declared it dead, and it refuted that.
    SuspicionRefuted,
    /// Another process, whose identity this is, runs under this node's name.
    DuplicateName(Member),
    /// The replica's storage failed, or its contents cannot be used: the replica takes no further part.
    ReplicaFailed,
}

/// Something the driver is to do. Outputs are carried out in the order in which they are returned.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send one datagram, without a connection. It may be lost, repeated or reordered.
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
    /// Write to the replica's storage, in order; once it is durable,
    /// [`handle_stored`](crate::ClusterNode::handle_stored) is called with its number, or else
    /// [`handle_storage_failure`](crate::ClusterNode::handle_storage_failure).
    Store(StorageOperation),
    /// Log this event.
    Notify(ClusterEvent),
}
