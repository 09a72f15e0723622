//! Stand-ins for what the server speaks with. They count what crosses their sockets, and fail as a schedule says.
#![expect(
    missing_docs,
    clippy::too_many_lines,
    reason = "not yet read through; see docs/ROADMAP.md"
)]

pub mod fake_dependency;
pub mod fakes;
pub mod faulty_link;
