//! The cottondyke server: it reads requests from sidecars, asks the admission controller which of them to admit, runs
//! the admitted ones and writes the responses.
//!
//! Modules by layer, lowest first; no module imports one that is listed after it:
//!
//! - [`clock`], [`backoff`], [`memory_plan`], [`socket_io`], [`tasks`], [`log_output`], [`descriptor_table`], [`process_memory`],
//!   [`protocol`] (encoding and decoding of messages), [`memory_budget`], [`unverified_quota`], [`connection_account`], [`config`] and [`event`] (the inputs of the dispatcher);
//! - [`resource_limits`], [`cpu_usage`], [`shutdown`], [`health_check`], [`dedup`], [`recent_ids`], [`signal`];
//! - [`connection`], [`listener`], [`outbound`], [`load_report`], [`cluster`], [`execution`];
//! - [`dispatcher`], the sole owner of the admission controller, the in-flight requests and the timers;
//! - [`app`], which assembles and runs the server.

pub mod app;
pub mod backoff;
pub mod clock;
pub mod cluster;
pub mod config;
pub mod connection;
pub mod connection_account;
pub mod cpu_usage;
pub mod dedup;
pub mod descriptor_table;
pub mod dispatcher;
pub mod event;
pub mod execution;
pub mod health_check;
pub mod listener;
pub mod load_report;
pub mod log_output;
pub mod memory_budget;
pub mod memory_plan;
pub mod outbound;
pub mod process_memory;
pub mod protocol;
pub mod recent_ids;
pub mod resource_limits;
pub mod shutdown;
pub mod signal;
pub mod socket_io;
pub mod tasks;
pub mod unverified_quota;
