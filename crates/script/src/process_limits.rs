//! The system's limits on the process that evaluates. They hold where the interpreter's own do not: during a single
//! allocation and a single built-in operation.
use rustix::io::Errno;
use rustix::process::{setrlimit, Resource, Rlimit};

/// The address space of the process, in bytes.
pub const MAX_ADDRESS_SPACE_BYTES: u64 = 512 << 20;
/// The time that the process may use on a core, in seconds.
pub const MAX_CPU_SECONDS: u64 = 5;
/// The size of a core file, in bytes: none is written.
const MAX_CORE_FILE_BYTES: u64 = 0;

/// A limit that the system did not set.
#[derive(Debug, thiserror::Error)]
#[error("cannot limit {resource}: {source}")]
pub struct ProcessLimitError {
    resource: &'static str,
    #[source]
    source: Errno,
}

/// Sets the limits of this process for good.
///
/// # Errors
/// If the system refuses one of them, as it does where a hard limit is lower already.
pub fn limit_process() -> Result<(), ProcessLimitError> {
    set_limit(Resource::As, "memory", MAX_ADDRESS_SPACE_BYTES)?;
    set_limit(Resource::Cpu, "the time", MAX_CPU_SECONDS)?;
    set_limit(Resource::Core, "the core file", MAX_CORE_FILE_BYTES)
}

fn set_limit(resource: Resource, name: &'static str, max: u64) -> Result<(), ProcessLimitError> {
    let limit = Rlimit {
        current: Some(max),
        maximum: Some(max),
    };
    setrlimit(resource, limit).map_err(|source| ProcessLimitError {
        resource: name,
        source,
    })
}
