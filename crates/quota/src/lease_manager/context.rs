//! What planning reads: the leader's own knowledge of the leases, and how long these can run.

use super::members::{HolderState, Members};
use super::revocations::Revocations;
use crate::{LeaseConfig, MAX_CLOCK_DRIFT};
use cottondyke_types::Time;

/// What the leader knows of the leases that it and earlier leaders granted.
pub(super) struct LeaseContext<'a> {
    pub(super) config: &'a LeaseConfig,
    pub(super) leader_since: Time,
    pub(super) members: &'a Members,
    pub(super) revocations: &'a Revocations,
}

impl LeaseContext<'_> {
    /// Whether the holder's demand was received by this leader within a lease duration.
    pub(super) fn is_live(&self, now: Time, state: &HolderState) -> bool {
        state.received_at >= self.leader_since
            && now < state.received_at + self.config.lease_duration
    }
}

/// How long a holder's lease can run at the longest by the leader's clock.
pub(super) fn max_lease_duration(config: &LeaseConfig) -> Time {
    config.lease_duration.scaled(1.0 + MAX_CLOCK_DRIFT) + Time(1)
}
