//! What an experiment found: checks with their bounds, and figures.
use crate::options::Options;
use serde_json::{json, Map, Value};

/// Measures how much of the machine's CPU time went to others, from when it was started.
///
/// On a machine that is shared a core may be away for most of a second, and what waits for it, packets too, is late by
/// as much. Nothing that rests on time can be shown then.
pub struct StolenTimeMonitor {
    start: CpuTime,
}

/// CPU time in the kernel's ticks, of all cores together.
#[derive(Clone, Copy)]
struct CpuTime {
    total: f64,
    stolen: f64,
    is_known: bool,
}

/// Fields of the first line of `/proc/stat` that are summed: user, nice, system, idle, iowait, irq, softirq, steal.
const CPU_TIME_FIELDS: usize = 8;
const STEAL_FIELD: usize = 7;

impl CpuTime {
    fn now() -> Self {
        let text = std::fs::read_to_string("/proc/stat").unwrap_or_default();
        let line = text.lines().next().unwrap_or_default();
        let fields: Vec<f64> = line
            .split_whitespace()
            .skip(1)
            .take(CPU_TIME_FIELDS)
            .filter_map(|field| field.parse().ok())
            .collect();
        CpuTime {
            total: fields.iter().sum(),
            stolen: fields.get(STEAL_FIELD).copied().unwrap_or(0.0),
            is_known: !fields.is_empty(),
        }
    }
}

impl StolenTimeMonitor {
    /// Starts to measure.
    pub fn start() -> Self {
        StolenTimeMonitor {
            start: CpuTime::now(),
        }
    }

    /// The fraction of all cores' time since the start that was given to others; 0 where the kernel does not tell.
    pub fn stolen_fraction(&self) -> f64 {
        let now = CpuTime::now();
        if !now.is_known || !self.start.is_known {
            return 0.0;
        }
        (now.stolen - self.start.stolen) / f64::max(now.total - self.start.total, 1.0)
    }
}

/// The fraction of stolen time up to which checks that rest on time are judged.
const MAX_STOLEN_FRACTION: f64 = 0.05;

struct Check {
    name: &'static str,
    value: f64,
    bound: String,
    holds: bool,
    is_judged: bool,
}

/// Checks and figures of one experiment, in their order.
#[derive(Default)]
pub struct Report {
    checks: Vec<Check>,
    figures: Map<String, Value>,
    /// Whether too much time was stolen for checks that rest on time.
    lacked_cpu_time: bool,
}

impl Report {
    /// Checks from here on rest on time, and are judged only where the machine's cores were there.
    pub fn require_cpu_time(&mut self, monitor: &StolenTimeMonitor) {
        let stolen = monitor.stolen_fraction();
        self.lacked_cpu_time = stolen > MAX_STOLEN_FRACTION;
        self.figure("part of the cores' time that was away", rounded(stolen));
    }

    /// Checks that a value is `max` or less.
    pub fn check_at_most(&mut self, name: &'static str, value: f64, max: f64) {
        self.check(name, value, format!("at most {max}"), value <= max);
    }

    /// Checks that a value is `min` or more.
    pub fn check_at_least(&mut self, name: &'static str, value: f64, min: f64) {
        self.check(name, value, format!("at least {min}"), value >= min);
    }

    /// Checks that a value is more than `bound`.
    pub fn check_above(&mut self, name: &'static str, value: f64, bound: f64) {
        self.check(name, value, format!("over {bound}"), value > bound);
    }

    fn check(&mut self, name: &'static str, value: f64, bound: String, holds: bool) {
        self.checks.push(Check {
            name,
            value,
            bound,
            holds,
            is_judged: !self.lacked_cpu_time,
        });
    }

    /// Adds a figure that no check rests on.
    pub fn figure(&mut self, name: &str, value: impl Into<Value>) {
        self.figures.insert(name.to_string(), value.into());
    }

    /// Whether every check that is judged holds.
    pub fn passes(&self) -> bool {
        self.checks
            .iter()
            .all(|check| check.holds || !check.is_judged)
    }

    /// The report as one line of JSON, which tools read.
    pub fn to_json(&self, trial: &str, options: &Options) -> String {
        let checks: Vec<Value> = self.checks.iter().map(check_to_json).collect();
        json!({
            "trial": trial,
            "seed": options.seed,
            "without": options.without,
            "checks": checks,
            "figures": self.figures,
            "pass": self.passes(),
        })
        .to_string()
    }
}

fn check_to_json(check: &Check) -> Value {
    json!({
        "name": check.name,
        "value": rounded(check.value),
        "bound": check.bound,
        "holds": check.holds,
        "judged": check.is_judged,
    })
}

/// To four places.
fn rounded(value: f64) -> f64 {
    (value * 1e4).round() / 1e4
}
