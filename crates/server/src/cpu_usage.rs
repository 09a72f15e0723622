//! CPU utilization where no engine reports it: the process's own use of the one core that it can use; and the time for
//! which the serving thread waited for a core.
use rustix::time::{clock_gettime, ClockId};
use std::time::{Duration, Instant};

/// The minimum time between two samples. Over a shorter time, the ratio of CPU time to elapsed time says too little
/// about the load.
const MIN_SAMPLE_WINDOW: Duration = Duration::from_millis(5);
const MAX_NANOS: i64 = 999_999_999;

/// Samples the process's CPU time.
pub struct CpuSampler {
    sampled_at: Instant,
    cpu_time: Duration,
}

impl CpuSampler {
    /// Creates a sampler whose first window starts now.
    pub fn start() -> Self {
        CpuSampler {
            sampled_at: Instant::now(),
            cpu_time: process_cpu_time(),
        }
    }

    /// The fraction of a core used since the last sample, at most 1; `None` if the window is too short.
    pub fn sample(&mut self) -> Option<f64> {
        let now = Instant::now();
        let cpu_time = process_cpu_time();
        let window = now - self.sampled_at;
        if window < MIN_SAMPLE_WINDOW {
            return None;
        }
        let used = cpu_time.saturating_sub(self.cpu_time);
        let utilization = used.as_secs_f64() / window.as_secs_f64();
        self.sampled_at = now;
        self.cpu_time = cpu_time;
        Some(utilization.min(1.0))
    }
}

/// File of the scheduler statistics of the thread that reads it: time on a core, time runnable but not on a core, both in
/// nanoseconds, and the number of time slices (Linux, sched-stats).
const SCHEDULER_STATISTICS: &str = "/proc/thread-self/schedstat";
/// The index of the time runnable but not on a core.
const RUN_DELAY: usize = 1;

/// Samples for how long the calling thread was ready to run and had no core.
#[derive(Debug, Default)]
pub struct CoreWaitSampler {
    run_delay: Duration,
}

impl CoreWaitSampler {
    /// The time that the thread has waited for a core since the last sample; zero if the kernel does not report it.
    pub fn sample(&mut self) -> Duration {
        let run_delay = thread_run_delay().unwrap_or_default();
        let waited = run_delay.saturating_sub(self.run_delay);
        self.run_delay = run_delay;
        waited
    }
}

fn thread_run_delay() -> Option<Duration> {
    let statistics = std::fs::read_to_string(SCHEDULER_STATISTICS).ok()?;
    let nanos = statistics.split_whitespace().nth(RUN_DELAY)?;
    nanos.parse().ok().map(Duration::from_nanos)
}

fn process_cpu_time() -> Duration {
    let time = clock_gettime(ClockId::ProcessCPUTime);
    Duration::new(
        time.tv_sec.max(0) as u64,
        time.tv_nsec.clamp(0, MAX_NANOS) as u32,
    )
}
