//! What the replicas agree on.

/// A deterministic state: two that are given the same commands in the same order are equal. It is changed by
/// [`apply`](StateMachine::apply) and [`restore`](StateMachine::restore) alone.
pub trait StateMachine {
    /// Applies a committed command. One that cannot be decoded must be ignored alike on every replica.
    fn apply(&mut self, command: &[u8]);
    /// Encodes the whole state.
    fn snapshot(&self) -> Vec<u8>;
    /// Replaces the state by a snapshot. False where it cannot be decoded: the replica then fails.
    fn restore(&mut self, bytes: &[u8]) -> bool;
}
