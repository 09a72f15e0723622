//! Linearizable reads by the read index of the Raft dissertation (section 6.4).
use super::{Effect, PendingReads, Replica};
use crate::state_machine::StateMachine;

impl<S: StateMachine> Replica<S> {
    /// Asks a majority whether this replica still leads. The answer is [`Effect::ReadIndexConfirmed`] with the same
    /// number, or none: the request is lost with the leadership.
    pub fn read_index(&mut self, number: u64) -> Vec<Effect> {
        if self.is_leader && !self.failed {
            self.raw_node
                .read_index(PendingReads::request_context(number));
        }
        self.collect_effects()
    }

    /// Confirms the reads for which everything that was committed is applied.
    pub(super) fn confirm_reads(&mut self, effects: &mut Vec<Effect>) {
        while let Some(number) = self.pending_reads.take_applied(self.applied_index) {
            if self.is_leader {
                effects.push(Effect::ReadIndexConfirmed(number));
            }
        }
    }
}
