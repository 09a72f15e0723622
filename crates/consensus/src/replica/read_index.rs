//! Linearizable reads with the read index (section 6.4 of the Raft dissertation).
use super::{Effect, PendingReads, Replica};
use crate::state_machine::StateMachine;

impl<S: StateMachine> Replica<S> {
    /// Asks a majority whether this replica is still the leader. The answer is [`Effect::ReadIndexConfirmed`] with the
    /// same number; there is none if the leadership is lost.
    pub fn read_index(&mut self, number: u64) -> Vec<Effect> {
        if self.is_leader && !self.failed {
            self.raw_node
                .read_index(PendingReads::request_context(number));
        }
        self.collect_effects()
    }

    /// Confirms the reads for which all entries up to their commit index are applied.
    pub(super) fn confirm_reads(&mut self, effects: &mut Vec<Effect>) {
        while let Some(number) = self.pending_reads.take_applied(self.applied_index) {
            if self.is_leader {
                effects.push(Effect::ReadIndexConfirmed(number));
            }
        }
    }
}
