//! One instance among others, without I/O, clock or randomness of its own: the registry's keeper (where it is one),
//! the granter (while that keeper leads) and the shares of this instance, joined. Real drivers and the simulated
//! world drive the same code: events go in with the time, `Effect`s come out.
mod instance;
mod word;

pub use instance::{Agreed, Change, Effect, Instance, Setup, View, TICK};
pub use word::{Word, MOST_WORD};
