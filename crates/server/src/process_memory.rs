//! The memory of the process as the kernel counts it: anonymous pages, and those of files that it has mapped.

/// File of the process's state (proc_pid_status(5)).
const STATUS: &str = "/proc/self/status";
/// The line with the resident memory, in kibibytes.
const RESIDENT: &str = "VmRSS:";
const BYTES_PER_KIB: usize = 1 << 10;

/// The resident memory of the process in bytes; `None` if the kernel does not report it.
pub fn resident_bytes() -> Option<usize> {
    let status = std::fs::read_to_string(STATUS).ok()?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix(RESIDENT))?;
    let kib: usize = line.split_whitespace().next()?.parse().ok()?;
    Some(kib * BYTES_PER_KIB)
}
