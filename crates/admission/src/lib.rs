//! Joins the decision module and the types it speaks in. Nothing is decided here.
#![expect(missing_docs, reason = "not yet read through; see docs/ROADMAP.md")]

// The policy has a `rustfmt.toml` of its own beside it; `.ci/run` checks it with that.
#[rustfmt::skip]
mod policy;
mod types;

pub use policy::*;
pub use types::*;
