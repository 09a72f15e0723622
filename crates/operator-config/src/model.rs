//! The operator's file as typed values. Each declaration carries the place where it stands, so that later checks can
//! name it.
//!
//! `cottondyke-script` writes these types as JSON and the server reads them; the `serde` names are those of that JSON.
use crate::{serde_time, SourceLocation};
use cottondyke_types::{Idempotency, Time};
use serde::{Deserialize, Serialize};
use serde_json::Value as Json;
use std::net::SocketAddr;

/// Dependencies that one file may declare.
pub const MAX_DEPENDENCIES: usize = 64;
/// Parts that one page may have.
pub const MAX_PARTS: usize = 32;
/// Fallbacks that one part may have.
pub const MAX_FALLBACKS: usize = 8;
/// The size of the default value of a part, in bytes of JSON.
pub const MAX_DEFAULT_VALUE_BYTES: usize = 65_536;

/// The names of the safeguards that `defences(off = [...])` can switch off.
pub const SAFEGUARDS: [&str; 13] = [
    "budget",
    "limit",
    "adapt",
    "breaker",
    "hedge",
    "kept",
    "fallback",
    "restart",
    "lease",
    "fence",
    "linger",
    "need",
    "suspicion",
];

/// `serve(...)`: how the server runs without a configuration of the platform's.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Serve {
    /// Where it is declared.
    pub at: SourceLocation,
    /// The server's name in logs.
    pub name: String,
    /// The address on which it accepts connections.
    pub listen: SocketAddr,
    /// Requests that run at one time.
    #[serde(rename = "at_once")]
    pub max_running_requests: u64,
    /// Memory that the process may take, in MiB.
    pub memory_mb: u64,
    /// File descriptors that the process may open.
    #[serde(rename = "sockets")]
    pub max_descriptors: u64,
    /// From the shutdown signal to the end of the process.
    #[serde(rename = "stop", with = "serde_time")]
    pub shutdown_timeout: Time,
    /// The longest time after which a rejected client is asked to come back.
    #[serde(rename = "pause", with = "serde_time")]
    pub max_retry_after: Time,
    /// The seed of the server's random numbers.
    pub seed: u64,
}

/// The JSON names of [`Idempotency`].
#[derive(Serialize, Deserialize)]
#[serde(remote = "Idempotency")]
enum IdempotencyName {
    #[serde(rename = "Replayable")]
    Idempotent,
    #[serde(rename = "Uniqued")]
    Keyed,
    #[serde(rename = "NonReplayable")]
    NonIdempotent,
}

/// `handler(...)`: a kind of request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Handler {
    /// Where it is declared.
    pub at: SourceLocation,
    /// Its name, unique among the handlers.
    pub name: String,
    /// Whether it may run twice for one request.
    #[serde(rename = "effect", with = "IdempotencyName")]
    pub idempotency: Idempotency,
    /// The time within which an answer has its full value.
    #[serde(with = "serde_time")]
    pub response_target: Time,
    /// The time after which a client no longer waits.
    #[serde(with = "serde_time")]
    pub client_timeout: Time,
    /// The value of an answer within the response target.
    pub value: f64,
    /// The fraction of the value left after the response target.
    #[serde(rename = "late_value")]
    pub late_value_ratio: f64,
    /// How long a request with an idempotency key may be repeated.
    #[serde(rename = "window", with = "serde_time")]
    pub dedup_window: Time,
}

/// `customer(...)`: a tenant and its quota.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Tenant {
    /// Where it is declared.
    pub at: SourceLocation,
    /// Its name, unique among the tenants.
    pub name: String,
    /// Requests a second within its quota, over the whole fleet.
    #[serde(rename = "per_second")]
    pub requests_per_second: f64,
}

/// `peers(...)`: this instance as a member of a fleet, and the replicas of the fleet's registry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Peers {
    /// Where it is declared.
    pub at: SourceLocation,
    /// This instance's name.
    pub name: String,
    /// This instance's zone.
    pub zone: String,
    /// The address on which it accepts connections of other members.
    pub listen: SocketAddr,
    /// The address at which other members reach it, where that is not `listen`.
    pub advertise: Option<SocketAddr>,
    /// How often another member is probed.
    #[serde(rename = "probe", with = "serde_time")]
    pub probe_interval: Time,
    /// The replicas of the registry, by name.
    #[serde(rename = "keepers")]
    pub replicas: Vec<(String, SocketAddr)>,
    /// The directory of what must survive a restart. A replica needs it.
    #[serde(rename = "data")]
    pub data_dir: Option<String>,
    /// How long a quota may be used after it was requested.
    #[serde(rename = "lease", with = "serde_time")]
    pub lease_duration: Time,
    /// The longest time for which a process may be stopped and still go on afterwards.
    #[serde(rename = "longest_stop", with = "serde_time")]
    pub max_process_pause: Time,
}

impl Peers {
    /// Whether this instance holds a replica of the registry.
    pub fn is_replica(&self) -> bool {
        self.replicas.iter().any(|(name, _)| *name == self.name)
    }
}

/// `dependency(...)`: a service that pages are composed from.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Dependency {
    /// Where it is declared.
    pub at: SourceLocation,
    /// Its name, unique among the dependencies.
    pub name: String,
    /// Its address.
    #[serde(rename = "addr")]
    pub address: SocketAddr,
    /// The path of each request to it.
    pub path: String,
    /// Whether its replies are JSON; otherwise they are text.
    #[serde(rename = "json")]
    pub replies_are_json: bool,
    /// The longest that one step of a part may wait for it.
    #[serde(rename = "budget", with = "serde_time")]
    pub time_budget: Time,
    /// Calls in flight that it survives, from all instances together unless `per_instance`.
    pub ceiling: u64,
    /// Calls a second that it survives, from the same instances as `ceiling`.
    #[serde(rename = "rate")]
    pub max_rate: Option<u64>,
    /// Whether `ceiling` and `max_rate` count for each instance on its own.
    #[serde(rename = "own")]
    pub per_instance: bool,
    /// The least to which its concurrency limit adapts.
    #[serde(rename = "floor")]
    pub min_limit: u64,
    /// How long it may go on with a call after the call was cancelled.
    #[serde(rename = "linger", with = "serde_time")]
    pub post_cancel_grace: Time,
    /// Calls that may wait for its limit; as many as may be in flight where `None`.
    #[serde(rename = "waiting")]
    pub max_waiting: Option<u64>,
    /// Retries and hedged calls allowed, as a fraction of first calls.
    #[serde(rename = "retries")]
    pub retry_ratio: f64,
    /// The quantile of its latency after which a call is hedged by a second; no hedging where `None`.
    #[serde(rename = "hedge")]
    pub hedge_quantile: Option<f64>,
}

/// What stands in for a part whose dependency did not deliver it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Fallback {
    /// `kept(age)`: the last good reply, up to this age.
    #[serde(rename = "Kept", with = "serde_time")]
    Cached(Time),
    /// `other(dependency)`: a call to the dependency of this name.
    #[serde(rename = "Other")]
    Secondary(String),
    /// `fixed(value)`: any value; sent as JSON where the dependency's replies are JSON, else a text as it stands.
    #[serde(rename = "Fixed")]
    Default(Json),
    /// `leave_out()`: the page goes without the part.
    #[serde(rename = "LeaveOut")]
    Omit,
}

/// `part(...)`: a piece of a page, from one dependency.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Part {
    /// Where it is declared.
    pub at: SourceLocation,
    /// Its name, unique within the page.
    pub name: String,
    /// The name of the dependency that delivers it.
    pub dependency: String,
    /// Whether the page fails without it.
    pub required: bool,
    /// What is tried in its place, in this order, each with the place where it is declared.
    pub fallbacks: Vec<(SourceLocation, Fallback)>,
}

/// `aggregation(...)`: the answer of a handler, composed of parts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Aggregation {
    /// Where it is declared.
    pub at: SourceLocation,
    /// The name of the handler.
    pub handler: String,
    /// Its parts, in the order in which they appear in the answer.
    pub parts: Vec<Part>,
}

/// All that the operator's file says.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct OperatorConfig {
    /// The path of the file.
    pub file: String,
    /// How the server runs on its own.
    pub serve: Option<Serve>,
    /// The fleet that this instance is a member of.
    pub peers: Option<Peers>,
    /// Instances that may run at one time, where ceilings are divided in fixed parts.
    pub instances: Option<u64>,
    /// The memory for cached replies, in MiB.
    #[serde(rename = "kept_mb")]
    pub stale_cache_mb: f64,
    /// Where `fleet(...)` stands; line 0 where it does not.
    #[serde(rename = "fleet")]
    pub fleet_at: SourceLocation,
    /// The declared handlers, in their order.
    pub handlers: Vec<Handler>,
    /// The declared tenants, in their order.
    pub tenants: Vec<Tenant>,
    /// The declared dependencies, in their order.
    pub dependencies: Vec<Dependency>,
    /// The declared pages, in their order.
    pub aggregations: Vec<Aggregation>,
    /// Safeguards that are switched off, for trials.
    pub disabled_safeguards: Vec<String>,
}
