//! The kernel's table of this process's file descriptors, enlarged at the start.
//!
//! Linux enlarges the table when it is full, at 64, 128, 256 descriptors and so on. In a process with several threads
//! this waits for an RCU grace period of the whole machine, inside whichever system call needs the descriptor. On a
//! busy machine this blocked a non-blocking `accept` for 13 s, and all connections with it.
use rustix::process::{getrlimit, Resource};
use std::io;

/// Minimum size of the table from the start, in descriptors, if the system allows so many. It leaves room for a
/// configuration that is reloaded with a higher limit; beyond it a server waits at the next doubling.
const MIN_RESERVED_DESCRIPTORS: u64 = 4_096;

/// Enlarges the table to `max_descriptors`. Must be called while no other thread runs: then the kernel has no grace
/// period to wait for.
pub fn reserve(max_descriptors: u64) -> io::Result<()> {
    let wanted = max_descriptors.max(MIN_RESERVED_DESCRIPTORS);
    let allowed = getrlimit(Resource::Nofile).current;
    let count = allowed.unwrap_or(wanted).min(wanted);
    // A descriptor with the highest number enlarges the table, which keeps its size when that descriptor is closed.
    let highest = count.saturating_sub(1) as i32;
    rustix::io::fcntl_dupfd_cloexec(io::stderr(), highest)?;
    Ok(())
}
