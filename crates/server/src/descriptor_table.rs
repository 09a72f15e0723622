//! The kernel's table of this process's descriptors, made large enough at the start.
//!
//! Linux enlarges the table when a descriptor finds no room, at 64, 128, 256 and so on. In a process with several threads
//! that waits for an RCU grace period of the whole machine, inside whichever system call asked for the descriptor. On a
//! busy machine an `accept` that otherwise never blocks stood still so for 13 s, and all connections with it.
use rustix::process::{getrlimit, Resource};
use std::io;

/// Descriptors for which there is room at once, where the system allows so many. A server that holds more waits at the
/// next doubling.
const RESERVED_DESCRIPTORS: u64 = 4_096;

/// Makes room. To be called before any other thread runs: then nothing is waited for.
pub fn reserve() -> io::Result<()> {
    let allowed = getrlimit(Resource::Nofile).current;
    let count = allowed
        .unwrap_or(RESERVED_DESCRIPTORS)
        .min(RESERVED_DESCRIPTORS);
    // A descriptor with the highest number brings the table to its size, and the table keeps that when it is closed.
    let highest = count.saturating_sub(1) as i32;
    rustix::io::fcntl_dupfd_cloexec(io::stderr(), highest)?;
    Ok(())
}
