//! The replicated state machine: the quota table.

use cottondyke_consensus::{RestoreError, StateMachine};
use cottondyke_quota::{Command, QuotaTable};

/// The replicated [`QuotaTable`], changed by `postcard`-encoded [`Command`]s.
#[derive(Debug, Default)]
pub struct QuotaStateMachine(pub QuotaTable);

impl StateMachine for QuotaStateMachine {
    fn apply(&mut self, command: &[u8]) {
        // A command that cannot be decoded, or that was planned for another state of the table, must not change any
        // replica. It fails on every replica alike, so ignoring the error keeps the replicas identical.
        if let Ok(command) = postcard::from_bytes::<Command>(command) {
            let _ = self.0.apply(&command);
        }
    }

    fn snapshot(&self) -> Vec<u8> {
        postcard::to_allocvec(&self.0).unwrap_or_default()
    }

    fn restore(&mut self, bytes: &[u8]) -> Result<(), RestoreError> {
        self.0 = postcard::from_bytes(bytes).map_err(|_| RestoreError)?;
        Ok(())
    }
}
