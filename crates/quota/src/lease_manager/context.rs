//! The input of planning: what the leader itself knows about the leases, and how long these can last.

use super::members::{HolderState, Members};
use super::revocations::Fencings;
use crate::{LeaseConfig, MAX_CLOCK_DRIFT};
use cottondyke_types::Time;

/// What the leader knows about the leases that it and earlier leaders granted.
pub(super) struct LeaseContext<'a> {
    pub(super) config: &'a LeaseConfig,
    pub(super) leader_since: Time,
    pub(super) members: &'a Members,
    pub(super) fencings: &'a Fencings,
}

impl LeaseContext<'_> {
    /// Whether this leader received a demand of the holder within the last lease duration.
    pub(super) fn is_live(&self, now: Time, state: &HolderState) -> bool {
        state.received_at >= self.leader_since
            && now < state.received_at + self.config.lease_duration
    }
}

/// The longest time that a holder's lease can last on the leader's clock.
pub(super) fn max_lease_duration(config: &LeaseConfig) -> Time {
    config.lease_duration.scaled(1.0 + MAX_CLOCK_DRIFT) + Time(1)
}
