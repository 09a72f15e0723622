//! Joins the decision module and the types it speaks in. Nothing is decided here.
#![expect(missing_docs, reason = "not yet read through; see docs/ROADMAP.md")]

// The policy has a `rustfmt.toml` of its own beside it; `.ci/run` checks it with that.
#[rustfmt::skip]
pub mod policy;
pub mod types;
