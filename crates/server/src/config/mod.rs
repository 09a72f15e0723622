//! What the program is told at its start.
pub mod files;

use crate::clock::span_of_ms;
use cottondyke_admission::AdmissionController;
use cottondyke_operator_config::{Effect, HandlerSpec, OperatorConfig, SourceLocation};
use cottondyke_settings::{self as settings, WireNames, Wrong};
use cottondyke_types::{Idempotency, Time};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::time::Duration;

/// Descriptors kept for engine, calls, control plane, listener, timers and log.
const KEPT_BACK: u64 = 96;
/// Of them those that are no calls, and the most calls in hand a core that the decider lets out (`MOST_CALLS`), each on
/// a descriptor of its own.
const OWN: u64 = 32;
const CALLS: u64 = 4;

/// What of `sockets` descriptors is kept back: more than usual where many cores make many calls, but no more than half,
/// for a server that turns all away is of no use.
fn kept_back(sockets: u64, cores: f64) -> u64 {
    KEPT_BACK.max((OWN + CALLS * cores as u64).min(sockets / 2))
}

/// The decider uses 0.85 of the crowd that it is told is survived: so `at_once` itself is the most that run.
const OVERLOAD: f64 = 1.0 / 0.85 + 1e-6;

/// Connections to a dependency beside each call that may be held there: as many may lie idle.
const IDLE: u64 = 1;
/// Part of the memory that kept answers may take.
const KEPT: f64 = 0.25;

/// What of the connections is left to callers beside those to dependencies, where kept answers fit the memory.
fn room(connections: usize, memory: usize, operator: &OperatorConfig) -> Result<usize, Wrong> {
    let wrong = |at: &SourceLocation, what: String| {
        Err(Wrong::from(format!("{}:{}: {what}", at.file, at.line)))
    };
    let most = memory as f64 / (1 << 20) as f64 * KEPT;
    if operator.fleet.line > 0 && operator.kept_mb > most {
        let what = format!(
            "fleet: kept_mb = {}: expected at most a quarter of the memory, {most}",
            operator.kept_mb
        );
        return wrong(&operator.fleet, what);
    }
    let mut left = connections as u64;
    for dependency in &operator.dependencies {
        let share = operator.max_calls(dependency);
        left = match left
            .checked_sub(share * (1 + IDLE))
            .filter(|left| *left > 0)
        {
            Some(left) => left,
            None => {
                let what = format!(
                    "dependency {:?}: ceiling = {} is {share} calls here, whose connections leave none of {connections} \
                     for callers: expected more sockets or lower ceilings",
                    dependency.name, dependency.ceiling
                );
                return wrong(&dependency.at, what);
            }
        };
    }
    Ok(left as usize)
}

#[derive(Clone, Debug)]
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    /// None of these where the operator's file stands alone; no records service where nothing lies below.
    pub engine: Option<SocketAddr>,
    pub control: Option<SocketAddr>,
    pub records: Option<SocketAddr>,
    /// The operator's file, checked against the handlers.
    pub operator: Option<OperatorConfig>,
    pub seed: u64,
    /// From the notice to leave to the end.
    pub stop: Duration,
    /// Connections taken from sidecars.
    pub connections: usize,
    /// Bytes that the program may take.
    pub memory: usize,
    /// The longest client timeout, in milliseconds.
    pub longest: f64,
    pub kinds: Vec<Idempotency>,
    /// Response target and client timeout by handler.
    pub times: Vec<(Time, Time)>,
    /// Dedup window by handler.
    pub windows: Vec<Time>,
    /// How long the answer of a read may be handed to others.
    pub fresh: Time,
    pub places: WireNames,
    /// Whether credit is spread over the callers heard on connections (the shape of many sidecars, each seldom
    /// here), or over `family_info.upstreams` as told at start (the first shape, and the default).
    pub callers_heard: bool,
    settings: Value,
}

/// `front.callers`: where the callers that share the credit are counted. The two shapes may not be mixed: a
/// count told at start beside callers heard would be two answers to one question.
fn callers_heard(all: &Value, conf: &Value) -> Result<bool, Wrong> {
    let Some(front) = settings::present(all, "front") else {
        return Ok(false);
    };
    let callers = front.get("callers").unwrap_or(&Value::Null);
    let heard = match callers.as_str() {
        Some("told") => false,
        Some("connections") => true,
        _ => {
            return Err(format!(
                "front.callers is {callers}: expected \"connections\" or \"told\""
            ))
        }
    };
    let told = conf
        .get("family_info")
        .and_then(|info| settings::present(info, "upstreams"));
    if let Some(told) = told.filter(|_| heard) {
        return Err(format!(
            "settings.family_info.upstreams is {told}, beside front.callers = \"connections\": the first shape \
             and the new one are mixed; expected one of the two"
        ));
    }
    Ok(heard)
}

impl Config {
    pub fn read(path: &str) -> Result<Self, Wrong> {
        let text = std::fs::read_to_string(path).map_err(|e| format!("{path}: {e}"))?;
        Self::parse(&text).map_err(|wrong| format!("{path}: {wrong}"))
    }

    pub fn parse(text: &str) -> Result<Self, Wrong> {
        let all: Value = serde_json::from_str(text).map_err(|e| format!("not JSON: {e}"))?;
        let address = |key: &str| {
            let text = settings::text(&all, key)?;
            text.parse()
                .map_err(|_| format!("{key} is not an address with a port: {text}"))
        };
        let conf = all
            .get("settings")
            .filter(|s| s.is_object())
            .ok_or("settings is missing")?;
        let seed = settings::text(&all, "seed")?;
        let limits = all
            .get("limits")
            .filter(|l| l.is_object())
            .ok_or("limits is missing")?;
        let sockets =
            settings::whole(limits, "sockets").map_err(|wrong| format!("limits: {wrong}"))?;
        let memory =
            settings::whole(limits, "memory_mb").map_err(|wrong| format!("limits: {wrong}"))?;
        let allowed = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
        let sockets = sockets.min(allowed.unwrap_or(sockets));
        let cores = conf
            .get("family_info")
            .and_then(|info| info.get("n_cores")?.as_f64())
            .unwrap_or(0.0);
        let connections = sockets
            .checked_sub(kept_back(sockets, cores))
            .filter(|n| *n > 0);
        let classes = || {
            conf.get("classes")
                .and_then(Value::as_array)
                .into_iter()
                .flatten()
        };
        let ms = |class: &Value, key: &str| class.get(key).and_then(Value::as_f64).unwrap_or(0.0);
        let times = classes()
            .map(|class| (ms(class, "aim_ms"), ms(class, "deadline_ms")))
            .collect::<Vec<_>>();
        let places = settings::wire_names(conf);
        if places.handlers.is_empty() || places.handlers.iter().any(String::is_empty) {
            return Err("settings: classes is empty or lacks a name".to_string());
        }
        // Calls go to the records service only where the settings say that something lies below.
        let below = conf
            .get("family_info")
            .and_then(|info| info.get("below")?.as_str())
            != Some("none");
        let config = Config {
            name: settings::text(&all, "name")?.to_string(),
            listen: address("listen")?,
            engine: Some(address("engine")?),
            control: Some(address("control")?),
            records: if below || settings::present(&all, "records").is_some() {
                Some(address("records")?)
            } else {
                None
            },
            operator: None,
            seed: u64::from_str_radix(seed, 16).map_err(|_| "seed is not a hexadecimal number")?,
            stop: Duration::from_millis(settings::whole(&all, "stop_ms")?),
            connections: connections.ok_or(format!("limits: sockets must be over {KEPT_BACK}"))?
                as usize,
            memory: (memory as usize).saturating_mul(1 << 20),
            longest: times
                .iter()
                .map(|(_, timeout)| *timeout)
                .fold(0.0, f64::max),
            times: times
                .iter()
                .map(|(aim, timeout)| (span_of_ms(*aim), span_of_ms(*timeout)))
                .collect(),
            windows: classes()
                .map(|class| span_of_ms(ms(class, "dedup_window_ms")))
                .collect(),
            kinds: settings::idempotencies(conf).map_err(|wrong| format!("settings: {wrong}"))?,
            fresh: settings::read_cache_ttl(conf).map_err(|wrong| format!("settings: {wrong}"))?,
            places,
            callers_heard: callers_heard(&all, conf)?,
            settings: conf.clone(),
        };
        if config.name.is_empty()
            || !config
                .name
                .bytes()
                .all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b))
        {
            return Err("name may hold letters, digits, dots and dashes".to_string());
        }
        config
            .plausible()
            .map_err(|wrong| format!("settings: {wrong}"))?;
        config.admission(Time(0)).map(|_| config)
    }

    /// The handlers, as the operator's file is checked against them.
    pub fn known(&self) -> Vec<HandlerSpec> {
        let handlers = self.places.handlers.iter().zip(&self.times);
        let known = |(name, (target, _)): (&String, &(Time, Time))| HandlerSpec {
            name: name.clone(),
            response_target: *target,
        };
        handlers.map(known).collect()
    }

    /// The platform's configuration with the operator's file beside it.
    pub fn with(mut self, operator: OperatorConfig) -> Result<Self, Wrong> {
        let both = |at: &SourceLocation, what: &str| {
            Err(format!(
                "{}:{}: {what}: the configuration tells that already; expected it in one of the two",
                at.file, at.line
            ))
        };
        if let Some(serve) = &operator.serve {
            return both(&serve.at, "serve(...)");
        }
        if let Some(handler) = operator.handlers.first() {
            return both(&handler.at, "handler(...)");
        }
        if let Some(customer) = operator.tenants.first() {
            return both(&customer.at, "customer(...)");
        }
        operator
            .validate(&self.known())
            .map_err(|wrong| wrong.to_string())?;
        self.connections = room(self.connections, self.memory, &operator)?;
        self.operator = Some(operator);
        Ok(self)
    }

    /// A program that serves on its own: all is told by the operator's file.
    pub fn alone(operator: OperatorConfig) -> Result<Self, Wrong> {
        operator
            .validate_standalone()
            .map_err(|wrong| wrong.to_string())?;
        let serve = operator.serve.clone().ok_or("serve(...) is missing")?;
        let ms = |tenths: i64| tenths as f64 / 10.0;
        let classes = operator.handlers.iter().map(|h| {
            let effect = match h.effect {
                Effect::Replayable => "repeatable",
                Effect::Uniqued => "by_key",
                Effect::NonReplayable => "once",
            };
            json!({
                "name": h.name, "effect": effect, "credit": h.value, "late_value": h.late_value,
                "aim_ms": ms(h.response_target), "deadline_ms": ms(h.client_timeout), "dedup_window_ms": ms(h.window),
            })
        });
        let customers = operator.tenants.iter();
        let customers = customers.map(|c| json!({ "name": c.name, "quota_per_s": c.per_second }));
        // Reqs that run are the cores of the decider here: they wait for dependencies, not for each other.
        let settings = json!({
            "blend": { "whole": 1.0 },
            "classes": classes.collect::<Vec<_>>(),
            "customers": customers.collect::<Vec<_>>(),
            "family_info": {
                "advert": "none", "below": "none", "blowup": 2.0, "calls_over_ms": 1_000.0, "cold": false,
                "fresh_ms": 0.0, "heeded_ms": 1_000.0, "idle_ms": 60_000.0, "kb_per_key": 1.0, "linger_ms": 0.0,
                "mem_limit_kb": serve.memory_mb as f64 * 512.0, "n_cores": serve.at_once, "own_stats": [],
                "preemption": "drop", "upstreams": 1.0,
            },
            "group_size": operator.instances.unwrap_or(1),
            "obligations": {
                "drain_grace_ms": ms(serve.stop) / 2.0, "overload_factor": OVERLOAD, "start_capacity": 1.0,
                "warm_within_ms": 1_000.0,
            },
            "over_share_worth": 0.1,
            "policy_limits": { "max_retry_after_ms": ms(serve.pause), "retry_after": true },
            "resolution_ms": 1.0,
            "worth_by": "request",
        });
        let listen = serve.listen.to_string();
        let conf = json!({
            "name": serve.name, "listen": listen, "engine": listen, "control": listen, "records": listen,
            "seed": format!("{:x}", serve.seed), "stop_ms": (serve.stop / 10).max(1),
            "limits": { "memory_mb": serve.memory_mb, "sockets": serve.sockets }, "settings": settings,
        });
        let mut config = Self::parse(&conf.to_string())
            .map_err(|wrong| format!("{}: {wrong}", operator.file))?;
        config.connections = room(config.connections, config.memory, &operator)?;
        (config.engine, config.control, config.records) = (None, None, None);
        config.operator = Some(operator);
        Ok(config)
    }

    /// What is in force once `new` was read while the server runs, and what of it cannot be obeyed: what was
    /// learned belongs to the settings, what is connected to the address. An operator's file is obeyed whole or
    /// not at all: an error where it cannot be.
    pub fn renewed(&self, new: Config) -> Result<(Config, Vec<&'static str>), Wrong> {
        let told = [
            ("name", new.name != self.name),
            ("listen", new.listen != self.listen),
            ("settings", new.settings != self.settings),
            ("front", new.callers_heard != self.callers_heard),
        ];
        let in_vain: Vec<_> = told
            .into_iter()
            .filter(|(_, differs)| *differs)
            .map(|(what, _)| what)
            .collect();
        if let Some(operator) = &new.operator {
            if operator.serve.is_some() && !in_vain.is_empty() {
                let file = &operator.file;
                return Err(format!(
                    "{file}: serve, handler and customer cannot change while the server runs"
                ));
            }
            operator
                .validate(&self.known())
                .map_err(|wrong| wrong.to_string())?;
        }
        // Shares that are lent can't be told apart from fixed ones while calls of either are in hand.
        let peers = |config: &Config| {
            config
                .operator
                .as_ref()
                .is_some_and(|operator| operator.peers.is_some())
        };
        if peers(self) != peers(&new) {
            let file = new
                .operator
                .as_ref()
                .map_or("the configuration", |operator| &operator.file);
            return Err(format!(
                "{file}: peers(...) cannot be added or taken out while the server runs"
            ));
        }
        let Config {
            engine,
            control,
            records,
            operator,
            stop,
            connections,
            memory,
            ..
        } = new;
        let new = Config {
            engine,
            control,
            records,
            operator,
            stop,
            connections,
            memory,
            ..self.clone()
        };
        Ok((new, in_vain))
    }

    /// Settings that no server can have.
    fn plausible(&self) -> Result<(), Wrong> {
        let part = |key: &str| {
            self.settings
                .get(key)
                .filter(|p| p.is_object())
                .ok_or(format!("{key} is missing"))
        };
        let (info, rules) = (part("family_info")?, part("obligations")?);
        let within = |of: &Value, key: &str, least: f64, most: f64| {
            let number = settings::number(of, key)?;
            let fits = (least..=most).contains(&number);
            fits.then_some(())
                .ok_or(format!("{key} is {number}, which no server can have"))
        };
        within(info, "n_cores", 1.0, 65_536.0)?;
        within(info, "mem_limit_kb", 1.0, 1e15)?;
        within(rules, "overload_factor", 1.0, 1e9)?;
        // What lies below decides whether a records service is needed: no word of it may pass for another.
        let below = settings::text(info, "below")?;
        if !["none", "common", "next_hop"].contains(&below) {
            return Err(format!(
                "below is {below:?}: expected \"none\", \"common\" or \"next_hop\""
            ));
        }
        let classes = self.settings.get("classes").and_then(Value::as_array);
        classes
            .into_iter()
            .flatten()
            .zip(&self.kinds)
            .try_for_each(|(class, kind)| {
                // Missing, it would be no time at all, and repeats would run again.
                if *kind == Idempotency::Keyed {
                    within(class, "dedup_window_ms", 0.1, 1e12)?;
                }
                within(class, "deadline_ms", 0.1, 1e12)?;
                within(class, "aim_ms", 0.1, 1e12)
            })
    }

    /// The decider of a server whose engine started at `born`.
    pub fn admission(&self, born: Time) -> Result<AdmissionController, Wrong> {
        settings::admission_controller(born, self.seed, &self.settings)
            .map_err(|wrong| format!("settings: {wrong}"))
    }
}
