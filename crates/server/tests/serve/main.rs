//! The real binary against small stand-ins on loopback.
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
