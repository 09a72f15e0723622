//! Tests of the decisions, on a model of a server that carries out the controller's actions.

mod admission;
mod advice;
mod calls;
mod concurrency;
mod config;
mod golden;
mod invariants;
mod server_model;
mod slow_start;
mod termination;
mod workloads;
