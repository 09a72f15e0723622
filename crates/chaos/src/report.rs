//! The report of an experiment: checks with their bounds, and figures.
use crate::options::Options;
use serde_json::{json, Map, Value};

/// Measures the steal time of the machine's CPUs (time that the hypervisor gave to other guests).
///
/// On a shared machine a core may be unavailable for most of a second, which delays everything that waits for it by as
/// much, including packets. Checks that depend on timing are meaningless then.
pub struct StolenTimeMonitor {
    start: CpuTime,
}

/// CPU time in kernel ticks, summed over all cores.
#[derive(Clone, Copy)]
struct CpuTime {
    total: f64,
    stolen: f64,
    is_known: bool,
}

/// Number of fields of the first line of `/proc/stat` to sum: user, nice, system, idle, iowait, irq, softirq, steal.
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
    /// Starts a measurement.
    pub fn start() -> Self {
        StolenTimeMonitor {
            start: CpuTime::now(),
        }
    }

    /// Returns the fraction of all cores' time since the start that was stolen; 0 if the kernel does not report it.
    pub fn stolen_fraction(&self) -> f64 {
        let now = CpuTime::now();
        if !now.is_known || !self.start.is_known {
            return 0.0;
        }
        (now.stolen - self.start.stolen) / f64::max(now.total - self.start.total, 1.0)
    }
}

/// Checks that depend on timing are enforced only up to this fraction of stolen time.
const MAX_STOLEN_FRACTION: f64 = 0.05;

struct Check {
    name: &'static str,
    value: f64,
    bound: String,
    holds: bool,
    is_judged: bool,
}

/// Checks and figures of one experiment, in the order in which they were added.
#[derive(Default)]
pub struct Report {
    checks: Vec<Check>,
    figures: Map<String, Value>,
    /// Whether too much CPU time was stolen to enforce checks that depend on timing.
    lacked_cpu_time: bool,
}

impl Report {
    /// Marks all checks added from here on as dependent on timing: they are enforced only if the fraction of stolen CPU
    /// time since the start of `monitor` was small.
    pub fn require_cpu_time(&mut self, monitor: &StolenTimeMonitor) {
        let stolen = monitor.stolen_fraction();
        self.lacked_cpu_time = stolen > MAX_STOLEN_FRACTION;
        self.figure("part of the cores' time that was away", rounded(stolen));
    }

    /// Adds a check that a value is at most `max`.
    pub fn check_at_most(&mut self, name: &'static str, value: f64, max: f64) {
        self.check(name, value, format!("at most {max}"), value <= max);
    }

    /// Adds a check that a value is at least `min`.
    pub fn check_at_least(&mut self, name: &'static str, value: f64, min: f64) {
        self.check(name, value, format!("at least {min}"), value >= min);
    }

    /// Adds a check that a value is above `bound`.
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

    /// Adds a figure, which does not affect whether the report passes.
    pub fn figure(&mut self, name: &str, value: impl Into<Value>) {
        self.figures.insert(name.to_string(), value.into());
    }

    /// Returns whether every enforced check holds.
    pub fn passes(&self) -> bool {
        self.checks
            .iter()
            .all(|check| check.holds || !check.is_judged)
    }

    /// Formats the report as one line of JSON for tools to parse.
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

/// Rounds to four decimal places.
fn rounded(value: f64) -> f64 {
    (value * 1e4).round() / 1e4
}
