//! The platform's configuration of a server, with the settings of a small deployment.
use std::net::SocketAddr;

/// A class of requests.
pub struct Class {
    pub name: &'static str,
    /// `repeatable`, `by_key` or `once`.
    pub effect: &'static str,
    pub aim_ms: u64,
    pub deadline_ms: u64,
    pub dedup_window_ms: u64,
    pub makes_calls: bool,
}

/// The parts of a configuration that differ between the cases.
pub struct Config {
    pub listen: String,
    pub engine: SocketAddr,
    pub records: SocketAddr,
    pub control: SocketAddr,
    pub stop_ms: u64,
    pub drain_grace_ms: u64,
    pub cores: u64,
    /// Requests on the cores, for each core, that a warm backend survives in the mean of 3 s.
    pub overload_factor: u64,
    pub classes: Vec<Class>,
}

impl Config {
    /// The configuration file's text.
    pub fn text(&self) -> String {
        let classes: Vec<String> = self.classes.iter().map(class).collect();
        let calls: Vec<String> = self
            .classes
            .iter()
            .map(|c| c.makes_calls.to_string())
            .collect();
        let skips: Vec<&str> = self.classes.iter().map(|_| "0.0").collect();
        format!(
            r#"{{
  "name": "n1", "listen": "{listen}", "engine": "{engine}", "control": "{control}", "records": "{records}",
  "seed": "8c1f30d27a5be964", "stop_ms": {stop_ms},
  "limits": {{"cores": 1.0, "memory_mb": 192, "sockets": 1024}},
  "settings": {{
    "blend": {{"whole": 0.5, "worst_class": 0.2, "worst_window": 0.3}},
    "classes": [{classes}],
    "client_habits": {{"marks_retry": true}},
    "customers": [],
    "family": "server",
    "family_info": {{
      "advert": "bias", "below": "common", "blowup": 8.0, "calls_over_ms": 5000.0, "cancel_seen": false,
      "class_calls": [{calls}], "class_skip_worth": [{skips}], "cold": false, "dep_share": 24.0,
      "fresh_ms": 0.0, "heeded_ms": 1000.0, "idle_ms": 30000.0, "kb_per_key": 1.0, "linger_ms": 200.0,
      "list_follows": false, "mem_limit_kb": 60000.0, "n_cores": {cores},
      "own_stats": ["cpu_busy", "runnable", "mem_used", "sockets"], "passes_deadline": false,
      "preemption": "drop", "real_checks": true, "upstreams": 3
    }},
    "fees": {{"late_fail": 0.08, "waste": 0.08}},
    "group_size": 12, "my_number": 3,
    "obligations": {{
      "answer_slack_ms": 80.0, "drain_grace_ms": {grace}, "fall_ms": 3000.0, "overload_factor": {overload}.0,
      "start_capacity": 0.26, "warm_within_ms": 18000.0
    }},
    "over_share_worth": 0.1,
    "policy_limits": {{"max_retry_after_ms": 1000.0, "retry_after": true}},
    "report": {{"names": [], "via": "none"}},
    "resolution_ms": 2.0, "tier": 0, "tiers": ["front"], "worth_by": "work", "zone": 0, "zones": ["one"]
  }}
}}
"#,
            listen = self.listen,
            engine = self.engine,
            control = self.control,
            records = self.records,
            stop_ms = self.stop_ms,
            classes = classes.join(", "),
            calls = calls.join(", "),
            skips = skips.join(", "),
            cores = self.cores,
            overload = self.overload_factor,
            grace = self.drain_grace_ms as f64,
        )
    }
}

fn class(class: &Class) -> String {
    format!(
        r#"{{"name": "{}", "effect": "{}", "credit": 1.0, "late_value": 0.2, "aim_ms": {}.0, "deadline_ms": {}.0, "dedup_window_ms": {}.0}}"#,
        class.name, class.effect, class.aim_ms, class.deadline_ms, class.dedup_window_ms
    )
}
