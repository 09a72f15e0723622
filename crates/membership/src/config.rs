//! The settings of a membership, and the SWIM parameters that are derived from them.
use crate::timers::duration;
use cottondyke_types::Time;
use foca::{Config, PeriodicParams};
use std::net::SocketAddr;
use std::num::{NonZeroU8, NonZeroUsize};

/// Probe periods after which a member that stopped is in no list: two until it is suspected, six until it is declared
/// dead, and the rest until all members have learned of it.
pub const MAX_DETECTION_PERIODS: i64 = 12;
/// The maximum size of a datagram in bytes, so that it fits into an Ethernet frame.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;
/// Probe periods from the first suspicion of a member until it is declared dead.
const SUSPICION_PERIODS: i64 = 6;
/// The number of members that are asked to probe one that did not answer, that each round of gossip is sent to, and
/// that a member contacts at a time while no other member knows it.
pub(crate) const FANOUT: usize = 3;
/// The maximum number of times that one membership change is transmitted.
const MAX_TRANSMISSIONS: u8 = 30;
/// The number of known members above which datagrams are rejected. Dead members count until they are forgotten.
pub(crate) const MAX_MEMBERS: usize = 4_096;
/// Probe periods between two attempts to reach a seed that is not in the list.
pub(crate) const SEED_CONTACT_PERIODS: i64 = 4;
/// Probe periods between two attempts to reach other members while no other member knows this one.
pub(crate) const REJOIN_PERIODS: f64 = 0.5;
/// Probe periods after which a dead member is forgotten.
const FORGET_DEAD_PERIODS: i64 = 120;
/// Probe periods within which a probe must be answered before other members are asked to probe.
const PROBE_TIMEOUT_PERIODS: f64 = 0.3;
/// Probe periods between two rounds of gossip.
const GOSSIP_PERIODS: f64 = 0.4;
/// Probe periods between two announcements to a member, which answers with its list.
const ANNOUNCE_PERIODS: f64 = 4.0;
/// Probe periods between two announcements to a member that was declared dead.
const ANNOUNCE_TO_DEAD_PERIODS: f64 = 10.0;

/// The settings of one member.
#[derive(Clone, Debug)]
pub struct MembershipConfig {
    /// Names and addresses of members that are contacted while they are not in the list.
    pub seeds: Vec<(String, SocketAddr)>,
    /// The interval at which another member is probed.
    pub probe_period: Time,
    /// False only in experiments: a member that misses one probe is then declared dead at once.
    pub suspicion_enabled: bool,
    /// Determines which members are probed and gossiped to.
    pub random_seed: u64,
}

/// The SWIM parameters, as `foca` expects them.
pub(crate) fn foca_config(config: &MembershipConfig) -> Config {
    let period = config.probe_period;
    let suspicion = if config.suspicion_enabled {
        Time(period.0 * SUSPICION_PERIODS)
    } else {
        Time(1)
    };
    let periodic = |periods: f64, members: usize| {
        Some(PeriodicParams {
            frequency: duration(period.scaled(periods)),
            num_members: non_zero(members),
        })
    };
    Config {
        probe_period: duration(period),
        probe_rtt: duration(period.scaled(PROBE_TIMEOUT_PERIODS)),
        num_indirect_probes: non_zero(FANOUT),
        max_transmissions: NonZeroU8::new(MAX_TRANSMISSIONS).unwrap_or(NonZeroU8::MIN),
        suspect_to_down_after: duration(suspicion),
        remove_down_after: Some(duration(Time(period.0 * FORGET_DEAD_PERIODS))),
        max_packet_size: non_zero(MAX_DATAGRAM_BYTES),
        notify_down_members: true,
        periodic_announce: periodic(ANNOUNCE_PERIODS, 1),
        periodic_announce_to_down_members: periodic(ANNOUNCE_TO_DEAD_PERIODS, 1),
        periodic_gossip: periodic(GOSSIP_PERIODS, FANOUT),
    }
}

fn non_zero(count: usize) -> NonZeroUsize {
    NonZeroUsize::new(count).unwrap_or(NonZeroUsize::MIN)
}
