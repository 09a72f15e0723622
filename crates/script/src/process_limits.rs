//! The resource limits of the process that evaluates a script. They also apply where the interpreter's own limits do
//! not: during a single allocation and a single built-in operation.
use rustix::io::Errno;
use rustix::process::{setrlimit, Resource, Rlimit};

/// The maximum address space of the process, in bytes.
pub const MAX_ADDRESS_SPACE_BYTES: u64 = 512 << 20;
/// The maximum CPU time of the process, in seconds.
pub const MAX_CPU_SECONDS: u64 = 5;
/// The maximum size of a core file, in bytes: with 0, none is written.
const MAX_CORE_FILE_BYTES: u64 = 0;

/// A resource limit that could not be set.
#[derive(Debug, thiserror::Error)]
#[error("cannot limit {resource}: {source}")]
pub struct ProcessLimitError {
    resource: &'static str,
    #[source]
    source: Errno,
}

/// Sets the soft and the hard resource limits of this process permanently.
///
/// # Errors
/// If the system refuses one of them, as it does if the hard limit is already lower.
pub fn limit_process() -> Result<(), ProcessLimitError> {
    set_limit(Resource::As, "the address space", MAX_ADDRESS_SPACE_BYTES)?;
    set_limit(Resource::Cpu, "the CPU time", MAX_CPU_SECONDS)?;
    set_limit(Resource::Core, "the core file size", MAX_CORE_FILE_BYTES)
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
