//! Pseudo-random numbers, the same on every machine for the same seed.

/// A 32-bit multiply-with-carry generator (Marsaglia).
pub(crate) struct MultiplyWithCarry(u64);

impl MultiplyWithCarry {
    const MULTIPLIER: u64 = 4_294_957_665;

    pub(crate) fn new(seed: u64) -> Self {
        MultiplyWithCarry(seed % 0xffff_fffe + 1)
    }

    /// Returns the next number, from 0 inclusive to 1 exclusive.
    pub(crate) fn draw(&mut self) -> f64 {
        self.0 = (self.0 & 0xffff_ffff) * Self::MULTIPLIER + (self.0 >> 32);
        (self.0 & 0xffff_ffff) as f64 / 4_294_967_296.0
    }
}
