//! Stand-ins for what the server speaks with. They count what crosses their sockets, and fail as a schedule says.
pub mod fake_dependency;
pub mod fakes;
pub mod faulty_link;
