//! Admission control for one server: which requests it admits, in which order it runs them, which it rejects or
//! terminates, and what load advice it gives its callers. It does no I/O and reads no clock: each input is a method of
//! [`AdmissionController`] that takes the time and returns the [`Actions`] to carry out.
//!
//! All decisions are made in the module `policy`; the other modules keep its records and sums.

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
// The policy is formatted with the `rustfmt.toml` in its own folder; `.ci/run` checks it with that.
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
pub use arrival::{Arrival, CallOutcome, LoadSample, RunOutcome, ShutdownNotice};
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
