//! The configuration of a fake machine, and what it records.
use std::time::Duration;

/// Configuration of a machine.
#[derive(Clone, Copy, Debug)]
pub struct MachineConfig {
    /// The number of cores.
    pub cores: f64,
    /// The fraction of full speed at which the machine runs right after a cold start.
    pub cold_speed: f64,
    /// How long a cold machine takes to reach full speed.
    pub warm_after: Duration,
    /// The cold speed that the server's settings state, which is no higher than the actual one.
    pub configured_cold_speed: f64,
    /// The warm-up time that the server's settings state, which is no shorter than the actual one.
    pub configured_warm_within: Duration,
    /// Runs per core that the machine survives when warm.
    pub overload_factor: f64,
    /// Calls to a dependency that each run makes: one before each of as many equal parts of its work.
    pub calls: u32,
    /// How long a run waits for a call before it ends, as if its request was over.
    pub max_call_wait: Duration,
    /// How notices are written.
    pub notices: NoticeStyle,
}

/// How notices are written to a link.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoticeStyle {
    /// Pause in the middle of notices that are written together.
    pub pause: Duration,
    /// One notice in this many is written twice; 0 for none.
    pub repeat_one_in: usize,
}

/// Call results that runs were given.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallResults {
    /// The result of the call that the run waited for.
    pub right: u64,
    /// The result of another call.
    pub wrong: u64,
    /// Waits that ended since no result came.
    pub missing: u64,
}

/// How a machine starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartKind {
    /// Below full speed.
    Cold,
    /// At full speed.
    Warm,
}

/// A run that the machine started.
#[derive(Clone, Copy, Debug)]
pub struct StartedRun {
    /// When it started, counted from the machine's start.
    pub at: Duration,
    /// Work of the run, in seconds on one core at full speed.
    pub work: f64,
}
