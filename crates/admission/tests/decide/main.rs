#![expect(
    missing_docs,
    unreachable_pub,
    clippy::too_many_lines,
    reason = "tables of cases and long scenarios"
)]

mod golden;
mod plain;
mod rules;
mod world;
