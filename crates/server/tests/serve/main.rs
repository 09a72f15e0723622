//! The real binary against small fakes on loopback.
#![expect(
    unreachable_pub,
    clippy::too_many_lines,
    reason = "tables of cases and long scenarios"
)]

mod aggregations;
mod connections;
mod engine;
mod idempotency;
mod records_calls;
mod reload;
mod requests;
mod restarts;
mod rig;
mod shutdown;
mod startup;
