//! The state machine that is replicated.
use thiserror::Error;

/// The state in a snapshot cannot be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the state in the snapshot cannot be decoded")]
pub struct RestoreError;

/// A deterministic state machine: the same commands in the same order lead to the same state. Only
/// [`apply`](StateMachine::apply) and [`restore`](StateMachine::restore) change the state.
pub trait StateMachine {
    /// Applies a committed command. A command that cannot be decoded must be ignored in the same way on every replica.
    fn apply(&mut self, command: &[u8]);
    /// Encodes the whole state.
    fn snapshot(&self) -> Vec<u8>;
    /// Replaces the state with that of a snapshot.
    ///
    /// # Errors
    /// If the state cannot be decoded. The replica then fails.
    fn restore(&mut self, bytes: &[u8]) -> Result<(), RestoreError>;
}
