//! `serve(...)`: how the server runs without a platform configuration.
use crate::arguments::Arguments;
use crate::format::milliseconds;
use crate::{ConfigError, Serve};

const DEFAULT_NAME: &str = "cottondyke";
const MAX_RUNNING_REQUESTS: u64 = 65_536;
const MIN_MEMORY_MB: u64 = 16;
const MAX_MEMORY_MB: u64 = 1 << 20;
const MIN_DESCRIPTORS: u64 = 128;
const MAX_DESCRIPTORS: u64 = 1 << 20;

pub(super) fn parse_serve(mut arguments: Arguments) -> Result<Serve, ConfigError> {
    let serve = Serve {
        name: arguments.name("name", Some(DEFAULT_NAME))?,
        listen: arguments.address("listen")?,
        max_running_requests: arguments.integer("at_once", 1..=MAX_RUNNING_REQUESTS, Some(64))?,
        memory_mb: arguments.integer("memory_mb", MIN_MEMORY_MB..=MAX_MEMORY_MB, Some(64))?,
        max_descriptors: arguments.integer(
            "sockets",
            MIN_DESCRIPTORS..=MAX_DESCRIPTORS,
            Some(1_024),
        )?,
        shutdown_timeout: arguments.duration("stop", Some(milliseconds(3_000)))?,
        max_retry_after: arguments.duration("longest_pause", Some(milliseconds(1_000)))?,
        seed: arguments.integer("seed", 0..=u64::MAX, Some(1))?,
        at: arguments.at.clone(),
    };
    arguments.finish()?;
    Ok(serve)
}
