//! What the replicas agree on.
use thiserror::Error;

/// The state in a snapshot cannot be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the state in the snapshot cannot be decoded")]
pub struct RestoreError;

/// A deterministic state: two that are given the same commands in the same order are equal. It is changed by
/// [`apply`](StateMachine::apply) and [`restore`](StateMachine::restore) alone.
pub trait StateMachine {
    /// Applies a committed command. One that cannot be decoded must be ignored alike on every replica.
    fn apply(&mut self, command: &[u8]);
    /// Encodes the whole state.
    fn snapshot(&self) -> Vec<u8>;
    /// Replaces the state by that of a snapshot.
    ///
    /// # Errors
    /// Where it cannot be decoded. The replica fails then.
    fn restore(&mut self, bytes: &[u8]) -> Result<(), RestoreError>;
}
