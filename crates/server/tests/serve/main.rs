//! The real binary against small stand-ins on loopback.
mod calls;
mod conns;
mod engine;
mod leaving;
#[allow(dead_code)]
#[path = "../../../../examples/toy/peers.rs"]
mod peers;
mod reload;
mod reqs;
mod rig;
mod start;
