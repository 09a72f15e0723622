//! The randomized election timeout of a replica, derived from a seed.
use super::ELECTION_TICKS;
use raft::StateRole;

/// A random number of ticks that is drawn again for each term and role. The crate `raft` draws its own from the
/// system's random number generator, which would make runs impossible to reproduce from their seed.
#[derive(Debug)]
pub(super) struct ElectionTimeout {
    drawn_for_term: u64,
    drawn_for_role: StateRole,
    ticks: usize,
    random: fastrand::Rng,
}

impl ElectionTimeout {
    pub(super) fn new(seed: u64) -> Self {
        ElectionTimeout {
            drawn_for_term: u64::MAX,
            drawn_for_role: StateRole::Follower,
            ticks: ELECTION_TICKS,
            random: fastrand::Rng::with_seed(seed),
        }
    }

    /// The timeout for this term and role.
    pub(super) fn ticks_for(&mut self, term: u64, role: StateRole) -> usize {
        if (term, role) != (self.drawn_for_term, self.drawn_for_role) {
            (self.drawn_for_term, self.drawn_for_role) = (term, role);
            self.ticks = self.random.usize(ELECTION_TICKS..2 * ELECTION_TICKS);
        }
        self.ticks
    }
}
