//! What a trial found: checks with their bounds, and figures.
use crate::Usage;
use serde_json::{json, Map, Value};

/// What of the machine's time went elsewhere: on one that is shared with others a core may be away for most of a second,
/// and what waits for it, packets too, is late by as much. Nothing that rests on time can be shown then.
pub struct Cores(Vec<f64>);

/// The part of the time that may be gone where what rests on time is judged.
const STOLEN: f64 = 0.05;

/// The fields of the first line of `/proc/stat`: user, nice, system, idle, iowait, irq, softirq, steal and others.
fn spent() -> Vec<f64> {
    let text = std::fs::read_to_string("/proc/stat").unwrap_or_default();
    let line = text.lines().next().unwrap_or_default();
    line.split_whitespace()
        .skip(1)
        .take(8)
        .filter_map(|n| n.parse().ok())
        .collect()
}

impl Cores {
    pub fn watch() -> Self {
        Cores(spent())
    }

    /// The part of all cores' time since then that was given to others.
    pub fn stolen(&self) -> f64 {
        let since: Vec<f64> = spent()
            .iter()
            .zip(&self.0)
            .map(|(now, then)| now - then)
            .collect();
        since.get(7).copied().unwrap_or(0.0) / f64::max(since.iter().sum(), 1.0)
    }
}

struct Check {
    name: &'static str,
    value: f64,
    bound: String,
    holds: bool,
    judged: bool,
}

#[derive(Default)]
pub struct Outcome {
    checks: Vec<Check>,
    figures: Map<String, Value>,
    away: bool,
}

impl Outcome {
    /// What is checked from here on rests on time, and is judged only where the machine's cores were there.
    pub fn needs(&mut self, cores: &Cores) {
        let stolen = cores.stolen();
        self.away = stolen > STOLEN;
        self.figure(
            "part of the cores' time that was away",
            (stolen * 1e4).round() / 1e4,
        );
    }

    fn check(&mut self, name: &'static str, value: f64, bound: String, holds: bool) {
        self.checks.push(Check {
            name,
            value,
            bound,
            holds,
            judged: !self.away,
        });
    }

    pub fn at_most(&mut self, name: &'static str, value: f64, most: f64) {
        self.check(name, value, format!("at most {most}"), value <= most);
    }

    pub fn at_least(&mut self, name: &'static str, value: f64, least: f64) {
        self.check(name, value, format!("at least {least}"), value >= least);
    }

    pub fn over(&mut self, name: &'static str, value: f64, least: f64) {
        self.check(name, value, format!("over {least}"), value > least);
    }

    pub fn figure(&mut self, name: &str, value: impl Into<Value>) {
        self.figures.insert(name.to_string(), value.into());
    }

    pub fn pass(&self) -> bool {
        self.checks.iter().all(|check| check.holds || !check.judged)
    }

    pub fn line(&self, trial: &str, usage: &Usage) -> String {
        let rounded = |value: f64| (value * 1e4).round() / 1e4;
        let checks = self.checks.iter().map(
            |c| json!({ "name": c.name, "value": rounded(c.value), "bound": c.bound, "holds": c.holds, "judged": c.judged }),
        );
        let checks: Vec<_> = checks.collect();
        json!({
            "trial": trial, "seed": usage.seed, "without": usage.without, "checks": checks,
            "figures": self.figures, "pass": self.pass(),
        })
        .to_string()
    }
}
