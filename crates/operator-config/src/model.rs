//! The operator's file as typed values. Each declaration keeps its location in the script, so that later checks can
//! report it.
//!
//! `cottondyke-script` writes these types as JSON and the server reads them; the `serde` names are those of that JSON.
use crate::{serde_time, SourceLocation};
use cottondyke_types::{Idempotency, Time};
use serde::{Deserialize, Serialize};
use serde_json::Value as Json;
use std::net::SocketAddr;

/// The maximum number of dependencies in one file.
pub const MAX_DEPENDENCIES: usize = 64;
/// The maximum number of parts in one page.
pub const MAX_PARTS: usize = 32;
/// The maximum number of fallbacks of one part.
pub const MAX_FALLBACKS: usize = 8;
/// The maximum size of the default value of a part, in bytes of JSON.
pub const MAX_DEFAULT_VALUE_BYTES: usize = 65_536;

/// The names of the safeguards that `defences(off = [...])` can disable.
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

/// `serve(...)`: how the server runs without a platform configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Serve {
    /// Where it is declared.
    pub at: SourceLocation,
    /// The server's name in logs.
    pub name: String,
    /// The address on which it accepts connections.
    pub listen: SocketAddr,
    /// The maximum number of requests that run concurrently.
    #[serde(rename = "at_once")]
    pub max_running_requests: u64,
    /// The memory that the process may use, in MiB.
    pub memory_mb: u64,
    /// The number of file descriptors that the process may open.
    #[serde(rename = "sockets")]
    pub max_descriptors: u64,
    /// The time from the shutdown signal to the exit of the process.
    #[serde(rename = "stop", with = "serde_time")]
    pub shutdown_timeout: Time,
    /// The longest time after which a rejected client is told to retry.
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
    /// Whether it may run more than once for one request.
    #[serde(rename = "effect", with = "IdempotencyName")]
    pub idempotency: Idempotency,
    /// The time within which a response has its full value.
    #[serde(with = "serde_time")]
    pub response_target: Time,
    /// The time after which a client stops waiting.
    #[serde(with = "serde_time")]
    pub client_timeout: Time,
    /// The value of a response within the response target.
    pub value: f64,
    /// The fraction of `value` that a response has after the response target.
    #[serde(rename = "late_value")]
    pub late_value_ratio: f64,
    /// How long repeats of a request with an idempotency key are deduplicated.
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
    /// Its quota in requests per second, over the whole fleet.
    #[serde(rename = "per_second")]
    pub requests_per_second: f64,
}

/// `peers(...)`: this instance as a member of a fleet, and the replicas of the fleet's quota table.
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
    /// The address at which other members reach it, if that is not `listen`.
    pub advertise: Option<SocketAddr>,
    /// How often another member is probed.
    #[serde(rename = "probe", with = "serde_time")]
    pub probe_interval: Time,
    /// The names and addresses of the quota table's replicas.
    #[serde(rename = "keepers")]
    pub replicas: Vec<(String, SocketAddr)>,
    /// The directory of the state that must survive a restart; required for a replica.
    #[serde(rename = "data")]
    pub data_dir: Option<String>,
    /// How long a quota may be used after it was requested.
    #[serde(rename = "lease", with = "serde_time")]
    pub lease_duration: Time,
    /// The longest time for which a process may be suspended and then resume.
    #[serde(rename = "longest_stop", with = "serde_time")]
    pub max_process_pause: Time,
}

impl Peers {
    /// Whether this instance holds a replica of the quota table.
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
    /// Whether its responses are JSON; otherwise they are text.
    #[serde(rename = "json")]
    pub responses_are_json: bool,
    /// The longest time that one step of a part may wait for it.
    #[serde(rename = "budget", with = "serde_time")]
    pub time_budget: Time,
    /// The number of calls in flight that it can sustain, from all instances together unless `per_instance`.
    pub ceiling: u64,
    /// The number of calls per second that it can sustain, from the same instances as `ceiling`.
    #[serde(rename = "rate")]
    pub max_rate: Option<u64>,
    /// Whether `ceiling` and `max_rate` apply to each instance separately.
    #[serde(rename = "own")]
    pub per_instance: bool,
    /// The lower bound of its adaptive concurrency limit.
    #[serde(rename = "floor")]
    pub min_limit: u64,
    /// How long it may continue to work on a call after the call was cancelled.
    #[serde(rename = "linger", with = "serde_time")]
    pub post_cancel_grace: Time,
    /// The number of calls that may wait for its limit; if `None`, as many as may be in flight.
    #[serde(rename = "waiting")]
    pub max_waiting: Option<u64>,
    /// The maximum number of retries and hedged calls, as a fraction of first calls.
    #[serde(rename = "retries")]
    pub retry_ratio: f64,
    /// The quantile of its latency after which a second, hedged call is sent; no hedging if `None`.
    #[serde(rename = "hedge")]
    pub hedge_quantile: Option<f64>,
}

/// The substitute for a part that its dependency did not deliver.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Fallback {
    /// `kept(age)`: the last successful response, up to this age.
    #[serde(rename = "Kept", with = "serde_time")]
    Cached(Time),
    /// `other(dependency)`: a call to the dependency of this name.
    #[serde(rename = "Other")]
    Secondary(String),
    /// `fixed(value)`: a constant. A string is sent without quotes if the dependency's responses are text; any other
    /// value is sent as JSON.
    #[serde(rename = "Fixed")]
    Default(Json),
    /// `leave_out()`: the page omits the part.
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
    /// The fallbacks in the order in which they are tried, each with the location of its declaration.
    pub fallbacks: Vec<(SourceLocation, Fallback)>,
}

/// `page(...)`: the response of a handler, composed of parts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Aggregation {
    /// Where it is declared.
    pub at: SourceLocation,
    /// The name of the handler.
    pub handler: String,
    /// Its parts, in the order in which they appear in the response.
    pub parts: Vec<Part>,
}

/// The whole configuration in an operator's file.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct OperatorConfig {
    /// The path of the file.
    pub file: String,
    /// How the server runs without a platform configuration.
    pub serve: Option<Serve>,
    /// The fleet that this instance is a member of.
    pub peers: Option<Peers>,
    /// The maximum number of running instances, if ceilings are divided into fixed shares.
    pub instances: Option<u64>,
    /// The memory for cached responses, in MiB.
    #[serde(rename = "kept_mb")]
    pub stale_cache_mb: f64,
    /// The location of `fleet(...)`; line 0 if it is not declared.
    #[serde(rename = "fleet")]
    pub fleet_location: SourceLocation,
    /// The handlers in the order of their declaration.
    pub handlers: Vec<Handler>,
    /// The tenants in the order of their declaration.
    pub tenants: Vec<Tenant>,
    /// The dependencies in the order of their declaration.
    pub dependencies: Vec<Dependency>,
    /// The pages in the order of their declaration.
    pub aggregations: Vec<Aggregation>,
    /// The safeguards that are disabled, for experiments.
    pub disabled_safeguards: Vec<String>,
}
