//! Admission control for one server: what it admits, in which order it runs it, what it rejects or terminates, and what
//! it advises its callers. It does no I/O and reads no clock: each input is a method of [`AdmissionController`] that
//! takes the time and returns the [`Actions`] to carry out.
//!
//! All decisions lie in the folder `policy`; the other modules keep records and sums for it.

mod actions;
mod arrival;
mod call_occupancy;
mod call_times;
mod caller_table;
mod config;
mod controller;
mod handler;
mod handler_cost;
mod histograms;
mod inputs;
mod memory;
// The policy has a `rustfmt.toml` of its own beside it; `.ci/run` checks it with that.
#[rustfmt::skip]
mod policy;
mod random;
mod request;
mod request_table;
mod status;
mod tick_schedule;
mod transitions;
mod value_ledger;
mod windows;

pub use actions::{Actions, Rejection, Rule, RuleFiring};
pub use arrival::{Arrival, CallOutcome, LoadSample, RunOutcome};
pub use config::{
    AdmissionConfig, AdviceFormat, CallConfig, CallerConfig, Cancellation, ConcurrencyConfig,
    GoalWeights,
};
pub use controller::AdmissionController;
pub use cottondyke_types::{CallerId, HandlerId, Idempotency, RequestId, TenantId, Time};
pub use handler::Handler;
pub use memory::MemoryLimits;
pub use policy::termination_threshold::termination_threshold;
pub use status::AdmissionStatus;
