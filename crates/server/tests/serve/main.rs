//! The real binary against small stand-ins on loopback.
#![expect(
    unreachable_pub,
    clippy::too_many_lines,
    reason = "tables of cases and long scenarios"
)]

mod calls;
mod conns;
mod crossings;
mod engine;
mod leaving;
mod pages;
mod reload;
mod reqs;
mod restarts;
mod rig;
mod start;
