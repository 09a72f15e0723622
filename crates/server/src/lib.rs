//! The backend on sockets. Modules follow the stages of a req: `accept` takes connections, `intake` reads,
//! the `desk` owns the decider and carries out what it decides, `run` speaks with the engine, `call` with the
//! records service, `answer` writes. Beside them `keys`, `health`, `report` and `drain`.
#![expect(
    missing_docs,
    unreachable_pub,
    clippy::too_many_lines,
    reason = "not yet read through; see docs/ROADMAP.md"
)]

pub mod accept;
pub mod answer;
pub mod call;
pub mod client;
pub mod config;
pub mod cpu;
pub mod desk;
pub mod drain;
pub mod fetch;
pub mod fleet;
pub mod health;
pub mod input;
pub mod intake;
pub mod keys;
pub mod report;
pub mod room;
pub mod run;
pub mod serve;
pub mod sources;
pub mod time;
pub mod wire;
pub mod work;
