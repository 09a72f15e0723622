//! One instance among others, without I/O, clock or randomness of its own: the registry's keeper (where it is one),
//! the granter (while that keeper leads) and the shares of this instance, joined. Real drivers and the simulated
//! world drive the same code: events go in with the time, `Output`s come out.
#![expect(
    missing_docs,
    unreachable_pub,
    reason = "not yet read through; see docs/ROADMAP.md"
)]

mod message;
mod node;

pub use message::{Message, MAX_MESSAGE_BYTES};
pub use node::{
    ClusterEvent, ClusterNode, NodeConfig, NodeStatus, Output, QuotaStateMachine, REPLICA_TICK,
};
