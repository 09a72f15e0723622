//! The gauge of the cores where no engine reads one out: what this program itself uses of the one core that it
//! can use.
use rustix::time::{clock_gettime, ClockId};
use std::time::{Duration, Instant};

pub struct CpuSampler {
    at: Instant,
    used: Duration,
}

/// A reading over less than this says nothing.
const SHORTEST: Duration = Duration::from_millis(5);

fn used() -> Duration {
    let time = clock_gettime(ClockId::ProcessCPUTime);
    Duration::new(
        time.tv_sec.max(0) as u64,
        time.tv_nsec.clamp(0, 999_999_999) as u32,
    )
}

impl CpuSampler {
    pub fn start() -> Self {
        CpuSampler {
            at: Instant::now(),
            used: used(),
        }
    }

    /// The part of a core in use since the last reading.
    pub fn read(&mut self) -> Option<f64> {
        let (now, used) = (Instant::now(), used());
        let span = now - self.at;
        if span < SHORTEST {
            return None;
        }
        let busy = used.saturating_sub(self.used).as_secs_f64() / span.as_secs_f64();
        (self.at, self.used) = (now, used);
        Some(busy.min(1.0))
    }
}
