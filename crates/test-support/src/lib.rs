//! Stand-ins for what the server speaks with. They count what crosses their sockets, and fail as a schedule says.
pub mod dependency;
pub mod link;
pub mod peers;
