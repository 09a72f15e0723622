//! The cluster status that a node reports to operators: sent in [`Message::Status`](crate::Message::Status) and printed
//! as JSON.
//!
//! The order of fields is the wire format, and the names (those in `rename` where given) are the JSON keys: neither may
//! change. Durations are in milliseconds.

use cottondyke_membership::MemberStatus;
use serde::{Deserialize, Serialize};

/// The cluster as one node sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// Name of this node.
    pub name: String,
    /// Incarnation of this node.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Name of the leader, if this node holds a replica that knows it.
    pub leader: Option<String>,
    /// Whether this node is the leader.
    #[serde(rename = "leads")]
    pub is_leader: bool,
    /// All known members, this node first.
    pub members: Vec<MemberStatus>,
    /// Whether this node holds a working replica.
    #[serde(rename = "keeps")]
    pub is_replica: bool,
    /// Time until the last lease of this node expires; 0 if none is in force.
    pub lease_ms: i64,
    /// The units that this node may use now, by name of the budget. Printed as JSON pairs.
    #[serde(rename = "shares")]
    pub quotas: Vec<(String, u32)>,
    /// The replicated quota table, if this node holds it.
    pub budgets: Vec<BudgetStatus>,
    /// Quota that is quarantined because its holder stopped sending requests, if this node is the leader.
    #[serde(rename = "held_back")]
    pub quarantined: Vec<QuarantineStatus>,
}

/// One budget in the replicated quota table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BudgetStatus {
    /// Name of the budget.
    pub name: String,
    /// Units that all holders may use together.
    #[serde(rename = "whole")]
    pub units: u32,
    /// How long a unit may stay in use after its holder's lease has expired.
    #[serde(rename = "linger_ms")]
    pub expiry_grace_ms: i64,
    /// The quota of each holder.
    #[serde(rename = "shares")]
    pub quotas: Vec<QuotaStatus>,
}

/// One holder's quota of a budget.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuotaStatus {
    /// The holder, as `name.incarnation`.
    pub holder: String,
    /// Units granted to it.
    pub amount: u32,
    /// The epoch under which they are granted.
    pub epoch: u64,
    /// Whether its lease expired, so that the rest of its quota is quarantined.
    pub fenced: bool,
}

/// Quota of a holder that stopped sending requests, which may not be granted to others yet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuarantineStatus {
    /// Name of the budget.
    pub budget: String,
    /// The holder, as `name.incarnation`.
    pub holder: String,
    /// Units in quarantine.
    pub units: u32,
    /// How much longer they stay in quarantine.
    #[serde(rename = "for_ms")]
    pub remaining_ms: i64,
}
