//! What a trial found: checks with their bounds, and figures.
use crate::Usage;
use serde_json::{json, Map, Value};

struct Check {
    name: &'static str,
    value: f64,
    bound: String,
    holds: bool,
}

#[derive(Default)]
pub struct Outcome {
    checks: Vec<Check>,
    figures: Map<String, Value>,
}

impl Outcome {
    pub fn at_most(&mut self, name: &'static str, value: f64, most: f64) {
        self.checks.push(Check { name, value, bound: format!("at most {most}"), holds: value <= most });
    }

    pub fn at_least(&mut self, name: &'static str, value: f64, least: f64) {
        self.checks.push(Check { name, value, bound: format!("at least {least}"), holds: value >= least });
    }

    pub fn over(&mut self, name: &'static str, value: f64, least: f64) {
        self.checks.push(Check { name, value, bound: format!("over {least}"), holds: value > least });
    }

    pub fn figure(&mut self, name: &str, value: impl Into<Value>) {
        self.figures.insert(name.to_string(), value.into());
    }

    pub fn pass(&self) -> bool {
        self.checks.iter().all(|check| check.holds)
    }

    pub fn line(&self, trial: &str, usage: &Usage) -> String {
        let rounded = |value: f64| (value * 1e4).round() / 1e4;
        let checks = self.checks.iter().map(
            |c| json!({ "name": c.name, "value": rounded(c.value), "bound": c.bound, "holds": c.holds }),
        );
        let checks: Vec<_> = checks.collect();
        json!({
            "trial": trial, "seed": usage.seed, "without": usage.without, "checks": checks,
            "figures": self.figures, "pass": self.pass(),
        })
        .to_string()
    }
}
