//! `peers(...)`: this instance as a member of a fleet.
use super::error::DeclarationError;
use crate::arguments::{Arguments, MAX_NAME_BYTES};
use crate::format::{format_duration, milliseconds};
use crate::{ConfigError, Peers};
use cottondyke_types::Time;
use serde_json::Value as Json;
use std::net::SocketAddr;
use std::ops::RangeInclusive;

/// The allowed numbers of replicas of the quota table. A majority of them must be available, so an even number
/// tolerates no more failures than the odd number below it.
const REPLICA_COUNTS: [usize; 3] = [1, 3, 5];
const EXPECTED_REPLICAS: &str =
    "1, 3 or 5 names with an address each such as {\"a\": \"10.0.0.1:7100\"}";
const DEFAULT_ZONE: &str = "here";
const LEASE_DURATIONS: RangeInclusive<Time> = milliseconds(500)..=milliseconds(600_000);
const PROBE_INTERVALS: RangeInclusive<Time> = milliseconds(50)..=milliseconds(60_000);

pub(super) fn parse_peers(mut arguments: Arguments) -> Result<Peers, ConfigError> {
    let replicas = arguments.read("keepers", EXPECTED_REPLICAS, None, read_replicas)?;
    let data_dir = arguments.read_optional("data", "None or the path of a directory", |value| {
        value
            .as_str()
            .filter(|path| !path.is_empty())
            .map(String::from)
    })?;
    let name = arguments.name("name", None)?;
    if data_dir.is_none() && replicas.iter().any(|(replica, _)| *replica == name) {
        return Err(arguments.error(DeclarationError::MissingDataDirectory));
    }
    let peers = Peers {
        name,
        zone: arguments.name("zone", Some(DEFAULT_ZONE))?,
        listen: arguments.address("listen")?,
        advertise: arguments.read_optional(
            "advertise",
            "None or an IP address with a port",
            |value| value.as_str()?.parse().ok(),
        )?,
        probe_interval: arguments.duration("probe", Some(milliseconds(1_000)))?,
        replicas,
        data_dir,
        lease_duration: arguments.duration("lease", Some(milliseconds(3_000)))?,
        max_process_pause: arguments.duration("longest_stop", Some(milliseconds(60_000)))?,
        at: arguments.at.clone(),
    };
    if !LEASE_DURATIONS.contains(&peers.lease_duration) {
        let given = Json::from(format_duration(peers.lease_duration));
        return Err(arguments.unexpected("lease", &given, "a time from \"500ms\" to \"10m\""));
    }
    if !PROBE_INTERVALS.contains(&peers.probe_interval) {
        let given = Json::from(format_duration(peers.probe_interval));
        return Err(arguments.unexpected("probe", &given, "a time from \"50ms\" to \"1m\""));
    }
    arguments.finish()?;
    Ok(peers)
}

fn read_replicas(value: &Json) -> Option<Vec<(String, SocketAddr)>> {
    let replicas = value
        .as_object()?
        .iter()
        .map(|(name, address)| read_replica(name, address))
        .collect::<Option<Vec<_>>>()?;
    REPLICA_COUNTS.contains(&replicas.len()).then_some(replicas)
}

fn read_replica(name: &str, address: &Json) -> Option<(String, SocketAddr)> {
    let is_name = !name.is_empty()
        && name.len() <= MAX_NAME_BYTES
        && name.chars().all(|c| c.is_ascii_graphic());
    let address = address.as_str()?.parse().ok()?;
    is_name.then(|| (name.to_string(), address))
}
